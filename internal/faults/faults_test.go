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
	breakFlag  = flag.String("break", "", "invariant whose guard is disabled")
	faultFlag  = flag.String("fault", "", "only this combination of faults")
	reportFlag = flag.Bool("report", false, "print a line for each invariant and combination")
	runsFlag   = flag.Int("runs", 2, "schedules of each combination of faults")
	seedFlag   = flag.Uint64("seed", 1, "seed of the first schedule")
)

// seedStep is the distance between the first seeds of two combinations.
const seedStep = 1000

// runSchedule runs one schedule in a synctest bubble and returns its violations.
func runSchedule(t *testing.T, p *plan, disabledGuard Invariant) (violations []Violation) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { violations = p.run(t.Context(), disabledGuard) })
	return violations
}

// shrink removes the elements of the plan that the violation of the invariant does not
// need.
func shrink(t *testing.T, p *plan, invariant Invariant, disabledGuard Invariant) *plan {
	t.Helper()
	for n := 0; n < p.removable(); {
		smaller := p.without(n)
		if len(smaller.Requests) > 0 && violates(runSchedule(t, smaller, disabledGuard), invariant) {
			p = smaller
		} else {
			n++
		}
	}
	return p
}

// violates reports whether the invariant is among the violations.
func violates(violations []Violation, invariant Invariant) bool {
	for _, v := range violations {
		if v.Invariant == invariant {
			return true
		}
	}
	return false
}

// enoughViolations is the number of violations after which a run with a disabled guard
// ends: it has shown that the check can fail.
const enoughViolations = 3

// maxShrunk is the number of violations whose plans are shrunk before they are printed.
const maxShrunk = 3

// A matrix runs schedules of the combinations of faults.
type matrix struct {
	disabledGuard  Invariant
	violationCount int // violations of the invariant disabledGuard
	mutex          sync.Mutex
	encoder        *json.Encoder // for reports; nil prints none
	shrunk         int
}

// run runs the schedules of one combination, with consecutive seeds.
func (m *matrix) run(t *testing.T, faults []Fault, seed uint64) {
	counts := map[Invariant]int{}
	runs := 0
	for k := range *runsFlag {
		if m.done() {
			break
		}
		runs++
		p := newPlan(seed+uint64(k), faults)
		failed := map[Invariant]bool{}
		for _, v := range runSchedule(t, p, m.disabledGuard) {
			if failed[v.Invariant] {
				continue
			}
			failed[v.Invariant] = true
			counts[v.Invariant]++
			m.report(t, p, v)
		}
	}
	if m.encoder == nil || runs == 0 {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, invariant := range Invariants {
		_ = m.encoder.Encode(Report{Fault: CombinationName(faults), Invariant: invariant, Runs: runs, Seed: seed, Violations: counts[invariant]})
	}
}

// done reports whether a run with a disabled guard may end.
func (m *matrix) done() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.disabledGuard != "" && m.violationCount >= enoughViolations
}

// report fails the test with the violation and its plan, which is shrunk for the first
// maxShrunk violations.
func (m *matrix) report(t *testing.T, p *plan, v Violation) {
	m.mutex.Lock()
	if v.Invariant == m.disabledGuard {
		m.violationCount++
	}
	show := m.shrunk < maxShrunk
	m.shrunk++
	m.mutex.Unlock()
	if show {
		p = shrink(t, p, v.Invariant, m.disabledGuard)
	}
	t.Errorf("%s\n%s", v, p)
}

// Guards against an invariant that fails under a fault, under two at once or under
// one twice. "make faults" runs it with more schedules and prints a line for
// each invariant and combination.
func TestMatrix(t *testing.T) {
	m := &matrix{disabledGuard: Invariant(*breakFlag)}
	if m.disabledGuard != "" && !slices.Contains(Invariants, m.disabledGuard) {
		t.Fatalf("unknown invariant %q; want one of %v", m.disabledGuard, Invariants)
	}
	if *reportFlag {
		m.encoder = json.NewEncoder(os.Stdout)
	}
	for i, faults := range Combinations() {
		if *faultFlag != "" && CombinationName(faults) != *faultFlag {
			continue
		}
		t.Run(CombinationName(faults), func(t *testing.T) {
			t.Parallel()
			m.run(t, faults, *seedFlag+uint64(i)*seedStep)
		})
	}
}

// Guards against violations without any fault, which would hide the effect of the
// faults.
func TestNoFault(t *testing.T) {
	for seed := range uint64(5) {
		p := newPlan(seed, nil)
		for _, v := range runSchedule(t, p, "") {
			t.Errorf("%s\n%s", v, p)
		}
	}
}

// Guards against a rolling replacement that interrupts or loses a request, or leaves
// engine memory reserved: every node is replaced while requests arrive.
func TestRollingReplacement(t *testing.T) {
	for seed := range uint64(10) {
		p := rollingPlan(seed)
		synctest.Test(t, func(t *testing.T) {
			cluster, calls := p.play(t.Context(), "")
			for _, v := range cluster.violations {
				t.Errorf("%s\n%s", v, p)
			}
			for _, c := range calls {
				n, outcome, _ := c.status()
				if n == nil {
					t.Errorf("seed %d: no node accepted request %d", seed, c.request.Number)
				} else if outcome == persimmoncart.OutcomeUnknown && c.request.Kind != kindBooking {
					t.Errorf("seed %d: request %d was interrupted", seed, c.request.Number)
				}
			}
		})
	}
}

// Guards against schedules in which most requests are refused, so that the checks have
// nothing to detect.
func TestMostIsAnswered(t *testing.T) {
	answered, all := 0, 0
	for seed := range uint64(5) {
		p := newPlan(seed, nil)
		synctest.Test(t, func(t *testing.T) {
			_, calls := p.play(t.Context(), "")
			for _, c := range calls {
				all++
				if _, outcome, _ := c.status(); outcome == persimmoncart.OutcomeAnswered {
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
