package policy

import (
	"math"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/persimmoncart/persimmoncart"
)

// Guards against a forecast that misses a rise, or that follows a sheet far
// above the measured rate.
func TestForecast(t *testing.T) {
	for _, c := range []struct {
		name  string
		rate  func(second int) int
		sheet float64
		lead  time.Duration
		want  float64
	}{
		{"level", func(int) int { return 10 }, 0, 10 * time.Second, 10},
		{"rise", func(s int) int { return s }, 0, 10 * time.Second, 50},
		{"sheet says more", func(int) int { return 10 }, 25, 10 * time.Second, 25},
		{"absurd sheet", func(int) int { return 10 }, 1e6, 10 * time.Second, 30},
		{"sheet says less", func(int) int { return 10 }, 2, 10 * time.Second, 10},
		{"nothing seen", func(int) int { return 0 }, 7, 10 * time.Second, 7},
		{"far ahead", func(s int) int { return s }, 0, time.Hour, 70},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := NewForecast(testStart)
			for s := range 40 {
				f.RecordArrivals(testStart.Add(time.Duration(s)*time.Second), c.rate(s))
			}
			got := f.Rate(testStart.Add(40*time.Second), c.lead, c.sheet)
			assert.Assert(t, math.Abs(got-c.want) < 0.5, "%v, want %v", got, c.want)
		})
	}
}

// Guards against a forecast that differs from one computed naively from the
// counts of the last seconds.
func TestForecastDifferential(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, now, counts := NewForecast(testStart), testStart, map[int]int{}
		for range rapid.IntRange(1, 60).Draw(t, "n") {
			now = now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(0, 9).Draw(t, "arrivals")
			f.RecordArrivals(now, n)
			counts[int(now.Sub(testStart)/time.Second)] += n
		}
		second := int(now.Sub(testStart) / time.Second)
		n := min(second, forecastBuckets-1)
		if n < 2 {
			return
		}
		var mean, meanX float64
		for i := 1; i <= n; i++ {
			mean += float64(counts[second-i]) / float64(n)
			meanX += float64(-i) / float64(n)
		}
		var top, bottom float64
		for i := 1; i <= n; i++ {
			top += (float64(-i) - meanX) * (float64(counts[second-i]) - mean)
			bottom += (float64(-i) - meanX) * (float64(-i) - meanX)
		}
		slope := top / bottom
		want := math.Max(math.Max(mean-slope*meanX, 0)+slope*5, 0)
		got := f.Rate(now, 5*time.Second, 0)
		assert.Assert(t, math.Abs(got-want) < 1e-6, "%v, want %v", got, want)
	})
}

// Guards against a plan that takes a replica which its role cannot spare, moves
// more than the weight store or the pool allows, or oscillates.
func TestPlanner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := rapid.IntRange(1, 3).Draw(t, "loads")
		p, now := NewPlanner(loads), testStart
		replicas := make([]PlannerReplica, rapid.IntRange(1, 24).Draw(t, "replicas"))
		for i := range replicas {
			replicas[i] = PlannerReplica{
				ID: persimmoncart.EndpointID(strconv.Itoa(i)), Model: "m", Pinned: rapid.IntRange(0, 9).Draw(t, "pinned") == 0,
				Role: rapid.SampledFrom([]persimmoncart.Role{persimmoncart.RoleDecode, persimmoncart.RolePrefill}).Draw(t, "role"),
			}
		}
		last := map[persimmoncart.EndpointID]time.Time{}
		for range rapid.IntRange(1, 30).Draw(t, "rounds") {
			now = now.Add(10 * time.Second)
			needs := []Demand{
				{Model: "m", Role: persimmoncart.RoleDecode, Work: float64(rapid.IntRange(0, 20).Draw(t, "decode"))},
				{Model: "m", Role: persimmoncart.RolePrefill, Work: float64(rapid.IntRange(0, 8).Draw(t, "prefill"))},
			}
			moves := p.Plan(now, replicas, needs)
			assert.Assert(t, len(moves) <= min(loads, max(len(replicas)/10, 1)))
			for _, m := range moves {
				i, err := strconv.Atoi(string(m.ID))
				assert.NilError(t, err)
				assert.Assert(t, !replicas[i].Pinned && replicas[i].Role != m.Role)
				if before, found := last[m.ID]; found {
					assert.Assert(t, now.Sub(before) >= planCooldown)
				}
				last[m.ID] = now
				from := replicas[i].Role
				replicas[i].Role = m.Role
				left := 0
				for _, r := range replicas {
					if r.Role == from {
						left++
					}
				}
				work := workOf(needs, modelRole{model: "m", role: from})
				assert.Assert(t, work == 0 || work/float64(left) <= planMaxDonorUtilisation)
			}
		}
	})
}
