// Package membership keeps each instance's view of the other instances.
//
// Machine is the protocol of one instance as pure code: time and messages go
// in, calls come out. Service runs it on a timer service and a transport.
package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/persimmoncart/persimmoncart"
	memberv1 "github.com/persimmoncart/persimmoncart/proto/member/v1"
)

// Bounds and periods; see docs/design.md section 8.3.
const (
	CellSummaryPeriod        = 2 * time.Second  // between summaries to a cell of the region
	CrossRegionSummaryPeriod = 10 * time.Second // between summaries to another region
	DefaultListLag           = 30 * time.Second // of the instance list
	IndirectProbeTimeout     = 900 * time.Millisecond
	MaxCellMembers           = 512 // members of one cell, dead ones included
	MaxCells                 = 256 // other cells
	ProbePeriod              = time.Second
	ProbeTimeout             = 300 * time.Millisecond // lower bound; at least three round trips
	TombstonePeriod          = 2 * time.Minute        // a dead entry is kept and spread
	gatewayCount             = 2                      // gateways of a cell
	indirectProbeCount       = 2                      // instances asked for an indirect probe
)

// A Call is a request that the machine wants sent.
type Call struct {
	Instance       persimmoncart.Instance
	Request        proto.Message
	Sent           time.Time
	Timeout        time.Duration
	indirectTarget persimmoncart.Instance // target of an indirect probe
}

// An Extension lets another subsystem send state with probes and summaries. Its
// methods run under the lock of the Service.
type Extension interface {
	// Fill adds the subsystem's state to an outgoing message. Full is false for
	// a probe that only serves to refresh acknowledgements.
	Fill(to persimmoncart.Instance, full bool, p *memberv1.Piggyback)
	// Receive reads a message. Sent is the local time at which the request left
	// when p came with its reply, and zero when p came with a request.
	Receive(from persimmoncart.Instance, p *memberv1.Piggyback, sent time.Time)
}

// Stats counts what the machine saw.
type Stats struct {
	Deaths      int // instances declared dead here, by first-hand evidence
	Dropped     int // entries refused because a table was full
	FalseDeaths int // times this instance was declared dead while running
	Probes      int // probes sent
	Suspicions  int // probes that made a peer suspect
}

// A Machine is the membership protocol of one instance. It is not safe for
// concurrent use.
type Machine struct {
	AllowCells       func() bool // whether answers to probes may carry other cells; nil is always
	AllowCrossRegion func() bool // whether summaries to other regions may be sent; nil is always
	Extensions       []Extension
	ListLag          time.Duration // of the instance list; zero is DefaultListLag
	Rand             *rand.Rand
	Self             persimmoncart.Instance
	Stats            Stats

	cachedCellHash  uint64 // over the entries of this cell; zero when stale
	cellChanges     uint64 // counts changes of other cells
	cells           map[persimmoncart.DataCentre]*cell
	memberChanges   uint64 // counts changes of this cell
	nextCrossRegion time.Time
	nextProbe       time.Time
	nextSummary     time.Time
	ownHash         uint64
	ownHistory      []*cell // earlier contents of this cell, whole and trimmed, newest last
	ownVersion      uint64
	peers           map[persimmoncart.InstanceID]*cellMember
	pendingCalls    []Call
	pendingChanges  []persimmoncart.Member
	probeOrder      []persimmoncart.InstanceID
	repairCursor    int
	sequence        uint64
	started         time.Time
	version         uint32
}

// A cellMember is a member of this instance's own cell.
type cellMember struct {
	entry
	changeNumber      uint64    // order of its last change here
	diedAt            time.Time // when it was declared dead
	firstSeen         time.Time
	lastHeard         time.Time     // last direct or indirect answer
	lastListed        time.Time     // last appearance in the instance list; zero if never
	pendingProbe      uint64        // sequence of the probe in flight
	refusedConnection bool          // this incarnation refused a connection from here
	rtt               time.Duration // smoothed
	sentChange        uint64        // the last change that an answer to it contained
}

// Tick does what is due: probes, summaries and the removal of old entries.
func (m *Machine) Tick(now time.Time) []Call {
	m.init(now)
	if !now.Before(m.nextProbe) {
		m.nextProbe = now.Add(ProbePeriod)
		m.removeTombstones(now)
		if p := m.nextPeer(); p != nil {
			m.sendProbe(now, p, true)
		}
	}
	m.sendDueSummaries(now)
	return m.takeCalls()
}

// init sets the fields that a literal leaves out.
func (m *Machine) init(now time.Time) {
	if m.peers != nil {
		return
	}
	m.peers = map[persimmoncart.InstanceID]*cellMember{}
	m.cells = map[persimmoncart.DataCentre]*cell{}
	if m.ListLag == 0 {
		m.ListLag = DefaultListLag
	}
	m.started = now
	m.nextProbe = now.Add(time.Duration(m.Rand.Int64N(int64(ProbePeriod))))
	m.nextSummary = now.Add(time.Duration(m.Rand.Int64N(int64(CellSummaryPeriod))))
	m.nextCrossRegion = now.Add(time.Duration(m.Rand.Int64N(int64(CrossRegionSummaryPeriod))))
}

// Leave announces that this instance is going to stop.
func (m *Machine) Leave(now time.Time) []Call {
	m.init(now)
	m.Self.Leaving = true
	m.version++
	m.cachedCellHash = 0
	m.probeAll(now)
	return m.takeCalls()
}

// ProbeNow sends a probe outside the round that compares no tables and only
// refreshes what the extensions carry. The instance may be in another cell.
func (m *Machine) ProbeNow(now time.Time, id persimmoncart.InstanceID) []Call {
	m.init(now)
	if p := m.peers[id]; p != nil {
		if !p.dead {
			m.sendProbe(now, p, false)
		}
		return m.takeCalls()
	}
	if e := m.lookup(id); e != nil && !e.dead {
		self := m.self()
		m.sequence++
		m.Stats.Probes++
		r := &memberv1.ProbeRequest{From: self.toProto(false), Piggyback: &memberv1.Piggyback{}, Sequence: m.sequence}
		for _, x := range m.Extensions {
			x.Fill(e.instance, false, r.Piggyback)
		}
		m.queueCall(now, e.instance, r, ProbeTimeout)
	}
	return m.takeCalls()
}

// lookup returns the entry of a known instance, or nil.
func (m *Machine) lookup(id persimmoncart.InstanceID) *entry {
	if p := m.peers[id]; p != nil {
		return &p.entry
	}
	for _, c := range m.cells {
		for i := range c.members {
			if c.members[i].instance.ID == id {
				return &c.members[i]
			}
		}
	}
	return nil
}

// TakeChanges returns and forgets the members whose state changed.
func (m *Machine) TakeChanges() []persimmoncart.Member {
	c := m.pendingChanges
	m.pendingChanges = nil
	return c
}

// View returns the known members with this instance, sorted by identifier. The
// dead ones stay for TombstonePeriod.
func (m *Machine) View() []persimmoncart.Member {
	v := make([]persimmoncart.Member, 0, len(m.peers)+1)
	e := m.self()
	v = append(v, e.member())
	for _, p := range m.peers {
		v = append(v, p.member())
	}
	for _, c := range m.cells {
		for i := range c.members {
			v = append(v, c.members[i].member())
		}
	}
	slices.SortFunc(v, func(a, b persimmoncart.Member) int {
		return strings.Compare(string(a.Instance.ID), string(b.Instance.ID))
	})
	return v
}

// Member returns one member.
func (m *Machine) Member(id persimmoncart.InstanceID) (persimmoncart.Member, bool) {
	if id == m.Self.ID {
		e := m.self()
		return e.member(), true
	}
	if e := m.lookup(id); e != nil {
		return e.member(), true
	}
	return persimmoncart.Member{}, false
}

// Dead reports whether an incarnation is proven to have ended: it is declared
// dead, or a later incarnation of the instance runs.
func (m *Machine) Dead(tag persimmoncart.Tag) bool {
	if tag.Instance == m.Self.ID {
		return tag.Incarnation < m.Self.Incarnation
	}
	e := m.lookup(tag.Instance)
	if e == nil {
		return false
	}
	if e.instance.Incarnation == tag.Incarnation {
		return e.dead
	}
	return e.instance.Incarnation > tag.Incarnation
}

// self returns this instance as an entry.
func (m *Machine) self() entry {
	return entry{instance: m.Self, version: m.version}
}

// takeCalls returns and forgets the calls to send.
func (m *Machine) takeCalls() []Call {
	out := m.pendingCalls
	m.pendingCalls = nil
	return out
}

// queueCall queues a request.
func (m *Machine) queueCall(now time.Time, to persimmoncart.Instance, request proto.Message, timeout time.Duration) {
	m.pendingCalls = append(m.pendingCalls, Call{Instance: to, Request: request, Sent: now, Timeout: timeout})
}

// nextPeer returns the next peer of the round; each round has a random order.
func (m *Machine) nextPeer() *cellMember {
	for range 2 {
		for len(m.probeOrder) > 0 {
			p := m.peers[m.probeOrder[0]]
			m.probeOrder = m.probeOrder[1:]
			if p != nil && !p.dead {
				return p
			}
		}
		for id := range m.peers {
			m.probeOrder = append(m.probeOrder, id)
		}
		slices.Sort(m.probeOrder) // the shuffle must not depend on map order
		m.Rand.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
	}
	return nil
}

// sendProbe queues a probe of p.
func (m *Machine) sendProbe(now time.Time, p *cellMember, full bool) {
	m.sequence++
	p.pendingProbe = m.sequence
	m.Stats.Probes++
	e := m.self()
	r := &memberv1.ProbeRequest{From: e.toProto(full), Piggyback: &memberv1.Piggyback{}, Sequence: m.sequence}
	if full {
		r.CellHash = m.cellHash()
		r.CellsHash = m.cellsHash()
		r.DataCentre = string(m.Self.DataCentre)
		r.Region = string(m.Self.Region)
	}
	if p.suspect { // lets it refute the suspicion
		r.Updates = append(r.Updates, p.toProto(true))
	}
	for _, x := range m.Extensions {
		x.Fill(p.instance, full, r.Piggyback)
	}
	m.queueCall(now, p.instance, r, max(ProbeTimeout, 3*p.rtt))
}

// probeAll sends the whole table to every peer of the cell, after a change that
// should not wait for the round.
func (m *Machine) probeAll(now time.Time, changed ...*cellMember) {
	for _, id := range m.peerIDs() {
		p := m.peers[id]
		if p.dead {
			continue
		}
		m.sendProbe(now, p, true)
		r := m.pendingCalls[len(m.pendingCalls)-1].Request.(*memberv1.ProbeRequest)
		for _, c := range changed {
			r.Updates = append(r.Updates, c.toProto(true))
		}
	}
}

// peerIDs returns the identifiers of the peers, sorted.
func (m *Machine) peerIDs() []persimmoncart.InstanceID {
	ids := make([]persimmoncart.InstanceID, 0, len(m.peers))
	for id := range m.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// cellHash returns a hash over the entries of the cell that are not dead.
func (m *Machine) cellHash() uint64 {
	if m.cachedCellHash != 0 {
		return m.cachedCellHash
	}
	e := m.self()
	h := e.hash()
	for _, p := range m.peers {
		if !p.dead {
			h ^= p.hash()
		}
	}
	m.cachedCellHash = max(h, 1)
	return m.cachedCellHash
}

// removeTombstones forgets dead entries after TombstonePeriod.
func (m *Machine) removeTombstones(now time.Time) {
	for id, p := range m.peers {
		if p.dead && now.Sub(p.diedAt) > TombstonePeriod {
			delete(m.peers, id)
		}
	}
}
