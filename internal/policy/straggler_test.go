package policy

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/persimmoncart/persimmoncart"
)

// Guards against the ejection of more than a third of the pool, whatever the
// latencies.
func TestStragglersKeepTwoThirds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := NewStragglerDetector(), testStart
		size, reported := rapid.IntRange(1, 12).Draw(t, "size"), rapid.IntRange(0, 2).Draw(t, "others")
		s.SetPool("p", persimmoncart.RoleDecode, size, reported, 0)
		for range rapid.IntRange(1, 80).Draw(t, "n") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			id := persimmoncart.EndpointID(strconv.Itoa(rapid.IntRange(1, size).Draw(t, "id")))
			s.AddLatency(now, "p", persimmoncart.RoleDecode, id, time.Duration(rapid.SampledFrom([]int{20, 25, 60, 300}).Draw(t, "latency"))*time.Millisecond)
			n := s.Ejected("p", persimmoncart.RoleDecode)
			assert.Assert(t, n == 0 || 3*(n+reported) <= size, "%d and %d of %d ejected", n, reported, size)
		}
	})
}

// Guards against a straggler that is detected late, is never probed, or stays
// ejected once it has recovered.
func TestStragglerEjectionAndRecovery(t *testing.T) {
	s, now := NewStragglerDetector(), testStart
	s.SetPool("p", persimmoncart.RoleDecode, 6, 0, 60*time.Millisecond)
	add := func(id persimmoncart.EndpointID, latency time.Duration) {
		now = now.Add(100 * time.Millisecond)
		s.AddLatency(now, "p", persimmoncart.RoleDecode, id, latency)
	}
	for i := range 60 {
		add(persimmoncart.EndpointID(strconv.Itoa(i%6)), 40*time.Millisecond)
	}
	add("3", 240*time.Millisecond)
	add("3", 240*time.Millisecond)
	weight, probe := s.Weight(now, "p", persimmoncart.RoleDecode, "3")
	assert.Assert(t, weight == 0 && !probe)
	now = now.Add(stragglerMinProbe)
	_, probe = s.Weight(now, "p", persimmoncart.RoleDecode, "3")
	assert.Assert(t, probe)
	add("3", 240*time.Millisecond) // the probe was slow: the next one is later
	now = now.Add(stragglerMinProbe)
	_, probe = s.Weight(now, "p", persimmoncart.RoleDecode, "3")
	assert.Assert(t, !probe)
	now = now.Add(stragglerMinProbe)
	add("3", 42*time.Millisecond)
	weight, _ = s.Weight(now, "p", persimmoncart.RoleDecode, "3")
	assert.Equal(t, weight, 1.0)
}

// Guards against calls to endpoints that are leaving, ejected or already tried,
// and against a wrong number of calls in flight.
func TestBalancerDifferential(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(1, 2))
		b := NewBalancer("p", NewStragglerDetector())
		var endpoints []persimmoncart.Endpoint
		for i := range rapid.IntRange(0, 5).Draw(t, "n") {
			endpoints = append(endpoints, persimmoncart.Endpoint{ID: persimmoncart.EndpointID(strconv.Itoa(i)), Leaving: rapid.IntRange(0, 3).Draw(t, "leaving") == 0})
		}
		b.SetEndpoints(endpoints)
		inFlight := map[persimmoncart.EndpointID]int{}
		var calls []persimmoncart.EndpointID
		for range rapid.IntRange(1, 40).Draw(t, "calls") {
			if len(calls) > 0 && rapid.Bool().Draw(t, "done") {
				b.Report(testStart, persimmoncart.CallResult{Endpoint: calls[0], Latency: 10 * time.Millisecond})
				inFlight[calls[0]]--
				calls = calls[1:]
				continue
			}
			avoid := []persimmoncart.EndpointID{"0"}
			usable, fresh := 0, 0
			least := 1 << 30
			for _, e := range endpoints {
				if e.Leaving {
					continue
				}
				usable++
				if !slices.Contains(avoid, e.ID) {
					fresh++
					least = min(least, inFlight[e.ID])
				}
			}
			e, found := b.Pick(testStart, random, avoid)
			assert.Equal(t, found, usable > 0)
			if !found {
				continue
			}
			assert.Assert(t, !e.Leaving)
			if fresh > 0 {
				assert.Assert(t, !slices.Contains(avoid, e.ID))
			}
			inFlight[e.ID]++
			calls = append(calls, e.ID)
			assert.Equal(t, b.InFlight(e.ID), inFlight[e.ID])
		}
	})
}
