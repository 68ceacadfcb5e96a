package faults

import (
	"context"
	"fmt"
	"slices"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/config"
)

// check checks at the end of a schedule what must hold then.
func (c *cluster) checkInvariants(p *plan, calls []*call) {
	c.checkAnswers(calls)
	c.checkConfiguration()
	c.checkEngines(p)
	c.checkMemory()
	c.checkRuns()
	c.checkStop(p)
}

// checkAnswers fails for calls that never ended.
func (c *cluster) checkAnswers(calls []*call) {
	for _, call := range calls {
		if n, _, ended := call.status(); !ended && n != nil && !n.crashed.Load() {
			c.fail(WholeAnswer, "request %d at %s never got an end", call.request.Number, n.self.ID)
		}
	}
}

// checkConfiguration compares the nodes with each other and with what was
// accepted.
func (c *cluster) checkConfiguration() {
	archive := &config.Archive{Store: c.store}
	ctx := context.Background()
	head, err := archive.Head(ctx)
	if err != nil {
		c.fail(ConfigKept, "read head: %v", err)
		return
	}
	sets, err := archive.History(ctx, head, 0, int(head.Version)) //nolint:gosec // A handful of versions.
	if err != nil {
		c.fail(ConfigKept, "read history: %v", err)
		return
	}
	seen := map[string]int{}
	for _, s := range sets {
		seen[s.ID]++
	}
	for id := range c.operator.accepted {
		if seen[id] > 1 {
			c.fail(ConfigKept, "edit %s was applied %d times", id, seen[id])
		}
	}
	for _, n := range c.running() {
		if n.stopping.Load() {
			continue
		}
		if have := n.follower.Snapshot().Version; have != head.Version {
			c.fail(ConfigKept, "%s has version %d, %d is in force", n.self.ID, have, head.Version)
		}
	}
	for _, n := range c.allNodes {
		last := uint64(0)
		for _, v := range n.versions {
			if v < last {
				c.fail(ConfigKept, "%s went from version %d back to %d", n.self.ID, last, v)
			}
			last = v
		}
	}
}

// checkDeadNode fails for memory that is still held for a dead node in the regions
// where another node owned the engines in time.
func (c *cluster) checkDeadNode(n *node, regions map[persimmoncart.Region]bool) {
	for _, k := range c.allWork() {
		if k.Tag == n.self.Tag() && regions[k.region] {
			c.fail(MemoryReleased, "%s still holds %d blocks for %s of the dead %s", k.id, k.Blocks, k.Attempt, k.Tag.Instance)
		}
	}
}

// checkEngines fails for engines that an order of a former lease holder moved
// away from the plan for good.
func (c *cluster) checkEngines(p *plan) {
	if !p.has(OrderIgnoredFence) || len(c.survivors()) < len(regions()) {
		return // a data centre without instances gets no orders
	}
	for _, p := range c.sortedEndpoints() {
		if p.engine == nil || !c.hasRunningNode(p.site) {
			continue
		}
		report, err := p.engine.Load(context.Background())
		if err != nil {
			continue // it is down
		}
		if report.Role != p.role || !slices.Contains(report.Models, model) {
			c.fail(ConfigKept, "%s has the role %s and the models %v against the plan", p.id, report.Role, report.Models)
		}
	}
}

// hasRunningNode reports whether the site has a running node.
func (c *cluster) hasRunningNode(site int) bool {
	n := c.nodeAt(site)
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
func (c *cluster) checkMemory() {
	for _, k := range c.allWork() {
		c.fail(MemoryReleased, "%s holds %d blocks for %s of %s", k.id, k.Blocks, k.Attempt, k.Tag.Instance)
	}
}

// A held is work that holds memory on an engine.
type engineWork struct {
	persimmoncart.WorkItem

	id     persimmoncart.EndpointID
	region persimmoncart.Region
}

// work returns all work that holds memory. An engine that is down holds nothing.
func (c *cluster) allWork() []engineWork {
	var all []engineWork
	for _, p := range c.sortedEndpoints() {
		if p.engine == nil {
			continue
		}
		work, err := p.engine.ListWork(context.Background())
		if err != nil {
			continue
		}
		for _, k := range work {
			all = append(all, engineWork{WorkItem: k, id: p.id, region: p.region})
		}
	}
	return all
}

// checkRuns fails for bookings that ran more than once.
func (c *cluster) checkRuns() {
	for key, r := range c.records.All() {
		if r.Runs > 1 {
			c.fail(AtMostOnce, "%s ran %d times", key, r.Runs)
		}
	}
	if n := c.records.RunsWithoutKey(); n > 0 {
		c.fail(AtMostOnce, "%d bookings ran without a key", n)
	}
}

// checkStop fails for a planned stop that did not end.
func (c *cluster) checkStop(p *plan) {
	if p.StopTime == 0 {
		return
	}
	for _, n := range c.allNodes {
		if !n.stopping.Load() || n.crashed.Load() {
			continue
		}
		select {
		case <-n.done:
		default:
			c.fail(GracefulStop, "%s did not stop", n.self.ID)
		}
	}
}

// A Report is the outcome of one combination of faults for one invariant.
type Report struct {
	Fault      string    `json:"fault"`
	Invariant  Invariant `json:"promise"`
	Runs       int       `json:"runs"`
	Seed       uint64    `json:"seed"`
	Violations int       `json:"violations"`
}

// CombinationName returns the name of a combination of faults.
func CombinationName(faults []Fault) string {
	if len(faults) == 1 {
		return string(faults[0])
	}
	return fmt.Sprintf("%s+%s", faults[0], faults[1])
}
