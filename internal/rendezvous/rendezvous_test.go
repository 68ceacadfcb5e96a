package rendezvous_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/persimmoncart/persimmoncart/internal/rendezvous"
)

func ExampleBest() {
	winner, ok := rendezvous.Best("replica-7", []string{"entry-1", "entry-2", "entry-3"})
	again, _ := rendezvous.Best("replica-7", []string{"entry-3", winner, "entry-2", "entry-1"})
	fmt.Println(ok, winner == again)
	// Output: true true
}

// Guards against keys that move although their candidate is still present.
func TestLossMovesOnlyTheLostCandidatesKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := rapid.SliceOfNDistinct(rapid.StringMatching(`e[0-9]{1,4}`), 2, 20, rapid.ID).Draw(t, "candidates")
		key := rapid.String().Draw(t, "key")
		winner, _ := rendezvous.Best(key, candidates)
		ranked := rendezvous.Rank(key, candidates)
		assert.Equal(t, ranked[0], winner)
		lost := rapid.SampledFrom(candidates).Draw(t, "lost")
		rest := slices.DeleteFunc(slices.Clone(candidates), func(c string) bool { return c == lost })
		after, _ := rendezvous.Best(key, rest)
		if lost != winner {
			assert.Equal(t, after, winner)
		} else {
			assert.Equal(t, after, ranked[1])
		}
	})
}

// Guards against an uneven distribution of keys, which would overload one owner.
func TestSpread(t *testing.T) {
	candidates := []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"}
	counts := map[string]int{}
	const keys = 8000
	for i := range keys {
		winner, _ := rendezvous.Best(fmt.Sprintf("k%d", i), candidates)
		counts[winner]++
	}
	for _, c := range candidates {
		assert.Assert(t, counts[c] > 850 && counts[c] < 1150, "%s: %d", c, counts[c])
	}
}
