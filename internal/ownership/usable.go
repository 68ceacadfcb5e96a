package ownership

import (
	"maps"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/rendezvous"
)

// A regionReplicas caches the engines of the region in one version of the
// configuration.
type regionReplicas struct {
	cells   map[persimmoncart.DataCentre][]persimmoncart.EndpointID // by data centre, sorted
	version uint64
}

// configuredReplicas returns the configured engines of the region by data
// centre.
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

// Usable returns the replicas that this instance may use now without asking
// another instance: those that it owns, with all slots, and those without a
// confirmed owner, with its static share of the slots. The caller holds the
// Lock of Members.
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
		shareCounts := map[persimmoncart.InstanceID]int{}
		for _, id := range c.record.Replicas {
			owner, _ := c.record.Owner(id)
			shares, found := shareCounts[owner]
			if !found || owner == c.Self.Instance {
				shares = c.StaticShareCount(now, id, func(i persimmoncart.InstanceID) bool { return s.down(now, i) })
				shareCounts[owner] = shares
			}
			if e := snapshot.Endpoints[id]; e != nil && shares > 0 && e.Slots/shares > 0 && !c.Owns(now, id) {
				usable = append(usable, persimmoncart.UsableReplica{Blocks: e.Blocks / shares, Endpoint: id, Slots: e.Slots / shares})
			}
		}
	}
	return usable
}

// A usableState summarises the state of a cell on which the usable replicas
// depend. It changes rarely and is cheap to compare.
type usableState struct {
	configuration uint64 // version
	downHash      uint64 // over the members that are silent or dead
	epoch         uint64
	ownsAny       bool // this instance has a confirmed or a retained ownership
	staticShares  bool // StaticShareDelay has passed without a confirmed ownership
}

// reportUsable calls UsableChanged if the usable replicas may have changed.
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
