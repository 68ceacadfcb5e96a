package faults

import (
	"context"
	"fmt"
	"slices"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/config"
)

// checkInvariants checks the invariants that must hold at the end of a schedule.
func (c *cluster) checkInvariants(p *plan, calls []*call) {
	c.checkAnswers(calls)
	c.checkConfiguration()
	c.checkEngines(p)
	c.checkMemory()
	c.checkRuns()
	c.checkStop(p)
}

// checkAnswers records a violation for each call that has not ended, unless its node
// crashed.
func (c *cluster) checkAnswers(calls []*call) {
	for _, call := range calls {
		if n, _, ended := call.status(); !ended && n != nil && !n.crashed.Load() {
			c.fail(WholeAnswer, "request %d at %s has not ended", call.request.Number, n.self.ID)
		}
	}
}

// checkConfiguration records a violation for an accepted edit that was applied more
// than once, for a running node that lacks the newest version, and for a node whose
// version decreased.
func (c *cluster) checkConfiguration() {
	repository := &config.Repository{Store: c.store}
	ctx := context.Background()
	head, err := repository.Head(ctx)
	if err != nil {
		c.fail(ConfigKept, "read head: %v", err)
		return
	}
	sets, err := repository.History(ctx, head, 0, int(head.Version)) //nolint:gosec // A handful of versions.
	if err != nil {
		c.fail(ConfigKept, "read history: %v", err)
		return
	}
	applied := map[string]int{}
	for _, set := range sets {
		applied[set.ID]++
	}
	for id := range c.operator.accepted {
		if applied[id] > 1 {
			c.fail(ConfigKept, "edit %s was applied %d times", id, applied[id])
		}
	}
	for _, n := range c.running() {
		if n.stopping.Load() {
			continue
		}
		if version := n.follower.Snapshot().Version; version != head.Version {
			c.fail(ConfigKept, "%s has version %d, the newest is %d", n.self.ID, version, head.Version)
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

// checkDeadNode records a violation for engine memory that is still reserved for the
// dead node n, in the regions that had a running node to cancel its work.
func (c *cluster) checkDeadNode(n *node, regions map[persimmoncart.Region]bool) {
	for _, work := range c.allWork() {
		if work.Tag == n.self.Tag() && regions[work.region] {
			c.fail(MemoryReleased, "%s still has %d blocks reserved for %s of the dead %s", work.id, work.Blocks, work.Attempt, work.Tag.Instance)
		}
	}
}

// checkEngines records a violation for engines that a stale order of a former lease
// holder changed and that were not restored to the plan.
func (c *cluster) checkEngines(p *plan) {
	if !p.has(OrderIgnoredFence) || len(c.survivors()) < len(regions()) {
		return // without instances, a data centre sends no orders
	}
	for _, e := range c.sortedEndpoints() {
		if e.engine == nil || !c.hasRunningNode(e.site) {
			continue
		}
		report, err := e.engine.Load(context.Background())
		if err != nil {
			continue // the engine is down
		}
		if report.Role != e.role || !slices.Contains(report.Models, model) {
			c.fail(ConfigKept, "%s has the role %s and the models %v, contrary to the plan", e.id, report.Role, report.Models)
		}
	}
}

// hasRunningNode reports whether the site has a node that runs and isn't stopping.
func (c *cluster) hasRunningNode(site int) bool {
	n := c.nodeAt(site)
	return n != nil && !n.crashed.Load() && !n.stopping.Load()
}

// regions returns the set of the regions of all sites.
func regions() map[persimmoncart.Region]bool {
	regions := map[persimmoncart.Region]bool{}
	for _, s := range sites {
		regions[s.region] = true
	}
	return regions
}

// checkMemory records a violation for engine memory that is still reserved at the
// end, when every request has ended and every deadline has passed.
func (c *cluster) checkMemory() {
	for _, work := range c.allWork() {
		c.fail(MemoryReleased, "%s has %d blocks reserved for %s of %s", work.id, work.Blocks, work.Attempt, work.Tag.Instance)
	}
}

// An engineWork is a work item for which an engine reserves memory.
type engineWork struct {
	persimmoncart.WorkItem

	id     persimmoncart.EndpointID
	region persimmoncart.Region
}

// allWork returns the work items of all engines. Engines that are down have none.
func (c *cluster) allWork() []engineWork {
	var all []engineWork
	for _, e := range c.sortedEndpoints() {
		if e.engine == nil {
			continue
		}
		items, err := e.engine.ListWork(context.Background())
		if err != nil {
			continue
		}
		for _, item := range items {
			all = append(all, engineWork{WorkItem: item, id: e.id, region: e.region})
		}
	}
	return all
}

// checkRuns records a violation for bookings that ran more than once or without an
// idempotency key.
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

// checkStop records a violation for a graceful stop that has not completed.
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

// A Report holds the number of violations of one invariant under one combination of
// faults.
type Report struct {
	Fault      string    `json:"fault"`
	Invariant  Invariant `json:"promise"`
	Runs       int       `json:"runs"`
	Seed       uint64    `json:"seed"`
	Violations int       `json:"violations"`
}

// CombinationName returns the name of a combination of one or two faults.
func CombinationName(faults []Fault) string {
	if len(faults) == 1 {
		return string(faults[0])
	}
	return fmt.Sprintf("%s+%s", faults[0], faults[1])
}
