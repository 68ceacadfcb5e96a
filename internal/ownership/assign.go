// Package ownership assigns each replica to one owning instance and ensures
// that no two instances own a replica at the same time. A cell is a data centre
// with its instances and replicas. Its replicas are owned by its own instances,
// or by those of another cell while it has none. The members that own a cell's
// replicas change in epochs, each with a record in the store.
//
// Machine is the protocol of one instance for one cell, without any I/O;
// Service connects it to the store, membership and the transport. The safety
// argument is in docs/decisions/0051-ownership-by-epoch.md.
package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/rendezvous"
)

// A member owns at most loadNumerator/loadDenominator times the mean number of
// replicas per member, rounded up.
const (
	loadDenominator = 4
	loadNumerator   = 5
)

// Assign returns the owner of each replica by rendezvous hashing with bounded
// loads: the member with the highest score among those with fewer than MaxOwned
// replicas. The result depends only on the two sets.
func Assign(members []persimmoncart.InstanceID, replicas []persimmoncart.EndpointID) map[persimmoncart.EndpointID]persimmoncart.InstanceID {
	owners := make(map[persimmoncart.EndpointID]persimmoncart.InstanceID, len(replicas))
	if len(members) == 0 {
		return owners
	}
	members = slices.Sorted(slices.Values(members))
	bound := MaxOwned(len(members), len(replicas))
	owned := make([]int, len(members))
	for _, r := range sortedByHash(replicas) {
		best, bestScore := -1, uint64(0)
		for i, m := range members {
			if owned[i] >= bound {
				continue
			}
			if score := rendezvous.Score(string(r), string(m)); best < 0 || score > bestScore {
				best, bestScore = i, score
			}
		}
		owned[best]++
		owners[r] = members[best]
	}
	return owners
}

// MaxOwned returns the highest number of replicas that one of the members may
// own.
func MaxOwned(members, replicas int) int {
	return (loadNumerator*replicas + loadDenominator*members - 1) / (loadDenominator * members)
}

// sortedByHash returns the distinct replicas in the order of their hashes, so
// that the order favours no names.
func sortedByHash(replicas []persimmoncart.EndpointID) []persimmoncart.EndpointID {
	sorted := slices.Clone(replicas)
	slices.SortFunc(sorted, func(a, b persimmoncart.EndpointID) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))), cmp.Compare(a, b))
	})
	return slices.Compact(sorted)
}
