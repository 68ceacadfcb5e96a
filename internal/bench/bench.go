package bench

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"slices"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

// parallelRuns is how many simulations run at the same time.
const parallelRuns = 4

// A Bench runs the selected cases with every router and prints their measures
// as JSON lines.
type Bench struct {
	BorrowItems int    // most items in one borrow message; zero selects policy.DefaultBorrowItems
	Case        string // empty runs all cases
	Deployment  string // empty runs both deployments
	Nodes       int    // entry instances; 8 is today's size, more selects the planned size
	Output      io.Writer
	Replicas    int // engines; above zero selects the planned size, zero is today's size
	Seed        uint64
	Trace       bool // also print the variants and the requests that missed their targets, by reason
	Traffic     bool // also print the control traffic of the broker router
}

// A Line holds one measure of all routers for one case and deployment, and is
// printed as one line of JSON.
type Line struct {
	Case       string  `json:"case"`
	Deployment string  `json:"deployment"`
	Measure    string  `json:"measure"`
	Naive      float64 `json:"naive"`
	TwoChoices float64 `json:"two_choices"`
	Ours       float64 `json:"ours"`
	Bound      float64 `json:"bound"`
	Unit       string  `json:"unit"`
	Seed       uint64  `json:"seed"`
}

// A comparison holds the results of all routers for one case on one
// deployment.
type comparison struct {
	deployment string
	name       string
	results    [columnCount]*result
}

// variants returns the results of the bound's variants after the first. The
// planned size runs only the first.
func (c *comparison) variants(planned bool) []*result {
	if planned {
		return nil
	}
	return c.results[columnBound+1:]
}

// Indexes of the results of a comparison. The columns from columnBound on are
// the variants of the bound router; the best of them is printed.
const (
	columnNaive = iota
	columnTwoChoices
	columnOurs
	columnBound
	columnCount = columnBound + 5
)

// Run runs the selected cases and prints one line for each measure, sorted by
// case and deployment. It returns an *UnknownError for a case or deployment
// that does not exist.
func (b *Bench) Run(ctx context.Context) error {
	comparisons, err := b.comparisons()
	if err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(parallelRuns)
	for _, c := range comparisons {
		for column := range c.results {
			if b.planned() && column > columnBound {
				continue // only the first variant of the bound runs at the planned size
			}
			g.Go(func() error {
				if err := ctx.Err(); err != nil {
					return err
				}
				c.results[column] = b.runOne(c.name, c.deployment, column)
				return nil
			})
		}
	}
	if err := g.Wait(); err != nil {
		return errors.Wrap(err, "run bench")
	}
	return b.print(comparisons)
}

// comparisons returns the selected combinations of case and deployment,
// without results.
func (b *Bench) comparisons() ([]*comparison, error) {
	cases, deployments := Cases, []string{darJaouz, peachthread}
	switch {
	case b.Case != "" && !slices.Contains(Cases, b.Case):
		return nil, &UnknownError{Value: b.Case}
	case b.Case != "":
		cases = []string{b.Case}
	case b.planned():
		cases = []string{caseSteady}
	}
	switch {
	case b.Deployment != "" && !slices.Contains(deployments, b.Deployment):
		return nil, &UnknownError{Value: b.Deployment}
	case b.Deployment != "":
		deployments = []string{b.Deployment}
	case b.planned():
		deployments = deployments[:1]
	}
	var comparisons []*comparison
	for _, c := range cases {
		for _, d := range deployments {
			comparisons = append(comparisons, &comparison{deployment: d, name: c})
		}
	}
	return comparisons, nil
}

// planned reports whether the run has the planned size instead of today's
// size.
func (b *Bench) planned() bool { return b.Nodes > 8 || b.Replicas > 0 }

// print prints the measures and, if selected, the variants, misses and control
// traffic.
func (b *Bench) print(comparisons []*comparison) error {
	encoder := json.NewEncoder(b.Output)
	for _, c := range comparisons {
		if b.Trace {
			for i, r := range c.results[columnOurs:] {
				if r == nil {
					continue
				}
				v := Variant{
					Case: c.name, Deployment: c.deployment, Goodput: round(r.values["goodput"]),
					Held: round(r.usedSlots / max(r.totalSlots, 1)), Running: round(r.generatingSlots / max(r.totalSlots, 1)), Variant: i,
				}
				if err := encoder.Encode(v); err != nil {
					return errors.Wrap(err, "print variant")
				}
			}
		}
		best := c.results[columnBound]
		for _, r := range c.variants(b.planned()) {
			if r.values["goodput"] > best.values["goodput"] {
				best = r
			}
		}
		line := Line{Case: c.name, Deployment: c.deployment, Seed: b.Seed}
		for _, m := range Measures {
			line.Measure, line.Unit = m.Name, m.Unit
			line.Naive = round(c.results[columnNaive].values[m.Name])
			line.TwoChoices = round(c.results[columnTwoChoices].values[m.Name])
			line.Ours = round(c.results[columnOurs].values[m.Name])
			line.Bound = round(best.values[m.Name])
			if err := encoder.Encode(line); err != nil {
				return errors.Wrap(err, "print measure")
			}
		}
		if b.Trace {
			for _, m := range slices.Concat(misses(c, "ours", c.results[columnOurs].requests), misses(c, "bound", best.requests)) {
				if err := encoder.Encode(m); err != nil {
					return errors.Wrap(err, "print misses")
				}
			}
		}
		if b.Traffic {
			if err := encoder.Encode(traffic(c, b.Seed)); err != nil {
				return errors.Wrap(err, "print traffic")
			}
		}
	}
	return nil
}

// runOne runs one case with the router of one column.
func (b *Bench) runOne(name, deployment string, column int) *result {
	d := newDeployment(deployment, b.Nodes, b.Replicas)
	sim := newSimulation(d, newScenario(name, b.planned()), b.Seed)
	switch column {
	case columnNaive:
		return sim.run(newBaseline(sim, func() chooser { return &roundRobin{next: make(map[int]int)} }))
	case columnTwoChoices:
		random := rand.New(rand.NewPCG(b.Seed, 3))
		return sim.run(newBaseline(sim, func() chooser {
			return &twoChoices{inFlight: make(map[persimmoncart.EndpointID]int), random: random}
		}))
	case columnOurs:
		o := newBrokerRouter(sim)
		o.borrowItems = cmp.Or(b.BorrowItems, policy.DefaultBorrowItems)
		return sim.run(o)
	default:
		variant := column - columnBound
		o := newBoundRouter(sim, boundOrder(variant%2), variant/2 == 1)
		o.outputUnknown = variant == 4
		return sim.run(o)
	}
}

// A Variant holds the goodput and slot use of the broker router (0) or of one
// variant of the bound: 1 earliest deadline first, 2 shortest output first, 3
// and 4 the same with prefills that start before a decode slot is free, 5
// earliest deadline first without knowledge of output lengths.
type Variant struct {
	Case       string  `json:"case"`
	Deployment string  `json:"deployment"`
	Goodput    float64 `json:"goodput"`
	Held       float64 `json:"held"`    // share of decode slots in use, transfers included
	Running    float64 `json:"running"` // share of decode slots that generate tokens
	Variant    int     `json:"variant"`
}

// A Traffic holds the control traffic of the broker router in one case.
type Traffic struct {
	Case          string  `json:"case"`
	Deployment    string  `json:"deployment"`
	BorrowItems   float64 `json:"borrow_items"` // mean in one message
	BorrowsPerS   float64 `json:"borrows_per_s"`
	BytesPerNodeS float64 `json:"bytes_per_node_s"`
	Seed          uint64  `json:"seed"`
}

// traffic returns the control traffic of the broker router.
func traffic(c *comparison, seed uint64) Traffic {
	r := c.results[columnOurs]
	seconds := r.seconds
	return Traffic{
		Case: c.name, Deployment: c.deployment, Seed: seed,
		BorrowItems:   round(float64(r.borrowItems) / max(float64(r.borrows), 1)),
		BorrowsPerS:   round(float64(r.borrows) / seconds),
		BytesPerNodeS: round(float64(r.bytes) / seconds / max(float64(r.nodes), 1)),
	}
}

// round rounds v to five decimal places, which keeps the lines short.
func round(v float64) float64 { return float64(int64(v*1e5+0.5)) / 1e5 }

// An UnknownError reports a case or deployment that does not exist.
type UnknownError struct {
	Value string
}

// Error implements error.
func (e *UnknownError) Error() string { return "unknown case or deployment " + e.Value }
