package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/load"
)

// FleetSizes lists the numbers of nodes of the fleets that a Harness measures by
// default.
var FleetSizes = []int{8, 50, 100, 200, plannedNodes}

// Upper bounds for the busiest node (docs/design.md, sections 4 and 12).
const (
	maxBytesPerSecond = load.DefaultBudget // bytes a second
	maxCoreShare      = 0.031              // of one core
	maxMemoryMB       = 32                 // MB
)

const (
	fullOutage         = time.Hour       // outage of the store in fleets small enough to simulate all of it
	maxFullOutageNodes = 8               // largest fleet with an outage of a whole hour
	shortOutage        = 3 * time.Minute // outage in larger fleets; no measure grows with its duration
	workers            = 4               // runs in parallel
)

// A Harness measures fleets of several sizes under events. Set the fields before Run.
type Harness struct {
	Events []string  // names of the events to run; empty runs all
	Output io.Writer // receives the results as JSON lines
	Plots  string    // directory for plots; empty draws none
	Seed   uint64
	Sizes  []int // numbers of nodes; empty means FleetSizes
}

// A Result is one measure of one event in one fleet.
type Result struct {
	Event    string   `json:"event"`
	Role     string   `json:"role"`
	Nodes    int      `json:"nodes"`
	Replicas int      `json:"replicas"`
	Measure  string   `json:"measure"`
	Mean     float64  `json:"mean"`
	Max      float64  `json:"max"`
	Bound    *float64 `json:"bound,omitempty"` // upper bound of Max
	Seed     uint64   `json:"seed"`
}

// A Slope is a line fitted to the means of a measure against the number of nodes.
type Slope struct {
	Event     string  `json:"event"`
	Role      string  `json:"role"`
	Measure   string  `json:"measure"`
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"` // increase of the mean per node
	Seed      uint64  `json:"seed"`
}

// A BoundError reports results above their bounds.
type BoundError struct {
	Results []Result
}

// Error implements error.
func (e *BoundError) Error() string {
	r := e.Results[0]
	return fmt.Sprintf("%d bounds exceeded, first %s of %s at %d nodes in %s: %g above %g",
		len(e.Results), r.Measure, r.Role, r.Nodes, r.Event, r.Max, *r.Bound)
}

// Run measures the fleets and writes the results and slopes as JSON lines. It returns a
// *BoundError if a bound is exceeded.
func (h *Harness) Run() error {
	if len(h.Sizes) == 0 {
		h.Sizes = FleetSizes
	}
	costs, err := measureCosts()
	if err != nil {
		return err
	}
	results := h.costResults(costs)
	for _, n := range h.Sizes {
		mb := measureMemory(n, h.Seed, costs) / 1e6
		results = append(results, h.newResult("quiet", roleEntry, n, "memory_mb", mb, mb, maxMemoryMB))
	}
	results = append(results, h.runEvents(costs)...)
	encoder := json.NewEncoder(h.Output)
	var exceeded []Result
	for _, r := range results {
		if err := encoder.Encode(r); err != nil {
			return errors.Wrap(err, "print result")
		}
		if r.Bound != nil && r.Max > *r.Bound {
			exceeded = append(exceeded, r)
		}
	}
	slopes := h.slopes(results)
	for _, s := range slopes {
		if err := encoder.Encode(s); err != nil {
			return errors.Wrap(err, "print slope")
		}
	}
	if h.Plots != "" {
		if err := plotAll(h.Plots, results); err != nil {
			return err
		}
	}
	if len(exceeded) > 0 {
		return &BoundError{Results: exceeded}
	}
	return nil
}

// Roles of nodes in results.
const (
	roleEntry   = "entry"
	roleGateway = "gateway"
)

// noBound is passed to newResult for a measure without a bound.
const noBound = -1

// newResult returns a result, without a bound if bound is negative.
func (h *Harness) newResult(event, role string, nodes int, measure string, mean, highest, bound float64) Result {
	r := Result{
		Event: event, Role: role, Nodes: nodes, Replicas: newTopology(nodes).replicas,
		Measure: measure, Mean: mean, Max: highest, Seed: h.Seed,
	}
	if bound >= 0 {
		r.Bound = &bound
	}
	return r
}

// costResults returns the costs of the real transport as results.
func (h *Harness) costResults(costs Costs) []Result {
	return []Result{
		h.newResult("loopback", roleEntry, 0, "message_us", costs.MessageSeconds*1e6, costs.MessageSeconds*1e6, noBound),
		h.newResult("loopback", roleEntry, 0, "connection_kb", costs.ConnectionBytes/1e3, costs.ConnectionBytes/1e3, noBound),
	}
}

// runEvents runs the events in fleets of all sizes, the largest fleets first, with
// several workers. It returns the results of the smallest fleet first.
func (h *Harness) runEvents(costs Costs) []Result {
	type job struct {
		event event
		nodes int
	}
	var jobs []job
	sizes := slices.Clone(h.Sizes)
	slices.Sort(sizes)
	slices.Reverse(sizes)
	for _, n := range sizes {
		outage := shortOutage
		if n <= maxFullOutageNodes {
			outage = fullOutage
		}
		for _, e := range events(outage) {
			if len(h.Events) == 0 || slices.Contains(h.Events, e.name) {
				jobs = append(jobs, job{e, n})
			}
		}
	}
	results := make([][]Result, len(jobs))
	next := make(chan int)
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for i := range next {
				r := newRun(jobs[i].nodes, h.Seed, jobs[i].event)
				r.execute()
				results[i] = h.evaluate(r, costs)
			}
		})
	}
	for i := range jobs {
		next <- i
	}
	close(next)
	group.Wait()
	slices.Reverse(results)
	return slices.Concat(results...)
}

// evaluate returns the results of a completed run.
func (h *Harness) evaluate(r *run, costs Costs) []Result {
	n, e := r.fleet.topology.nodes, r.event.name
	everyone := func(persimmoncart.InstanceID) bool { return true }
	gateway := func(id persimmoncart.InstanceID) bool { return r.gateways[id] }
	var results []Result
	add := func(role, measure string, mean, highest, bound float64) {
		results = append(results, h.newResult(e, role, n, measure, mean, highest, bound))
	}
	for _, role := range []struct {
		name string
		only func(persimmoncart.InstanceID) bool
	}{{roleEntry, everyone}, {roleGateway, gateway}} {
		bytes, mostBytes := rates(r, func(s sample) map[persimmoncart.InstanceID]int { return s.bytes }, role.only)
		add(role.name, "bytes_per_node_s", bytes, mostBytes, maxBytesPerSecond)
		messages, mostMessages := rates(r, func(s sample) map[persimmoncart.InstanceID]int { return s.messages }, role.only)
		add(role.name, "messages_per_node_s", messages, mostMessages, noBound)
		used, mostUsed := rates(r, func(s sample) map[persimmoncart.InstanceID]time.Duration { return s.processorTime }, role.only)
		// The simulated network encodes and decodes messages outside the callbacks of
		// the nodes. The time of the whole simulation loop, with the simulator itself,
		// is therefore divided among the nodes.
		simulation := r.driveTime.Seconds() / r.event.duration.Seconds() / float64(len(r.fleet.alive()))
		mean, _ := rates(r, func(s sample) map[persimmoncart.InstanceID]time.Duration { return s.processorTime }, everyone)
		scale := simulation / max(mean/1e9, 1e-12)
		// A node receives about as many messages as it sends, and one message costs its
		// sender and its receiver about half of MessageSeconds each.
		add(role.name, "core_share", used/1e9*scale+2*messages*costs.MessageSeconds/2, mostUsed/1e9*scale+2*mostMessages*costs.MessageSeconds/2, maxCoreShare)
	}
	reads, writes := storeCalls(r.fleet.memory)
	span := (settleTime + r.event.duration).Seconds()
	add(roleEntry, "store_reads_per_s", reads/span, r.maxStoreRates[0], noBound)
	add(roleEntry, "store_writes_per_s", writes/span, r.maxStoreRates[1], noBound)
	if len(r.detectionTimes) > 0 {
		add(roleEntry, "detect_p99_s", quantile(r.detectionTimes, 0.99), quantile(r.detectionTimes, 1), noBound)
	}
	falseDeaths := float64(r.fleet.falseDeaths())
	add(roleEntry, "false_burials", falseDeaths, falseDeaths, 0)
	add(roleEntry, "double_owners", float64(r.doubleOwners), float64(r.doubleOwners), 0)
	moved := r.movedShare()
	add(roleEntry, "moved_share", moved, moved, noBound)
	add(roleEntry, "moved_ideal", float64(len(r.lostNodes))/float64(n), float64(len(r.lostNodes))/float64(n), noBound)
	add(roleEntry, "unowned_s", r.unownedSeconds, r.unownedSeconds, noBound)
	return results
}

// slopes fits a line to the means of each measure against the number of nodes. It omits
// results without a number of nodes.
func (h *Harness) slopes(results []Result) []Slope {
	var slopes []Slope
	for _, r := range results {
		s := Slope{Event: r.Event, Role: r.Role, Measure: r.Measure, Seed: h.Seed}
		if r.Nodes == 0 || slices.ContainsFunc(slopes, func(t Slope) bool {
			return t.Event == s.Event && t.Role == s.Role && t.Measure == s.Measure
		}) {
			continue
		}
		var x, y []float64
		for _, point := range results {
			if point.Event == r.Event && point.Role == r.Role && point.Measure == r.Measure {
				x, y = append(x, float64(point.Nodes)), append(y, point.Mean)
			}
		}
		s.Intercept, s.Slope = fit(x, y)
		slopes = append(slopes, s)
	}
	return slopes
}

// fit returns the least-squares line through the points (x[i], y[i]).
func fit(x, y []float64) (intercept, slope float64) {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx, sy, sxx, sxy = sx+x[i], sy+y[i], sxx+x[i]*x[i], sxy+x[i]*y[i]
	}
	if d := n*sxx - sx*sx; d != 0 {
		slope = (n*sxy - sx*sy) / d
	}
	return (sy - slope*sx) / n, slope
}
