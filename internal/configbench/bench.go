package configbench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/config"
	"github.com/persimmoncart/persimmoncart/internal/objectapi"
)

// Rates of the two-year plan; see section 4 of docs/design.md.
const (
	changesPerDay  = 10_000
	failuresPerDay = 69
	planNodes      = 400
	replacedPerDay = 810
	day            = 24 * time.Hour
	// settleTime is longer than any outage, so that every one has ended when the
	// final states are compared.
	settleTime = 6 * time.Minute
	warmTime   = 2 * time.Minute
)

// Bounds of section 12 of docs/design.md.
const (
	boundBytes   = 1024 // a node and second
	boundInForce = 11 * time.Second
	boundWatches = 8
)

// A Bench is one run of the harness.
type Bench struct {
	Changes int
	Nodes   int
	Objects int // size of the configuration
	Out     io.Writer
	Seed    uint64

	measure  *measure
	operator int // number of the last edit
	platform *platform
	random   *rand.Rand
	world    *world
}

// A Line is one measured value.
type Line struct {
	Measure string  `json:"measure"`
	Nodes   int     `json:"nodes"`
	Value   float64 `json:"value"`
	Bound   float64 `json:"bound,omitempty"`
	Seed    uint64  `json:"seed"`
}

// A BoundError reports measures outside their bounds.
type BoundError struct {
	Measures []string
}

// Error implements error.
func (e *BoundError) Error() string { return fmt.Sprintf("outside the bound: %v", e.Measures) }

// Run runs the bench, writes its lines to Out and returns a *BoundError if a
// bound is broken.
func (b *Bench) Run(ctx context.Context) error {
	scheduler := NewScheduler(time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC))
	b.random = rand.New(rand.NewPCG(b.Seed, 1))
	b.world = newWorld(scheduler, rand.New(rand.NewPCG(b.Seed, 2)), b.Nodes)
	b.world.nodes = make([]*node, b.Nodes)
	b.platform = &platform{
		commits: map[uint64]time.Time{}, memory: &objectapi.Memory{Timer: scheduler},
		random: rand.New(rand.NewPCG(b.Seed, 3)), watches: map[*watch]bool{}, world: b.world,
	}
	b.world.platform = b.platform
	b.measure = &measure{
		accepted: map[string]uint64{}, bytes: make([]int64, b.Nodes), minute: make([]int64, b.Nodes),
		refused: map[string]bool{}, world: b.world,
	}
	b.world.measure = b.measure
	if err := b.seedStore(ctx, scheduler); err != nil {
		return err
	}
	b.world.warm = true
	for i := range b.Nodes {
		b.world.start(i)
	}
	scheduler.Advance(warmTime)
	b.world.warm = false
	b.measure.bytes, b.measure.delays = make([]int64, b.Nodes), nil
	b.measure.endMinute()
	b.measure.peak = 0
	before, start := b.platform.memory.Counts(), scheduler.Now()
	length := time.Duration(float64(b.Changes) / changesPerDay * float64(day))
	b.schedule(scheduler, length)
	scheduler.Subscribe(time.Minute, func(time.Time) { b.measure.endMinute() })
	reads := b.world.watchReads
	scheduler.Advance(length)
	elapsed := scheduler.Now().Sub(start)
	after := b.platform.memory.Counts()
	used := usage{
		reads:  (float64(after.Reads-before.Reads) - float64(b.world.watchReads-reads)) / elapsed.Seconds(),
		writes: float64(after.Writes-before.Writes) / elapsed.Seconds(),
	}
	used.mean, used.high = b.measure.busiest(elapsed)
	used.peak = float64(b.measure.peak) / time.Minute.Seconds()
	scheduler.Advance(settleTime)
	b.measure.finish()
	return b.report(ctx, used)
}

// A usage is what a run used, a second.
type usage struct {
	high   float64 // bytes of the busiest node
	mean   float64 // bytes of a node
	peak   float64 // bytes of the busiest node in its busiest minute
	reads  float64
	writes float64
}

// seedStore writes the first version.
func (b *Bench) seedStore(ctx context.Context, timer persimmoncart.Timer) error {
	e := &config.Editor{Archive: &config.Archive{Store: b.platform.memory}, Timer: timer}
	r, err := e.Apply(ctx, config.Edit{Author: "planner", Changes: initial(b.Objects), Force: true, ID: "seed"})
	if err != nil {
		return errors.Wrap(err, "write first version")
	}
	b.platform.version = r.Version
	b.platform.commits[r.Version] = timer.Now()
	b.measure.accepted["seed"] = r.Version
	return nil
}

// schedule plans the changes, restarts and outages of the run.
func (b *Bench) schedule(s *Scheduler, length time.Duration) {
	at := func(f func()) {
		s.After(time.Duration(b.random.Float64()*float64(length)), func(time.Time) { f() })
	}
	for range b.Changes {
		at(b.edit)
	}
	// The plan's rates hold for planNodes; a smaller fleet has fewer restarts.
	share := float64(length) / float64(day) * float64(b.Nodes) / planNodes
	for range max(3, int(math.Ceil(replacedPerDay*share))) {
		at(func() { b.restart(b.random.IntN(b.Nodes), true) })
	}
	for range max(2, int(math.Ceil(failuresPerDay*share))) {
		at(func() { b.restart(b.random.IntN(b.Nodes), false) })
	}
	const outages = 3
	for range outages {
		at(b.storeDown)
		at(b.storeSlow)
		at(b.regionAlone)
		at(b.pathCut)
	}
	at(b.centreLost)
}

// restart replaces the instance of a slot.
func (b *Bench) restart(slot int, planned bool) {
	n := b.world.nodes[slot]
	if !n.alive {
		return
	}
	b.world.stop(n, planned)
	b.world.scheduler.After(startDelay, func(time.Time) { b.world.start(slot) })
}

// storeDown takes the store away for some minutes.
func (b *Bench) storeDown() {
	length := b.minutes()
	now := b.world.scheduler.Now()
	b.measure.windows = append(b.measure.windows, window{from: now, to: now.Add(length)})
	b.platform.down = true
	b.platform.breakWatches("")
	b.world.scheduler.After(length, func(time.Time) { b.platform.down = b.inWindow("") })
}

// inWindow reports whether an outage of the region, or of the store, goes on.
func (b *Bench) inWindow(region persimmoncart.Region) bool {
	now := b.world.scheduler.Now()
	for _, w := range b.measure.windows {
		if w.region == region && !w.from.After(now) && w.to.After(now) {
			return true
		}
	}
	return false
}

// storeSlow makes the store slow for some minutes.
func (b *Bench) storeSlow() {
	b.platform.slow = true
	b.world.scheduler.After(b.minutes(), func(time.Time) { b.platform.slow = false })
}

// regionAlone cuts one region from all others.
func (b *Bench) regionAlone() {
	region := persimmoncart.Region(fmt.Sprintf("region-%d", 1+b.random.IntN(regionCount-1)))
	length := b.minutes()
	now := b.world.scheduler.Now()
	b.measure.windows = append(b.measure.windows, window{from: now, region: region, to: now.Add(length)})
	for i := range regionCount {
		b.cut(region, persimmoncart.Region(fmt.Sprintf("region-%d", i)), length)
	}
}

// pathCut cuts one region from the store's region only.
func (b *Bench) pathCut() {
	region := persimmoncart.Region(fmt.Sprintf("region-%d", 1+b.random.IntN(regionCount-1)))
	b.cut(region, b.world.storeRegion, b.minutes())
}

// cut ends the path between two regions for a time.
func (b *Bench) cut(x, y persimmoncart.Region, length time.Duration) {
	if x == y {
		return
	}
	pair := [2]persimmoncart.Region{x, y}
	b.world.cut[pair] = true
	if y == b.world.storeRegion {
		b.platform.breakWatches(x)
	}
	b.world.scheduler.After(length, func(time.Time) {
		if !b.inWindow(x) {
			delete(b.world.cut, pair)
		}
	})
}

// centreLost restarts all instances of a data centre at once.
func (b *Bench) centreLost() {
	c := b.world.centres[b.random.IntN(len(b.world.centres))]
	for i, n := range b.world.nodes {
		if n.self.DataCentre == c {
			b.restart(i, false)
		}
	}
}

// minutes returns the length of an outage.
func (b *Bench) minutes() time.Duration {
	return 30*time.Second + time.Duration(b.random.Int64N(int64(4*time.Minute)))
}

// report writes the lines.
func (b *Bench) report(ctx context.Context, used usage) error {
	lost, err := b.measure.lost(ctx)
	if err != nil {
		return errors.Wrap(err, "compare with replay")
	}
	lines := []Line{
		{Measure: "in_force_p99_s", Value: b.measure.quantile(0.99).Seconds()},
		{Measure: "in_force_max_s", Value: b.measure.quantile(1).Seconds(), Bound: boundInForce.Seconds()},
		{Measure: "reverts", Value: float64(b.measure.reverts)},
		{Measure: "lost_changes", Value: float64(lost)},
		{Measure: "accepted_changes", Value: float64(len(b.measure.accepted))},
		{Measure: "conflicts", Value: float64(b.measure.conflicts)},
		{Measure: "store_reads_per_s", Value: used.reads},
		{Measure: "store_writes_per_s", Value: used.writes},
		{Measure: "store_watches", Value: float64(b.world.watchPeak), Bound: boundWatches},
		{Measure: "bytes_per_node_s", Value: used.mean, Bound: boundBytes},
		{Measure: "bytes_busiest_node_s", Value: used.high, Bound: boundBytes},
		{Measure: "bytes_busiest_minute_s", Value: used.peak},
	}
	broken := &BoundError{}
	out := json.NewEncoder(b.Out)
	for _, l := range lines {
		l.Nodes, l.Seed = b.Nodes, b.Seed
		l.Value = math.Round(l.Value*1000) / 1000
		exact := l.Measure == "reverts" || l.Measure == "lost_changes"
		if (exact && l.Value > 0) || (l.Bound > 0 && l.Value > l.Bound) {
			broken.Measures = append(broken.Measures, l.Measure)
		}
		if err := out.Encode(l); err != nil {
			return errors.Wrap(err, "write line")
		}
	}
	if len(broken.Measures) > 0 {
		return broken
	}
	return nil
}
