package ownership

import (
	"slices"

	"github.com/persimmoncart/persimmoncart"
)

// A regionReplicas caches the engines of the region from one configuration.
type regionReplicas struct {
	cells   map[persimmoncart.DataCentre][]persimmoncart.EndpointID // sorted
	version uint64
}

// configured returns the configured engines of the region by data centre.
func (s *Service) configured() map[persimmoncart.DataCentre][]persimmoncart.EndpointID {
	snapshot := s.Configuration.Snapshot()
	if s.replicas.cells != nil && s.replicas.version == snapshot.Version {
		return s.replicas.cells
	}
	cells := map[persimmoncart.DataCentre][]persimmoncart.EndpointID{}
	for id, e := range snapshot.Endpoints {
		if e.Region == s.Members.Machine.Self.Region && e.Role != persimmoncart.RoleApplication {
			cells[e.DataCentre] = append(cells[e.DataCentre], id)
		}
	}
	for _, ids := range cells {
		slices.Sort(ids)
	}
	s.replicas = regionReplicas{cells: cells, version: snapshot.Version}
	return cells
}

// Usable returns the replicas that this instance may use by itself now: those
// it owns with all slots, and its static share of those without an owner. The
// caller holds the Lock of Members.
func (s *Service) Usable() []persimmoncart.Usable {
	now := s.Timer.Now()
	snapshot := s.Configuration.Snapshot()
	var usable []persimmoncart.Usable
	for _, name := range s.names() {
		c := s.cells[name]
		if c.record == nil {
			continue
		}
		for _, id := range c.Owned(now) {
			if e := snapshot.Endpoints[id]; e != nil {
				usable = append(usable, persimmoncart.Usable{Blocks: e.Blocks, Endpoint: id, Owned: true, Slots: e.Slots})
			}
		}
		down := map[persimmoncart.InstanceID]int{}
		for _, id := range c.record.Replicas {
			owner, _ := c.record.Owner(id)
			n, known := down[owner]
			if !known || owner == c.Self.Instance {
				n = c.Static(now, id, func(i persimmoncart.InstanceID) bool { return s.down(now, i) })
				down[owner] = n
			}
			if e := snapshot.Endpoints[id]; e != nil && n > 0 && e.Slots/n > 0 && !c.Holds(now, id) {
				usable = append(usable, persimmoncart.Usable{Blocks: e.Blocks / n, Endpoint: id, Slots: e.Slots / n})
			}
		}
	}
	return usable
}

// tellUsable reports the usable replicas when they have changed.
func (s *Service) tellUsable() {
	if s.Changed == nil {
		return
	}
	if usable := s.Usable(); !slices.Equal(usable, s.usable) {
		s.usable = usable
		s.Changed(usable)
	}
}
