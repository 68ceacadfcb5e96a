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
	// maxHistory is the number of earlier contents of this instance's cell that
	// are kept to send later contents as differences. Each content is kept twice:
	// whole and reduced to the gateways.
	maxHistory = 8
	// fullCellInterval is the number of probe replies with cells of which one
	// carries a whole cell. At this rate an instance receives all cells of its
	// region within a minute.
	fullCellInterval = 4
)

// A cell is the local copy of another data centre's members: all of them if the
// data centre is in this region, otherwise only its gateways.
type cell struct {
	changeNumber   uint64  // Machine.cellChanges at the last change
	changedEntries []entry // by the last change
	confirmedHash  uint64  // hash of this instance's cell that it last confirmed
	failures       int     // consecutive failed calls to its members
	hash           uint64
	lastHeard      time.Time // last change, summary or reply
	lastListed     time.Time // last instance list with one of its instances
	members        []entry   // sorted by identifier
	name           persimmoncart.DataCentre
	previousHash   uint64 // hash before the last change; zero if changedEntries isn't set
	region         persimmoncart.Region
	skipped        bool // the last summary to it was skipped
	version        uint64
}

// toProto returns the cell as a message, with its members if full is true.
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

// toProtoSince returns a message with the entries that changed since old, or with
// the whole cell if diffEntries finds no usable difference.
func (c *cell) toProtoSince(old *cell) *memberv1.Cell {
	changed, ok := diffEntries(old.members, c.members)
	if !ok {
		return c.toProto(true)
	}
	return c.toProtoChange(old.hash, changed)
}

// toProtoChange returns a message with the entries that changed since the cell
// had the hash base.
func (c *cell) toProtoChange(base uint64, changed []entry) *memberv1.Cell {
	w := c.toProto(false)
	w.Base = base
	for i := range changed {
		w.Members = append(w.Members, changed[i].toProto(true))
	}
	return w
}

// diffEntries returns the entries of now that are new or differ from old. It
// returns false if an entry was removed, or if none or more than half changed.
func diffEntries(old, now []entry) ([]entry, bool) {
	byID := make(map[persimmoncart.InstanceID]*entry, len(old))
	for i := range old {
		byID[old[i].instance.ID] = &old[i]
	}
	var changed []entry
	kept := 0
	for i := range now {
		o := byID[now[i].instance.ID]
		if o != nil {
			kept++
		}
		if o == nil || o.hash() != now[i].hash() {
			changed = append(changed, now[i])
		}
	}
	return changed, kept == len(old) && len(changed) > 0 && 2*len(changed) <= len(now)
}

// gatewaysOnly returns a copy of the cell reduced to its gateways.
func (c *cell) gatewaysOnly() *cell {
	t := *c
	t.members = gateways(c.name, c.members)
	t.hash = contentHash(t.members)
	return &t
}

// contentHash returns a hash of the entries of a cell, without suspicions. It is
// never zero.
func contentHash(members []entry) uint64 {
	var h uint64
	for i := range members {
		e := members[i]
		e.suspect = false
		h ^= e.hash()
	}
	return max(h, 1)
}

// gateways returns the gateways of a cell: the gatewayCount entries with the
// smallest rendezvous ranks that are not dead, sorted by rank.
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

// ownCell returns this instance's cell as it is sent to other cells: with this
// instance and without suspicions. It raises the version if the content changed.
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

// addHistory stores a content of this instance's cell, so that a later content
// can be sent as the difference.
func (m *Machine) addHistory(c *cell) {
	m.ownHistory = append(m.ownHistory, c)
	if len(m.ownHistory) > maxHistory {
		m.ownHistory = slices.Clone(m.ownHistory[len(m.ownHistory)-maxHistory:])
	}
}

// summaryFor returns the message for a receiver whose copy of own has the hash
// remoteHash: without members, with the changed entries, or with all of them.
func (m *Machine) summaryFor(own *cell, remoteHash uint64) *memberv1.Cell {
	if remoteHash == own.hash {
		return own.toProto(false)
	}
	for _, old := range m.ownHistory {
		if old.hash == remoteHash {
			return own.toProtoSince(old)
		}
	}
	return own.toProto(true)
}

// IsGateway reports whether this instance is a gateway of its cell: one of the
// two with the smallest ranks among those that are neither dead nor suspect.
func (m *Machine) IsGateway() bool {
	ownRank := rank(string(m.Self.DataCentre), m.Self.ID)
	before := 0
	for id, p := range m.peers {
		if !p.dead && !p.suspect && rank(string(m.Self.DataCentre), id) < ownRank {
			before++
		}
	}
	return before < gatewayCount
}

// sendDueSummaries sends the summaries that are due, if this instance is a
// gateway. Each of the two gateways of a cell sends at half the rate.
func (m *Machine) sendDueSummaries(now time.Time) {
	cellsDue, regionsDue := !now.Before(m.nextSummary), !now.Before(m.nextCrossRegion)
	if !cellsDue && !regionsDue {
		return
	}
	if cellsDue {
		m.nextSummary = now.Add(gatewayCount * CellSummaryPeriod)
		if m.AllowCells != nil && !m.AllowCells() { // half as often near the traffic budget
			m.nextSummary = now.Add(2 * gatewayCount * CellSummaryPeriod)
		}
	}
	if regionsDue {
		m.nextCrossRegion = now.Add(gatewayCount * CrossRegionSummaryPeriod)
	}
	if !m.IsGateway() {
		return
	}
	own := m.ownCell()
	if cellsDue {
		for _, c := range m.sortedCells() {
			if c.region != m.Self.Region {
				continue
			}
			// A summary without changed members only carries the load; every
			// second one is enough.
			if c.skipped = !c.skipped && c.confirmedHash == own.hash; !c.skipped {
				m.sendSummary(now, own, c, []uint64{c.hash}, false)
			}
		}
	}
	if regionsDue && (m.AllowCrossRegion == nil || m.AllowCrossRegion()) {
		m.sendCrossRegion(now, own)
	}
}

// sendCrossRegion sends the gateways of this cell to one gateway in each other
// region.
func (m *Machine) sendCrossRegion(now time.Time, own *cell) {
	reduced := own.gatewaysOnly()
	cellsByRegion := map[persimmoncart.Region][]*cell{}
	var regions []persimmoncart.Region
	for _, c := range m.sortedCells() {
		if c.region == m.Self.Region {
			continue
		}
		if cellsByRegion[c.region] == nil {
			regions = append(regions, c.region)
		}
		cellsByRegion[c.region] = append(cellsByRegion[c.region], c)
	}
	for _, r := range regions {
		cells := cellsByRegion[r]
		var have []uint64
		for _, c := range cells {
			have = append(have, c.hash)
		}
		m.sendSummary(now, reduced, cells[m.Rand.IntN(len(cells))], have, true)
	}
}

// sendSummary queues a summary to a random gateway of c, or to a random member
// after more than gatewayCount failed calls in a row. Have lists the hashes of
// the receiver's cells that this instance has.
func (m *Machine) sendSummary(now time.Time, own, c *cell, have []uint64, crossRegion bool) {
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
		Far:       crossRegion,
		Have:      have,
		Piggyback: &memberv1.Piggyback{},
	}
	for _, x := range m.Extensions {
		x.Fill(to, false, r.Piggyback)
	}
	m.queueCall(now, to, r, CellSummaryPeriod)
}

// HandleSummary merges a summary of another cell and returns the cells that its
// sender does not have.
func (m *Machine) HandleSummary(now time.Time, r *memberv1.SummaryRequest) *memberv1.SummaryReply {
	m.init(now)
	m.mergeCells(now, []*memberv1.Cell{r.GetCell()})
	reply := &memberv1.SummaryReply{Piggyback: &memberv1.Piggyback{}}
	if c := m.cells[persimmoncart.DataCentre(r.GetCell().GetDataCentre())]; c != nil {
		c.lastHeard, c.failures = now, 0
		reply.HaveHash, reply.HaveVersion = c.hash, c.version
	}
	cells := []*cell{m.ownCell()}
	if r.GetFar() {
		cells[0] = cells[0].gatewaysOnly()
		for _, c := range m.sortedCells() {
			if c.region == m.Self.Region {
				cells = append(cells, c.gatewaysOnly())
			}
		}
	}
	for _, c := range cells {
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

// handleSummaryResult processes the reply to a summary, or the error of the call.
func (m *Machine) handleSummaryResult(now time.Time, call Call, reply proto.Message, err error) {
	c := m.cells[call.Instance.DataCentre]
	if err != nil {
		if c != nil {
			c.failures++
		}
		return
	}
	summary := reply.(*memberv1.SummaryReply)
	sent := call.Request.(*memberv1.SummaryRequest).GetCell()
	if c != nil {
		c.failures, c.lastHeard, c.confirmedHash = 0, now, summary.GetHaveHash()
		if sent.GetBase() != 0 && summary.GetHaveHash() != sent.GetHash() {
			c.confirmedHash = 0 // the difference did not apply; the next summary sends the whole cell
		}
	}
	if summary.GetHaveHash() != sent.GetHash() && summary.GetHaveVersion() >= m.ownVersion {
		// Another gateway has used a higher version; send again at once.
		m.ownVersion = summary.GetHaveVersion() + 1
		if call.Request.(*memberv1.SummaryRequest).GetFar() {
			m.nextCrossRegion = now
		} else {
			m.nextSummary = now
		}
	} else if summary.GetHaveHash() == sent.GetHash() && m.ownHash == sent.GetHash() {
		m.ownVersion = max(m.ownVersion, summary.GetHaveVersion())
	}
	m.mergeCells(now, summary.GetCells())
	m.receive(call.Instance, summary.GetPiggyback(), call.Sent)
}

// mergeCells merges other cells that an instance sent. It ignores older versions,
// cells of more than MaxCellMembers, and differences to a content other than the
// local one.
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

// replaceEntries returns old with the changed entries replaced or added, sorted
// by identifier.
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

// setCell replaces the members of another cell and records the members whose
// state changed. It does not add a cell beyond MaxCells or one whose members are
// all dead.
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
	oldStates := map[persimmoncart.Tag]persimmoncart.MemberState{}
	for i := range c.members {
		oldStates[c.members[i].instance.Tag()] = c.members[i].state()
	}
	for i := range members {
		if s, ok := oldStates[members[i].instance.Tag()]; !ok || s != members[i].state() {
			m.pendingChanges = append(m.pendingChanges, members[i].member())
		}
	}
	m.cellChanges++
	c.previousHash, c.changedEntries = 0, nil
	if changed, ok := diffEntries(c.members, members); ok {
		c.previousHash, c.changedEntries = c.hash, changed
	}
	c.hash, c.lastHeard, c.members, c.failures, c.region, c.changeNumber, c.version = hash, now, members, 0, region, m.cellChanges, version
}

// cellUpdates returns the last change of the cell that changed last. Every
// fullCellInterval-th call returns one whole cell instead, each cell in turn, so
// that an instance that missed a change receives it later.
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

// cellsHash returns a hash of the contents of the other cells. It is never zero.
func (m *Machine) cellsHash() uint64 {
	var h uint64
	for _, c := range m.cells {
		var b [80]byte
		s := binary.BigEndian.AppendUint64(b[:0], c.hash)
		h ^= xxhash.Sum64(append(s, c.name...))
	}
	return max(h, 1)
}

// regionInstances returns the live instances of the region's other cells.
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
