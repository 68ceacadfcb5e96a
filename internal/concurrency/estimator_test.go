package concurrency_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/persimmoncart/persimmoncart/internal/concurrency"
)

// A group is a pool whose endpoints get one sample a second each, of a log-normal time
// around 15 ms divided by their speeds.
type group struct {
	estimators []*concurrency.Estimator
	loads      []concurrency.Load
	now        time.Time
	pool       *concurrency.Pool
	random     *rand.Rand
	speeds     []float64
}

// newGroup returns a group without samples.
func newGroup(speeds ...float64) *group {
	g := &group{
		loads: make([]concurrency.Load, len(speeds)), now: time.Unix(1000, 0), pool: concurrency.NewPool(0.1),
		random: rand.New(rand.NewPCG(1, 1)), speeds: speeds,
	}
	for range speeds {
		g.estimators = append(g.estimators, concurrency.NewEstimator(g.pool, 0.5))
	}
	return g
}

// refresh computes the means of the pool.
func (g *group) refresh() {
	g.pool.BeginRefresh()
	for n, e := range g.estimators {
		g.pool.Add(g.now, e, &g.loads[n])
	}
	g.pool.EndRefresh()
}

// run adds one sample of each endpoint a second; change changes the sample of one.
func (g *group) run(seconds int, change func(endpoint, second int, s *concurrency.Sample)) {
	for second := range seconds {
		for n, e := range g.estimators {
			s := concurrency.Sample{
				Slots: 6, Slowdown: 1, Units: 1, Took: time.Duration(15e6 * math.Exp(0.3*g.random.NormFloat64()) / g.speeds[n]),
			}
			if change != nil {
				change(n, second, &s)
			}
			if s.Took > 0 {
				e.Record(g.now, s)
			}
		}
		g.refresh()
		g.now = g.now.Add(time.Second)
	}
}

// assertSpeeds fails the test if the ratio of two estimated speeds is off by a quarter or
// more.
func (g *group) assertSpeeds(t *testing.T, a, b int) {
	t.Helper()
	got := g.estimators[a].Speed(g.now) / g.estimators[b].Speed(g.now)
	want := g.speeds[a] / g.speeds[b]
	assert.Check(t, got > want/1.25 && got < want*1.25, "%.2f, want %.2f", got, want)
}

// Guards against estimates that a single long request or a slowdown that the endpoint
// reports itself changes, and against those that take waiting for slowness.
func TestSpeedIsRobust(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(endpoint, second int, s *concurrency.Sample)
	}{
		{name: "steady"},
		{name: "one in a hundred takes five times as long", change: func(n, second int, s *concurrency.Sample) {
			if (second+17*n)%100 == 38 {
				s.Took *= 5
			}
		}},
		{name: "reported noise", change: func(n, second int, s *concurrency.Sample) {
			if n == 1 && second%7 == 6 || n == 0 && second >= 38 {
				s.Took, s.Slowdown = s.Took*5/2, 2.5
			}
		}},
		{name: "a queue at the fast one", change: func(n, _ int, s *concurrency.Sample) {
			if n == 1 {
				s.Others, s.Took = 11, s.Took*2
			}
		}},
		{name: "slower with each request", change: func(n, second int, s *concurrency.Sample) {
			s.Others = float64((second + n) % 6)
			s.Took = time.Duration(float64(s.Took) * math.Sqrt(1+s.Others))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newGroup(0.55, 1.2, 0.8, 0.9)
			g.run(40, c.change)
			g.assertSpeeds(t, 0, 1)
			g.assertSpeeds(t, 0, 2)
		})
	}
}

// Guards against an endpoint with few samples that counts as fast or slow by accident,
// and against one long sample that counts for longer than some seconds.
func TestSpeedWithFewSamples(t *testing.T) {
	g := newGroup(1, 1, 1, 1)
	g.run(30, func(n, _ int, s *concurrency.Sample) {
		if n == 3 {
			s.Took = 0
		}
	})
	newcomer := g.estimators[3]
	assert.Equal(t, newcomer.Speed(g.now), 1.0)
	newcomer.Record(g.now, concurrency.Sample{Slots: 6, Took: 75 * time.Millisecond, Units: 1})
	// It may be a fault, which ends within seconds.
	assert.Check(t, newcomer.Speed(g.now) < 1)
	assert.Check(t, newcomer.Speed(g.now.Add(3*time.Second)) > 0.75)
	assert.Check(t, newcomer.Speed(g.now.Add(time.Hour)) > 0.99)
}

// Guards against a fault of some seconds that is seen late, and against one that changes
// the estimate of the lasting speed.
func TestSpeedFollowsFault(t *testing.T) {
	g := newGroup(1.2, 0.9, 0.9, 0.9)
	g.run(30, nil)
	slow := func(n, _ int, s *concurrency.Sample) {
		if n == 0 {
			s.Took = s.Took * 15 / 2
		}
	}
	g.run(2, slow)
	assert.Check(t, g.estimators[0].Speed(g.now) < g.estimators[1].Speed(g.now)/2)
	g.run(4, slow)
	g.run(6, nil)
	assert.Check(t, g.estimators[0].Speed(g.now) > g.estimators[1].Speed(g.now))
}

// Guards against requests that are given up because they take too long and leave no
// sample, so that their endpoint counts as fast as before; and against those that are
// given up for another reason.
func TestSpeedOfGivenUp(t *testing.T) {
	g := newGroup(1, 1, 1)
	g.run(30, nil)
	for range 3 {
		g.estimators[0].Record(g.now, concurrency.Sample{AtLeast: true, Slots: 6, Took: 100 * time.Millisecond, Units: 1})
		g.estimators[1].Record(g.now, concurrency.Sample{AtLeast: true, Slots: 6, Took: time.Millisecond, Units: 1})
	}
	assert.Check(t, g.estimators[0].Speed(g.now) < 0.5)
	assert.Check(t, g.estimators[1].Speed(g.now) > 0.75)
}

// Guards against a limit that stays at the slots of an endpoint whose requests slow down
// each other, and against a limit of one that keeps its latency.
func TestLimit(t *testing.T) {
	g := newGroup(1, 1)
	g.run(60, func(n, second int, s *concurrency.Sample) {
		s.Others = float64(second % 6)
		if n == 0 { // in proportion to the requests
			s.Took = time.Duration(float64(s.Took) * (1 + s.Others))
		}
	})
	assert.Check(t, g.estimators[0].Limit(g.now) < 3, "%.1f", g.estimators[0].Limit(g.now))
	assert.Check(t, g.estimators[1].Limit(g.now) > 4, "%.1f", g.estimators[1].Limit(g.now))
}

// Guards against estimates that are not numbers, limits outside the slots and an expected
// time that falls with load, whatever an endpoint reports and takes.
func TestEstimatesHoldForAnySample(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(1, 1)
		var load concurrency.Load
		for range rapid.IntRange(1, 40).Draw(t, "samples") {
			g.now = g.now.Add(time.Duration(rapid.Int64Range(-1e9, 1e12).Draw(t, "pause")))
			sample := concurrency.Sample{
				AtLeast: rapid.Bool().Draw(t, "given up"), Others: rapid.Float64Range(-5, 1e6).Draw(t, "others"), Slots: rapid.IntRange(-1, 100).Draw(t, "slots"),
				Slowdown: rapid.Float64Range(-1, 1e6).Draw(t, "slowdown"), Took: time.Duration(rapid.Int64Range(-1, 1e15).Draw(t, "took")),
				Units: rapid.Float64Range(-1, 1e6).Draw(t, "units"),
			}
			e := rapid.SampledFrom(g.estimators).Draw(t, "endpoint")
			e.Record(g.now, sample)
			load.Report(g.now, g.pool, sample.Others, sample.Slowdown)
			g.refresh()
			speed, limit := e.Speed(g.now), e.Limit(g.now)
			assert.Assert(t, speed > 0 && !math.IsInf(speed, 0), "speed %v", speed)
			assert.Assert(t, limit >= 1 && limit <= 1000, "limit %v", limit)
			low, high := e.ExpectedInQueue(g.now, 2, 6), e.ExpectedInQueue(g.now, 20, 6)
			assert.Assert(t, low > 0 && low <= high && !math.IsInf(high, 0), "%v for 2 and %v for 20", low, high)
			assert.Assert(t, load.Slowdown(g.now, g.pool) >= 1)
			others := load.Others(g.now, g.pool, time.Second)
			assert.Assert(t, others >= 0 && !math.IsInf(others, 0), "others %v", others)
		}
	})
}

// Guards against an allocation for each response.
func TestRecordAllocates(t *testing.T) {
	g := newGroup(1)
	assert.Equal(t, testing.AllocsPerRun(1000, func() {
		g.estimators[0].Record(g.now, concurrency.Sample{Others: 2, Slots: 6, Slowdown: 1, Took: time.Millisecond, Units: 1})
	}), 0.0)
}
