package ownership

import (
	"context"
	"fmt"
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
	cellRetention       = 30 * time.Second // a cell that this instance is no member of any more
	fetchTimeout        = 2 * time.Second  // for a record from a peer
	joinDelay           = 2 * time.Second  // collects instances and replicas that come together
	maxStoreBackoff     = 10 * time.Second // between attempts while the store is down, with jitter
	proposeDelay        = 200 * time.Millisecond
	rankDelay           = time.Second     // between the first proposer and the next
	recordReadPeriod    = 5 * time.Minute // the record is read again in case no peer told of it
	storeTimeout        = 2 * time.Second
	suspectRemovalDelay = 10 * time.Second // a suspect then leaves the next epoch
	takeoverDelay       = 15 * time.Second // longer than a new instance takes to learn the region
	// A second try starts at most AckRefreshAge and two ticks after the last
	// acknowledgement was asked for, which is within its term.
	tickPeriod = 200 * time.Millisecond
	viewPeriod = time.Second
)

// KeyPrefix starts the store keys of cell records.
const KeyPrefix = "cells/"

var _ membership.Extension = (*Service)(nil)

// A Service runs the ownership protocol of one instance: for its own cell, and
// for cells of the region that have no instances. Set the fields before Start.
type Service struct {
	Configuration persimmoncart.Configuration
	Log           zerolog.Logger
	Members       *membership.Service // shares its Lock
	Rand          *rand.Rand
	Spawn         func(func()) // runs calls that wait; nil starts a goroutine
	Store         persimmoncart.Store
	Timer         persimmoncart.Timer
	Transport     peer.Transport
	UsableChanged func([]persimmoncart.UsableReplica) // told under Lock what this instance may use; nil is nobody

	cells            map[persimmoncart.DataCentre]*cellState
	context          context.Context
	nextViewUpdate   time.Time                              // when the view is read again; a change reads it at once
	noInstancesSince map[persimmoncart.DataCentre]time.Time // since when a cell has no instances
	replicas         regionReplicas
	reported         map[persimmoncart.DataCentre]usableState
	sequence         uint64
	suspectSince     map[persimmoncart.Tag]time.Time // since when a member is suspect
	view             membershipView
}

// A cellState is the protocol for one cell with its calls in flight.
type cellState struct {
	Machine
	fetching       bool
	missing        bool      // the store has no record
	nextProposal   time.Time // no proposal before
	nextRead       time.Time // when the record is read from the store next
	notNamedEpoch  uint64    // epoch of the record at notNamedSince
	notNamedSince  time.Time // since when the record does not name this instance
	outdatedSince  time.Time // since when the record differs from what it should be
	storeBusy      bool      // a store call is in flight
	storeDownUntil time.Time // until then records are read from peers
}

// Start subscribes to the timer; the returned function ends it. It registers
// the Service with Members, which must not run yet.
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

// Owns reports whether this instance owns the replica now. The caller holds
// the Lock of Members, as for all methods below.
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

// Owner returns the owner of a replica by the newest epoch.
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

// StaticShareCount returns the number of members that share the slots of a replica
// without a confirmed owner; zero means that this instance must not use it so.
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

// down reports whether an owner has been silent for longer than its holding lasts.
func (s *Service) down(now time.Time, id persimmoncart.InstanceID) bool {
	m, known := s.Members.Machine.Member(id)
	if !known || m.State == persimmoncart.MemberDead {
		return true
	}
	since, silent := s.suspectSince[m.Instance.Tag()]
	return silent && now.Sub(since) > StaticShareDelay
}

// Fill implements membership.Extension. Epochs go to the members of the cell and
// to instances that a record names, so that whoever hears of another cell knows
// that its own acknowledgement counts there.
func (s *Service) Fill(to persimmoncart.Instance, _ bool, p *memberv1.Piggyback) {
	self := s.Members.Machine.Self
	for _, c := range s.cells {
		if c.record != nil && (c.Cell == self.DataCentre && to.DataCentre == c.Cell || c.recordIncludes(to.ID)) {
			e := &memberv1.Epoch{Epoch: c.record.Epoch}
			if c.Cell != self.DataCentre || to.DataCentre != c.Cell {
				e.Cell = string(c.Cell)
			}
			p.Epochs = append(p.Epochs, e)
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
			// A record names this instance, so its acknowledgement counts.
			c = s.ensureCell(name)
		}
		c.ReceiveAck(now, from.Tag(), e.GetEpoch(), sent)
		if e.GetEpoch() > c.Epoch() {
			s.requestRecord(c, from)
		}
	}
}

// handleRecordRequest answers a request for a record.
func (s *Service) handleRecordRequest(r *memberv1.RecordRequest) *memberv1.RecordReply {
	c := s.cells[persimmoncart.DataCentre(r.GetCell())]
	if c == nil || c.Epoch() <= r.GetAfter() {
		return &memberv1.RecordReply{}
	}
	return &memberv1.RecordReply{Record: c.record.Wire(r.GetReplicasHash())}
}

// requestRecord gets a newer record: from the store, which costs the peer no bytes, or
// from the peer while the store does not answer.
func (s *Service) requestRecord(c *cellState, from persimmoncart.Instance) {
	switch {
	case s.Timer.Now().Before(c.storeDownUntil):
		s.fetchRecord(c, from)
	case !c.storeBusy:
		s.readRecord(s.context, c)
	}
}

// fetchRecord reads a newer record from a peer.
func (s *Service) fetchRecord(c *cellState, from persimmoncart.Instance) {
	if c.fetching {
		return
	}
	c.fetching = true
	var known []persimmoncart.EndpointID
	if c.record != nil {
		known = c.record.Replicas
	}
	request := &memberv1.RecordRequest{After: c.Epoch(), Cell: string(c.Cell), ReplicasHash: replicasHash(known)}
	s.Transport.Call(from.Addr, request, fetchTimeout, func(reply proto.Message, err error) {
		s.Members.Lock.Lock()
		defer s.Members.Lock.Unlock()
		c.fetching = false
		if err != nil {
			return
		}
		if w := reply.(*memberv1.RecordReply).GetRecord(); w != nil {
			if r, complete := RecordFromWire(w, known); complete {
				s.receiveRecord(c, &r, false)
			}
		}
	})
}

// receiveRecord takes a record. Its writer tells everyone concerned, so that the old
// epoch closes without waiting for the round of probes.
func (s *Service) receiveRecord(c *cellState, r *Record, writer bool) {
	now := s.Timer.Now()
	if !c.ReceiveRecord(now, r) {
		return
	}
	c.missing = false
	s.Log.Info().Str("cell", string(c.Cell)).Uint64("epoch", r.Epoch).Int("members", len(r.Members)).Msg("epoch learned")
	if !writer {
		return
	}
	told := map[persimmoncart.InstanceID]bool{s.Members.Machine.Self.ID: true}
	tell := func(members []persimmoncart.Tag) {
		for _, t := range members {
			if !told[t.Instance] {
				told[t.Instance] = true
				s.Members.ProbeNow(t.Instance)
			}
		}
	}
	tell(r.Members)
	for i := range r.Prior {
		tell(r.Prior[i].Members)
	}
}

// ensureCell returns the state for a ensureCell and creates it when needed.
func (s *Service) ensureCell(name persimmoncart.DataCentre) *cellState {
	c := s.cells[name]
	if c == nil {
		c = &cellState{Machine: Machine{Cell: name, Dead: s.Members.Machine.Dead, Self: s.Members.Machine.Self.Tag()}}
		c.nextRead = s.Timer.Now().Add(s.jitter(viewPeriod))
		s.cells[name] = c
	}
	return c
}

// tick drives the protocol.
func (s *Service) tick(ctx context.Context, now time.Time) {
	check := !now.Before(s.nextViewUpdate)
	if check {
		s.nextViewUpdate = now.Add(viewPeriod)
		s.view = s.readMembership(now)
		s.takeOverCells(now, s.view)
	}
	asked := map[persimmoncart.InstanceID]bool{} // one probe carries the epochs of all cells
	for _, name := range s.cellNames() {
		c := s.cells[name]
		c.SetIncarnation(s.Members.Machine.Self.Tag())
		c.Advance(now)
		for _, t := range c.MembersToProbe(now, s.isSuspect) {
			if !asked[t.Instance] {
				asked[t.Instance] = true
				s.Members.ProbeNow(t.Instance)
			}
		}
		if !c.storeBusy && !now.Before(c.nextRead) {
			s.readRecord(ctx, c)
		}
		if check || !c.outdatedSince.IsZero() {
			s.propose(ctx, now, c, s.view)
		}
	}
	s.reportUsable(now)
}

// isSuspect reports whether a member is silent.
func (s *Service) isSuspect(id persimmoncart.InstanceID) bool {
	m, known := s.Members.Machine.Member(id)
	return known && m.State == persimmoncart.MemberSuspect
}

// cellNames returns the cells that this instance takes part in, sorted.
func (s *Service) cellNames() []persimmoncart.DataCentre {
	names := make([]persimmoncart.DataCentre, 0, len(s.cells))
	for name := range s.cells {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// jitter returns a random part of d, at least a tenth.
func (s *Service) jitter(d time.Duration) time.Duration {
	return d/10 + time.Duration(s.Rand.Int64N(int64(d)*9/10))
}

// nonce returns an identifier for one write.
func (s *Service) nonce() string {
	s.sequence++
	return s.noncePrefix() + strconv.FormatUint(s.sequence, 10)
}

// noncePrefix starts the identifiers of this incarnation's writes.
func (s *Service) noncePrefix() string {
	self := s.Members.Machine.Self
	return fmt.Sprintf("%s/%d/", self.ID, self.Incarnation)
}

// readRecord reads the record from the store.
func (s *Service) readRecord(ctx context.Context, c *cellState) {
	c.storeBusy = true
	s.Spawn(func() {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		object, err := s.Store.Get(ctx, KeyPrefix+string(c.Cell))
		s.Members.Lock.Lock()
		defer s.Members.Lock.Unlock()
		s.handleRead(c, object, err)
	})
}

// handleRead takes an answer of the store to a read. Lock is held.
func (s *Service) handleRead(c *cellState, object persimmoncart.Object, err error) {
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
		s.Log.Error().Err(err).Msg("cell record unreadable")
		return
	}
	s.receiveRecord(c, &r, strings.HasPrefix(r.Nonce, s.noncePrefix()))
}

// writeRecord proposes a record to the store. A lost answer is settled by reading
// back: the record in the store is the truth, whoever wrote it.
func (s *Service) writeRecord(ctx context.Context, c *cellState, r Record, version persimmoncart.Version) {
	value, err := r.encode()
	if err != nil {
		s.Log.Error().Err(err).Msg("cell record not written")
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
		default: // conflict, or the answer was lost
			c.outdatedSince, c.nextRead = time.Time{}, now
		}
	})
}
