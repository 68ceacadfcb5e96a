// Package membership maintains each instance's view of the other instances.
//
// The instances of one data centre form a cell. They probe each other and
// exchange their entries with the probes. Two instances of each cell are its
// gateways, which exchange summaries with other cells and regions. Probe replies
// carry the other cells to the rest of the cell.
//
// Machine is the state machine of one instance, without any I/O: its methods take
// the time and messages, and return the calls to send. Service runs it on a timer
// and a transport. Section 8.3 of docs/design.md describes the protocol.
package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/persimmoncart/persimmoncart"
	memberv1 "github.com/persimmoncart/persimmoncart/proto/member/v1"
)

const (
	// CellSummaryPeriod is the time between two summaries of a cell to another
	// cell of the region, and the timeout of a summary.
	CellSummaryPeriod = 2 * time.Second
	// CrossRegionSummaryPeriod is the time between two summaries of a cell to
	// another region.
	CrossRegionSummaryPeriod = 10 * time.Second
	// DefaultListLag is the longest delay with which the instance list shows new
	// and ended instances.
	DefaultListLag = 30 * time.Second
	// IndirectProbeTimeout bounds a request to probe an instance indirectly.
	IndirectProbeTimeout = 900 * time.Millisecond
	// MaxCellMembers bounds the members of one cell, dead ones included.
	MaxCellMembers = 512
	// MaxCells bounds the number of other cells.
	MaxCells = 256
	// ProbePeriod is the time between two probes of the probe round.
	ProbePeriod = time.Second
	// ProbeTimeout is the shortest timeout of a probe. A probe waits for at least
	// three round trips.
	ProbeTimeout = 300 * time.Millisecond
	// TombstonePeriod is the time for which a dead entry is kept and spread.
	TombstonePeriod = 2 * time.Minute

	gatewayCount       = 2 // gateways of a cell
	indirectProbeCount = 2 // instances that are asked to probe an instance indirectly
)

// A Call is a request that the caller of the Machine has to send.
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
	// summaries and for probes that compare no tables.
	Fill(to persimmoncart.Instance, full bool, p *memberv1.Piggyback)
	// Receive reads the subsystem's state from an incoming message. If p came with
	// a reply, sent is the local time at which the request was sent; if p came with
	// a request, sent is zero.
	Receive(from persimmoncart.Instance, p *memberv1.Piggyback, sent time.Time)
}

// Stats counts events of the protocol since the start.
type Stats struct {
	Deaths      int // instances that this instance itself declared dead
	Dropped     int // entries and cells dropped because a table was full
	FalseDeaths int // times this instance was declared dead while running
	Probes      int // probes sent
	Suspicions  int // probes that made a peer suspect
}

// A Machine is the state machine of the membership protocol on one instance. It
// is not safe for concurrent use.
type Machine struct {
	AllowCells       func() bool // whether probe replies may carry other cells, and summaries be sent at the full rate; nil is always
	AllowCrossRegion func() bool // whether summaries to other regions may be sent; nil is always
	Extensions       []Extension
	ListLag          time.Duration // longest delay of the instance list; zero is DefaultListLag
	Rand             *rand.Rand
	Self             persimmoncart.Instance
	Stats            Stats

	cachedCellHash  uint64 // of the live entries of this cell; zero when out of date
	cellChanges     uint64 // counts changes of other cells
	cells           map[persimmoncart.DataCentre]*cell
	memberChanges   uint64 // counts changes of this cell
	nextCrossRegion time.Time
	nextProbe       time.Time
	nextSummary     time.Time
	ownHash         uint64
	ownHistory      []*cell // earlier contents of this cell, whole and reduced to gateways, newest last
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
	changeNumber      uint64    // Machine.memberChanges at its last change
	diedAt            time.Time // when it was declared dead
	firstSeen         time.Time
	lastHeard         time.Time     // last message from the instance itself, also through another instance
	lastListed        time.Time     // last appearance in the instance list; zero if never
	lastProbe         uint64        // sequence number of the last probe sent to it
	refusedConnection bool          // this incarnation refused a connection from this instance
	rtt               time.Duration // smoothed round-trip time
	sentChange        uint64        // latest change that a reply to it contained
}

// Tick sends the probes and summaries that are due and removes old entries.
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

// init sets defaults and the random first send times on the first call.
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

// Leave announces to the cell that this instance is going to stop.
func (m *Machine) Leave(now time.Time) []Call {
	m.init(now)
	m.Self.Leaving = true
	m.version++
	m.cachedCellHash = 0
	m.probeAll(now)
	return m.takeCalls()
}

// ProbeNow sends a probe outside the probe round. The probe compares no tables;
// it only exchanges the state of the extensions. The instance may be in another
// cell.
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

// TakeChanges returns the members whose state changed since the last call.
func (m *Machine) TakeChanges() []persimmoncart.Member {
	c := m.pendingChanges
	m.pendingChanges = nil
	return c
}

// View returns all known members and this instance, sorted by identifier. Dead
// members stay for TombstonePeriod.
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

// Member returns one member, and false if it is unknown.
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

// Dead reports whether an incarnation has ended: it is declared dead, or a later
// incarnation of the instance is known.
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

// takeCalls returns and clears the queued calls.
func (m *Machine) takeCalls() []Call {
	out := m.pendingCalls
	m.pendingCalls = nil
	return out
}

// queueCall queues a request.
func (m *Machine) queueCall(now time.Time, to persimmoncart.Instance, request proto.Message, timeout time.Duration) {
	m.pendingCalls = append(m.pendingCalls, Call{Instance: to, Request: request, Sent: now, Timeout: timeout})
}

// nextPeer returns the next peer of the probe round, or nil if all peers are
// dead. Each round has a random order.
func (m *Machine) nextPeer() *cellMember {
	for range 2 {
		for len(m.probeOrder) > 0 {
			p := m.peers[m.probeOrder[0]]
			m.probeOrder = m.probeOrder[1:]
			if p != nil && !p.dead {
				return p
			}
		}
		m.probeOrder = m.peerIDs() // sorted, which makes the shuffle independent of the map order
		m.Rand.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
	}
	return nil
}

// sendProbe queues a probe of p. If full is true, the probe carries the hashes of
// the tables, and the reply the entries that differ.
func (m *Machine) sendProbe(now time.Time, p *cellMember, full bool) {
	m.sequence++
	p.lastProbe = m.sequence
	m.Stats.Probes++
	e := m.self()
	r := &memberv1.ProbeRequest{From: e.toProto(full), Piggyback: &memberv1.Piggyback{}, Sequence: m.sequence}
	if full {
		r.CellHash = m.cellHash()
		r.CellsHash = m.cellsHash()
		r.DataCentre = string(m.Self.DataCentre)
		r.Region = string(m.Self.Region)
	}
	if p.suspect { // lets p refute the suspicion
		r.Updates = append(r.Updates, p.toProto(true))
	}
	for _, x := range m.Extensions {
		x.Fill(p.instance, full, r.Piggyback)
	}
	m.queueCall(now, p.instance, r, max(ProbeTimeout, 3*p.rtt))
}

// probeAll sends a full probe with the changed entries to every peer of the cell,
// after a change that should not wait for the probe round.
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
	return slices.Sorted(maps.Keys(m.peers))
}

// cellHash returns a hash of the entries of the cell that are not dead. It is
// never zero.
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

// removeTombstones removes entries that have been dead for longer than
// TombstonePeriod.
func (m *Machine) removeTombstones(now time.Time) {
	for id, p := range m.peers {
		if p.dead && now.Sub(p.diedAt) > TombstonePeriod {
			delete(m.peers, id)
		}
	}
}
