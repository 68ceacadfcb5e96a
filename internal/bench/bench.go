package bench

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

// parallelRuns bounds the runs at the same time.
const parallelRuns = 4

// A Bench runs cases and prints their measures as JSON lines.
type Bench struct {
	BorrowItems int    // most items in one borrow message; zero is the default
	Case        string // empty means all
	Deployment  string // empty means both
	Nodes       int    // instances; 8 is today's size
	Output      io.Writer
	Replicas    int // engines at the planned size; zero is today's size
	Seed        uint64
	Trace       bool // also count the missed requests by reason
	Traffic     bool // also print the control traffic of ours
}

// A Line is one line of output.
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

// A comparison is one case on one deployment with the results of its routers.
type comparison struct {
	deployment string
	name       string
	results    [columnCount]*result
}

// variants returns the results of the further variants of the bound.
func (p *comparison) variants(planned bool) []*result {
	if planned {
		return nil
	}
	return p.results[columnBound+1:]
}

// Columns of the results of a pair. The bound is the best of its variants, which
// begin at columnBound.
const (
	columnNaive = iota
	columnTwoChoices
	columnOurs
	columnBound
	columnCount = columnBound + 5
)

// Run runs the cases and prints one line for each measure, sorted by case and
// deployment. It returns an *UnknownError for a case or deployment that does
// not exist.
func (b *Bench) Run(ctx context.Context) error {
	pairs, err := b.comparisons()
	if err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(parallelRuns)
	for _, p := range pairs {
		for column := range p.results {
			if b.planned() && column > columnBound {
				continue // one variant of the bound is enough
			}
			g.Go(func() error {
				if err := ctx.Err(); err != nil {
					return err
				}
				p.results[column] = b.runOne(p.name, p.deployment, column)
				return nil
			})
		}
	}
	if err := g.Wait(); err != nil {
		return errors.Wrap(err, "run bench")
	}
	return b.print(pairs)
}

// comparisons returns the selected cases and deployments.
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
	var pairs []*comparison
	for _, c := range cases {
		for _, d := range deployments {
			pairs = append(pairs, &comparison{deployment: d, name: c})
		}
	}
	return pairs, nil
}

// planned reports whether the run has the planned size instead of today's.
func (b *Bench) planned() bool { return b.Nodes > 8 || b.Replicas > 0 }

// print prints the measures.
func (b *Bench) print(pairs []*comparison) error {
	encoder := json.NewEncoder(b.Output)
	for _, p := range pairs {
		if b.Trace {
			for i, r := range p.results[columnOurs:] {
				if r == nil {
					continue
				}
				v := Variant{
					Case: p.name, Deployment: p.deployment, Goodput: round(r.values["goodput"]),
					Held: round(r.usedSlots / max(r.totalSlots, 1)), Running: round(r.generatingSlots / max(r.totalSlots, 1)), Variant: i,
				}
				if err := encoder.Encode(v); err != nil {
					return errors.Wrap(err, "print variant")
				}
			}
		}
		best := p.results[columnBound]
		for _, r := range p.variants(b.planned()) {
			if r.values["goodput"] > best.values["goodput"] {
				best = r
			}
		}
		line := Line{Case: p.name, Deployment: p.deployment, Seed: b.Seed}
		for _, m := range Measures {
			line.Measure, line.Unit = m.Name, m.Unit
			line.Naive = round(p.results[columnNaive].values[m.Name])
			line.TwoChoices = round(p.results[columnTwoChoices].values[m.Name])
			line.Ours = round(p.results[columnOurs].values[m.Name])
			line.Bound = round(best.values[m.Name])
			if err := encoder.Encode(line); err != nil {
				return errors.Wrap(err, "print measure")
			}
		}
		if b.Trace {
			for _, m := range slices.Concat(misses(p, "ours", p.results[columnOurs].requests), misses(p, "bound", best.requests)) {
				if err := encoder.Encode(m); err != nil {
					return errors.Wrap(err, "print misses")
				}
			}
		}
		if b.Traffic {
			if err := encoder.Encode(traffic(p, b.Seed)); err != nil {
				return errors.Wrap(err, "print traffic")
			}
		}
	}
	return nil
}

// runOne runs one case with one router.
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

// A Variant is the goodput and use of ours (0) or of one variant of the bound:
// 1 earliest due first, 2 shortest answer first, 3 and 4 the same with prefills
// started ahead, 5 earliest due first without knowledge of answer lengths.
type Variant struct {
	Case       string  `json:"case"`
	Deployment string  `json:"deployment"`
	Goodput    float64 `json:"goodput"`
	Held       float64 `json:"held"`    // share of decode slots in use
	Running    float64 `json:"running"` // share of decode slots that generate
	Variant    int     `json:"variant"`
}

// A Traffic is the control traffic of ours in one case.
type Traffic struct {
	Case          string  `json:"case"`
	Deployment    string  `json:"deployment"`
	BorrowItems   float64 `json:"borrow_items"` // a message
	BorrowsPerS   float64 `json:"borrows_per_s"`
	BytesPerNodeS float64 `json:"bytes_per_node_s"`
	Seed          uint64  `json:"seed"`
}

// traffic returns the control traffic of ours.
func traffic(p *comparison, seed uint64) Traffic {
	r := p.results[columnOurs]
	seconds := r.seconds
	return Traffic{
		Case: p.name, Deployment: p.deployment, Seed: seed,
		BorrowItems:   round(float64(r.borrowItems) / max(float64(r.borrows), 1)),
		BorrowsPerS:   round(float64(r.borrows) / seconds),
		BytesPerNodeS: round(float64(r.bytes) / seconds / max(float64(r.nodes), 1)),
	}
}

// round keeps five digits after the point, so that lines are short.
func round(v float64) float64 { return float64(int64(v*1e5+0.5)) / 1e5 }

// sorted returns the keys of m in order.
func sorted[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// An UnknownError names a case or deployment that does not exist.
type UnknownError struct {
	Value string
}

// Error implements error.
func (e *UnknownError) Error() string { return "unknown case or deployment " + e.Value }
