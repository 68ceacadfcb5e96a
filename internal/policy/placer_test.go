package policy

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/persimmoncart/persimmoncart"
)

// testReplica returns a replica in data centre c of region c/2.
func testReplica(id string, role persimmoncart.Role, c, slots, blocks int) *Replica {
	return NewReplica(persimmoncart.Endpoint{
		Blocks: blocks, DataCentre: persimmoncart.DataCentre("c" + strconv.Itoa(c)), ID: persimmoncart.EndpointID(id),
		Models: []persimmoncart.ModelName{"m"}, Pool: "p", Region: persimmoncart.Region("r" + strconv.Itoa(c/2)),
		Role: role, Slots: slots,
	}, slots, blocks)
}

// testPlacer returns a Placer without recorded state.
func testPlacer() *Placer {
	return &Placer{Links: NewLinks(1), MaxPrefillWait: DefaultMaxPrefillWait, Prefixes: NewPrefixIndex(100), TokenBytes: DefaultTokenBytes}
}

// naiveChoose compares all pairs of replicas and returns the lowest cost in
// seconds.
func naiveChoose(p *Placer, request *PlacementRequest, prefills, decodes []*Replica) float64 {
	best := math.Inf(1)
	usable := func(r *Replica) bool {
		return r.Weight > 0 && !r.Endpoint.Leaving && r.usedSlots < r.Slots && !slices.Contains(request.Avoid, r.Endpoint.ID)
	}
	for _, f := range prefills {
		wait := max(f.busyUntil.Sub(testStart), 0)
		if !usable(f) || wait > p.MaxPrefillWait {
			continue
		}
		tokens := request.Tokens - min(p.Prefixes.CachedTokens(testStart, f.Endpoint.ID, request.Prefixes), request.Tokens)
		prefill := wait.Seconds() + float64(tokens)/(f.PrefillRate*f.Weight)
		for _, d := range decodes {
			if !usable(d) || d.usedBlocks+request.Blocks > d.Blocks || d.Endpoint.Region != f.Endpoint.Region {
				continue
			}
			transfer := float64(request.Tokens) * p.TokenBytes / DefaultLinkRate
			load := float64(d.usedSlots) / float64(d.Slots) * loadPenalty.Seconds() / d.Weight
			best = math.Min(best, prefill+transfer+load)
		}
	}
	return best
}

// Guards against a pair of replicas that does not fit, is in two regions, or is
// not the best one.
func TestPlacerDifferential(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := testPlacer()
		var prefills, decodes []*Replica
		draw := func(role persimmoncart.Role, n int) (list []*Replica) {
			for i := range n {
				r := testReplica(role.String()+strconv.Itoa(i), role, rapid.IntRange(0, 3).Draw(t, "centre"), 4, 20)
				r.usedSlots = rapid.IntRange(0, 4).Draw(t, "used")
				r.usedBlocks = rapid.IntRange(0, 20).Draw(t, "blocks")
				r.Weight = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "weight")
				r.Endpoint.Leaving = rapid.IntRange(0, 9).Draw(t, "leaving") == 0
				r.busyUntil = testStart.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "busy")) * time.Millisecond)
				if rapid.Bool().Draw(t, "cached") {
					p.Prefixes.Add(testStart, r.Endpoint.ID, 1)
				}
				list = append(list, r)
			}
			return list
		}
		prefills = draw(persimmoncart.RolePrefill, rapid.IntRange(0, 4).Draw(t, "prefills"))
		decodes = draw(persimmoncart.RoleDecode, rapid.IntRange(0, 6).Draw(t, "decodes"))
		request := &PlacementRequest{
			Avoid: []persimmoncart.EndpointID{"decode0"}, Blocks: rapid.IntRange(1, 8).Draw(t, "need"),
			Class: persimmoncart.ClassInteractive, Model: "m", Prefixes: []uint64{1}, Tokens: rapid.IntRange(1, 9000).Draw(t, "tokens"),
		}
		want := naiveChoose(p, request, prefills, decodes)
		c, found := p.Choose(testStart, request, prefills, decodes)
		assert.Equal(t, found, !math.IsInf(want, 1))
		if found {
			got := c.ExpectedFirstToken.Seconds() + c.Decode.loadCost().Seconds()
			assert.Assert(t, math.Abs(got-want) < 1e-6, "cost %v, best %v", got, want)
			assert.Equal(t, c.Prefill.Endpoint.Region, c.Decode.Endpoint.Region)
		}
	})
}

// Guards against a decision that takes longer than 20 µs, or allocates more
// with the number of replicas: 28 are owned by one instance and 314 are in a
// cell.
func BenchmarkPlacer(b *testing.B) {
	for _, n := range []int{28, 314} {
		b.Run(fmt.Sprintf("replicas=%d", n), func(b *testing.B) {
			p := testPlacer()
			var prefills, decodes []*Replica
			for i := range n {
				if i%6 == 0 {
					prefills = append(prefills, testReplica("p"+strconv.Itoa(i), persimmoncart.RolePrefill, i%2, 64, 0))
				} else {
					decodes = append(decodes, testReplica("d"+strconv.Itoa(i), persimmoncart.RoleDecode, i%2, 20, 170))
				}
			}
			request := &PlacementRequest{Blocks: 5, Class: persimmoncart.ClassBatch, Model: "m", Prefixes: []uint64{1, 2, 3, 4}, Tokens: 4000}
			for _, r := range prefills[:min(len(prefills), 20)] {
				p.Prefixes.Add(testStart, r.Endpoint.ID, 2)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, found := p.Choose(testStart, request, prefills, decodes); !found {
					b.Fatal("no choice")
				}
			}
		})
	}
}

// benchEffects records the last grant and ignores everything else.
type benchEffects struct{ granted persimmoncart.GrantID }

func (*benchEffects) Borrow(persimmoncart.InstanceID, persimmoncart.BorrowRequest)     {}
func (e *benchEffects) Grant(_ uint64, g persimmoncart.Grant)                          { e.granted = g.ID }
func (*benchEffects) ReplyBorrow(uint64, persimmoncart.Loan)                           {}
func (*benchEffects) Refuse(uint64, *persimmoncart.Refusal)                            {}
func (*benchEffects) UpdateSlots(persimmoncart.InstanceID, []persimmoncart.LoanChange) {}

// Guards against a whole decision, from the admission queue to the release,
// that costs more in a larger deployment. One of 400 instances with 11,000
// replicas owns 28 of them and receives digests of the 10 other owners of its
// cell and 30 of its region.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ nodes, replicas, peers int }{{8, 20, 7}, {400, 11000, 40}} {
		b.Run(fmt.Sprintf("nodes=%d/replicas=%d", size.nodes, size.replicas), func(b *testing.B) {
			e := &benchEffects{}
			broker, _ := testBroker(e, "n0", 0, max(size.replicas/size.nodes, 2))
			for i := range size.peers {
				broker.UpdateDigest(persimmoncart.Digest{Instance: persimmoncart.InstanceID("peer" + strconv.Itoa(i)), Pools: []persimmoncart.PoolDigest{
					{DataCentre: "c0", FreeSlots: 10, Model: "m", Pool: "p", Region: "r0", Role: persimmoncart.RoleDecode, Slots: 100},
					{DataCentre: "c0", FreeSlots: 10, Model: "m", Pool: "p", Region: "r0", Role: persimmoncart.RolePrefill, Slots: 100},
				}, Sequence: 1}, time.Millisecond)
			}
			request := testRequest(persimmoncart.ClassBatch, time.Hour)
			b.ReportAllocs()
			for b.Loop() {
				if _, refusal := broker.Submit(testStart, request, 1); refusal != nil {
					b.Fatal(refusal)
				}
				broker.Step(testStart)
				broker.Commit(testStart, e.granted)
				broker.Release(testStart, e.granted)
			}
		})
	}
}
