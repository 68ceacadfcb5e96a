package ownership

import (
	"maps"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/rendezvous"
)

// A regionReplicas caches the engines of the region from one configuration.
type regionReplicas struct {
	cells   map[persimmoncart.DataCentre][]persimmoncart.EndpointID // sorted
	version uint64
}

// configuredReplicas returns the configuredReplicas engines of the region by data centre.
func (s *Service) configuredReplicas() map[persimmoncart.DataCentre][]persimmoncart.EndpointID {
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
func (s *Service) Usable() []persimmoncart.UsableReplica {
	now := s.Timer.Now()
	snapshot := s.Configuration.Snapshot()
	var usable []persimmoncart.UsableReplica
	for _, name := range s.cellNames() {
		c := s.cells[name]
		if c.record == nil {
			continue
		}
		for _, id := range c.Owned(now) {
			if e := snapshot.Endpoints[id]; e != nil {
				usable = append(usable, persimmoncart.UsableReplica{Blocks: e.Blocks, Endpoint: id, Owned: true, Slots: e.Slots})
			}
		}
		down := map[persimmoncart.InstanceID]int{}
		for _, id := range c.record.Replicas {
			owner, _ := c.record.Owner(id)
			n, known := down[owner]
			if !known || owner == c.Self.Instance {
				n = c.StaticShareCount(now, id, func(i persimmoncart.InstanceID) bool { return s.down(now, i) })
				down[owner] = n
			}
			if e := snapshot.Endpoints[id]; e != nil && n > 0 && e.Slots/n > 0 && !c.Owns(now, id) {
				usable = append(usable, persimmoncart.UsableReplica{Blocks: e.Blocks / n, Endpoint: id, Slots: e.Slots / n})
			}
		}
	}
	return usable
}

// A usableState is what the usable replicas depend on; it changes rarely and is
// cheap to compare.
type usableState struct {
	configuration uint64
	downHash      uint64 // over the members that are silent or dead
	epoch         uint64
	ownsAny       bool
	staticShares  bool
}

// reportUsable reports the usable replicas when they may have changed.
func (s *Service) reportUsable(now time.Time) {
	if s.UsableChanged == nil {
		return
	}
	states := make(map[persimmoncart.DataCentre]usableState, len(s.cells))
	for name, c := range s.cells {
		if c.record == nil {
			continue
		}
		state := usableState{
			configuration: s.Configuration.Snapshot().Version,
			epoch:         c.record.Epoch,
			ownsAny:       c.confirmed(now) || len(c.retained) > 0 && now.Before(c.retainedUntil),
			staticShares:  !c.unconfirmedSince.IsZero() && now.Sub(c.unconfirmedSince) > StaticShareDelay,
		}
		for _, t := range c.record.Members {
			if t != c.Self && s.down(now, t.Instance) {
				state.downHash ^= rendezvous.Score("down", string(t.Instance))
			}
		}
		states[name] = state
	}
	if maps.Equal(states, s.reported) {
		return
	}
	s.reported = states
	s.UsableChanged(s.Usable())
}
