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

// planTime is a time at which all that was learned is of use.
var planTime = time.Unix(0, 0).Add(2 * time.Hour)

// learned returns stages that have seen generations of one kind.
func testBalancer(prefill, decode time.Duration) *policy.RoleBalancer {
	s := &policy.RoleBalancer{}
	start := time.Unix(0, 0)
	for range 100 {
		s.AddPrefill(prefill)
		start = start.Add(time.Minute)
		s.AddDecode(start, decode, 4000, persimmoncart.EngineCapacity{KVTokens: 32000, Slots: 12})
	}
	return s
}

// engines returns engines of which the first prefill.
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

// settle changes roles until the plan is content, and returns the prefill engines.
func applyPlans(t *testing.T, s *policy.RoleBalancer, list []*policy.EndpointState) int {
	t.Helper()
	for range 2 * len(list) {
		changes := s.Plan(planTime, list, nil)
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
	t.Fatal("the plan does not settle")
	return 0
}

// Guards against prefill engines that idle while decode engines turn requests
// away, and the reverse, as traffic shifts between long answers and long prompts;
// and against plans that go to and fro.
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

// Guards against orders before anything is known, and against a second order
// before the first shows its effect.
func TestRoleBalancerWaits(t *testing.T) {
	assert.Equal(t, len((&policy.RoleBalancer{}).Plan(planTime, testEngines(6, 12), nil)), 0)
	s := testBalancer(100*time.Millisecond, 4*time.Second)
	assert.Equal(t, len(s.Plan(planTime, testEngines(6, 12), map[persimmoncart.EndpointID]bool{"e01": true})), 0)
}

// Guards against an instance that has just started and knows only the answers
// that ended first, which are the short ones: it would order decode engines to
// prefill in the crest. The same must not follow from more traffic.
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
			s := &policy.RoleBalancer{}
			start := time.Unix(0, 0)
			for _, e := range ends {
				s.AddPrefill(230 * time.Millisecond)
				s.AddDecode(start.Add(e.at), e.took, 4000, size)
				for _, c := range s.Plan(start.Add(e.at), testEngines(3, 5), nil) {
					assert.Assert(t, c.Role != persimmoncart.RolePrefill, "after %s, target %f", e.at, c.Target)
				}
			}
		})
	}
}

// Guards against an order to an engine that other instances have filled, which
// serves nothing until their answers have ended, while an idle one is there.
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
