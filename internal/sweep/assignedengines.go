package sweep

import (
	"cmp"
	"slices"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/rendezvous"
)

// AssignedEngines returns the engines that the instance self sweeps, sorted by
// identifier: those for which it ranks first by rendezvous hashing among the live
// instances of the engine's region, or among all live instances if the region has
// none.
//
// The instances need not agree on the members: if their views differ, two
// instances may sweep the same engine and cancel the same work, which is harmless.
func AssignedEngines(self persimmoncart.Instance, members []persimmoncart.Member, snapshot *persimmoncart.Snapshot) []persimmoncart.Endpoint {
	all := []persimmoncart.InstanceID{self.ID}
	regions := map[persimmoncart.Region][]persimmoncart.InstanceID{self.Region: {self.ID}}
	for _, m := range members {
		if m.State != persimmoncart.MemberAlive || m.Instance.ID == self.ID {
			continue
		}
		all = append(all, m.Instance.ID)
		regions[m.Instance.Region] = append(regions[m.Instance.Region], m.Instance.ID)
	}
	var assigned []persimmoncart.Endpoint
	for id, e := range snapshot.Endpoints {
		if e.Role == persimmoncart.RoleApplication {
			continue
		}
		candidates := regions[e.Region]
		if len(candidates) == 0 {
			candidates = all
		}
		if best, _ := rendezvous.Best(string(id), candidates); best == self.ID {
			assigned = append(assigned, *e)
		}
	}
	slices.SortFunc(assigned, func(a, b persimmoncart.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return assigned
}
