package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/persimmoncart/persimmoncart"
)

// naiveHint is one record of the naive prefix index.
type naiveHint struct {
	at     time.Time
	gaps   int
	prefix uint64
	owner  persimmoncart.EndpointID
}

// Guards against hints that remain after an eviction or keep their weight after
// a gap in the events, and against an index that returns more than the longest
// recorded prefix.
func TestPrefixIndexDifferential(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		index, now := NewPrefixIndex(1000), testStart
		var hints []naiveHint
		gaps, last := map[persimmoncart.EndpointID]int{}, map[persimmoncart.EndpointID]uint64{}
		replicas := []persimmoncart.EndpointID{"a", "b", "c"}
		prompt := []uint64{1, 2, 3, 4}
		confidence := func(h naiveHint) float64 {
			return math.Exp2(-now.Sub(h.at).Seconds()/30) * math.Pow(0.5, float64(gaps[h.owner]-h.gaps))
		}
		t.Repeat(map[string]func(*rapid.T){
			"event": func(t *rapid.T) {
				r, p := rapid.SampledFrom(replicas).Draw(t, "replica"), rapid.SampledFrom(prompt).Draw(t, "prefix")
				e := persimmoncart.CacheEvent{Evicted: rapid.Bool().Draw(t, "evicted"), Prefix: p, Sequence: last[r] + rapid.Uint64Range(1, 2).Draw(t, "step")}
				index.Apply(now, r, e)
				if last[r] != 0 && e.Sequence != last[r]+1 {
					gaps[r]++
				}
				last[r] = e.Sequence
				hints = slices.DeleteFunc(hints, func(h naiveHint) bool { return h.owner == r && h.prefix == p })
				if !e.Evicted {
					hints = append(hints, naiveHint{at: now, gaps: gaps[r], prefix: p, owner: r})
				}
			},
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
			},
			"": func(t *rapid.T) {
				for _, r := range replicas {
					want := 0
					for i, p := range prompt {
						for _, h := range hints {
							if c := confidence(h); h.owner == r && h.prefix == p && c >= prefixMinConfidence {
								want = int(float64((i+1)*persimmoncart.BlockTokens) * c)
							}
						}
					}
					got := index.CachedTokens(now, r, prompt)
					assert.Assert(t, math.Abs(float64(got-want)) <= 1, "%s: %d, want %d", r, got, want)
				}
			},
		})
	})
}

// Guards against memory that grows with the number of prompts.
func TestPrefixIndexBounded(t *testing.T) {
	index := NewPrefixIndex(64)
	for i := range uint64(1000) {
		index.Add(testStart, "a", i)
		assert.Assert(t, index.Len() <= 64)
	}
	assert.Equal(t, index.CachedTokens(testStart, "a", []uint64{999}), persimmoncart.BlockTokens)
	index.RemoveReplica("a")
	assert.Equal(t, index.CachedTokens(testStart, "a", []uint64{999}), 0)
}

// Guards against transfers granted beyond the rate of a link. The reference
// model transfers one after the other.
func TestLinksDifferential(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		links := NewLinks(0.5)
		links.SetRate("a", "b", 200)
		ends, now := testStart, testStart
		for range rapid.IntRange(1, 20).Draw(t, "n") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "gap")) * time.Second)
			size := float64(rapid.IntRange(0, 1000).Draw(t, "size"))
			begin := now
			if ends.After(begin) {
				begin = ends
			}
			want := begin.Add(time.Duration(size / 100 * float64(time.Second)))
			assert.Equal(t, links.TransferTime(now, "a", "b", size), want.Sub(now))
			assert.Equal(t, links.TransferTime(now, "b", "a", 0), time.Duration(0))
			if rapid.Bool().Draw(t, "reserve") {
				ends = links.Reserve(now, "a", "b", size)
				assert.Assert(t, ends.Equal(want))
			}
		}
	})
}

// Guards against the choice of a worse owner among those compared, and against
// all instances with the same digests choosing the same owner.
func TestChooseOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owners := make([]OwnerLoad, rapid.IntRange(0, 8).Draw(t, "n"))
		for i := range owners {
			owners[i] = OwnerLoad{FreeSlots: rapid.IntRange(0, 3).Draw(t, "free"), Slots: 10, Wait: time.Duration(rapid.IntRange(0, 2).Draw(t, "wait"))}
		}
		i := ChooseOwner(rand.New(rand.NewPCG(1, 2)), owners, len(owners))
		assert.Equal(t, i < 0, len(owners) == 0)
		for _, o := range owners {
			best := owners[i]
			assert.Assert(t, best.FreeSlots > 0 || o.FreeSlots == 0)
			if (best.FreeSlots > 0) == (o.FreeSlots > 0) {
				assert.Assert(t, best.Wait < o.Wait || best.Wait == o.Wait && best.FreeSlots >= o.FreeSlots)
			}
		}
	})
	owners, random, chosen := make([]OwnerLoad, 40), rand.New(rand.NewPCG(1, 2)), map[int]int{}
	for i := range owners {
		owners[i] = OwnerLoad{FreeSlots: i, Slots: 40}
	}
	for range 1000 {
		chosen[ChooseOwner(random, owners, ownerChoices)]++
	}
	assert.Assert(t, len(chosen) > 20 && chosen[39] < 150, "choices are not spread: %v", chosen)
}

// Guards against a borrow for more items than are waiting or than one message
// holds.
func TestBorrowSize(t *testing.T) {
	for _, c := range []struct{ waiting, asked, limit, want int }{
		{0, 0, 16, 0}, {3, 1, 16, 2}, {3, 5, 16, 0}, {40, 2, 16, 16},
	} {
		assert.Equal(t, BorrowSize(c.waiting, c.asked, c.limit), c.want)
	}
}
