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

// A disturbance is what happens to one endpoint.
type disturbance struct {
	down    bool
	failing bool // acts and never answers; applications only
	leaving bool
	slow    float64
	stall   bool
}

// disturb changes one endpoint for the time of the event. Stalls need a decode
// engine.
func (w *world) disturb(e event, d disturbance) {
	candidates := w.sorted()
	if d.stall {
		candidates = slices.DeleteFunc(candidates, func(p *place) bool { return p.role != persimmoncart.RoleDecode })
	}
	p := candidates[e.Pick%len(candidates)]
	chosen := []*place{p}
	if d.down && e.Pick/len(candidates)%2 == 0 {
		// A fault behind the application pool: all replicas fail after they acted.
		d = disturbance{failing: true}
		chosen = slices.DeleteFunc(candidates, func(p *place) bool { return p.application == nil })
	}
	for _, p := range chosen {
		p.change(d)
		w.timer.After(e.For, func(time.Time) { p.change(disturbance{}) })
	}
}

// change sets the faults of the endpoint.
func (p *place) change(d disturbance) {
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
func (w *world) kill(e event) {
	running := w.running()
	if len(running) < 2 {
		return
	}
	n := running[e.Pick%len(running)]
	n.crash()
	w.observe(n, persimmoncart.MemberDead)
	if regions := w.survivors(); !w.plan.has(NodePauses, RegionCut) {
		w.timer.After(detectTime+takeoverTime+cancelTime, func(time.Time) {
			if maps.Equal(regions, w.survivors()) {
				w.checkDead(n, regions)
			}
		})
	}
	if e.Pick/len(sites)%2 == 0 {
		w.timer.After(restartTime, func(time.Time) { w.restart(n) })
	}
}

// survivors returns the regions that have a running node.
func (w *world) survivors() map[persimmoncart.Region]bool {
	regions := map[persimmoncart.Region]bool{}
	for _, n := range w.running() {
		if !n.stopping.Load() {
			regions[n.self.Region] = true
		}
	}
	return regions
}

// restart replaces a node that has ended.
func (w *world) restart(n *node) {
	for site, s := range sites {
		if s.centre == n.self.DataCentre {
			w.start(site, n.self.Incarnation+1)
		}
	}
}

// lagReports makes all load reports late.
func (w *world) lagReports() {
	for _, p := range w.addresses {
		if p.engine != nil {
			p.engine.Change(func(*engine.Faults) { p.engine.LoadReportLag = 10 * time.Second })
		}
	}
}

// pause stops one node for the time of the event.
func (w *world) pause(e event) {
	running := w.running()
	if len(running) == 0 {
		return
	}
	n := running[e.Pick%len(running)]
	n.gate.pause()
	w.observe(n, persimmoncart.MemberSuspect)
	w.timer.After(e.For, func(time.Time) {
		n.gate.unpause()
		w.observe(n, persimmoncart.MemberAlive)
	})
}

// separate cuts the regions off from each other.
func (w *world) separate(until time.Time) {
	w.set(func() { w.cut = until })
	each := func(state persimmoncart.MemberState) {
		for _, a := range w.running() {
			for _, b := range w.running() {
				if a.self.Region != b.self.Region {
					a.members.set(persimmoncart.Member{Instance: b.self, State: state})
				}
			}
		}
	}
	w.timer.After(detectTime, func(time.Time) { each(persimmoncart.MemberSuspect) })
	w.timer.After(time.Until(until)+detectTime, func(time.Time) { each(persimmoncart.MemberAlive) })
}

// set changes the world's switches.
func (w *world) set(f func()) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	f()
}

// sorted returns the endpoints by identifier.
func (w *world) sorted() []*place {
	var places []*place
	for _, p := range w.addresses {
		places = append(places, p)
	}
	slices.SortFunc(places, func(a, b *place) int { return cmp.Compare(a.id, b.id) })
	return places
}

// planned stops one node as the platform's replacement does, and replaces it.
func (w *world) planned(site int) {
	n := w.at(site)
	if n == nil || n.crashed.Load() || n.stopping.Load() {
		return
	}
	n.stop()
	for _, other := range w.running() {
		if other != n {
			other.members.set(persimmoncart.Member{Instance: n.self, State: persimmoncart.MemberLeaving})
		}
	}
	go func() {
		<-n.done
		w.observe(n, persimmoncart.MemberDead)
	}()
}

// replace stops the node of a site as planned and starts its successor once it
// has stopped.
func (w *world) replace(site int) {
	n := w.at(site)
	w.planned(site)
	go func() {
		<-n.done
		w.start(site, n.self.Incarnation+1)
	}()
}
