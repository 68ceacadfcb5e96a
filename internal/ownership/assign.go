// Package ownership decides which instance owns a replica and makes sure that
// two instances never own one at the same time.
//
// Machine is the protocol of one instance for one cell as pure code; Service
// runs it with the store, membership and the transport. The argument for its
// safety is in docs/decisions/0051-ownership-by-epoch.md.
package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/rendezvous"
)

// An owner holds at most loadNumerator/loadDenominator times the mean number of
// replicas, rounded up.
const (
	loadDenominator = 4
	loadNumerator   = 5
)

// Assign returns the owner of each replica: the rendezvous winner among the
// members that are not full. The result depends only on the two sets.
func Assign(members []persimmoncart.InstanceID, replicas []persimmoncart.EndpointID) map[persimmoncart.EndpointID]persimmoncart.InstanceID {
	owners := make(map[persimmoncart.EndpointID]persimmoncart.InstanceID, len(replicas))
	if len(members) == 0 {
		return owners
	}
	members = slices.Sorted(slices.Values(members))
	bound := MaxOwned(len(members), len(replicas))
	held := make([]int, len(members))
	for _, r := range sortedByHash(replicas) {
		best, weight := -1, uint64(0)
		for i, m := range members {
			if held[i] >= bound {
				continue
			}
			if w := rendezvous.Score(string(r), string(m)); best < 0 || w > weight {
				best, weight = i, w
			}
		}
		held[best]++
		owners[r] = members[best]
	}
	return owners
}

// MaxOwned returns the highest number of replicas that one of the members owns.
func MaxOwned(members, replicas int) int {
	return (loadNumerator*replicas + loadDenominator*members - 1) / (loadDenominator * members)
}

// sortedByHash returns the replicas in an order that does not favour names.
func sortedByHash(replicas []persimmoncart.EndpointID) []persimmoncart.EndpointID {
	sorted := slices.Clone(replicas)
	slices.SortFunc(sorted, func(a, b persimmoncart.EndpointID) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))), cmp.Compare(a, b))
	})
	return slices.Compact(sorted)
}
