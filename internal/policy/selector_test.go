package policy_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

// testSelector returns a Selector of application endpoints in the given data
// centres. A region is named by the first letter.
func testSelector(centres ...string) *policy.Selector {
	s := &policy.Selector{}
	for n, p := range centres {
		s.Endpoints = append(s.Endpoints, &policy.EndpointState{Endpoint: persimmoncart.Endpoint{
			DataCentre: persimmoncart.DataCentre(p), ID: persimmoncart.EndpointID(rune('a' + n)),
			Region: persimmoncart.Region(p[:1]), Role: persimmoncart.RoleApplication, Slots: 6,
		}})
	}
	return s
}

// Guards against a small pool all of whose endpoints are kept for urgent requests, by
// which the others would find none as long as they arrive.
func TestSelectorReserved(t *testing.T) {
	for _, c := range []struct {
		endpoints, reserved int
		share               float64
	}{{1, 0, 0.9}, {5, 0, 0.17}, {6, 1, 0.17}, {40, 6, 0.17}, {4, 3, 1}} {
		s := testSelector(slices.Repeat([]string{"r1"}, c.endpoints)...)
		random, used := rand.New(rand.NewPCG(1, 1)), make(map[persimmoncart.EndpointID]bool)
		for range 5000 {
			e := s.Pick(time.Unix(0, 0), random, &policy.SelectorRequest{DataCentre: "r1", Region: "r", Reserved: c.share, Role: persimmoncart.RoleApplication})
			used[e.Endpoint.ID] = true
		}
		assert.Equal(t, len(used), c.endpoints-c.reserved, "%d endpoints", c.endpoints)
	}
}

// countPicks returns how often each endpoint is chosen for a request from data
// centre r1.
func countPicks(s *policy.Selector, now time.Time, runOnce bool) map[persimmoncart.EndpointID]int {
	random := rand.New(rand.NewPCG(1, 1))
	counts := make(map[persimmoncart.EndpointID]int)
	for range 1000 {
		e := s.Pick(now, random, &policy.SelectorRequest{
			DataCentre: "r1", Region: "r", Role: persimmoncart.RoleApplication, RunOnce: runOnce,
		})
		counts[e.Endpoint.ID]++
	}
	return counts
}

// Guards against requests that are sent to another data centre or region, which
// is slow and billed by volume, while a near endpoint is idle.
func TestSelectorPrefersNear(t *testing.T) {
	now := time.Unix(0, 0)
	s := testSelector("r1", "r2", "q1")
	counts := countPicks(s, now, false)
	assert.Assert(t, counts["a"] > 600, "%v", counts)
	assert.Equal(t, counts["c"], 0)
	// Once the near endpoints are overloaded, the other region is used.
	s.Endpoints[0].InFlight, s.Endpoints[1].InFlight = 20, 20
	assert.Assert(t, countPicks(s, now, false)["c"] > 900)
}

// Guards against an endpoint that fails part of its requests while it passes
// its health check: it must lose nearly all requests that may run only once,
// and get some again once its failures are old.
func TestSelectorAvoidsFailing(t *testing.T) {
	now := time.Unix(0, 0)
	s := testSelector("r1", "r1")
	for range 2 {
		s.Endpoints[0].Failures.Fail(now)
	}
	assert.Equal(t, countPicks(s, now, true)["a"], 0)
	assert.Assert(t, countPicks(s, now.Add(30*time.Second), true)["a"] > 200)
}

// Guards against one request that endpoints answer with an error, whose own fault it may
// be, and after which all requests cross to another region; and against an endpoint that
// answers most requests so and keeps its share.
func TestSelectorErrorStatus(t *testing.T) {
	now := time.Unix(0, 0)
	s := testSelector("r1", "q1")
	s.Endpoints[0].Failures.FailWithStatus(now)
	assert.Equal(t, countPicks(s, now, true)["b"], 0)
	s = testSelector("r1", "r1")
	for range 4 {
		s.Endpoints[0].Failures.FailWithStatus(now)
	}
	assert.Equal(t, countPicks(s, now, true)["a"], 0)
}

// Guards against a slow machine that keeps its share of requests, and against
// the use of an old report.
func TestSelectorAvoidsSlow(t *testing.T) {
	now := time.Unix(0, 0)
	s := testSelector("r1", "r1")
	s.Endpoints[0].SetLoad(now, persimmoncart.EndpointLoad{Slots: 6, Slowdown: 2.5})
	assert.Equal(t, countPicks(s, now, false)["a"], 0)
	assert.Assert(t, countPicks(s, now.Add(5*time.Second), false)["a"] > 300)
}

// Guards against instances that each fill an engine which others have filled
// already.
func TestSelectorFreeCapacity(t *testing.T) {
	now := time.Unix(0, 0)
	random := rand.New(rand.NewPCG(1, 1))
	e := &policy.EndpointState{Endpoint: persimmoncart.Endpoint{DataCentre: "r1", ID: "e", Region: "r", Role: persimmoncart.RoleDecode}}
	s := &policy.Selector{Endpoints: []*policy.EndpointState{e}}
	request := &policy.SelectorRequest{
		DataCentre: "r1", Region: "r", Role: persimmoncart.RoleDecode, MinFreeTokens: 4000,
		Size: persimmoncart.EngineCapacity{KVTokens: 32000, Slots: 12}, Tokens: 4000,
	}
	e.InFlight, e.Tokens = 4, 16000
	assert.Assert(t, s.Pick(now, random, request) != nil)
	e.SetLoad(now, persimmoncart.EndpointLoad{Running: 8, Slots: 12}) // four of them from other instances
	assert.Assert(t, s.Pick(now, random, request) == nil)
	// To a large request, an engine with smaller ones of others is not full.
	request.OtherTokens = 3000
	assert.Assert(t, s.Pick(now, random, request) != nil)
	request.OtherTokens = 0
	assert.Equal(t, s.MeanTokens(persimmoncart.RoleDecode), 4000)
	assert.Equal(t, s.MeanTokens(persimmoncart.RolePrefill), 0)
	assert.Assert(t, s.Pick(now.Add(10*time.Second), random, request) != nil)
	e.MarkFull(now.Add(10 * time.Second))
	assert.Assert(t, s.Pick(now.Add(10*time.Second), random, request) == nil)
	e.ClearFull()
	assert.Assert(t, s.Pick(now.Add(10*time.Second), random, request) != nil)
	// An engine that grants reservations and then refuses the requests would have
	// each prompt prefilled in vain, even if it is the only engine.
	e.ReservationRefused(now.Add(10 * time.Second))
	assert.Assert(t, s.Pick(now.Add(10*time.Second), random, request) != nil)
	e.ReservationRefused(now.Add(10 * time.Second))
	assert.Assert(t, s.Pick(now.Add(11*time.Second), random, request) == nil)
	assert.Assert(t, s.Pick(now.Add(20*time.Second), random, request) != nil)
}

// Guards against work for endpoints that are leaving or missing while others
// are there.
func TestSelectorLeaving(t *testing.T) {
	now := time.Unix(0, 0)
	s := testSelector("r1", "r1", "q1")
	s.Endpoints[0].Endpoint.Leaving = true
	s.Endpoints[1].Missing = true
	assert.Equal(t, countPicks(s, now, false)["c"], 1000)
	s.Endpoints = s.Endpoints[:2]
	assert.Equal(t, countPicks(s, now, false)["b"], 1000)
}

// Guards against requests to an endpoint that has left without notice, at a crest at
// which the queues of the others cost more than a last resort, and against giving
// the load of all to the few endpoints that the store lists first after an outage.
func TestSelectorMissingAtCrest(t *testing.T) {
	now := time.Unix(100, 0)
	for _, c := range []struct {
		name    string
		missing int // of 6 endpoints
		used    bool
	}{
		{name: "one has left", missing: 1},
		{name: "two have left", missing: 2},
		{name: "records lapsed", missing: 5, used: true},
		{name: "all records lapsed", missing: 6, used: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := policy.Selector{}
			for n := range 6 {
				e := &policy.EndpointState{Endpoint: persimmoncart.Endpoint{Role: persimmoncart.RoleApplication, Slots: 6}, Missing: n < c.missing}
				if !e.Missing {
					e.InFlight = 2000
				}
				s.Endpoints = append(s.Endpoints, e)
			}
			used := false
			for seed := range uint64(50) {
				got := s.Pick(now, rand.New(rand.NewPCG(seed, 1)), &policy.SelectorRequest{Role: persimmoncart.RoleApplication})
				used = used || got.Missing
			}
			assert.Equal(t, used, c.used)
		})
	}
}

// BenchmarkPick measures the choice among 72 engines, with and without estimates.
func BenchmarkPick(b *testing.B) {
	for _, c := range []struct {
		name     string
		adaptive bool
		role     persimmoncart.Role
	}{
		{name: "decode", role: persimmoncart.RoleDecode},
		{name: "decode adaptive", adaptive: true, role: persimmoncart.RoleDecode},
		{name: "plain", role: persimmoncart.RoleApplication},
		{name: "plain adaptive", adaptive: true, role: persimmoncart.RoleApplication},
	} {
		b.Run(c.name, func(b *testing.B) {
			s, random, now := busySelector(c.adaptive, c.role)
			request := busyRequest(c.role)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				s.Pick(now, random, request)
			}
		})
	}
}

// busySelector returns a Selector of 72 endpoints that have served requests.
func busySelector(adaptive bool, role persimmoncart.Role) (*policy.Selector, *rand.Rand, time.Time) {
	s, random, now := &policy.Selector{Adaptive: adaptive}, rand.New(rand.NewPCG(1, 1)), time.Unix(1000, 0)
	for n := range 72 {
		s.Endpoints = append(s.Endpoints, &policy.EndpointState{Endpoint: persimmoncart.Endpoint{
			DataCentre: "r1", ID: persimmoncart.EndpointID(rune('a' + n)), Region: "r", Role: role, Slots: 16,
		}})
	}
	s.Pick(now, random, busyRequest(role))
	for n, e := range s.Endpoints {
		e.SetLoad(now, persimmoncart.EndpointLoad{Running: n % 9, Slots: 16, Slowdown: 1})
		e.AddWork(now, 20*time.Millisecond, 1)
		e.AddStream(now, time.Second, 66)
	}
	return s, random, now
}

// busyRequest returns a request for an endpoint of busySelector.
func busyRequest(role persimmoncart.Role) *policy.SelectorRequest {
	r := &policy.SelectorRequest{DataCentre: "r1", Region: "r", Role: role}
	if role == persimmoncart.RoleDecode {
		r.MinFreeTokens, r.Size, r.Tokens = 3300, persimmoncart.EngineCapacity{KVTokens: 26331, Slots: 16}, 3300
	}
	return r
}

// Guards against an allocation for each choice and each response.
func TestSelectorAllocates(t *testing.T) {
	for _, role := range []persimmoncart.Role{persimmoncart.RoleApplication, persimmoncart.RoleDecode, persimmoncart.RolePrefill} {
		s, random, now := busySelector(true, role)
		request := busyRequest(role)
		assert.Equal(t, testing.AllocsPerRun(1000, func() {
			now = now.Add(time.Millisecond)
			e := s.Pick(now, random, request)
			e.SetLoad(now, persimmoncart.EndpointLoad{Running: 1, Slots: 16, Slowdown: 1})
			e.AddWork(now, 20*time.Millisecond, 1)
			e.AddStream(now, time.Second, 66)
		}), 0.0)
	}
}
