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

// cancelTime is the time in which the owner of a replica cancels the work of a
// dead instance (docs/design.md, section 8.9), with one period of the sweep.
const cancelTime = 4 * time.Second

// restartTime is the time in which the platform replaces a dead instance.
const restartTime = 3 * time.Second

// A endpointFault is what happens to one endpoint.
type endpointFault struct {
	down    bool
	failing bool // acts and never answers; applications only
	leaving bool
	slow    float64
	stall   bool
}

// injectEndpointFault changes one endpoint for the time of the event. Stalls need a decode
// engine.
func (c *cluster) injectEndpointFault(e event, d endpointFault) {
	candidates := c.sortedEndpoints()
	if d.stall {
		candidates = slices.DeleteFunc(candidates, func(p *endpoint) bool { return p.role != persimmoncart.RoleDecode })
	}
	p := candidates[e.Random%len(candidates)]
	chosen := []*endpoint{p}
	if d.down && e.Random/len(candidates)%2 == 0 {
		// A fault behind the application pool: all replicas fail after they acted.
		d = endpointFault{failing: true}
		chosen = slices.DeleteFunc(candidates, func(p *endpoint) bool { return p.application == nil })
	}
	for _, p := range chosen {
		p.setFault(d)
		c.timer.After(e.Duration, func(time.Time) { p.setFault(endpointFault{}) })
	}
}

// setFault sets the faults of the endpoint.
func (p *endpoint) setFault(d endpointFault) {
	if p.engine != nil {
		p.engine.Change(func(f *engine.Faults) {
			*f = engine.Faults{Down: d.down, Leaving: d.leaving, Slow: d.slow, Stall: d.stall}
		})
		return
	}
	p.application.Change(func(f *application.Faults) {
		*f = application.Faults{Down: d.down, Fail: d.failing, Leaving: d.leaving, Slow: d.slow}
	})
}

// kill ends one node; every other one is replaced.
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

// survivors returns the regions that have a running node.
func (c *cluster) survivors() map[persimmoncart.Region]bool {
	regions := map[persimmoncart.Region]bool{}
	for _, n := range c.running() {
		if !n.stopping.Load() {
			regions[n.self.Region] = true
		}
	}
	return regions
}

// restart replaces a node that has ended.
func (c *cluster) restart(n *node) {
	for site, s := range sites {
		if s.centre == n.self.DataCentre {
			c.start(site, n.self.Incarnation+1)
		}
	}
}

// delayLoadReports makes all load reports late.
func (c *cluster) delayLoadReports() {
	for _, p := range c.endpoints {
		if p.engine != nil {
			p.engine.Change(func(*engine.Faults) { p.engine.LoadLag = 10 * time.Second })
		}
	}
}

// pause stops one node for the time of the event.
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

// partition cuts the regions off from each other.
func (c *cluster) partition(until time.Time) {
	c.withLock(func() { c.partitionedUntil = until })
	each := func(state persimmoncart.MemberState) {
		for _, a := range c.running() {
			for _, b := range c.running() {
				if a.self.Region != b.self.Region {
					a.members.set(persimmoncart.Member{Instance: b.self, State: state})
				}
			}
		}
	}
	c.timer.After(detectTime, func(time.Time) { each(persimmoncart.MemberSuspect) })
	c.timer.After(time.Until(until)+detectTime, func(time.Time) { each(persimmoncart.MemberAlive) })
}

// set changes the cluster's switches.
func (c *cluster) withLock(f func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	f()
}

// sortedEndpoints returns the endpoints by identifier.
func (c *cluster) sortedEndpoints() []*endpoint {
	var endpoints []*endpoint
	for _, p := range c.endpoints {
		endpoints = append(endpoints, p)
	}
	slices.SortFunc(endpoints, func(a, b *endpoint) int { return cmp.Compare(a.id, b.id) })
	return endpoints
}

// planned stops one node as the platform's replacement does, and replaces it.
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

// replace stops the node of a site as planned and starts its successor once it
// has stopped.
func (c *cluster) replace(site int) {
	n := c.nodeAt(site)
	c.stopGracefully(site)
	go func() {
		<-n.done
		c.start(site, n.self.Incarnation+1)
	}()
}
