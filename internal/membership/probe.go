package membership

import (
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/peer"
	memberv1 "github.com/persimmoncart/persimmoncart/proto/member/v1"
)

// HandleProbe merges the entries of a probe and returns the reply. Nothing is
// merged from a probe that names another data centre.
func (m *Machine) HandleProbe(now time.Time, r *memberv1.ProbeRequest) (*memberv1.ProbeReply, []Call) {
	m.init(now)
	if r.GetDataCentre() != "" && r.GetDataCentre() != string(m.Self.DataCentre) {
		return m.probeReply(r, persimmoncart.Instance{}), m.takeCalls()
	}
	from, valid := entryFromProto(r.GetFrom(), m.Self.DataCentre, m.Self.Region)
	if valid {
		m.merge(now, &from, true)
	}
	m.mergeEntries(now, r.GetUpdates())
	if valid {
		if e := m.lookup(from.instance.ID); e != nil && e.instance.Incarnation == from.instance.Incarnation {
			m.receive(e.instance, r.GetPiggyback(), time.Time{})
			from.instance = e.instance
		}
	}
	return m.probeReply(r, from.instance), m.takeCalls()
}

// probeReply returns the reply to a probe, with the entries and cells that differ
// if the probe compares tables.
func (m *Machine) probeReply(r *memberv1.ProbeRequest, from persimmoncart.Instance) *memberv1.ProbeReply {
	e := m.self()
	full := r.GetCellHash() != 0
	reply := &memberv1.ProbeReply{From: e.toProto(false), Piggyback: &memberv1.Piggyback{}, Sequence: r.GetSequence()}
	if full && r.GetCellHash() != m.cellHash() {
		reply.Updates = m.entryUpdates(m.peers[from.ID])
	} else if p := m.peers[from.ID]; p != nil && p.suspect { // lets the sender refute the suspicion
		reply.Updates = append(reply.Updates, p.toProto(true))
	}
	if full && r.GetCellsHash() != m.cellsHash() && (m.AllowCells == nil || m.AllowCells()) {
		reply.Cells = m.cellUpdates()
	}
	for _, x := range m.Extensions {
		x.Fill(from, full, reply.Piggyback)
	}
	return reply
}

// entryUpdates returns the entries that changed since the last reply to p with
// entries. If none did, it returns all: that reply was lost, or p differs for
// another reason.
func (m *Machine) entryUpdates(p *cellMember) []*memberv1.Entry {
	var all, changed []*memberv1.Entry
	for _, id := range m.peerIDs() {
		q := m.peers[id]
		w := q.toProto(true)
		all = append(all, w)
		if p != nil && q.changeNumber > p.sentChange {
			changed = append(changed, w)
		}
	}
	if p != nil {
		p.sentChange = m.memberChanges
	}
	if len(changed) == 0 {
		return all
	}
	return changed
}

// HandleResult processes the reply to a call, or its error.
func (m *Machine) HandleResult(now time.Time, c Call, reply proto.Message, err error) []Call {
	switch r := c.Request.(type) {
	case *memberv1.ProbeRequest:
		m.handleProbeResult(now, c, r, reply, err)
	case *memberv1.ProbeViaRequest:
		m.handleIndirectResult(now, c, reply, err)
	case *memberv1.SummaryRequest:
		m.handleSummaryResult(now, c, reply, err)
	}
	return m.takeCalls()
}

// handleProbeResult processes the reply to a probe, or the error of the call.
func (m *Machine) handleProbeResult(now time.Time, c Call, r *memberv1.ProbeRequest, reply proto.Message, err error) {
	p := m.peers[c.Instance.ID]
	if p == nil && err == nil {
		probeReply := reply.(*memberv1.ProbeReply)
		if probeReply.GetFrom().GetId() == string(c.Instance.ID) && probeReply.GetFrom().GetIncarnation() == uint64(c.Instance.Incarnation) {
			m.receive(c.Instance, probeReply.GetPiggyback(), c.Sent)
		}
	}
	if p == nil || p.dead || p.instance.Incarnation != c.Instance.Incarnation {
		return
	}
	if err != nil {
		p.refusedConnection = p.refusedConnection || isRefused(err)
		m.probeIndirectly(now, p)
		return
	}
	probeReply := reply.(*memberv1.ProbeReply)
	if probeReply.GetSequence() != r.GetSequence() {
		return
	}
	from, valid := entryFromProto(probeReply.GetFrom(), m.Self.DataCentre, m.Self.Region)
	if !valid {
		return
	}
	from.instance.Addr = c.Instance.Addr
	if from.instance.ID != p.instance.ID {
		// Another instance listens at the address, so p has ended.
		m.declareDead(now, p)
		return
	}
	sample := now.Sub(c.Sent)
	p.rtt += (sample - p.rtt) / 8
	m.merge(now, &from, true)
	m.mergeEntries(now, probeReply.GetUpdates())
	m.mergeCells(now, probeReply.GetCells())
	if p.instance.Incarnation == from.instance.Incarnation {
		m.receive(p.instance, probeReply.GetPiggyback(), c.Sent)
	}
}

// receive passes piggybacked state to the extensions.
func (m *Machine) receive(from persimmoncart.Instance, p *memberv1.Piggyback, sent time.Time) {
	if p == nil {
		return
	}
	for _, x := range m.Extensions {
		x.Receive(from, p, sent)
	}
}

// probeIndirectly asks random other instances of the cell to probe p. If the cell
// has too few, such as a cell of two, instances of the region's other cells are
// candidates too. Without any candidate p becomes suspect at once.
func (m *Machine) probeIndirectly(now time.Time, p *cellMember) {
	var candidates []persimmoncart.Instance
	for _, id := range m.peerIDs() {
		q := m.peers[id]
		if q != p && !q.dead && !q.suspect {
			candidates = append(candidates, q.instance)
		}
	}
	if len(candidates) < indirectProbeCount {
		candidates = append(candidates, m.regionInstances()...)
	}
	if len(candidates) == 0 {
		m.markSuspect(p)
		return
	}
	m.Rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for _, h := range candidates[:min(indirectProbeCount, len(candidates))] {
		m.queueCall(now, h, &memberv1.ProbeViaRequest{Addr: addrBytes(p.instance.Addr), Id: string(p.instance.ID)}, IndirectProbeTimeout)
		m.pendingCalls[len(m.pendingCalls)-1].indirectTarget = p.instance
	}
}

// handleIndirectResult processes the result of an indirect probe. It declares p
// dead only if another instance listens at its address, or if both this instance
// and the asked one had their connections refused.
func (m *Machine) handleIndirectResult(now time.Time, c Call, reply proto.Message, err error) {
	p := m.peers[c.indirectTarget.ID]
	if p == nil || p.dead || p.instance.Incarnation != c.indirectTarget.Incarnation || p.lastHeard.After(c.Sent) {
		return
	}
	result := memberv1.Result_SILENT
	if err == nil {
		result = reply.(*memberv1.ProbeViaReply).GetResult()
	}
	switch result {
	case memberv1.Result_ANSWERED:
		from, valid := entryFromProto(reply.(*memberv1.ProbeViaReply).GetFrom(), m.Self.DataCentre, m.Self.Region)
		if !valid {
			return
		}
		if from.instance.ID != p.instance.ID {
			m.declareDead(now, p)
			return
		}
		from.instance.Addr = p.instance.Addr
		m.merge(now, &from, true)
	case memberv1.Result_REFUSED:
		if p.refusedConnection {
			m.declareDead(now, p)
			return
		}
		m.markSuspect(p)
	default:
		m.markSuspect(p)
	}
}

// markSuspect makes p suspect unless it is dead.
func (m *Machine) markSuspect(p *cellMember) {
	if p.suspect || p.dead {
		return
	}
	p.suspect = true
	m.Stats.Suspicions++
	m.recordChange(p)
}

// declareDead records that p has ended, on evidence of this instance, and spreads
// it in the cell.
func (m *Machine) declareDead(now time.Time, p *cellMember) {
	if p.dead {
		return
	}
	m.Stats.Deaths++
	p.dead, p.diedAt = true, now
	m.recordChange(p)
	// The end of a leaving instance need not be spread at once: its replicas have
	// moved and its work is done.
	if !p.instance.Leaving {
		m.probeAll(now, p)
	}
}

// recordChange records that the state of p changed.
func (m *Machine) recordChange(p *cellMember) {
	m.cachedCellHash = 0
	m.memberChanges++
	p.changeNumber = m.memberChanges
	m.pendingChanges = append(m.pendingChanges, p.member())
}

// mergeEntries merges entries of this cell that a peer sent.
func (m *Machine) mergeEntries(now time.Time, entries []*memberv1.Entry) {
	for _, w := range entries {
		if e, valid := entryFromProto(w, m.Self.DataCentre, m.Self.Region); valid {
			m.merge(now, &e, false)
		}
	}
}

// merge adds an entry of this cell or replaces an older one. Direct is true if
// the entry came from the instance itself.
func (m *Machine) merge(now time.Time, e *entry, direct bool) {
	if e.instance.ID == m.Self.ID {
		m.mergeSelf(e)
		return
	}
	p := m.peers[e.instance.ID]
	if p == nil {
		if e.dead || !e.instance.Addr.IsValid() {
			return
		}
		if len(m.peers) >= MaxCellMembers {
			m.Stats.Dropped++
			return
		}
		p = &cellMember{entry: *e, firstSeen: now}
		m.peers[e.instance.ID] = p
		m.recordChange(p)
	} else if e.newer(&p.entry) {
		m.replaceEntry(now, p, e)
	}
	if direct && e.instance.Incarnation == p.instance.Incarnation && !p.dead {
		p.lastHeard = now
	}
}

// replaceEntry sets the entry of p to the newer e. A later incarnation also
// reports the earlier one as dead.
func (m *Machine) replaceEntry(now time.Time, p *cellMember, e *entry) {
	if e.instance.Incarnation > p.instance.Incarnation {
		if !p.dead && p.instance.Incarnation != 0 {
			m.pendingChanges = append(m.pendingChanges, persimmoncart.Member{Instance: p.instance, State: persimmoncart.MemberDead})
		}
		p.refusedConnection = false
		p.sentChange = 0
		p.lastListed = time.Time{}
		p.firstSeen = now
	}
	addr := p.instance.Addr
	p.entry = *e
	if !p.instance.Addr.IsValid() {
		p.instance.Addr = addr
	}
	if p.dead {
		p.diedAt = now
	}
	m.recordChange(p)
}

// mergeSelf processes an entry about this instance that another instance sent. It
// refutes a suspicion by raising the version.
func (m *Machine) mergeSelf(e *entry) {
	if e.instance.Incarnation != m.Self.Incarnation {
		return
	}
	switch {
	case e.dead:
		// Others may already have taken over the replicas and cancelled the
		// work, so the running process continues as a new incarnation.
		m.Stats.FalseDeaths++
		old := m.Self
		m.Self.Incarnation++
		m.version = 0
		m.pendingChanges = append(m.pendingChanges, persimmoncart.Member{Instance: old, State: persimmoncart.MemberDead})
	case e.suspect && e.version >= m.version:
		m.version = e.version + 1
	default:
		return
	}
	m.cachedCellHash = 0
}

// isRefused reports whether the connection was refused, which proves that no
// process listens at the address.
func isRefused(err error) bool {
	var refused *peer.ConnectionRefusedError
	return errors.As(err, &refused)
}
