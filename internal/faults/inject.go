package faults

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/application"
	"github.com/persimmoncart/persimmoncart/internal/engine"
)

// cancelTime is the longest time until the owner of a replica has cancelled the work
// of a dead instance (docs/design.md, section 8.9). It includes one sweep period.
const cancelTime = 4 * time.Second

// restartTime is the time after which the platform replaces a dead instance.
const restartTime = 3 * time.Second

// An endpointFault holds the faults of one endpoint. The zero value is a healthy one.
type endpointFault struct {
	down    bool
	failing bool // executes calls without a response; applications only
	leaving bool
	slow    float64 // slowdown factor
	stall   bool    // KV cache transfers stall; decode engines only
}

// injectEndpointFault sets the faults of one endpoint for the duration of the event.
// Half of the events with d.down let all application endpoints fail instead.
func (c *cluster) injectEndpointFault(e event, d endpointFault) {
	candidates := c.sortedEndpoints()
	if d.stall {
		candidates = slices.DeleteFunc(candidates, func(e *endpoint) bool { return e.role != persimmoncart.RoleDecode })
	}
	chosen := []*endpoint{candidates[e.Random%len(candidates)]}
	if d.down && e.Random/len(candidates)%2 == 0 {
		// A fault behind the application pool: all replicas execute calls and then fail.
		d = endpointFault{failing: true}
		chosen = slices.DeleteFunc(candidates, func(e *endpoint) bool { return e.application == nil })
	}
	for _, target := range chosen {
		target.setFault(d)
		c.timer.After(e.Duration, func(time.Time) { target.setFault(endpointFault{}) })
	}
}

// setFault sets the faults of the endpoint.
func (e *endpoint) setFault(d endpointFault) {
	if e.engine != nil {
		e.engine.Change(func(f *engine.Faults) {
			*f = engine.Faults{Down: d.down, Leaving: d.leaving, Slow: d.slow, Stall: d.stall}
		})
		return
	}
	e.application.Change(func(f *application.Faults) {
		*f = application.Faults{Down: d.down, Fail: d.failing, Leaving: d.leaving, Slow: d.slow}
	})
}

// killNode crashes one node unless it is the last. Half of the events have the
// platform replace the node.
func (c *cluster) killNode(e event) {
	running := c.running()
	if len(running) < 2 {
		return
	}
	n := running[e.Random%len(running)]
	n.crash()
	c.announceState(n, persimmoncart.MemberDead)
	if regions := c.survivors(); !c.plan.has(NodePauses, RegionCut) {
		c.timer.After(detectTime+takeoverTime+cancelTime, func(time.Time) {
			if maps.Equal(regions, c.survivors()) {
				c.checkDeadNode(n, regions)
			}
		})
	}
	if e.Random/len(sites)%2 == 0 {
		c.timer.After(restartTime, func(time.Time) { c.restart(n) })
	}
}

// survivors returns the regions that have a running node which isn't stopping.
func (c *cluster) survivors() map[persimmoncart.Region]bool {
	regions := map[persimmoncart.Region]bool{}
	for _, n := range c.running() {
		if !n.stopping.Load() {
			regions[n.self.Region] = true
		}
	}
	return regions
}

// restart starts a replacement for a node that has ended.
func (c *cluster) restart(n *node) {
	for site, s := range sites {
		if s.centre == n.self.DataCentre {
			c.start(site, n.self.Incarnation+1)
		}
	}
}

// delayLoadReports delays the load reports of all engines by 10 s, until the end of
// the schedule.
func (c *cluster) delayLoadReports() {
	for _, e := range c.endpoints {
		if e.engine != nil {
			e.engine.Change(func(*engine.Faults) { e.engine.LoadReportLag = 10 * time.Second })
		}
	}
}

// pauseNode pauses one node for the duration of the event.
func (c *cluster) pauseNode(e event) {
	running := c.running()
	if len(running) == 0 {
		return
	}
	n := running[e.Random%len(running)]
	n.gate.pause()
	c.announceState(n, persimmoncart.MemberSuspect)
	c.timer.After(e.Duration, func(time.Time) {
		n.gate.unpause()
		c.announceState(n, persimmoncart.MemberAlive)
	})
}

// partition partitions the regions from each other.
func (c *cluster) partition(until time.Time) {
	c.withLock(func() { c.partitionedUntil = until })
	setMembers := func(state persimmoncart.MemberState) {
		for _, a := range c.running() {
			for _, b := range c.running() {
				if a.self.Region != b.self.Region {
					a.members.set(persimmoncart.Member{Instance: b.self, State: state})
				}
			}
		}
	}
	c.timer.After(detectTime, func(time.Time) { setMembers(persimmoncart.MemberSuspect) })
	c.timer.After(time.Until(until)+detectTime, func(time.Time) { setMembers(persimmoncart.MemberAlive) })
}

// withLock calls f with the mutex held.
func (c *cluster) withLock(f func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	f()
}

// sortedEndpoints returns the endpoints, sorted by identifier.
func (c *cluster) sortedEndpoints() []*endpoint {
	var endpoints []*endpoint
	for _, e := range c.endpoints {
		endpoints = append(endpoints, e)
	}
	slices.SortFunc(endpoints, func(a, b *endpoint) int { return cmp.Compare(a.id, b.id) })
	return endpoints
}

// stopGracefully stops the node of a site as the platform does in a planned
// replacement.
func (c *cluster) stopGracefully(site int) {
	n := c.nodeAt(site)
	if n == nil || n.crashed.Load() || n.stopping.Load() {
		return
	}
	n.stop()
	for _, other := range c.running() {
		if other != n {
			other.members.set(persimmoncart.Member{Instance: n.self, State: persimmoncart.MemberLeaving})
		}
	}
	go func() {
		<-n.done
		c.announceState(n, persimmoncart.MemberDead)
	}()
}

// replace stops the node of a site gracefully and then starts its successor.
func (c *cluster) replace(site int) {
	n := c.nodeAt(site)
	c.stopGracefully(site)
	go func() {
		<-n.done
		c.start(site, n.self.Incarnation+1)
	}()
}
