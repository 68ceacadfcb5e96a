package faults

import (
	"encoding/json"
	"flag"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/persimmoncart/persimmoncart"
)

var (
	breakFlag  = flag.String("break", "", "promise whose guard is switched off")
	faultFlag  = flag.String("fault", "", "only this combination of faults")
	reportFlag = flag.Bool("report", false, "print a line for each promise and combination")
	runsFlag   = flag.Int("runs", 2, "schedules of each combination of faults")
	seedFlag   = flag.Uint64("seed", 1, "seed of the first schedule")
)

// seedStep keeps the seeds of two combinations apart.
const seedStep = 1000

// schedule runs one schedule in a bubble of virtual time.
func schedule(t *testing.T, p *plan, broken Promise) (violations []Violation) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { violations = p.run(t.Context(), broken) })
	return violations
}

// shrink leaves out of the plan what the violation of the promise does not need.
func shrink(t *testing.T, p *plan, promise Promise, broken Promise) *plan {
	t.Helper()
	for n := 0; n < p.parts(); {
		smaller := p.without(n)
		if len(smaller.Requests) > 0 && violates(schedule(t, smaller, broken), promise) {
			p = smaller
		} else {
			n++
		}
	}
	return p
}

// violates reports whether the promise is among the violations.
func violates(violations []Violation, promise Promise) bool {
	for _, v := range violations {
		if v.Promise == promise {
			return true
		}
	}
	return false
}

// enough is the number of violations after which a run with a guard switched
// off has shown that the check can fail.
const enough = 3

// shrinkRuns bounds the schedules that are shrunk to a short trace.
const shrinkRuns = 3

// A matrix runs the combinations of faults.
type matrix struct {
	broken Promise
	found  int // violations of broken
	mutex  sync.Mutex
	out    *json.Encoder // nil prints no lines
	shrunk int
}

// run runs the schedules of one combination.
func (m *matrix) run(t *testing.T, faults []Fault, seed uint64) {
	counts := map[Promise]int{}
	runs := 0
	for k := range *runsFlag {
		if m.done() {
			break
		}
		runs++
		p := newPlan(seed+uint64(k), faults)
		failed := map[Promise]bool{}
		for _, v := range schedule(t, p, m.broken) {
			if failed[v.Promise] {
				continue
			}
			failed[v.Promise] = true
			counts[v.Promise]++
			m.report(t, p, v)
		}
	}
	if m.out == nil || runs == 0 {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, promise := range Promises {
		_ = m.out.Encode(Report{Fault: Name(faults), Promise: promise, Runs: runs, Seed: seed, Violations: counts[promise]})
	}
}

// done reports whether a guard that is switched off has shown enough.
func (m *matrix) done() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.broken != "" && m.found >= enough
}

// report fails the test with the violation; the first ones with a shrunk trace.
func (m *matrix) report(t *testing.T, p *plan, v Violation) {
	m.mutex.Lock()
	if v.Promise == m.broken {
		m.found++
	}
	show := m.shrunk < shrinkRuns
	m.shrunk++
	m.mutex.Unlock()
	if show {
		p = shrink(t, p, v.Promise, m.broken)
	}
	t.Errorf("%s\n%s", v, p)
}

// Guards against a promise that fails under a fault, under two at once or under
// one twice. "make faults" runs it with more schedules and prints a line for
// each promise and combination.
func TestMatrix(t *testing.T) {
	m := &matrix{broken: Promise(*breakFlag)}
	if m.broken != "" && !slices.Contains(Promises, m.broken) {
		t.Fatalf("unknown promise %q; want one of %v", m.broken, Promises)
	}
	if *reportFlag {
		m.out = json.NewEncoder(os.Stdout)
	}
	for i, faults := range Combinations() {
		if *faultFlag != "" && Name(faults) != *faultFlag {
			continue
		}
		t.Run(Name(faults), func(t *testing.T) {
			t.Parallel()
			m.run(t, faults, *seedFlag+uint64(i)*seedStep)
		})
	}
}

// Guards against a schedule that fails without any fault, which would hide what
// the faults do.
func TestNoFault(t *testing.T) {
	for seed := range uint64(5) {
		p := newPlan(seed, nil)
		for _, v := range schedule(t, p, "") {
			t.Errorf("%s\n%s", v, p)
		}
	}
}

// Guards against a rolling replacement that cuts a request, loses one, or leaves
// memory held: every node is replaced while requests arrive.
func TestRollingReplacement(t *testing.T) {
	for seed := range uint64(10) {
		p := rollingPlan(seed)
		synctest.Test(t, func(t *testing.T) {
			w, calls := p.play(t.Context(), "")
			for _, v := range w.violated {
				t.Errorf("%s\n%s", v, p)
			}
			for _, c := range calls {
				n, outcome, _ := c.finished()
				if n == nil {
					t.Errorf("seed %d: no node accepted request %d", seed, c.request.Number)
				} else if outcome == persimmoncart.OutcomeUnknown && c.request.Kind != kindBooking {
					t.Errorf("seed %d: request %d was cut", seed, c.request.Number)
				}
			}
		})
	}
}

// Guards against a schedule that refuses everything and so proves nothing.
func TestMostIsAnswered(t *testing.T) {
	answered, all := 0, 0
	for seed := range uint64(5) {
		p := newPlan(seed, nil)
		synctest.Test(t, func(t *testing.T) {
			_, calls := p.play(t.Context(), "")
			for _, c := range calls {
				all++
				if _, outcome, _ := c.finished(); outcome == persimmoncart.OutcomeAnswered {
					answered++
				} else {
					t.Logf("request %d kind %d: %s", c.request.Number, c.request.Kind, outcome)
				}
			}
		})
	}
	t.Logf("%d of %d answered", answered, all)
	if answered*100 < all*80 {
		t.Errorf("%d of %d answered", answered, all)
	}
}
