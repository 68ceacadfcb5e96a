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

// Sizes are the numbers of nodes that are measured.
var FleetSizes = []int{8, 50, 100, 200, plannedNodes}

// Bounds of docs/design.md sections 4 and 12 for the busiest node.
const (
	maxBytesPerSecond = load.DefaultBudget // bytes a second
	maxCoreShare      = 0.031              // of one core
	maxMemoryMB       = 32                 // MB
)

const (
	fullOutage         = time.Hour       // of the store, at the sizes where it fits into the time
	maxFullOutageNodes = 8               // nodes up to which the whole hour is run
	shortOutage        = 3 * time.Minute // at larger sizes; nothing grows with the outage's length
	workers            = 4
)

// A Harness measures fleets of different sizes. Set the fields before Run.
type Harness struct {
	Events []string // empty is all
	Output io.Writer
	Plots  string // directory for plots; empty draws none
	Seed   uint64
	Sizes  []int // empty is Sizes
}

// A Result is one measured value.
type Result struct {
	Event    string   `json:"event"`
	Role     string   `json:"role"`
	Nodes    int      `json:"nodes"`
	Replicas int      `json:"replicas"`
	Measure  string   `json:"measure"`
	Mean     float64  `json:"mean"`
	Max      float64  `json:"max"`
	Bound    *float64 `json:"bound,omitempty"` // on max
	Seed     uint64   `json:"seed"`
}

// A Slope is a measure fitted against the number of nodes.
type Slope struct {
	Event     string  `json:"event"`
	Role      string  `json:"role"`
	Measure   string  `json:"measure"`
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"` // of the mean, a node
	Seed      uint64  `json:"seed"`
}

// A BoundError reports measures above their bounds.
type BoundError struct {
	Results []Result
}

// Error implements error.
func (e *BoundError) Error() string {
	r := e.Results[0]
	return fmt.Sprintf("%d bounds broken, first %s of %s at %d nodes in %s: %g above %g",
		len(e.Results), r.Measure, r.Role, r.Nodes, r.Event, r.Max, *r.Bound)
}

// Run measures, prints JSON lines and returns a *BoundError if a bound is broken.
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
	var broken []Result
	for _, r := range results {
		if err := encoder.Encode(r); err != nil {
			return errors.Wrap(err, "print result")
		}
		if r.Bound != nil && r.Max > *r.Bound {
			broken = append(broken, r)
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
	if len(broken) > 0 {
		return &BoundError{Results: broken}
	}
	return nil
}

// Roles of results.
const (
	roleEntry   = "entry"
	roleGateway = "gateway"
)

// noBound marks a measure that has no stated bound.
const noBound = -1

// newResult returns one result; a negative bound is none.
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

// costResults returns the costs of the real transport.
func (h *Harness) costResults(costs Costs) []Result {
	return []Result{
		h.newResult("loopback", roleEntry, 0, "message_us", costs.MessageSeconds*1e6, costs.MessageSeconds*1e6, noBound),
		h.newResult("loopback", roleEntry, 0, "connection_kb", costs.ConnectionBytes/1e3, costs.ConnectionBytes/1e3, noBound),
	}
}

// runEvents runs all events at all sizes, the largest first, a few at a time.
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

// evaluate returns the results of a run.
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
		bytes, most := rates(r, func(s sample) map[persimmoncart.InstanceID]int { return s.bytes }, role.only)
		add(role.name, "bytes_per_node_s", bytes, most, maxBytesPerSecond)
		messages, mostMessages := rates(r, func(s sample) map[persimmoncart.InstanceID]int { return s.messages }, role.only)
		add(role.name, "messages_per_node_s", messages, mostMessages, noBound)
		used, mostUsed := rates(r, func(s sample) map[persimmoncart.InstanceID]time.Duration { return s.processorTime }, role.only)
		// The simulated network marshals and unmarshals outside the nodes, so
		// the whole drive loop is spread over them; it contains the simulator.
		whole := r.driveTime.Seconds() / r.event.duration.Seconds() / float64(len(r.fleet.alive()))
		mean, _ := rates(r, func(s sample) map[persimmoncart.InstanceID]time.Duration { return s.processorTime }, everyone)
		scale := whole / max(mean/1e9, 1e-12)
		// A node receives about as many messages as it sends.
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

// slopes fits the mean of each measure against the number of nodes.
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
		for _, o := range results {
			if o.Event == r.Event && o.Role == r.Role && o.Measure == r.Measure {
				x, y = append(x, float64(o.Nodes)), append(y, o.Mean)
			}
		}
		s.Intercept, s.Slope = fit(x, y)
		slopes = append(slopes, s)
	}
	return slopes
}

// fit returns the least-squares line through the points.
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
