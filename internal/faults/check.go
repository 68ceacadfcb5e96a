package faults

import (
	"context"
	"fmt"
	"slices"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/config"
)

// check checks at the end of a schedule what must hold then.
func (w *world) check(p *plan, calls []*call) {
	w.checkAnswers(calls)
	w.checkConfiguration()
	w.checkEngines(p)
	w.checkMemory()
	w.checkRuns()
	w.checkStop(p)
}

// checkAnswers fails for calls that never ended.
func (w *world) checkAnswers(calls []*call) {
	for _, c := range calls {
		if n, _, ended := c.finished(); !ended && n != nil && !n.crashed.Load() {
			w.fail(WholeAnswer, "request %d at %s never got an end", c.request.Number, n.self.ID)
		}
	}
}

// checkConfiguration compares the nodes with each other and with what was
// accepted.
func (w *world) checkConfiguration() {
	repository := &config.Repository{Store: w.store}
	ctx := context.Background()
	head, err := repository.Head(ctx)
	if err != nil {
		w.fail(ConfigKept, "read head: %v", err)
		return
	}
	sets, err := repository.History(ctx, head, 0, int(head.Version)) //nolint:gosec // A handful of versions.
	if err != nil {
		w.fail(ConfigKept, "read history: %v", err)
		return
	}
	seen := map[string]int{}
	for _, s := range sets {
		seen[s.ID]++
	}
	for id := range w.operator.accepted {
		if seen[id] > 1 {
			w.fail(ConfigKept, "edit %s was applied %d times", id, seen[id])
		}
	}
	for _, n := range w.running() {
		if n.stopping.Load() {
			continue
		}
		if have := n.follower.Snapshot().Version; have != head.Version {
			w.fail(ConfigKept, "%s has version %d, %d is in force", n.self.ID, have, head.Version)
		}
	}
	for _, n := range w.all {
		last := uint64(0)
		for _, v := range n.versions {
			if v < last {
				w.fail(ConfigKept, "%s went from version %d back to %d", n.self.ID, last, v)
			}
			last = v
		}
	}
}

// checkDead fails for memory that is still held for a dead node in the regions
// where another node owned the engines in time.
func (w *world) checkDead(n *node, regions map[persimmoncart.Region]bool) {
	for _, k := range w.work() {
		if k.Tag == n.self.Tag() && regions[k.region] {
			w.fail(MemoryReleased, "%s still holds %d blocks for %s of the dead %s", k.id, k.Blocks, k.Attempt, k.Tag.Instance)
		}
	}
}

// checkEngines fails for engines that an order of a former lease holder moved
// away from the plan for good.
func (w *world) checkEngines(p *plan) {
	if !p.has(OrderIgnoredFence) || len(w.survivors()) < len(regions()) {
		return // a data centre without instances gets no orders
	}
	for _, p := range w.sorted() {
		if p.engine == nil || !w.staffed(p.site) {
			continue
		}
		report, err := p.engine.Load(context.Background())
		if err != nil {
			continue // it is down
		}
		if report.Role != p.role || !slices.Contains(report.Models, model) {
			w.fail(ConfigKept, "%s has the role %s and the models %v against the plan", p.id, report.Role, report.Models)
		}
	}
}

// staffed reports whether the site has a running node.
func (w *world) staffed(site int) bool {
	n := w.at(site)
	return n != nil && !n.crashed.Load() && !n.stopping.Load()
}

// regions returns the regions of the sites.
func regions() map[persimmoncart.Region]bool {
	all := map[persimmoncart.Region]bool{}
	for _, s := range sites {
		all[s.region] = true
	}
	return all
}

// checkMemory fails for engine memory that is still held: every request has
// ended, and every deadline has passed.
func (w *world) checkMemory() {
	for _, k := range w.work() {
		w.fail(MemoryReleased, "%s holds %d blocks for %s of %s", k.id, k.Blocks, k.Attempt, k.Tag.Instance)
	}
}

// A held is work that holds memory on an engine.
type held struct {
	persimmoncart.WorkItem

	id     persimmoncart.EndpointID
	region persimmoncart.Region
}

// work returns all work that holds memory. An engine that is down holds nothing.
func (w *world) work() []held {
	var all []held
	for _, p := range w.sorted() {
		if p.engine == nil {
			continue
		}
		work, err := p.engine.ListWork(context.Background())
		if err != nil {
			continue
		}
		for _, k := range work {
			all = append(all, held{WorkItem: k, id: p.id, region: p.region})
		}
	}
	return all
}

// checkRuns fails for bookings that ran more than once.
func (w *world) checkRuns() {
	for key, r := range w.records.All() {
		if r.Runs > 1 {
			w.fail(AtMostOnce, "%s ran %d times", key, r.Runs)
		}
	}
	if n := w.records.RunsWithoutKey(); n > 0 {
		w.fail(AtMostOnce, "%d bookings ran without a key", n)
	}
}

// checkStop fails for a planned stop that did not end.
func (w *world) checkStop(p *plan) {
	if p.Stop == 0 {
		return
	}
	for _, n := range w.all {
		if !n.stopping.Load() || n.crashed.Load() {
			continue
		}
		select {
		case <-n.done:
		default:
			w.fail(GracefulStop, "%s did not stop", n.self.ID)
		}
	}
}

// A Report is the outcome of one combination of faults for one promise.
type Report struct {
	Fault      string  `json:"fault"`
	Promise    Promise `json:"promise"`
	Runs       int     `json:"runs"`
	Seed       uint64  `json:"seed"`
	Violations int     `json:"violations"`
}

// Name returns the name of a combination of faults.
func Name(faults []Fault) string {
	if len(faults) == 1 {
		return string(faults[0])
	}
	return fmt.Sprintf("%s+%s", faults[0], faults[1])
}
