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
var Sizes = []int{8, 50, 100, 200, planNodes}

// Bounds of docs/design.md sections 4 and 12 for the busiest node.
const (
	boundBytes  = load.DefaultBudget // bytes a second
	boundCore   = 0.031              // of one core
	boundMemory = 32                 // MB
)

const (
	fullOutage  = time.Hour       // of the store, at the sizes where it fits into the time
	longestFull = 8               // nodes up to which the whole hour is run
	shortOutage = 3 * time.Minute // at larger sizes; nothing grows with the outage's length
	workers     = 4
)

// A Capacity measures fleets of different sizes. Set the fields before Run.
type Capacity struct {
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
func (c *Capacity) Run() error {
	if len(c.Sizes) == 0 {
		c.Sizes = Sizes
	}
	costs, err := measureCosts()
	if err != nil {
		return err
	}
	results := c.costResults(costs)
	for _, n := range c.Sizes {
		mb := measureMemory(n, c.Seed, costs) / 1e6
		results = append(results, c.result("quiet", roleEntry, n, "memory_mb", mb, mb, boundMemory))
	}
	results = append(results, c.runEvents(costs)...)
	encoder := json.NewEncoder(c.Output)
	var broken []Result
	for _, r := range results {
		if err := encoder.Encode(r); err != nil {
			return errors.Wrap(err, "print result")
		}
		if r.Bound != nil && r.Max > *r.Bound {
			broken = append(broken, r)
		}
	}
	slopes := c.slopes(results)
	for _, s := range slopes {
		if err := encoder.Encode(s); err != nil {
			return errors.Wrap(err, "print slope")
		}
	}
	if c.Plots != "" {
		if err := plotAll(c.Plots, results); err != nil {
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

// result returns one result; a negative bound is none.
func (c *Capacity) result(event, role string, nodes int, measure string, mean, highest, bound float64) Result {
	r := Result{
		Event: event, Role: role, Nodes: nodes, Replicas: newTopology(nodes).replicas,
		Measure: measure, Mean: mean, Max: highest, Seed: c.Seed,
	}
	if bound >= 0 {
		r.Bound = &bound
	}
	return r
}

// costResults returns the costs of the real transport.
func (c *Capacity) costResults(costs Costs) []Result {
	return []Result{
		c.result("loopback", roleEntry, 0, "message_us", costs.Message*1e6, costs.Message*1e6, noBound),
		c.result("loopback", roleEntry, 0, "connection_kb", costs.Connection/1e3, costs.Connection/1e3, noBound),
	}
}

// runEvents runs all events at all sizes, the largest first, a few at a time.
func (c *Capacity) runEvents(costs Costs) []Result {
	type job struct {
		event event
		nodes int
	}
	var jobs []job
	sizes := slices.Clone(c.Sizes)
	slices.Sort(sizes)
	slices.Reverse(sizes)
	for _, n := range sizes {
		outage := shortOutage
		if n <= longestFull {
			outage = fullOutage
		}
		for _, e := range events(outage) {
			if len(c.Events) == 0 || slices.Contains(c.Events, e.name) {
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
				r := newRun(jobs[i].nodes, c.Seed, jobs[i].event)
				r.do()
				results[i] = c.evaluate(r, costs)
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
func (c *Capacity) evaluate(r *run, costs Costs) []Result {
	n, e := r.fleet.topology.nodes, r.event.name
	everyone := func(persimmoncart.InstanceID) bool { return true }
	gateway := func(id persimmoncart.InstanceID) bool { return r.gateways[id] }
	var results []Result
	add := func(role, measure string, mean, highest, bound float64) {
		results = append(results, c.result(e, role, n, measure, mean, highest, bound))
	}
	for _, role := range []struct {
		name string
		only func(persimmoncart.InstanceID) bool
	}{{roleEntry, everyone}, {roleGateway, gateway}} {
		bytes, most := rates(r, func(s sample) map[persimmoncart.InstanceID]int { return s.bytes }, role.only)
		add(role.name, "bytes_per_node_s", bytes, most, boundBytes)
		messages, mostMessages := rates(r, func(s sample) map[persimmoncart.InstanceID]int { return s.messages }, role.only)
		add(role.name, "messages_per_node_s", messages, mostMessages, noBound)
		used, mostUsed := rates(r, func(s sample) map[persimmoncart.InstanceID]time.Duration { return s.used }, role.only)
		// The simulated network marshals and unmarshals outside the nodes, so
		// the whole drive loop is spread over them; it contains the simulator.
		whole := r.drive.Seconds() / r.event.length.Seconds() / float64(len(r.fleet.alive()))
		mean, _ := rates(r, func(s sample) map[persimmoncart.InstanceID]time.Duration { return s.used }, everyone)
		scale := whole / max(mean/1e9, 1e-12)
		// A node receives about as many messages as it sends.
		add(role.name, "core_share", used/1e9*scale+2*messages*costs.Message/2, mostUsed/1e9*scale+2*mostMessages*costs.Message/2, boundCore)
	}
	reads, writes := calls(r.fleet.memory)
	span := (settleTime + r.event.length).Seconds()
	add(roleEntry, "store_reads_per_s", reads/span, r.perSecond[0], noBound)
	add(roleEntry, "store_writes_per_s", writes/span, r.perSecond[1], noBound)
	if len(r.detected) > 0 {
		add(roleEntry, "detect_p99_s", quantile(r.detected, 0.99), quantile(r.detected, 1), noBound)
	}
	burials := float64(r.fleet.burials())
	add(roleEntry, "false_burials", burials, burials, 0)
	add(roleEntry, "double_owners", float64(r.double), float64(r.double), 0)
	moved := r.moved()
	add(roleEntry, "moved_share", moved, moved, noBound)
	add(roleEntry, "moved_ideal", float64(len(r.lost))/float64(n), float64(len(r.lost))/float64(n), noBound)
	add(roleEntry, "unowned_s", r.unowned, r.unowned, noBound)
	return results
}

// slopes fits the mean of each measure against the number of nodes.
func (c *Capacity) slopes(results []Result) []Slope {
	var slopes []Slope
	for _, r := range results {
		s := Slope{Event: r.Event, Role: r.Role, Measure: r.Measure, Seed: c.Seed}
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
