package ownership_test

import (
	"fmt"
	"math/big"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/ownership"
	"github.com/persimmoncart/persimmoncart/internal/rendezvous"
)

func ExampleAssign() {
	owners := ownership.Assign(
		[]persimmoncart.InstanceID{"kass-1", "kass-2"},
		[]persimmoncart.EndpointID{"hull-1", "hull-2", "hull-3", "hull-4"},
	)
	counts := map[persimmoncart.InstanceID]int{}
	for _, o := range owners {
		counts[o]++
	}
	fmt.Println(len(owners), counts["kass-1"] <= 3, counts["kass-2"] <= 3)
	// Output: 4 true true
}

// naive is a reference implementation of Assign. It sorts all members for each
// replica.
func naive(members []string, replicas []string) map[string]string {
	owners, owned := map[string]string{}, map[string]int{}
	bound := new(big.Rat).SetFrac64(int64(5*len(replicas)), int64(4*len(members)))
	slices.SortFunc(replicas, func(a, b string) int {
		return new(big.Int).SetUint64(xxhash.Sum64String(a)).Cmp(new(big.Int).SetUint64(xxhash.Sum64String(b)))
	})
	for _, r := range replicas {
		order := slices.Clone(members)
		slices.SortFunc(order, func(a, b string) int {
			x, y := rendezvous.Score(r, a), rendezvous.Score(r, b)
			return new(big.Int).SetUint64(y).Cmp(new(big.Int).SetUint64(x))
		})
		for _, m := range order {
			// A member takes another replica while it owns fewer than the bound.
			if new(big.Rat).SetInt64(int64(owned[m])).Cmp(bound) < 0 {
				owners[r] = m
				owned[m]++
				break
			}
		}
	}
	return owners
}

// Guards against an owner that depends on the order of members or replicas, or
// that differs from bounded rendezvous hashing.
func TestAssignNaive(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		members := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{1,6}"), 1, 15, rapid.ID[string]).Draw(r, "members")
		replicas := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{1,6}"), 0, 80, rapid.ID[string]).Draw(r, "replicas")
		var ms []persimmoncart.InstanceID
		var rs []persimmoncart.EndpointID
		for _, m := range rapid.Permutation(members).Draw(r, "order") {
			ms = append(ms, persimmoncart.InstanceID(m))
		}
		for _, x := range rapid.Permutation(replicas).Draw(r, "replica order") {
			rs = append(rs, persimmoncart.EndpointID(x))
		}
		got := map[string]string{}
		for x, m := range ownership.Assign(ms, rs) {
			got[string(x)] = string(m)
		}
		assert.DeepEqual(r, got, naive(members, replicas))
	})
}

// Guards against the loss of one instance moving many more replicas than its
// own.
func TestAssignMoved(t *testing.T) {
	var members []persimmoncart.InstanceID
	for i := range 12 {
		members = append(members, persimmoncart.InstanceID(fmt.Sprintf("i-%d", i)))
	}
	var replicas []persimmoncart.EndpointID
	for i := range 314 {
		replicas = append(replicas, persimmoncart.EndpointID(fmt.Sprintf("replica-%d", i)))
	}
	before := ownership.Assign(members, replicas)
	for gone := range members {
		after := ownership.Assign(slices.Delete(slices.Clone(members), gone, gone+1), replicas)
		moved := 0
		for _, r := range replicas {
			if before[r] != after[r] {
				moved++
			}
		}
		// Twice the ideal share allows for replicas that move because the bound
		// on each owner has changed.
		assert.Assert(t, moved <= 2*ownership.MaxOwned(12, 314), "%d moved", moved)
	}
}
