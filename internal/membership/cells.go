package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/persimmoncart/persimmoncart"
	memberv1 "github.com/persimmoncart/persimmoncart/proto/member/v1"
)

const (
	// maxHistory bounds the earlier contents of the own cell that are kept.
	maxHistory = 8
	// fullCellInterval is how often an answer holds a whole cell: often enough to
	// bring all cells of a region to an instance within a minute.
	fullCellInterval = 4
)

// A cell is what is known about the instances of another data centre: all of
// them within the region, only the gateways of other regions.
type cell struct {
	changeNumber   uint64  // order of local changes
	changedEntries []entry // entries of the last change
	confirmedHash  uint64  // hash of our cell that it last confirmed
	failures       int     // calls to its gateways without an answer, in a row
	hash           uint64
	lastHeard      time.Time // last change or answer
	lastListed     time.Time // last instance list that names one of its instances
	members        []entry   // sorted by identifier
	name           persimmoncart.DataCentre
	previousHash   uint64 // hash before the last change; zero if changedEntries does not lead from there
	region         persimmoncart.Region
	skipped        bool // the last summary to it was left out
	version        uint64
}

// toProto returns the cell as a message.
func (c *cell) toProto(full bool) *memberv1.Cell {
	w := &memberv1.Cell{
		DataCentre: string(c.name),
		Hash:       c.hash,
		Region:     string(c.region),
		Version:    c.version,
	}
	if full {
		for i := range c.members {
			w.Members = append(w.Members, c.members[i].toProto(true))
		}
	}
	return w
}

// toProtoSince returns the cell as what changed since old, whole if that is no
// shorter way.
func (c *cell) toProtoSince(old *cell) *memberv1.Cell {
	changed, ok := diffEntries(old.members, c.members)
	if !ok {
		return c.toProto(true)
	}
	return c.toProtoChange(old.hash, changed)
}

// toProtoChange returns the cell as the entries that changed since it had the hash base.
func (c *cell) toProtoChange(base uint64, changed []entry) *memberv1.Cell {
	w := c.toProto(false)
	w.Base = base
	for i := range changed {
		w.Members = append(w.Members, changed[i].toProto(true))
	}
	return w
}

// diffEntries returns the entries of now that differ from old. It is false if an
// entry was removed or most have changed.
func diffEntries(old, now []entry) ([]entry, bool) {
	known := make(map[persimmoncart.InstanceID]*entry, len(old))
	for i := range old {
		known[old[i].instance.ID] = &old[i]
	}
	var changed []entry
	kept := 0
	for i := range now {
		o := known[now[i].instance.ID]
		if o != nil {
			kept++
		}
		if o == nil || o.hash() != now[i].hash() {
			changed = append(changed, now[i])
		}
	}
	return changed, kept == len(old) && len(changed) > 0 && 2*len(changed) <= len(now)
}

// gatewaysOnly returns the cell with its gateways only.
func (c *cell) gatewaysOnly() *cell {
	t := *c
	t.members = gateways(c.name, c.members)
	t.hash = contentHash(t.members)
	return &t
}

// contentHash returns a hash over the entries of a cell.
func contentHash(members []entry) uint64 {
	var h uint64
	for i := range members {
		e := members[i]
		e.suspect = false
		h ^= e.hash()
	}
	return max(h, 1)
}

// gateways returns the entries with the smallest rendezvous ranks, sorted by rank.
func gateways(name persimmoncart.DataCentre, members []entry) []entry {
	var alive []entry
	for i := range members {
		if !members[i].dead {
			alive = append(alive, members[i])
		}
	}
	slices.SortFunc(alive, func(a, b entry) int {
		return cmp.Compare(rank(string(name), a.instance.ID), rank(string(name), b.instance.ID))
	})
	return alive[:min(gatewayCount, len(alive))]
}

// ownCell returns this instance's cell as others shall see it.
func (m *Machine) ownCell() *cell {
	members := make([]entry, 0, len(m.peers)+1)
	members = append(members, m.self())
	for _, p := range m.peers {
		e := p.entry
		e.suspect = false
		members = append(members, e)
	}
	slices.SortFunc(members, func(a, b entry) int { return cmp.Compare(a.instance.ID, b.instance.ID) })
	c := &cell{
		hash:    contentHash(members),
		members: members,
		name:    m.Self.DataCentre,
		region:  m.Self.Region,
	}
	if c.hash != m.ownHash {
		m.ownHash = c.hash
		m.ownVersion++
		m.addHistory(c)
		m.addHistory(c.gatewaysOnly())
	}
	c.version = m.ownVersion
	return c
}

// addHistory keeps a content of this cell, so that a later one can be sent as what
// changed since.
func (m *Machine) addHistory(c *cell) {
	m.ownHistory = append(m.ownHistory, c)
	if len(m.ownHistory) > maxHistory {
		m.ownHistory = slices.Clone(m.ownHistory[len(m.ownHistory)-maxHistory:])
	}
}

// summaryFor returns own as one that has the content with the hash needs it.
func (m *Machine) summaryFor(own *cell, has uint64) *memberv1.Cell {
	if has == own.hash {
		return own.toProto(false)
	}
	for _, old := range m.ownHistory {
		if old.hash == has {
			return own.toProtoSince(old)
		}
	}
	return own.toProto(true)
}

// IsGateway reports whether this instance is a gateway of its cell: one of the
// two with the smallest ranks among those that are not suspect.
func (m *Machine) IsGateway() bool {
	mine := rank(string(m.Self.DataCentre), m.Self.ID)
	before := 0
	for id, p := range m.peers {
		if !p.dead && !p.suspect && rank(string(m.Self.DataCentre), id) < mine {
			before++
		}
	}
	return before < gatewayCount
}

// sendDueSummaries sends the summaries that are due. The two gateways of a cell
// each send at half the rate.
func (m *Machine) sendDueSummaries(now time.Time) {
	near, far := !now.Before(m.nextSummary), !now.Before(m.nextCrossRegion)
	if !near && !far {
		return
	}
	if near {
		m.nextSummary = now.Add(gatewayCount * CellSummaryPeriod)
		if m.AllowCells != nil && !m.AllowCells() { // half as often near the budget
			m.nextSummary = now.Add(2 * gatewayCount * CellSummaryPeriod)
		}
	}
	if far {
		m.nextCrossRegion = now.Add(gatewayCount * CrossRegionSummaryPeriod)
	}
	if !m.IsGateway() {
		return
	}
	own := m.ownCell()
	if near {
		for _, c := range m.sortedCells() {
			if c.region != m.Self.Region {
				continue
			}
			// A summary without news of the cell only carries its load; every
			// second one is enough.
			if c.skipped = !c.skipped && c.confirmedHash == own.hash; !c.skipped {
				m.sendSummary(now, own, c, []uint64{c.hash}, false)
			}
		}
	}
	if far && (m.AllowCrossRegion == nil || m.AllowCrossRegion()) {
		m.sendCrossRegion(now, own)
	}
}

// sendCrossRegion sends the cell to one gateway of each other region.
func (m *Machine) sendCrossRegion(now time.Time, own *cell) {
	trimmed := own.gatewaysOnly()
	regions := map[persimmoncart.Region][]*cell{}
	var names []persimmoncart.Region
	for _, c := range m.sortedCells() {
		if c.region == m.Self.Region {
			continue
		}
		if regions[c.region] == nil {
			names = append(names, c.region)
		}
		regions[c.region] = append(regions[c.region], c)
	}
	for _, r := range names {
		var have []uint64
		for _, c := range regions[r] {
			have = append(have, c.hash)
		}
		m.sendSummary(now, trimmed, regions[r][m.Rand.IntN(len(regions[r]))], have, true)
	}
}

// sendSummary queues a summary to a gateway of c.
func (m *Machine) sendSummary(now time.Time, own, c *cell, have []uint64, far bool) {
	candidates := gateways(c.name, c.members)
	if c.failures > gatewayCount {
		candidates = c.members
	}
	if len(candidates) == 0 {
		return
	}
	to := candidates[m.Rand.IntN(len(candidates))].instance
	r := &memberv1.SummaryRequest{
		Cell:      m.summaryFor(own, c.confirmedHash),
		Far:       far,
		Have:      have,
		Piggyback: &memberv1.Piggyback{},
	}
	for _, x := range m.Extensions {
		x.Fill(to, false, r.Piggyback)
	}
	m.queueCall(now, to, r, CellSummaryPeriod)
}

// HandleSummary answers a summary of another cell.
func (m *Machine) HandleSummary(now time.Time, r *memberv1.SummaryRequest) *memberv1.SummaryReply {
	m.init(now)
	m.mergeCells(now, []*memberv1.Cell{r.GetCell()})
	reply := &memberv1.SummaryReply{Piggyback: &memberv1.Piggyback{}}
	if c := m.cells[persimmoncart.DataCentre(r.GetCell().GetDataCentre())]; c != nil {
		c.lastHeard, c.failures = now, 0
		reply.HaveHash, reply.HaveVersion = c.hash, c.version
	}
	answer := []*cell{m.ownCell()}
	if r.GetFar() {
		answer[0] = answer[0].gatewaysOnly()
		for _, c := range m.sortedCells() {
			if c.region == m.Self.Region {
				answer = append(answer, c.gatewaysOnly())
			}
		}
	}
	for _, c := range answer {
		if !slices.Contains(r.GetHave(), c.hash) {
			reply.Cells = append(reply.Cells, c.toProto(true))
		}
	}
	from := persimmoncart.Instance{DataCentre: persimmoncart.DataCentre(r.GetCell().GetDataCentre())}
	for _, x := range m.Extensions {
		x.Fill(from, false, reply.Piggyback)
	}
	m.receive(from, r.GetPiggyback(), time.Time{})
	return reply
}

// handleSummaryResult takes the result of a summary.
func (m *Machine) handleSummaryResult(now time.Time, call Call, reply proto.Message, err error) {
	c := m.cells[call.Instance.DataCentre]
	if err != nil {
		if c != nil {
			c.failures++
		}
		return
	}
	answer := reply.(*memberv1.SummaryReply)
	sent := call.Request.(*memberv1.SummaryRequest).GetCell()
	if c != nil {
		c.failures, c.lastHeard, c.confirmedHash = 0, now, answer.GetHaveHash()
		if sent.GetBase() != 0 && answer.GetHaveHash() != sent.GetHash() {
			c.confirmedHash = 0 // what changed did not fit there; the next summary is whole
		}
	}
	if answer.GetHaveHash() != sent.GetHash() && answer.GetHaveVersion() >= m.ownVersion {
		// Another gateway numbered its summaries higher; send again at once.
		m.ownVersion = answer.GetHaveVersion() + 1
		if call.Request.(*memberv1.SummaryRequest).GetFar() {
			m.nextCrossRegion = now
		} else {
			m.nextSummary = now
		}
	} else if answer.GetHaveHash() == sent.GetHash() && m.ownHash == sent.GetHash() {
		m.ownVersion = max(m.ownVersion, answer.GetHaveVersion())
	}
	m.mergeCells(now, answer.GetCells())
	m.receive(call.Instance, answer.GetPiggyback(), call.Sent)
}

// mergeCells merges summaries of other cells.
func (m *Machine) mergeCells(now time.Time, cells []*memberv1.Cell) {
	for _, w := range cells {
		name := persimmoncart.DataCentre(w.GetDataCentre())
		if name == "" || name == m.Self.DataCentre {
			continue
		}
		c := m.cells[name]
		if c != nil && c.hash == w.GetHash() {
			c.version = max(c.version, w.GetVersion())
			continue
		}
		if len(w.GetMembers()) == 0 || len(w.GetMembers()) > MaxCellMembers {
			continue
		}
		if w.GetBase() != 0 && (c == nil || c.hash != w.GetBase()) {
			continue
		}
		if c != nil && (w.GetVersion() < c.version || w.GetVersion() == c.version && w.GetHash() < c.hash) {
			continue
		}
		var members []entry
		for _, x := range w.GetMembers() {
			if e, valid := entryFromProto(x, name, persimmoncart.Region(w.GetRegion())); valid {
				members = append(members, e)
			}
		}
		if w.GetBase() != 0 {
			if members = replaceEntries(c.members, members); contentHash(members) != w.GetHash() {
				continue
			}
		}
		m.setCell(now, name, persimmoncart.Region(w.GetRegion()), members, w.GetVersion(), w.GetHash())
	}
}

// replaceEntries returns the entries of old with those of changed in their place,
// sorted by identifier.
func replaceEntries(old, changed []entry) []entry {
	members := slices.Clone(changed)
	for i := range old {
		if !slices.ContainsFunc(changed, func(e entry) bool { return e.instance.ID == old[i].instance.ID }) {
			members = append(members, old[i])
		}
	}
	slices.SortFunc(members, func(a, b entry) int { return cmp.Compare(a.instance.ID, b.instance.ID) })
	return members
}

// setCell replaces the members of another cell and notes what changed.
func (m *Machine) setCell(now time.Time, name persimmoncart.DataCentre, region persimmoncart.Region, members []entry, version, hash uint64) {
	c := m.cells[name]
	if c == nil {
		if allDead(members) {
			return
		}
		if len(m.cells) >= MaxCells {
			m.Stats.Dropped++
			return
		}
		c = &cell{lastListed: now, name: name}
		m.cells[name] = c
	}
	old := map[persimmoncart.Tag]persimmoncart.MemberState{}
	for i := range c.members {
		old[c.members[i].instance.Tag()] = c.members[i].state()
	}
	for i := range members {
		if s, known := old[members[i].instance.Tag()]; !known || s != members[i].state() {
			m.pendingChanges = append(m.pendingChanges, members[i].member())
		}
	}
	m.cellChanges++
	c.previousHash, c.changedEntries = 0, nil
	if recent, ok := diffEntries(c.members, members); ok {
		c.previousHash, c.changedEntries = c.hash, recent
	}
	c.hash, c.lastHeard, c.members, c.failures, c.region, c.changeNumber, c.version = hash, now, members, 0, region, m.cellChanges, version
}

// cellUpdates returns what changed last in the cell that changed last, and in
// every fourth answer one of all cells, which repairs what was missed.
func (m *Machine) cellUpdates() []*memberv1.Cell {
	cells := m.sortedCells()
	if len(cells) == 0 {
		return nil
	}
	m.repairCursor++
	if m.repairCursor%fullCellInterval == 0 {
		return []*memberv1.Cell{cells[m.repairCursor/fullCellInterval%len(cells)].toProto(true)}
	}
	c := slices.MaxFunc(cells, func(a, b *cell) int { return cmp.Compare(a.changeNumber, b.changeNumber) })
	if c.previousHash == 0 {
		return []*memberv1.Cell{c.toProto(true)}
	}
	return []*memberv1.Cell{c.toProtoChange(c.previousHash, c.changedEntries)}
}

// sortedCells returns the other cells, sorted by name.
func (m *Machine) sortedCells() []*cell {
	cells := make([]*cell, 0, len(m.cells))
	for _, c := range m.cells {
		cells = append(cells, c)
	}
	slices.SortFunc(cells, func(a, b *cell) int { return cmp.Compare(a.name, b.name) })
	return cells
}

// cellsHash returns a hash over the summaries of the other cells.
func (m *Machine) cellsHash() uint64 {
	var h uint64
	for _, c := range m.cells {
		var b [80]byte
		s := binary.BigEndian.AppendUint64(b[:0], c.hash)
		h ^= xxhash.Sum64(append(s, c.name...))
	}
	return max(h, 1)
}

// regionInstances returns the instances of the region's other cells.
func (m *Machine) regionInstances() []persimmoncart.Instance {
	var instances []persimmoncart.Instance
	for _, c := range m.sortedCells() {
		for i := range c.members {
			if c.region == m.Self.Region && !c.members[i].dead {
				instances = append(instances, c.members[i].instance)
			}
		}
	}
	return instances
}
