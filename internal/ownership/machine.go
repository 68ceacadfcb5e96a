package ownership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// Durations of the protocol; see docs/design.md section 8.2. Each is measured on
// the monotonic clock of one instance; clocks are never compared.
const (
	AckRefreshAge       = 1500 * time.Millisecond // age at which an acknowledgement is renewed; leaves time for a second probe
	AckTTL              = 2 * time.Second         // validity of an acknowledgement, counted from the send time of its probe
	ClockMargin         = 500 * time.Millisecond  // tolerates clock rates that differ by a quarter
	StaticShareDelay    = AckTTL + ClockMargin    // time without a confirmed owner after which static shares are used
	priorProbeDelay     = 400 * time.Millisecond  // age of an epoch before members of earlier ones are probed; before that, they state it in their own probes
	probeTimeout        = 150 * time.Millisecond  // time after which a probe without a reply counts as lost
	silentProbeInterval = time.Second             // time between probes to a silent member
)

// A Machine is the ownership protocol of one instance for one cell. The
// instance owns its replicas of an epoch while a quorum of the epoch's members
// has acknowledged the epoch to it within AckTTL. A new epoch takes effect once
// all earlier epochs are closed and their acknowledgements have expired.
//
// A Machine is not safe for concurrent use.
type Machine struct {
	Cell persimmoncart.DataCentre
	Dead func(persimmoncart.Tag) bool // reports whether an incarnation is proven to have ended
	Self persimmoncart.Tag            // this instance

	ackedEpochs      map[persimmoncart.Tag]uint64               // highest epoch that each member has acknowledged
	acks             map[uint64]map[persimmoncart.Tag]time.Time // by epoch and member: when the newest acknowledged probe was sent
	assigned         []persimmoncart.EndpointID                 // replicas that the newest record assigns to this instance, sorted
	closed           map[uint64]time.Time                       // when each closed earlier epoch was found to be closed
	dead             map[persimmoncart.Tag]bool                 // incarnations proven to have ended
	effective        bool                                       // the newest epoch is in effect at this instance
	probed           map[persimmoncart.Tag]time.Time            // when each member was last probed
	receivedAt       time.Time                                  // when the newest record was received
	record           *Record                                    // newest record, or nil
	retained         map[persimmoncart.EndpointID]uint64        // replicas owned since an earlier epoch, with the first such epoch
	retainedUntil    time.Time                                  // end of the ownership of the retained replicas
	unconfirmedSince time.Time                                  // zero while ownership is confirmed or this instance is no member
	validUntil       time.Time                                  // quorumAckExpiry of the newest record
}

// Epoch returns the newest epoch that this instance has acknowledged; zero
// means none.
func (m *Machine) Epoch() uint64 {
	if m.record == nil {
		return 0
	}
	return m.record.Epoch
}

// Record returns the newest record, or nil. The caller must not change it.
func (m *Machine) Record() *Record { return m.record }

// SetIncarnation sets the tag of this instance. A new incarnation owns nothing
// at first: other instances may have declared the old one dead.
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

// ReceiveRecord stores a record that is newer than the newest one so far, and
// reports whether it is. From then on this instance acknowledges no earlier
// epoch.
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
	for e, closedAt := range m.closed {
		if epochs[e] {
			closed[e] = closedAt
		}
	}
	m.closed = closed
	m.validUntil = m.quorumAckExpiry(r)
	maps.DeleteFunc(m.ackedEpochs, func(t persimmoncart.Tag, _ uint64) bool { return !m.inAnyEpoch(t) })
	maps.DeleteFunc(m.dead, func(t persimmoncart.Tag, _ bool) bool { return !m.inAnyEpoch(t) })
	m.Advance(now)
	return true
}

// retainOwned keeps the ownership of those replicas that are assigned to this
// instance in the new epoch and in every epoch in between in which they may
// still be owned.
func (m *Machine) retainOwned(now time.Time, next *Record) {
	kept := map[persimmoncart.EndpointID]uint64{}
	if m.record != nil {
		for _, id := range m.record.Replicas {
			if m.Owns(now, id) {
				first, continued := m.retained[id]
				if !continued {
					first = m.record.Epoch
				}
				kept[id] = first
			}
		}
		if m.effective {
			m.retainedUntil = m.validUntil
		}
		// This instance acknowledges the old epoch to itself only until now.
		if end := now.Add(AckTTL); m.retainedUntil.After(end) {
			m.retainedUntil = end
		}
	}
	for id := range kept {
		if !m.ownsSince(next, id, m.record.Epoch) {
			delete(kept, id)
		}
	}
	m.retained = kept
}

// ownsSince reports whether this instance owns id in next and in all its
// earlier epochs since from, which must be one of them.
func (m *Machine) ownsSince(next *Record, id persimmoncart.EndpointID, from uint64) bool {
	if owner, _ := next.Owner(id); owner != m.Self.Instance || !next.contains(m.Self) {
		return false
	}
	found := false
	for i := range next.Prior {
		p := &next.Prior[i]
		if p.Epoch < from {
			continue
		}
		found = found || p.Epoch == from
		if owner, _ := p.Owner(id); owner != m.Self.Instance || !p.contains(m.Self) {
			return false
		}
	}
	return found
}

// ReceiveAck records that a member has acknowledged epoch. Sent is the local
// time at which the answered probe was sent, or zero if the member stated its
// epoch in a message of its own.
func (m *Machine) ReceiveAck(now time.Time, from persimmoncart.Tag, epoch uint64, sent time.Time) {
	if m.ackedEpochs == nil {
		m.ackedEpochs = map[persimmoncart.Tag]uint64{}
	}
	if m.record != nil && !m.inAnyEpoch(from) {
		return // limits the tables to the members of the epochs in the record
	}
	m.ackedEpochs[from] = max(m.ackedEpochs[from], epoch)
	if !sent.IsZero() && m.record != nil {
		m.Advance(now)
		if m.acks == nil {
			m.acks = map[uint64]map[persimmoncart.Tag]time.Time{}
		}
		if m.acks[epoch] == nil && (epoch == m.record.Epoch || m.priorEpoch(epoch) != nil) {
			m.acks[epoch] = map[persimmoncart.Tag]time.Time{}
		}
		if times := m.acks[epoch]; times != nil && sent.After(times[from]) {
			times[from] = sent
		}
		m.validUntil = m.quorumAckExpiry(m.record)
	}
	m.Advance(now)
}

// inAnyEpoch reports whether tag is a member of the newest epoch or of an
// earlier one in its record.
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

// priorEpoch returns the given earlier epoch in the newest record, or nil.
func (m *Machine) priorEpoch(epoch uint64) *Record {
	for i := range m.record.Prior {
		if m.record.Prior[i].Epoch == epoch {
			return &m.record.Prior[i]
		}
	}
	return nil
}

// Advance brings the state up to date with now: it ends expired ownerships,
// records which earlier epochs have closed and puts the newest one into effect.
func (m *Machine) Advance(now time.Time) {
	if m.record == nil {
		return
	}
	m.extendRetained(now)
	priorEnded := true
	for i := range m.record.Prior {
		p := &m.record.Prior[i]
		if m.closed[p.Epoch].IsZero() && m.isClosed(p) {
			if m.closed == nil {
				m.closed = map[uint64]time.Time{}
			}
			m.closed[p.Epoch] = now
		}
		closedAt := m.closed[p.Epoch]
		priorEnded = priorEnded && !closedAt.IsZero() && now.Sub(closedAt) >= AckTTL+ClockMargin
	}
	if !m.effective && priorEnded && m.record.contains(m.Self) && now.Before(m.validUntil) {
		m.effective = true
		m.retained = nil
	}
	if m.confirmed(now) || !m.record.contains(m.Self) {
		m.unconfirmedSince = time.Time{}
	} else if m.unconfirmedSince.IsZero() {
		m.unconfirmedSince = now
	}
}

// extendRetained extends the ownership of the retained replicas if it has not
// expired. Once expired, it starts again only when the epoch takes effect.
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
	validUntil := m.validUntil
	for i := range m.record.Prior {
		if p := &m.record.Prior[i]; p.Epoch >= first {
			validUntil = later(validUntil, m.quorumAckExpiry(p))
		}
	}
	m.retainedUntil = later(m.retainedUntil, validUntil)
}

// isClosed reports whether no quorum of an earlier epoch can acknowledge it any
// more, since too many members have acknowledged a later one or are proven
// dead.
func (m *Machine) isClosed(p *Record) bool {
	return !quorum(p.Members, func(t persimmoncart.Tag) bool {
		if t == m.Self || m.ackedEpochs[t] > p.Epoch || m.isDead(t) {
			return false
		}
		return true
	})
}

// isDead reports whether an incarnation is proven dead. It stores the proof,
// which membership keeps only for a while.
func (m *Machine) isDead(t persimmoncart.Tag) bool {
	if !m.dead[t] && m.Dead(t) {
		if m.dead == nil {
			m.dead = map[persimmoncart.Tag]bool{}
		}
		m.dead[t] = true
	}
	return m.dead[t]
}

// quorumAckExpiry returns the time until which a quorum's acknowledgements of r
// to this instance are valid; it is zero if no quorum has ever acknowledged r.
func (m *Machine) quorumAckExpiry(r *Record) time.Time {
	if !r.contains(m.Self) {
		return time.Time{}
	}
	times := make([]time.Time, 0, len(r.Members))
	acks := m.acks[r.Epoch]
	for _, t := range r.Members {
		if sent := acks[t]; t != m.Self && !sent.IsZero() {
			times = append(times, sent)
		}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	// This instance acknowledges r to itself while r is its newest record.
	newest := r == m.record
	for _, sent := range times {
		if quorum(r.Members, func(t persimmoncart.Tag) bool {
			return t == m.Self && newest || t != m.Self && !acks[t].Before(sent)
		}) {
			return sent.Add(AckTTL)
		}
	}
	if newest && quorum(r.Members, func(t persimmoncart.Tag) bool { return t == m.Self }) {
		return farFuture
	}
	return time.Time{}
}

// farFuture is the end of an ownership that needs no acknowledgement by another
// member.
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

// confirmed reports whether the newest epoch is in effect at this instance and
// its acknowledgements are valid.
func (m *Machine) confirmed(now time.Time) bool {
	return m.effective && now.Before(m.validUntil)
}

// StaticShareCount returns the number of members among which the slots of a
// replica without a confirmed owner are divided; zero means that this instance
// has no static share of it. Down reports whether an instance is silent or
// dead.
func (m *Machine) StaticShareCount(now time.Time, id persimmoncart.EndpointID, down func(persimmoncart.InstanceID) bool) int {
	if m.record == nil || !m.record.contains(m.Self) || m.Owns(now, id) {
		return 0
	}
	owner, found := m.record.Owner(id)
	unconfirmed := !m.unconfirmedSince.IsZero() && now.Sub(m.unconfirmedSince) > StaticShareDelay
	if found && !unconfirmed && !down(owner) {
		return 0
	}
	return len(m.record.Members)
}

// MembersToProbe returns the members to probe now, so that a quorum's
// acknowledgements stay valid and earlier epochs close. Silent members of the
// newest epoch come last.
func (m *Machine) MembersToProbe(now time.Time, silent func(persimmoncart.InstanceID) bool) []persimmoncart.Tag {
	if m.record == nil {
		return nil
	}
	m.Advance(now)
	if m.probed == nil {
		m.probed = map[persimmoncart.Tag]time.Time{}
	}
	var members []persimmoncart.Tag
	if m.record.contains(m.Self) {
		members = m.currentMembersToProbe(now, silent)
	}
	if !m.effective && now.Sub(m.receivedAt) >= priorProbeDelay {
		members = append(members, m.priorMembersToProbe(now)...)
	}
	for _, t := range members {
		m.probed[t] = now
	}
	maps.DeleteFunc(m.probed, func(_ persimmoncart.Tag, at time.Time) bool { return now.Sub(at) > AckTTL })
	return members
}

// currentMembersToProbe returns the members of the newest epoch to probe.
func (m *Machine) currentMembersToProbe(now time.Time, silent func(persimmoncart.InstanceID) bool) []persimmoncart.Tag {
	missing := len(m.record.Members)/2 + 1 - 1
	if len(m.record.Members)%2 == 0 && m.record.Members[0] == m.Self {
		missing--
	}
	acks := m.acks[m.record.Epoch]
	var stale []persimmoncart.Tag
	for _, t := range m.record.Members {
		if t == m.Self || m.isDead(t) {
			continue
		}
		if now.Sub(acks[t]) < AckRefreshAge || now.Sub(m.probed[t]) < probeTimeout {
			missing--
			continue
		}
		if silent(t.Instance) && now.Sub(m.probed[t]) < silentProbeInterval {
			continue
		}
		stale = append(stale, t)
	}
	if missing <= 0 {
		return nil
	}
	// Each instance first probes the members that follow it in the order of
	// identifiers, so that all are probed by equally many.
	self, _ := slices.BinarySearchFunc(m.record.Members, m.Self, compareTags)
	order := func(t persimmoncart.Tag) int {
		i, _ := slices.BinarySearchFunc(m.record.Members, t, compareTags)
		w := (i - self + len(m.record.Members)) % len(m.record.Members)
		if silent(t.Instance) || now.Sub(acks[t]) > AckTTL && !m.probed[t].IsZero() {
			w += len(m.record.Members) // has not replied lately
		}
		return w
	}
	slices.SortFunc(stale, func(a, b persimmoncart.Tag) int { return cmp.Compare(order(a), order(b)) })
	return stale[:min(missing, len(stale))]
}

// priorMembersToProbe returns the members that keep an earlier epoch open,
// since they have not acknowledged a later one. The newest epoch takes effect
// only once all earlier ones are closed.
func (m *Machine) priorMembersToProbe(now time.Time) []persimmoncart.Tag {
	var members []persimmoncart.Tag
	for i := range m.record.Prior {
		p := &m.record.Prior[i]
		if !m.closed[p.Epoch].IsZero() {
			continue
		}
		for _, t := range p.Members {
			if t != m.Self && m.ackedEpochs[t] <= p.Epoch && !m.isDead(t) && now.Sub(m.probed[t]) >= probeTimeout && !slices.Contains(members, t) {
				members = append(members, t)
			}
		}
	}
	return members
}

// NextRecord returns the record that follows the newest one, with the given
// members and replicas. It returns false while replicas may still be owned in
// more than maxPriorEpochs earlier epochs.
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
		if closedAt := m.closed[p.Epoch]; closedAt.IsZero() || now.Sub(closedAt) < AckTTL+ClockMargin {
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
