package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// ApplyList processes a reply of the instance list. It adds unknown instances,
// and declares suspects dead that the list has not named for longer than its
// lag: a host that is lost refuses no connections, so there is no other evidence.
func (m *Machine) ApplyList(now time.Time, listed []persimmoncart.ListEntry) []Call {
	m.init(now)
	cells := map[persimmoncart.DataCentre][]entry{}
	listedIDs := map[persimmoncart.InstanceID]bool{}
	for _, l := range listed {
		if l.Instance == nil || l.Instance.ID == m.Self.ID {
			continue
		}
		e := entry{instance: *l.Instance}
		if e.instance.DataCentre != m.Self.DataCentre {
			cells[e.instance.DataCentre] = append(cells[e.instance.DataCentre], e)
			continue
		}
		listedIDs[e.instance.ID] = true
		m.addListed(now, &e)
	}
	for _, name := range slices.Sorted(maps.Keys(cells)) { // sorted, because the order sets the cells' change numbers
		m.addListedCell(now, name, cells[name])
	}
	m.declareUnlistedDead(now, listedIDs)
	return m.takeCalls()
}

// addListed adds a listed instance of this cell.
func (m *Machine) addListed(now time.Time, e *entry) {
	p := m.peers[e.instance.ID]
	if p == nil {
		e.instance.Leaving = false // only the instance itself announces that, with a higher version
		m.merge(now, e, false)
		if p = m.peers[e.instance.ID]; p == nil {
			return
		}
		m.sendProbe(now, p, true)
	}
	p.lastListed = now
}

// addListedCell adds a cell that no gateway has reported yet, and replaces one
// whose known instances no longer reply to this gateway.
func (m *Machine) addListedCell(now time.Time, name persimmoncart.DataCentre, members []entry) {
	c := m.cells[name]
	if c != nil {
		c.lastListed = now
		if c.version > 0 && !m.unreachable(now, c) {
			return
		}
	}
	slices.SortFunc(members, func(a, b entry) int { return cmp.Compare(a.instance.ID, b.instance.ID) })
	region := members[0].instance.Region
	if region != m.Self.Region {
		members = gateways(name, members)
	}
	var version uint64
	if c != nil {
		version = c.version
	}
	if hash := contentHash(members); c == nil || hash != c.hash {
		m.setCell(now, name, region, members, version, hash)
	}
}

// declareUnlistedDead declares suspects dead that the list no longer names, and
// the members of other cells that are neither listed nor reachable. The list
// reports both new and ended instances late, so a suspect that it has never
// named is declared dead only after twice the lag.
func (m *Machine) declareUnlistedDead(now time.Time, listedIDs map[persimmoncart.InstanceID]bool) {
	for _, id := range m.peerIDs() {
		p := m.peers[id]
		if p.dead || listedIDs[id] || !p.suspect {
			continue
		}
		since, wait := p.lastListed, m.ListLag
		if since.IsZero() {
			since, wait = p.firstSeen, 2*m.ListLag
		}
		if now.Sub(since) > wait && now.Sub(p.lastHeard) > ProbePeriod {
			m.declareDead(now, p)
		}
	}
	for _, c := range m.sortedCells() {
		switch {
		case allDead(c.members):
			if now.Sub(c.lastHeard) > m.ListLag+TombstonePeriod {
				delete(m.cells, c.name)
			}
		case now.Sub(c.lastListed) > m.ListLag && m.unreachable(now, c):
			members := slices.Clone(c.members)
			for i := range members {
				members[i].dead = true
			}
			m.setCell(now, c.name, c.region, members, c.version+1, contentHash(members))
		}
	}
}

// unreachable reports whether a cell has not replied to this gateway for longer
// than the lag of the instance list. Instances that are not gateways do not call
// other cells, so for them no cell becomes unreachable.
func (m *Machine) unreachable(now time.Time, c *cell) bool {
	return c.failures > gatewayCount && now.Sub(c.lastHeard) > m.ListLag
}

// allDead reports whether every entry is dead.
func allDead(members []entry) bool {
	return !slices.ContainsFunc(members, func(e entry) bool { return !e.dead })
}
