package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/application"
	"github.com/persimmoncart/persimmoncart/internal/engine"
	"github.com/persimmoncart/persimmoncart/internal/objectapi"
	"github.com/persimmoncart/persimmoncart/internal/rendezvous"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

const (
	// detectTime is the time after which the others know that an instance died,
	// is silent, or came back.
	detectTime = 1500 * time.Millisecond
	// graceTime is the wait for the load balancer at a planned stop.
	graceTime = 500 * time.Millisecond
	// takeoverTime is the time after which the replicas of a dead owner have a
	// new one (docs/design.md, section 8.2).
	takeoverTime = 2500 * time.Millisecond

	farLatency  = 12 * time.Millisecond // between regions, one way
	nearLatency = time.Millisecond

	storeRegion = persimmoncart.Region("sfax-coast")
)

// sites are the places of the nodes.
var sites = []struct {
	centre persimmoncart.DataCentre
	region persimmoncart.Region
}{
	{"sfax-hall1", "sfax-coast"},
	{"sfax-hall2", "sfax-coast"},
	{"kass-hall1", "kasserine-hl"},
}

// A world is one small deployment: three nodes in two regions, engines,
// application endpoints and the store, with switchable faults.
type world struct {
	applications *application.Fakes
	broken       Promise         // its guard is switched off; empty for none
	context      context.Context //nolint:containedctx // Of the whole schedule.
	engines      *engine.Fakes
	operator     *operator
	plan         *plan
	random       *lockedRandom
	records      *application.Records
	store        *objectapi.Memory
	timer        persimmoncart.Timer

	addresses map[netip.AddrPort]*place
	mutex     sync.Mutex // guards everything below
	all       []*node    // also those that ended
	cut       time.Time  // regions are cut off until then
	crossing  time.Time  // answers are crossed until then
	drained   map[netip.AddrPort]time.Time
	lateness  time.Time // answers are late until then
	lost      int       // answers of the store that get lost
	nodes     []*node   // the newest of each site
	runs      map[persimmoncart.RequestID]int
	storeDown time.Time
	storeSlow time.Time
	violated  []Violation
}

// A place is an endpoint's record in the world.
type place struct {
	application *application.Fake
	engine      *engine.Fake
	id          persimmoncart.EndpointID
	region      persimmoncart.Region
	role        persimmoncart.Role
	site        int
}

// A Violation is one promise that did not hold.
type Violation struct {
	At      time.Duration // since the start of the schedule
	Detail  string
	Promise Promise
}

// String returns the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %s: %s", v.Promise, v.At, v.Detail)
}

// newWorld returns a world whose nodes do not run yet.
func newWorld(seed uint64, broken Promise) *world {
	w := &world{
		addresses:    map[netip.AddrPort]*place{},
		applications: &application.Fakes{},
		broken:       broken,
		drained:      map[netip.AddrPort]time.Time{},
		engines:      &engine.Fakes{},
		random:       &lockedRandom{random: rand.New(rand.NewPCG(seed, 2))},
		records:      &application.Records{},
		runs:         map[persimmoncart.RequestID]int{},
		timer:        &timer.System{},
	}
	w.store = &objectapi.Memory{Timer: w.timer}
	for site, count := range []int{2, 2, 2} {
		for k := range count {
			w.addEngine(site, k, persimmoncart.RolePrefill)
			w.addEngine(site, k, persimmoncart.RoleDecode)
		}
		w.addApplication(site)
	}
	return w
}

// addApplication adds one application endpoint.
func (w *world) addApplication(site int) {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(site), 1}), 1)
	f := application.NewFake(addr, w.records, w.timer)
	w.applications.Add(f)
	w.addresses[addr] = &place{
		application: f,
		id:          persimmoncart.EndpointID(fmt.Sprintf("yard-%d", site)),
		region:      sites[site].region,
		role:        persimmoncart.RoleApplication,
		site:        site,
	}
}

// addEngine adds one engine.
func (w *world) addEngine(site, k int, role persimmoncart.Role) {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(site), byte(10*int(role) + k)}), 1)
	f := engine.NewFake(addr, role, w.timer)
	f.Fences = true
	f.Models = []persimmoncart.ModelName{model}
	w.engines.Add(f)
	w.addresses[addr] = &place{
		engine: f,
		id:     persimmoncart.EndpointID(fmt.Sprintf("%s-%d-%d", role, site, k)),
		region: sites[site].region,
		role:   role,
		site:   site,
	}
}

// assign tells each node which engines it owns: the rendezvous winner among the
// nodes of the engine's region that are not known to be dead.
func (w *world) assign() {
	for _, n := range w.running() {
		ids := []persimmoncart.InstanceID{}
		for _, m := range n.members.View() {
			if m.State != persimmoncart.MemberDead && m.Instance.Region == n.self.Region {
				ids = append(ids, m.Instance.ID)
			}
		}
		var usable []persimmoncart.UsableReplica
		for _, p := range w.addresses {
			if p.engine == nil || p.region != n.self.Region {
				continue
			}
			if owner, _ := rendezvous.Best(string(p.id), ids); owner == n.self.ID {
				usable = append(usable, persimmoncart.UsableReplica{Blocks: p.engine.Blocks, Endpoint: p.id, Owned: true, Slots: p.engine.Slots})
			}
		}
		n.places.SetUsable(usable)
	}
}

// crossed reports whether the next answer carries another attempt.
func (w *world) crossed() bool {
	w.mutex.Lock()
	active := time.Now().Before(w.crossing)
	w.mutex.Unlock()
	return active && w.random.Float64() < 0.2
}

// current returns the newest node with the identifier.
func (w *world) current(id persimmoncart.InstanceID) *node {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, n := range w.nodes {
		if n != nil && n.self.ID == id {
			return n
		}
	}
	return nil
}

// fail notes a violation.
func (w *world) fail(promise Promise, format string, args ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.violated = append(w.violated, Violation{At: time.Since(origin), Detail: fmt.Sprintf(format, args...), Promise: promise})
}

// late returns how late the next answer is.
func (w *world) late() time.Duration {
	w.mutex.Lock()
	active := time.Now().Before(w.lateness)
	w.mutex.Unlock()
	if !active || w.random.Float64() > 0.1 {
		return 0
	}
	return time.Duration(w.random.Float64() * float64(3*time.Second))
}

// noteRun notes that a call acted.
func (w *world) noteRun(request persimmoncart.CallRequest) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.runs[request.Attempt.Request]++
}

// noteWork notes new work for an endpoint, which a drained one must not get.
func (w *world) noteWork(addr netip.AddrPort) {
	w.mutex.Lock()
	due, drained := w.drained[addr]
	w.mutex.Unlock()
	if drained && time.Now().After(due) {
		w.fail(Leaving, "%s got new work %s after it had to be avoided", w.addresses[addr].id, time.Since(due))
	}
}

// observe tells the other nodes after the time of detection how one is.
func (w *world) observe(n *node, state persimmoncart.MemberState) {
	w.timer.After(detectTime, func(time.Time) {
		for _, other := range w.running() {
			if other == n {
				continue
			}
			other.members.set(persimmoncart.Member{Instance: n.self, State: state})
			if state == persimmoncart.MemberDead {
				other.places.ReclaimSlots(n.self.ID)
			}
		}
		w.timer.After(takeoverTime, func(time.Time) { w.assign() })
	})
}

// regionOf returns the region of the endpoint at addr.
func (w *world) regionOf(addr netip.AddrPort) persimmoncart.Region {
	return w.addresses[addr].region
}

// running returns the nodes that have not ended.
func (w *world) running() []*node {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var running []*node
	for _, n := range w.nodes {
		if n != nil && !n.crashed.Load() {
			running = append(running, n)
		}
	}
	return running
}

// separated reports whether no message passes between the regions.
func (w *world) separated(a, b persimmoncart.Region) bool {
	if a == b {
		time.Sleep(nearLatency)
		return false
	}
	time.Sleep(farLatency)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return time.Now().Before(w.cut)
}

// start starts the node of a site and introduces it to the others.
func (w *world) start(site int, incarnation persimmoncart.Incarnation) {
	n := newNode(w, site, incarnation)
	w.mutex.Lock()
	for len(w.nodes) <= site {
		w.nodes = append(w.nodes, nil)
	}
	w.nodes[site] = n
	w.all = append(w.all, n)
	w.mutex.Unlock()
	for _, other := range w.running() {
		if other != n {
			n.members.set(persimmoncart.Member{Instance: other.self, State: persimmoncart.MemberAlive})
			other.members.set(persimmoncart.Member{Instance: n.self, State: persimmoncart.MemberAlive})
		}
	}
	n.run()
	w.assign()
}

// storeFault returns what happens to the next call to the store.
func (w *world) storeFault(kind objectapi.CallKind) objectapi.Fault {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := time.Now()
	f := objectapi.Fault{Delay: 2 * nearLatency, Down: now.Before(w.storeDown)}
	if now.Before(w.storeSlow) {
		f.Delay = 2 * time.Second
	}
	if kind == objectapi.CallWrite && w.lost > 0 && !f.Down {
		w.lost--
		f.ResponseLost = true
	}
	return f
}

// finish stops everything, so that the goroutines of the schedule end.
func (w *world) finish(ctx context.Context) {
	w.mutex.Lock()
	all := w.all
	w.mutex.Unlock()
	for _, n := range all {
		n.gate.unpause()
		n.crash()
	}
	for _, n := range all {
		select {
		case <-n.done:
		case <-ctx.Done():
		}
	}
}

// A lockedRandom is a random source for concurrent use.
type lockedRandom struct {
	mutex  sync.Mutex
	random *rand.Rand
}

// Float64 returns a number from 0 to 1.
func (r *lockedRandom) Float64() float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.random.Float64()
}

// IntN returns a number from 0 to n-1.
func (r *lockedRandom) IntN(n int) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.random.IntN(n)
}

// Uint64 returns a number.
func (r *lockedRandom) Uint64() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.random.Uint64()
}
