package ownership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// Times of the protocol; see docs/design.md section 8.2. They hold on the
// monotonic clock of one instance each; no clocks are compared.
const (
	AckRefreshAge       = 1500 * time.Millisecond // age at which it is asked for again; leaves time for a second try
	AckTTL              = 2 * time.Second         // an acknowledgement counts from the time it was asked for
	ClockMargin         = 500 * time.Millisecond  // allows clocks to differ in rate by a quarter
	StaticShareDelay    = AckTTL + ClockMargin    // without an owner, until static shares are used
	priorProbeDelay     = 400 * time.Millisecond  // members state a new epoch with their own probes before that
	probeTimeout        = 150 * time.Millisecond  // a call without an answer counts as lost
	silentProbeInterval = time.Second             // between calls to a silent member
)

// A Machine is the protocol of one instance for one cell. It is not safe for
// concurrent use.
type Machine struct {
	Cell persimmoncart.DataCentre
	Dead func(persimmoncart.Tag) bool // proof that an incarnation has ended
	Self persimmoncart.Tag

	ackedEpochs      map[persimmoncart.Tag]uint64               // highest epoch acknowledged
	acks             map[uint64]map[persimmoncart.Tag]time.Time // by epoch: when the newest acknowledgement was asked for
	assigned         []persimmoncart.EndpointID                 // replicas of the newest record whose owner this instance is
	closed           map[uint64]time.Time                       // when an earlier epoch was seen to be closed
	dead             map[persimmoncart.Tag]bool
	effective        bool // the newest epoch is in effect here
	probed           map[persimmoncart.Tag]time.Time
	receivedAt       time.Time // when the newest record was received
	record           *Record
	retained         map[persimmoncart.EndpointID]uint64 // first epoch of a holding that continues
	retainedUntil    time.Time                           // holdings in retained are valid up to here
	unconfirmedSince time.Time                           // since when this instance has no confirmed holding
	validUntil       time.Time                           // quorumAckExpiry of the newest record
}

// Epoch returns the newest epoch that this instance has acknowledged; zero is none.
func (m *Machine) Epoch() uint64 {
	if m.record == nil {
		return 0
	}
	return m.record.Epoch
}

// Record returns the newest record, or nil. It must not be changed.
func (m *Machine) Record() *Record { return m.record }

// SetIncarnation sets the incarnation of this instance. A new one holds nothing: others
// may have declared the old one dead.
func (m *Machine) SetIncarnation(self persimmoncart.Tag) {
	if self == m.Self {
		return
	}
	m.Self = self
	m.retained, m.effective = nil, false
	if m.record != nil {
		m.validUntil = m.quorumAckExpiry(m.record)
	}
}

// ReceiveRecord takes a record. From here on this instance acknowledges no earlier
// epoch. It reports whether the record is newer than the one known.
func (m *Machine) ReceiveRecord(now time.Time, r *Record) bool {
	if r == nil || r.Cell != m.Cell || r.Epoch <= m.Epoch() {
		return false
	}
	m.Advance(now)
	m.retainOwned(now, r)
	if m.record == nil {
		m.unconfirmedSince = now
	}
	m.record = r
	m.effective = false
	m.receivedAt = now
	m.assigned = nil
	for _, id := range r.Replicas {
		if owner, _ := r.Owner(id); owner == m.Self.Instance {
			m.assigned = append(m.assigned, id)
		}
	}
	slices.Sort(m.assigned)
	epochs := map[uint64]bool{r.Epoch: true}
	for i := range r.Prior {
		epochs[r.Prior[i].Epoch] = true
	}
	for e := range m.acks {
		if !epochs[e] {
			delete(m.acks, e)
		}
	}
	closed := map[uint64]time.Time{}
	for e, at := range m.closed {
		if epochs[e] {
			closed[e] = at
		}
	}
	m.closed = closed
	m.validUntil = m.quorumAckExpiry(r)
	maps.DeleteFunc(m.ackedEpochs, func(t persimmoncart.Tag, _ uint64) bool { return !m.inAnyEpoch(t) })
	maps.DeleteFunc(m.dead, func(t persimmoncart.Tag, _ bool) bool { return !m.inAnyEpoch(t) })
	m.Advance(now)
	return true
}

// retainOwned keeps those holdings whose replica has this instance as its owner in
// the new epoch and in every epoch between that may still be held.
func (m *Machine) retainOwned(now time.Time, next *Record) {
	held := map[persimmoncart.EndpointID]uint64{}
	if m.record != nil {
		for _, id := range m.record.Replicas {
			if m.Owns(now, id) {
				first, continued := m.retained[id]
				if !continued {
					first = m.record.Epoch
				}
				held[id] = first
			}
		}
		if m.effective {
			m.retainedUntil = m.validUntil
		}
		// This instance acknowledges the old epoch only up to now.
		if end := now.Add(AckTTL); m.retainedUntil.After(end) {
			m.retainedUntil = end
		}
	}
	for id := range held {
		if !m.ownsSince(next, id, m.record.Epoch) {
			delete(held, id)
		}
	}
	m.retained = held
}

// ownsSince reports whether this instance owns id in next and in each of its
// earlier epochs from the given one on.
func (m *Machine) ownsSince(next *Record, id persimmoncart.EndpointID, from uint64) bool {
	if owner, _ := next.Owner(id); owner != m.Self.Instance || !next.contains(m.Self) {
		return false
	}
	known := false
	for i := range next.Prior {
		p := &next.Prior[i]
		if p.Epoch < from {
			continue
		}
		known = known || p.Epoch == from
		if owner, _ := p.Owner(id); owner != m.Self.Instance || !p.contains(m.Self) {
			return false
		}
	}
	return known
}

// ReceiveAck takes an acknowledgement of epoch by a member. Asked is the local time at
// which it was asked for, or zero if the member stated its epoch unasked.
func (m *Machine) ReceiveAck(now time.Time, from persimmoncart.Tag, epoch uint64, asked time.Time) {
	if m.ackedEpochs == nil {
		m.ackedEpochs = map[persimmoncart.Tag]uint64{}
	}
	if m.record != nil && !m.inAnyEpoch(from) {
		return // bounds the tables by the members of the epochs in the record
	}
	m.ackedEpochs[from] = max(m.ackedEpochs[from], epoch)
	if !asked.IsZero() && m.record != nil {
		m.Advance(now)
		if m.acks == nil {
			m.acks = map[uint64]map[persimmoncart.Tag]time.Time{}
		}
		if m.acks[epoch] == nil && (epoch == m.record.Epoch || m.priorEpoch(epoch) != nil) {
			m.acks[epoch] = map[persimmoncart.Tag]time.Time{}
		}
		if a := m.acks[epoch]; a != nil && asked.After(a[from]) {
			a[from] = asked
		}
		m.validUntil = m.quorumAckExpiry(m.record)
	}
	m.Advance(now)
}

// inAnyEpoch reports whether tag is a member of the newest or an earlier epoch.
func (m *Machine) inAnyEpoch(tag persimmoncart.Tag) bool {
	if m.record.contains(tag) {
		return true
	}
	for i := range m.record.Prior {
		if m.record.Prior[i].contains(tag) {
			return true
		}
	}
	return false
}

// priorEpoch returns an earlier epoch of the newest record, or nil.
func (m *Machine) priorEpoch(epoch uint64) *Record {
	for i := range m.record.Prior {
		if m.record.Prior[i].Epoch == epoch {
			return &m.record.Prior[i]
		}
	}
	return nil
}

// Advance moves the protocol to now: it ends holdings that have lapsed, closes
// earlier epochs and puts the newest one into effect.
func (m *Machine) Advance(now time.Time) {
	if m.record == nil {
		return
	}
	m.extendRetained(now)
	settled := true
	for i := range m.record.Prior {
		p := &m.record.Prior[i]
		if m.closed[p.Epoch].IsZero() && m.isClosed(p) {
			if m.closed == nil {
				m.closed = map[uint64]time.Time{}
			}
			m.closed[p.Epoch] = now
		}
		at := m.closed[p.Epoch]
		settled = settled && !at.IsZero() && now.Sub(at) >= AckTTL+ClockMargin
	}
	if !m.effective && settled && m.record.contains(m.Self) && now.Before(m.validUntil) {
		m.effective = true
		m.retained = nil
	}
	if m.confirmed(now) || !m.record.contains(m.Self) {
		m.unconfirmedSince = time.Time{}
	} else if m.unconfirmedSince.IsZero() {
		m.unconfirmedSince = now
	}
}

// extendRetained moves the end of continued holdings while they are still valid; once
// they have lapsed they start again only when the epoch is in effect.
func (m *Machine) extendRetained(now time.Time) {
	if len(m.retained) == 0 {
		return
	}
	if !now.Before(m.retainedUntil) {
		m.retained = nil
		return
	}
	first := m.record.Epoch
	for _, e := range m.retained {
		first = min(first, e)
	}
	until := m.validUntil
	for i := range m.record.Prior {
		if p := &m.record.Prior[i]; p.Epoch >= first {
			until = later(until, m.quorumAckExpiry(p))
		}
	}
	m.retainedUntil = later(m.retainedUntil, until)
}

// isClosed reports whether no quorum of an earlier epoch can acknowledge it any
// more: enough members have acknowledged a later one or are proven dead.
func (m *Machine) isClosed(p *Record) bool {
	return !quorum(p.Members, func(t persimmoncart.Tag) bool {
		if t == m.Self || m.ackedEpochs[t] > p.Epoch || m.isDead(t) {
			return false
		}
		return true
	})
}

// isDead remembers proofs of death, which membership keeps only for a while.
func (m *Machine) isDead(t persimmoncart.Tag) bool {
	if !m.dead[t] && m.Dead(t) {
		if m.dead == nil {
			m.dead = map[persimmoncart.Tag]bool{}
		}
		m.dead[t] = true
	}
	return m.dead[t]
}

// quorumAckExpiry returns the time up to which a quorum of r has acknowledged r to this
// instance; it is zero if no quorum ever has.
func (m *Machine) quorumAckExpiry(r *Record) time.Time {
	if !r.contains(m.Self) {
		return time.Time{}
	}
	times := make([]time.Time, 0, len(r.Members))
	acks := m.acks[r.Epoch]
	for _, t := range r.Members {
		if at := acks[t]; t != m.Self && !at.IsZero() {
			times = append(times, at)
		}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	// This instance acknowledges to itself as long as the record is its newest.
	self := r == m.record
	for _, at := range times {
		if quorum(r.Members, func(t persimmoncart.Tag) bool {
			return t == m.Self && self || t != m.Self && !acks[t].Before(at)
		}) {
			return at.Add(AckTTL)
		}
	}
	if self && quorum(r.Members, func(t persimmoncart.Tag) bool { return t == m.Self }) {
		return farFuture
	}
	return time.Time{}
}

// farFuture is the end of a holding that needs no other member.
var farFuture = time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)

// Owns reports whether this instance owns the replica at now.
func (m *Machine) Owns(now time.Time, id persimmoncart.EndpointID) bool {
	if m.record == nil {
		return false
	}
	if m.effective {
		owner, _ := m.record.Owner(id)
		return owner == m.Self.Instance && now.Before(m.validUntil)
	}
	_, continued := m.retained[id]
	return continued && now.Before(m.retainedUntil)
}

// Owned returns the replicas that this instance owns at now, sorted.
func (m *Machine) Owned(now time.Time) []persimmoncart.EndpointID {
	switch {
	case m.confirmed(now):
		return slices.Clone(m.assigned)
	case m.effective || !now.Before(m.retainedUntil):
		return nil
	default:
		return slices.Sorted(maps.Keys(m.retained))
	}
}

// confirmed reports whether the newest epoch is in effect here and acknowledged.
func (m *Machine) confirmed(now time.Time) bool {
	return m.effective && now.Before(m.validUntil)
}

// StaticShareCount returns the number of members among which the slots of a replica
// without a confirmed owner are divided; zero means that it has an owner. Down
// reports whether the instance is silent or dead.
func (m *Machine) StaticShareCount(now time.Time, id persimmoncart.EndpointID, down func(persimmoncart.InstanceID) bool) int {
	if m.record == nil || !m.record.contains(m.Self) || m.Owns(now, id) {
		return 0
	}
	owner, found := m.record.Owner(id)
	lost := !m.unconfirmedSince.IsZero() && now.Sub(m.unconfirmedSince) > StaticShareDelay
	if found && !lost && !down(owner) {
		return 0
	}
	return len(m.record.Members)
}

// MembersToProbe returns the members that should be asked for an acknowledgement now, so
// that a quorum stays fresh. Silent members come last.
func (m *Machine) MembersToProbe(now time.Time, silent func(persimmoncart.InstanceID) bool) []persimmoncart.Tag {
	if m.record == nil {
		return nil
	}
	m.Advance(now)
	if m.probed == nil {
		m.probed = map[persimmoncart.Tag]time.Time{}
	}
	var ask []persimmoncart.Tag
	if m.record.contains(m.Self) {
		ask = m.currentMembersToProbe(now, silent)
	}
	if !m.effective && now.Sub(m.receivedAt) >= priorProbeDelay {
		ask = append(ask, m.priorMembersToProbe(now)...)
	}
	for _, t := range ask {
		m.probed[t] = now
	}
	maps.DeleteFunc(m.probed, func(_ persimmoncart.Tag, at time.Time) bool { return now.Sub(at) > AckTTL })
	return ask
}

// currentMembersToProbe returns members of the newest epoch to ask.
func (m *Machine) currentMembersToProbe(now time.Time, silent func(persimmoncart.InstanceID) bool) []persimmoncart.Tag {
	need := len(m.record.Members)/2 + 1 - 1
	if len(m.record.Members)%2 == 0 && m.record.Members[0] == m.Self {
		need--
	}
	acks := m.acks[m.record.Epoch]
	var stale []persimmoncart.Tag
	for _, t := range m.record.Members {
		if t == m.Self || m.isDead(t) {
			continue
		}
		if now.Sub(acks[t]) < AckRefreshAge || now.Sub(m.probed[t]) < probeTimeout {
			need--
			continue
		}
		if silent(t.Instance) && now.Sub(m.probed[t]) < silentProbeInterval {
			continue
		}
		stale = append(stale, t)
	}
	if need <= 0 {
		return nil
	}
	// The members that follow in the order of identifiers are asked first, so
	// that each is asked by equally many.
	self, _ := slices.BinarySearchFunc(m.record.Members, m.Self, compareTags)
	weight := func(t persimmoncart.Tag) int {
		i, _ := slices.BinarySearchFunc(m.record.Members, t, compareTags)
		w := (i - self + len(m.record.Members)) % len(m.record.Members)
		if silent(t.Instance) || now.Sub(acks[t]) > AckTTL && !m.probed[t].IsZero() {
			w += len(m.record.Members) // did not answer lately
		}
		return w
	}
	slices.SortFunc(stale, func(a, b persimmoncart.Tag) int { return cmp.Compare(weight(a), weight(b)) })
	return stale[:min(need, len(stale))]
}

// priorMembersToProbe returns the members of epochs not yet closed that have not stated
// a later one, which the new epoch waits for.
func (m *Machine) priorMembersToProbe(now time.Time) []persimmoncart.Tag {
	var ask []persimmoncart.Tag
	for i := range m.record.Prior {
		p := &m.record.Prior[i]
		if !m.closed[p.Epoch].IsZero() {
			continue
		}
		for _, t := range p.Members {
			if t != m.Self && m.ackedEpochs[t] <= p.Epoch && !m.isDead(t) && now.Sub(m.probed[t]) >= probeTimeout && !slices.Contains(ask, t) {
				ask = append(ask, t)
			}
		}
	}
	return ask
}

// NextRecord returns the record that follows the newest one, with the given members
// and replicas; it is false while too many earlier epochs may still be held.
func (m *Machine) NextRecord(now time.Time, members []persimmoncart.Tag, replicas []persimmoncart.EndpointID, nonce string) (Record, bool) {
	m.Advance(now)
	next := Record{
		Cell:     m.Cell,
		Epoch:    m.Epoch() + 1,
		Members:  slices.SortedFunc(slices.Values(members), compareTags),
		Nonce:    nonce,
		Replicas: slices.Compact(slices.Sorted(slices.Values(replicas))),
	}
	if m.record == nil {
		return next, true
	}
	for i := range m.record.Prior {
		p := &m.record.Prior[i]
		if at := m.closed[p.Epoch]; at.IsZero() || now.Sub(at) < AckTTL+ClockMargin {
			next.Prior = append(next.Prior, *p)
		}
	}
	next.Prior = append(next.Prior, m.record.asPrior())
	return next, len(next.Prior) <= maxPriorEpochs
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
