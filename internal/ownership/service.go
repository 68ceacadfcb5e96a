package ownership

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/membership"
	"github.com/persimmoncart/persimmoncart/internal/peer"
	memberv1 "github.com/persimmoncart/persimmoncart/proto/member/v1"
)

const (
	cellRetention       = 30 * time.Second       // keeps the state of a cell after this instance has ceased to be a member
	fetchTimeout        = 2 * time.Second        // time limit for reading a record from a peer
	joinDelay           = 2 * time.Second        // additional delay that collects instances and replicas that are added together
	maxStoreBackoff     = 10 * time.Second       // longest pause between attempts while the store is down; jittered
	proposeDelay        = 200 * time.Millisecond // age of a difference before the first proposer writes a record
	rankDelay           = time.Second            // additional delay of each further proposer
	recordReadPeriod    = 5 * time.Minute        // records are read again in case no peer has announced a newer one
	storeTimeout        = 2 * time.Second        // time limit for one store call
	suspectRemovalDelay = 10 * time.Second       // time after which a suspect is left out of the next epoch
	takeoverDelay       = 15 * time.Second       // time without instances before a cell is taken over; a new instance receives the region's members sooner
	// A second probe is sent at most AckRefreshAge and two ticks after the probe
	// of the last acknowledgement, which is within AckTTL.
	tickPeriod = 200 * time.Millisecond
	viewPeriod = time.Second // longest age of the membership view
)

// KeyPrefix is the prefix of the store keys of cell records.
const KeyPrefix = "cells/"

var _ membership.Extension = (*Service)(nil)

// A Service runs the ownership protocol of one instance: for its own cell, and
// for cells of the region that have no instances. Set the fields before Start.
type Service struct {
	Configuration persimmoncart.Configuration
	Logger        zerolog.Logger
	Members       *membership.Service // its Lock also protects this Service
	Rand          *rand.Rand
	Spawn         func(func()) // runs calls that block; nil starts a goroutine
	Store         persimmoncart.Store
	Timer         persimmoncart.Timer
	Transport     peer.Transport
	UsableChanged func([]persimmoncart.UsableReplica) // called under Lock with the replicas that this instance may use; may be nil

	cells            map[persimmoncart.DataCentre]*cellState // cells that this instance takes part in
	context          context.Context
	nextViewUpdate   time.Time                              // when the view is read again; zero after a change of members
	noInstancesSince map[persimmoncart.DataCentre]time.Time // since when a cell has no instances
	replicas         regionReplicas
	reported         map[persimmoncart.DataCentre]usableState // states at the last call of UsableChanged
	sequence         uint64                                   // of the newest nonce
	suspectSince     map[persimmoncart.Tag]time.Time          // since when a member is suspect
	view             membershipView
}

// A cellState is the protocol state of one cell, including its calls in flight.
type cellState struct {
	Machine
	fetching       bool      // a call to a peer for the record is in flight
	missing        bool      // the store has no record
	nextProposal   time.Time // earliest time of the next proposal
	nextRead       time.Time // when the record is next read from the store
	notNamedEpoch  uint64    // epoch of the record when notNamedSince was set
	notNamedSince  time.Time // since when the record does not name this instance
	outdatedSince  time.Time // since when the record differs from the desired one; zero if it does not
	storeBusy      bool      // a store call is in flight
	storeDownUntil time.Time // until then, records are read from peers
}

// Start registers the Service with Members, which must not run yet, and
// subscribes to the timer. The returned function ends the subscriptions.
func (s *Service) Start(ctx context.Context) (stop func()) {
	if s.Spawn == nil {
		s.Spawn = func(f func()) { go f() }
	}
	s.Members.Setup(func() {
		s.context = ctx
		s.noInstancesSince = map[persimmoncart.DataCentre]time.Time{}
		s.cells = map[persimmoncart.DataCentre]*cellState{}
		s.suspectSince = map[persimmoncart.Tag]time.Time{}
		s.Members.Machine.Extensions = append(s.Members.Machine.Extensions, s)
		s.Members.HandleRecord = s.handleRecordRequest
		s.ensureCell(s.Members.Machine.Self.DataCentre)
	})
	stopMembers := s.Members.Subscribe(func([]persimmoncart.Member) { s.nextViewUpdate = time.Time{} })
	stopTicks := s.Timer.Subscribe(tickPeriod, func(now time.Time) {
		s.Members.Lock.Lock()
		defer s.Members.Lock.Unlock()
		s.tick(ctx, now)
	})
	return func() {
		stopTicks()
		stopMembers()
	}
}

// Owns reports whether this instance owns the replica now. The caller holds the
// Lock of Members, as for all methods below.
func (s *Service) Owns(id persimmoncart.EndpointID) bool {
	now := s.Timer.Now()
	for _, c := range s.cells {
		if c.Owns(now, id) {
			return true
		}
	}
	return false
}

// Owned returns the replicas that this instance owns now.
func (s *Service) Owned() []persimmoncart.EndpointID {
	now := s.Timer.Now()
	var owned []persimmoncart.EndpointID
	for _, c := range s.cells {
		owned = append(owned, c.Owned(now)...)
	}
	slices.Sort(owned)
	return owned
}

// Owner returns the owner of a replica in the newest epoch of its cell.
func (s *Service) Owner(id persimmoncart.EndpointID) (persimmoncart.InstanceID, bool) {
	for _, c := range s.cells {
		if c.record == nil {
			continue
		}
		if owner, found := c.record.Owner(id); found {
			return owner, true
		}
	}
	return "", false
}

// StaticShareCount returns the number of members that share the slots of a
// replica without a confirmed owner; zero means that this instance has no
// static share of it.
func (s *Service) StaticShareCount(id persimmoncart.EndpointID) int {
	now := s.Timer.Now()
	for _, c := range s.cells {
		n := c.StaticShareCount(now, id, func(owner persimmoncart.InstanceID) bool { return s.down(now, owner) })
		if n > 0 {
			return n
		}
	}
	return 0
}

// down reports whether an instance is dead, unknown, or has been suspect for
// longer than an ownership lasts without acknowledgements.
func (s *Service) down(now time.Time, id persimmoncart.InstanceID) bool {
	m, found := s.Members.Machine.Member(id)
	if !found || m.State == persimmoncart.MemberDead {
		return true
	}
	since, silent := s.suspectSince[m.Instance.Tag()]
	return silent && now.Sub(since) > StaticShareDelay
}

// Fill implements membership.Extension. It adds the epochs of a cell for
// members of the cell and for instances that its record names. An instance that
// receives the epoch of another cell can therefore assume that its own
// acknowledgement counts there.
func (s *Service) Fill(to persimmoncart.Instance, _ bool, p *memberv1.Piggyback) {
	self := s.Members.Machine.Self
	for _, c := range s.cells {
		if c.record != nil && (c.Cell == self.DataCentre && to.DataCentre == c.Cell || c.recordIncludes(to.ID)) {
			epoch := &memberv1.Epoch{Epoch: c.record.Epoch}
			if c.Cell != self.DataCentre || to.DataCentre != c.Cell {
				epoch.Cell = string(c.Cell)
			}
			p.Epochs = append(p.Epochs, epoch)
		}
	}
}

// Receive implements membership.Extension.
func (s *Service) Receive(from persimmoncart.Instance, p *memberv1.Piggyback, sent time.Time) {
	now := s.Timer.Now()
	for _, e := range p.GetEpochs() {
		name := persimmoncart.DataCentre(e.GetCell())
		if name == "" {
			name = from.DataCentre
		}
		c := s.cells[name]
		if from.ID == "" || c == nil && len(s.configuredReplicas()[name]) == 0 {
			continue
		}
		if c == nil {
			// The sender's record names this instance, so its acknowledgement counts.
			c = s.ensureCell(name)
		}
		c.ReceiveAck(now, from.Tag(), e.GetEpoch(), sent)
		if e.GetEpoch() > c.Epoch() {
			s.updateRecord(c, from)
		}
	}
}

// handleRecordRequest returns the record of a cell if it is newer than the one
// of the requester.
func (s *Service) handleRecordRequest(r *memberv1.RecordRequest) *memberv1.RecordReply {
	c := s.cells[persimmoncart.DataCentre(r.GetCell())]
	if c == nil || c.Epoch() <= r.GetAfter() {
		return &memberv1.RecordReply{}
	}
	return &memberv1.RecordReply{Record: c.record.Wire(r.GetReplicasHash())}
}

// updateRecord reads a newer record: from the store, which costs the peer no
// bytes, or from the peer while the store is down.
func (s *Service) updateRecord(c *cellState, from persimmoncart.Instance) {
	switch {
	case s.Timer.Now().Before(c.storeDownUntil):
		s.fetchFromPeer(c, from)
	case !c.storeBusy:
		s.readFromStore(s.context, c)
	}
}

// fetchFromPeer reads a newer record from a peer.
func (s *Service) fetchFromPeer(c *cellState, from persimmoncart.Instance) {
	if c.fetching {
		return
	}
	c.fetching = true
	var current []persimmoncart.EndpointID
	if c.record != nil {
		current = c.record.Replicas
	}
	request := &memberv1.RecordRequest{After: c.Epoch(), Cell: string(c.Cell), ReplicasHash: replicasHash(current)}
	s.Transport.Call(from.Addr, request, fetchTimeout, func(reply proto.Message, err error) {
		s.Members.Lock.Lock()
		defer s.Members.Lock.Unlock()
		c.fetching = false
		if err != nil {
			return
		}
		if w := reply.(*memberv1.RecordReply).GetRecord(); w != nil {
			if r, complete := RecordFromWire(w, current); complete {
				s.receiveRecord(c, &r, false)
			}
		}
	})
}

// receiveRecord applies a record if it is newer. Written is true if this
// instance has written the record. It then probes all members at once, so that
// the old epoch closes without waiting for the regular probes.
func (s *Service) receiveRecord(c *cellState, r *Record, written bool) {
	now := s.Timer.Now()
	if !c.ReceiveRecord(now, r) {
		return
	}
	c.missing = false
	s.Logger.Info().Str("cell", string(c.Cell)).Uint64("epoch", r.Epoch).Int("members", len(r.Members)).Msg("new ownership epoch")
	if !written {
		return
	}
	probed := map[persimmoncart.InstanceID]bool{s.Members.Machine.Self.ID: true}
	probe := func(members []persimmoncart.Tag) {
		for _, t := range members {
			if !probed[t.Instance] {
				probed[t.Instance] = true
				s.Members.ProbeNow(t.Instance)
			}
		}
	}
	probe(r.Members)
	for i := range r.Prior {
		probe(r.Prior[i].Members)
	}
}

// ensureCell returns the state of a cell and creates it if there is none.
func (s *Service) ensureCell(name persimmoncart.DataCentre) *cellState {
	c := s.cells[name]
	if c == nil {
		c = &cellState{Machine: Machine{Cell: name, Dead: s.Members.Machine.Dead, Self: s.Members.Machine.Self.Tag()}}
		c.nextRead = s.Timer.Now().Add(s.jitter(viewPeriod))
		s.cells[name] = c
	}
	return c
}

// tick runs one step of the protocol for each cell.
func (s *Service) tick(ctx context.Context, now time.Time) {
	viewDue := !now.Before(s.nextViewUpdate)
	if viewDue {
		s.nextViewUpdate = now.Add(viewPeriod)
		s.view = s.readMembership(now)
		s.takeOverCells(now, s.view)
	}
	probed := map[persimmoncart.InstanceID]bool{} // one probe carries the epochs of all cells
	for _, name := range s.cellNames() {
		c := s.cells[name]
		c.SetIncarnation(s.Members.Machine.Self.Tag())
		c.Advance(now)
		for _, t := range c.MembersToProbe(now, s.isSuspect) {
			if !probed[t.Instance] {
				probed[t.Instance] = true
				s.Members.ProbeNow(t.Instance)
			}
		}
		if !c.storeBusy && !now.Before(c.nextRead) {
			s.readFromStore(ctx, c)
		}
		if viewDue || !c.outdatedSince.IsZero() {
			s.propose(ctx, now, c, s.view)
		}
	}
	s.reportUsable(now)
}

// isSuspect reports whether a member is suspect.
func (s *Service) isSuspect(id persimmoncart.InstanceID) bool {
	m, found := s.Members.Machine.Member(id)
	return found && m.State == persimmoncart.MemberSuspect
}

// cellNames returns the cells that this instance takes part in, sorted.
func (s *Service) cellNames() []persimmoncart.DataCentre {
	return slices.Sorted(maps.Keys(s.cells))
}

// jitter returns a random duration from a tenth of d up to d.
func (s *Service) jitter(d time.Duration) time.Duration {
	return d/10 + time.Duration(s.Rand.Int64N(int64(d)*9/10))
}

// nonce returns a new identifier for one write of a record.
func (s *Service) nonce() string {
	s.sequence++
	return s.noncePrefix() + strconv.FormatUint(s.sequence, 10)
}

// noncePrefix returns the prefix of all nonces of this incarnation.
func (s *Service) noncePrefix() string {
	self := s.Members.Machine.Self
	return fmt.Sprintf("%s/%d/", self.ID, self.Incarnation)
}

// readFromStore reads the record from the store.
func (s *Service) readFromStore(ctx context.Context, c *cellState) {
	c.storeBusy = true
	s.Spawn(func() {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		object, err := s.Store.Get(ctx, KeyPrefix+string(c.Cell))
		s.Members.Lock.Lock()
		defer s.Members.Lock.Unlock()
		s.handleStoreRead(c, object, err)
	})
}

// handleStoreRead processes the result of a read from the store. The caller
// holds Lock.
func (s *Service) handleStoreRead(c *cellState, object persimmoncart.Object, err error) {
	now := s.Timer.Now()
	c.storeBusy = false
	c.nextRead = now.Add(recordReadPeriod - s.jitter(recordReadPeriod/4))
	var missing *persimmoncart.NotFoundError
	switch {
	case errors.As(err, &missing):
		c.missing = true
		return
	case err != nil:
		c.nextRead = now.Add(s.jitter(maxStoreBackoff))
		c.storeDownUntil = now.Add(maxStoreBackoff)
		return
	}
	r, err := decode(object)
	if err != nil {
		s.Logger.Error().Err(err).Msg("cell record unreadable")
		return
	}
	s.receiveRecord(c, &r, strings.HasPrefix(r.Nonce, s.noncePrefix()))
}

// writeToStore proposes a record to the store. After a lost response it reads
// the record back: the record in the store is valid, whoever wrote it.
func (s *Service) writeToStore(ctx context.Context, c *cellState, r Record, version persimmoncart.Version) {
	value, err := r.encode()
	if err != nil {
		s.Logger.Error().Err(err).Msg("cell record not written")
		return
	}
	c.storeBusy = true
	key := KeyPrefix + string(c.Cell)
	s.Spawn(func() {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		var err error
		if version == 0 {
			r.Version, err = s.Store.Create(ctx, key, value)
		} else {
			r.Version, err = s.Store.Update(ctx, key, value, version)
		}
		s.Members.Lock.Lock()
		defer s.Members.Lock.Unlock()
		c.storeBusy = false
		now := s.Timer.Now()
		var unavailable *persimmoncart.UnavailableError
		switch {
		case err == nil:
			c.outdatedSince = time.Time{}
			s.receiveRecord(c, &r, true)
		case errors.As(err, &unavailable):
			c.nextProposal = now.Add(s.jitter(maxStoreBackoff))
		default: // conflict, or the response was lost
			c.outdatedSince, c.nextRead = time.Time{}, now
		}
	})
}
