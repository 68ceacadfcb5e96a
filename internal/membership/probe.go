package membership

import (
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/peer"
	memberv1 "github.com/persimmoncart/persimmoncart/proto/member/v1"
)

// Probe answers a probe.
func (m *Machine) Probe(now time.Time, r *memberv1.ProbeRequest) (*memberv1.ProbeReply, []Call) {
	m.init(now)
	if r.GetDataCentre() != "" && r.GetDataCentre() != string(m.Self.DataCentre) {
		return m.answer(r, persimmoncart.Instance{}), m.take()
	}
	from, valid := fromWire(r.GetFrom(), m.Self.DataCentre, m.Self.Region)
	if valid {
		m.merge(now, &from, true)
	}
	m.mergeAll(now, r.GetUpdates())
	if valid {
		if e := m.lookup(from.instance.ID); e != nil && e.instance.Incarnation == from.instance.Incarnation {
			m.receive(e.instance, r.GetPiggyback(), time.Time{})
			from.instance = e.instance
		}
	}
	return m.answer(r, from.instance), m.take()
}

// answer builds the reply to a probe.
func (m *Machine) answer(r *memberv1.ProbeRequest, from persimmoncart.Instance) *memberv1.ProbeReply {
	e := m.self()
	full := r.GetCellHash() != 0
	reply := &memberv1.ProbeReply{From: e.wire(false), Piggyback: &memberv1.Piggyback{}, Sequence: r.GetSequence()}
	if full && r.GetCellHash() != m.cellHash() {
		reply.Updates = m.updates(m.peers[from.ID])
	} else if p := m.peers[from.ID]; p != nil && p.suspect { // lets it refute the suspicion
		reply.Updates = append(reply.Updates, p.wire(true))
	}
	if full && r.GetCellsHash() != m.cellsHash() && (m.AllowCells == nil || m.AllowCells()) {
		reply.Cells = m.someCells()
	}
	for _, x := range m.Extensions {
		x.Fill(from, full, reply.Piggyback)
	}
	return reply
}

// updates returns the entries that changed since the last answer to p with
// updates, or all if none did: then p lost that answer or differs for another
// reason.
func (m *Machine) updates(p *cellMember) []*memberv1.Entry {
	var all, changed []*memberv1.Entry
	for _, id := range m.ids() {
		q := m.peers[id]
		w := q.wire(true)
		all = append(all, w)
		if p != nil && q.noted > p.told {
			changed = append(changed, w)
		}
	}
	if p != nil {
		p.told = m.notes
	}
	if len(changed) == 0 {
		return all
	}
	return changed
}

// Done takes the result of a call.
func (m *Machine) Done(now time.Time, c Call, reply proto.Message, err error) []Call {
	switch r := c.Request.(type) {
	case *memberv1.ProbeRequest:
		m.probeDone(now, c, r, reply, err)
	case *memberv1.ProbeViaRequest:
		m.viaDone(now, c, reply, err)
	case *memberv1.SummaryRequest:
		m.summaryDone(now, c, reply, err)
	}
	return m.take()
}

// probeDone takes the result of a probe.
func (m *Machine) probeDone(now time.Time, c Call, r *memberv1.ProbeRequest, reply proto.Message, err error) {
	p := m.peers[c.Instance.ID]
	if p == nil && err == nil {
		answer := reply.(*memberv1.ProbeReply)
		if answer.GetFrom().GetId() == string(c.Instance.ID) && answer.GetFrom().GetIncarnation() == uint64(c.Instance.Incarnation) {
			m.receive(c.Instance, answer.GetPiggyback(), c.Sent)
		}
	}
	if p == nil || p.dead || p.instance.Incarnation != c.Instance.Incarnation {
		return
	}
	if err != nil {
		p.refused = p.refused || isRefused(err)
		m.askHelpers(now, p)
		return
	}
	answer := reply.(*memberv1.ProbeReply)
	if answer.GetSequence() != r.GetSequence() {
		return
	}
	from, valid := fromWire(answer.GetFrom(), m.Self.DataCentre, m.Self.Region)
	if !valid {
		return
	}
	from.instance.Addr = c.Instance.Addr
	if from.instance.ID != p.instance.ID {
		// Another process listens at the address, so the old one has ended.
		m.declareDead(now, p)
		return
	}
	sample := now.Sub(c.Sent)
	p.rtt += (sample - p.rtt) / 8
	m.merge(now, &from, true)
	m.mergeAll(now, answer.GetUpdates())
	m.mergeCells(now, answer.GetCells())
	if p.instance.Incarnation == from.instance.Incarnation {
		m.receive(p.instance, answer.GetPiggyback(), c.Sent)
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

// askHelpers sends indirect probes of p through other instances, which prefer
// those of the cell; a cell of two asks instances of the region.
func (m *Machine) askHelpers(now time.Time, p *cellMember) {
	var candidates []persimmoncart.Instance
	for _, id := range m.ids() {
		q := m.peers[id]
		if q != p && !q.dead && !q.suspect {
			candidates = append(candidates, q.instance)
		}
	}
	if len(candidates) < helpers {
		candidates = append(candidates, m.regionInstances()...)
	}
	if len(candidates) == 0 {
		m.suspect(p)
		return
	}
	m.Rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for _, h := range candidates[:min(helpers, len(candidates))] {
		m.call(now, h, &memberv1.ProbeViaRequest{Addr: addrBytes(p.instance.Addr), Id: string(p.instance.ID)}, ViaTimeout)
		m.out[len(m.out)-1].via = p.instance
	}
}

// viaDone takes the result of an indirect probe.
func (m *Machine) viaDone(now time.Time, c Call, reply proto.Message, err error) {
	p := m.peers[c.via.ID]
	if p == nil || p.dead || p.instance.Incarnation != c.via.Incarnation || p.heard.After(c.Sent) {
		return
	}
	result := memberv1.Result_SILENT
	if err == nil {
		result = reply.(*memberv1.ProbeViaReply).GetResult()
	}
	switch result {
	case memberv1.Result_ANSWERED:
		from, valid := fromWire(reply.(*memberv1.ProbeViaReply).GetFrom(), m.Self.DataCentre, m.Self.Region)
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
		if p.refused {
			m.declareDead(now, p)
			return
		}
		m.suspect(p)
	default:
		m.suspect(p)
	}
}

// suspect makes p suspect.
func (m *Machine) suspect(p *cellMember) {
	if p.suspect || p.dead {
		return
	}
	p.suspect = true
	m.Stats.Suspicions++
	m.note(p)
}

// declareDead records first-hand evidence that p has ended and spreads it.
func (m *Machine) declareDead(now time.Time, p *cellMember) {
	if p.dead {
		return
	}
	m.Stats.Deaths++
	p.dead, p.died = true, now
	m.note(p)
	// The end of an instance that said it was leaving concerns nobody at once:
	// its replicas have moved and its work is done.
	if !p.instance.Leaving {
		m.push(now, p)
	}
}

// note records that the state of p changed.
func (m *Machine) note(p *cellMember) {
	m.hash = 0
	m.notes++
	p.noted = m.notes
	m.changes = append(m.changes, p.member())
}

// mergeAll merges entries of this cell that a peer sent.
func (m *Machine) mergeAll(now time.Time, entries []*memberv1.Entry) {
	for _, w := range entries {
		if e, valid := fromWire(w, m.Self.DataCentre, m.Self.Region); valid {
			m.merge(now, &e, false)
		}
	}
}

// merge takes an entry of this cell. Direct is true when it came from the
// instance itself.
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
		if len(m.peers) >= MaxCell {
			m.Stats.Dropped++
			return
		}
		p = &cellMember{entry: *e, known: now}
		m.peers[e.instance.ID] = p
		m.note(p)
	} else if e.newer(&p.entry) {
		m.replace(now, p, e)
	}
	if direct && e.instance.Incarnation == p.instance.Incarnation && !p.dead {
		p.heard = now
	}
}

// replace sets the entry of p to the newer e.
func (m *Machine) replace(now time.Time, p *cellMember, e *entry) {
	if e.instance.Incarnation > p.instance.Incarnation {
		if !p.dead && p.instance.Incarnation != 0 {
			m.changes = append(m.changes, persimmoncart.Member{Instance: p.instance, State: persimmoncart.MemberDead})
		}
		p.refused = false
		p.told = 0
		p.listed = time.Time{}
		p.known = now
	}
	addr := p.instance.Addr
	p.entry = *e
	if !p.instance.Addr.IsValid() {
		p.instance.Addr = addr
	}
	if p.dead {
		p.died = now
	}
	m.note(p)
}

// mergeSelf handles what others say about this instance.
func (m *Machine) mergeSelf(e *entry) {
	if e.instance.Incarnation != m.Self.Incarnation {
		return
	}
	switch {
	case e.dead:
		// Others may already have taken over the replicas and cancelled the
		// work, so the running process continues as a new incarnation.
		m.Stats.FalseBurials++
		old := m.Self
		m.Self.Incarnation++
		m.version = 0
		m.changes = append(m.changes, persimmoncart.Member{Instance: old, State: persimmoncart.MemberDead})
	case e.suspect && e.version >= m.version:
		m.version = e.version + 1
	default:
		return
	}
	m.hash = 0
}

// isRefused reports whether err proves that no process listens.
func isRefused(err error) bool {
	var refused *peer.RefusedError
	return errors.As(err, &refused)
}
