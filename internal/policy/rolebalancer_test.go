package policy_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

// planTime is a time at which the balancers of the tests have enough samples.
var planTime = time.Unix(0, 0).Add(2 * time.Hour)

// testBalancer returns a RoleBalancer with samples of generations of one kind.
func testBalancer(prefill, decode time.Duration) *policy.RoleBalancer {
	b := &policy.RoleBalancer{}
	start := time.Unix(0, 0)
	for range 100 {
		b.AddPrefill(prefill)
		start = start.Add(time.Minute)
		b.AddDecode(start, decode, 4000, persimmoncart.EngineCapacity{KVTokens: 32000, Slots: 12})
	}
	return b
}

// testEngines returns engines, first those that prefill and then those that
// decode.
func testEngines(prefill, decode int) []*policy.EndpointState {
	var list []*policy.EndpointState
	for n := range prefill + decode {
		role := persimmoncart.RoleDecode
		if n < prefill {
			role = persimmoncart.RolePrefill
		}
		list = append(list, &policy.EndpointState{Endpoint: persimmoncart.Endpoint{
			DataCentre: persimmoncart.DataCentre(fmt.Sprint("d", n%2)), ID: persimmoncart.EndpointID(fmt.Sprintf("e%02d", n)), Role: role,
		}})
	}
	return list
}

// applyPlans changes roles until the plan has no changes, and returns the
// number of prefill engines.
func applyPlans(t *testing.T, b *policy.RoleBalancer, list []*policy.EndpointState) int {
	t.Helper()
	for range 2 * len(list) {
		changes := b.Plan(planTime, list, nil)
		if len(changes) == 0 {
			count := 0
			for _, e := range list {
				if e.Endpoint.Role == persimmoncart.RolePrefill {
					count++
				}
			}
			return count
		}
		for _, c := range changes {
			for _, o := range list {
				if o.Endpoint.ID == c.Endpoint.ID {
					o.Endpoint.Role = c.Role
				}
			}
		}
	}
	t.Fatal("the plan still has changes")
	return 0
}

// Guards against prefill engines that idle while decode engines refuse
// requests, and the reverse, as traffic shifts between long responses and long
// prompts. Also guards against plans that oscillate.
func TestRoleBalancerFollowsTraffic(t *testing.T) {
	long := testBalancer(100*time.Millisecond, 4*time.Second) // 0.1 and 0.5 engine seconds
	assert.Equal(t, applyPlans(t, long, testEngines(6, 12)), 4)
	assert.Equal(t, applyPlans(t, long, testEngines(1, 17)), 3)
	short := testBalancer(200*time.Millisecond, time.Second)
	assert.Equal(t, applyPlans(t, short, testEngines(2, 10)), 8)
}

// Guards against a region left without one of the two roles.
func TestRoleBalancerKeepsOneOfEach(t *testing.T) {
	decodeOnly := testBalancer(time.Millisecond, time.Minute)
	assert.Equal(t, applyPlans(t, decodeOnly, testEngines(3, 3)), 1)
	prefillOnly := testBalancer(time.Minute, time.Millisecond)
	assert.Equal(t, applyPlans(t, prefillOnly, testEngines(3, 3)), 5)
}

// Guards against changes before there are samples, and against a second change
// before the samples show the effect of the first.
func TestRoleBalancerWaits(t *testing.T) {
	assert.Equal(t, len((&policy.RoleBalancer{}).Plan(planTime, testEngines(6, 12), nil)), 0)
	b := testBalancer(100*time.Millisecond, 4*time.Second)
	assert.Equal(t, len(b.Plan(planTime, testEngines(6, 12), map[persimmoncart.EndpointID]bool{"e01": true})), 0)
}

// Guards against wrong changes by an instance that has just started: the first
// responses to end are the short ones, so it would order decode engines to
// prefill at peak load. More traffic must not bring this about either.
func TestRoleBalancerStart(t *testing.T) {
	size := persimmoncart.EngineCapacity{KVTokens: 32000, Slots: 12}
	for _, rate := range []int{4, 40, 400} { // generations a second
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, uint64(rate)))
			type end struct{ at, took time.Duration }
			var ends []end
			for n := range 30 * rate {
				begin := time.Duration(n) * time.Second / time.Duration(rate)
				took := time.Duration(4 * math.Exp(0.7*random.NormFloat64()) * float64(time.Second))
				ends = append(ends, end{at: begin + took, took: took})
			}
			slices.SortFunc(ends, func(a, b end) int { return cmp.Compare(a.at, b.at) })
			b := &policy.RoleBalancer{}
			start := time.Unix(0, 0)
			for _, e := range ends {
				b.AddPrefill(230 * time.Millisecond)
				b.AddDecode(start.Add(e.at), e.took, 4000, size)
				for _, c := range b.Plan(start.Add(e.at), testEngines(3, 5), nil) {
					assert.Assert(t, c.Role != persimmoncart.RolePrefill, "after %s, target %f", e.at, c.Target)
				}
			}
		})
	}
}

// Guards against a change of an engine that other instances have filled, which
// serves nothing until their responses have ended, while an idle one is there.
func TestRoleBalancerLeastUsed(t *testing.T) {
	list := testEngines(0, 4)
	for n, e := range list {
		e.Endpoint.DataCentre = "d0"
		if n != 2 {
			e.SetLoad(planTime, persimmoncart.EndpointLoad{Running: 6, Slots: 12})
		}
	}
	changes := testBalancer(200*time.Millisecond, time.Second).Plan(planTime, list, nil)
	assert.Assert(t, len(changes) > 0)
	assert.Equal(t, changes[0].Endpoint.ID, list[2].Endpoint.ID)
}
