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
	// detectTime is the time after which the other instances detect that an instance has
	// died, doesn't respond or responds again.
	detectTime = 1500 * time.Millisecond
	// graceTime is the time for which a graceful stop waits for the load balancer.
	graceTime = 500 * time.Millisecond
	// takeoverTime is the time from the detection of a dead owner until its replicas have
	// a new one (docs/design.md, section 8.2).
	takeoverTime = 2500 * time.Millisecond

	crossRegionLatency = 12 * time.Millisecond // one way between regions
	localLatency       = time.Millisecond      // one way within a region

	// storeRegion is the region of the store.
	storeRegion = persimmoncart.Region("sfax-coast")
)

// sites are the locations of the nodes, one node each.
var sites = []struct {
	centre persimmoncart.DataCentre
	region persimmoncart.Region
}{
	{"sfax-hall1", "sfax-coast"},
	{"sfax-hall2", "sfax-coast"},
	{"kass-hall1", "kasserine-hl"},
}

// A cluster is a small deployment: three nodes in two regions, engines, application
// endpoints and the store, with faults that events switch on.
type cluster struct {
	applications  *application.Fakes
	context       context.Context //nolint:containedctx // The context of the whole schedule.
	disabledGuard Invariant       // invariant whose guard is disabled; empty for none
	endpoints     map[netip.AddrPort]*endpoint
	engines       *engine.Fakes
	operator      *operator
	plan          *plan
	random        *lockedRandom
	records       *application.Records
	store         *objectapi.Memory
	timer         persimmoncart.Timer

	mutex            sync.Mutex                      // guards the fields below
	allNodes         []*node                         // includes stopped nodes
	drainDeadlines   map[netip.AddrPort]time.Time    // a drained endpoint gets no new work from then on
	lateUntil        time.Time                       // responses are delayed until then
	lostResponses    int                             // number of store writes to come whose response is lost
	mismatchUntil    time.Time                       // responses carry the identity of another attempt until then
	nodes            []*node                         // the newest node of each site
	partitionedUntil time.Time                       // the regions are partitioned until then
	runs             map[persimmoncart.RequestID]int // executions of calls to applications
	storeDownUntil   time.Time                       // calls to the store fail until then
	storeSlowUntil   time.Time                       // calls to the store take 2 s until then
	violations       []Violation
}

// An endpoint is an engine or an application endpoint of the cluster.
type endpoint struct {
	application *application.Fake // nil for an engine
	engine      *engine.Fake      // nil for an application endpoint
	id          persimmoncart.EndpointID
	region      persimmoncart.Region
	role        persimmoncart.Role
	site        int
}

// A Violation is one observed violation of an invariant.
type Violation struct {
	Detail    string
	Elapsed   time.Duration // since the start of the schedule
	Invariant Invariant
}

// String returns the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %s: %s", v.Invariant, v.Elapsed, v.Detail)
}

// newCluster returns a cluster without running nodes.
func newCluster(seed uint64, disabledGuard Invariant) *cluster {
	cluster := &cluster{
		applications:   &application.Fakes{},
		disabledGuard:  disabledGuard,
		drainDeadlines: map[netip.AddrPort]time.Time{},
		endpoints:      map[netip.AddrPort]*endpoint{},
		engines:        &engine.Fakes{},
		random:         &lockedRandom{random: rand.New(rand.NewPCG(seed, 2))},
		records:        &application.Records{},
		runs:           map[persimmoncart.RequestID]int{},
		timer:          &timer.System{},
	}
	cluster.store = &objectapi.Memory{Timer: cluster.timer}
	for site, count := range []int{2, 2, 2} {
		for k := range count {
			cluster.addEngine(site, k, persimmoncart.RolePrefill)
			cluster.addEngine(site, k, persimmoncart.RoleDecode)
		}
		cluster.addApplication(site)
	}
	return cluster
}

// addApplication adds an application endpoint to the site.
func (c *cluster) addApplication(site int) {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(site), 1}), 1)
	f := application.NewFake(addr, c.records, c.timer)
	c.applications.Add(f)
	c.endpoints[addr] = &endpoint{
		application: f,
		id:          persimmoncart.EndpointID(fmt.Sprintf("yard-%d", site)),
		region:      sites[site].region,
		role:        persimmoncart.RoleApplication,
		site:        site,
	}
}

// addEngine adds the k-th engine of a role to the site.
func (c *cluster) addEngine(site, k int, role persimmoncart.Role) {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(site), byte(10*int(role) + k)}), 1)
	f := engine.NewFake(addr, role, c.timer)
	f.Fences = true
	f.Models = []persimmoncart.ModelName{model}
	c.engines.Add(f)
	c.endpoints[addr] = &endpoint{
		engine: f,
		id:     persimmoncart.EndpointID(fmt.Sprintf("%s-%d-%d", role, site, k)),
		region: sites[site].region,
		role:   role,
		site:   site,
	}
}

// assignOwners sets the engines that each node owns. The owner of an engine is the
// rendezvous winner among the nodes of its region that the node's membership view
// doesn't list as dead.
func (c *cluster) assignOwners() {
	for _, n := range c.running() {
		ids := []persimmoncart.InstanceID{}
		for _, m := range n.members.View() {
			if m.State != persimmoncart.MemberDead && m.Instance.Region == n.self.Region {
				ids = append(ids, m.Instance.ID)
			}
		}
		var usable []persimmoncart.UsableReplica
		for _, e := range c.endpoints {
			if e.engine == nil || e.region != n.self.Region {
				continue
			}
			if owner, _ := rendezvous.Best(string(e.id), ids); owner == n.self.ID {
				usable = append(usable, persimmoncart.UsableReplica{Blocks: e.engine.Blocks, Endpoint: e.id, Owned: true, Slots: e.engine.Slots})
			}
		}
		n.allocator.SetUsable(usable)
	}
}

// mismatchAttempt reports whether the next response carries the identity of another
// attempt, which 20% do during the fault.
func (c *cluster) mismatchAttempt() bool {
	c.mutex.Lock()
	active := time.Now().Before(c.mismatchUntil)
	c.mutex.Unlock()
	return active && c.random.Float64() < 0.2
}

// nodeByID returns the newest node with the identifier, nil if there is none.
func (c *cluster) nodeByID(id persimmoncart.InstanceID) *node {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, n := range c.nodes {
		if n != nil && n.self.ID == id {
			return n
		}
	}
	return nil
}

// fail records a violation.
func (c *cluster) fail(invariant Invariant, format string, args ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.violations = append(c.violations, Violation{Elapsed: time.Since(origin), Detail: fmt.Sprintf(format, args...), Invariant: invariant})
}

// responseDelay returns the delay of the next response: up to 3 s for 10% of the
// responses during the fault, else zero.
func (c *cluster) responseDelay() time.Duration {
	c.mutex.Lock()
	active := time.Now().Before(c.lateUntil)
	c.mutex.Unlock()
	if !active || c.random.Float64() > 0.1 {
		return 0
	}
	return time.Duration(c.random.Float64() * float64(3*time.Second))
}

// recordRun counts the execution of a call by an application.
func (c *cluster) recordRun(request persimmoncart.CallRequest) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.runs[request.Attempt.Request]++
}

// checkDrained records a violation if the endpoint gets new work after its drain
// deadline.
func (c *cluster) checkDrained(addr netip.AddrPort) {
	c.mutex.Lock()
	deadline, drained := c.drainDeadlines[addr]
	c.mutex.Unlock()
	if drained && time.Now().After(deadline) {
		c.fail(Leaving, "%s got new work %s after its drain deadline", c.endpoints[addr].id, time.Since(deadline))
	}
}

// announceState sets the state of n in the membership views of the other nodes after
// detectTime, and assigns the owners anew after a further takeoverTime.
func (c *cluster) announceState(n *node, state persimmoncart.MemberState) {
	c.timer.After(detectTime, func(time.Time) {
		for _, other := range c.running() {
			if other == n {
				continue
			}
			other.members.set(persimmoncart.Member{Instance: n.self, State: state})
			if state == persimmoncart.MemberDead {
				other.allocator.ReclaimSlots(n.self.ID)
			}
		}
		c.timer.After(takeoverTime, func(time.Time) { c.assignOwners() })
	})
}

// regionOf returns the region of the endpoint at addr.
func (c *cluster) regionOf(addr netip.AddrPort) persimmoncart.Region {
	return c.endpoints[addr].region
}

// running returns the newest nodes of the sites that have not crashed. It includes nodes
// that are stopping or have stopped gracefully.
func (c *cluster) running() []*node {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var running []*node
	for _, n := range c.nodes {
		if n != nil && !n.crashed.Load() {
			running = append(running, n)
		}
	}
	return running
}

// partitioned waits for the one-way latency of a message between a and b, which may be
// the same region. It then reports whether a partition drops the message.
func (c *cluster) partitioned(a, b persimmoncart.Region) bool {
	if a == b {
		time.Sleep(localLatency)
		return false
	}
	time.Sleep(crossRegionLatency)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return time.Now().Before(c.partitionedUntil)
}

// start starts a new node of a site and adds it to the membership views.
func (c *cluster) start(site int, incarnation persimmoncart.Incarnation) {
	n := newNode(c, site, incarnation)
	c.mutex.Lock()
	for len(c.nodes) <= site {
		c.nodes = append(c.nodes, nil)
	}
	c.nodes[site] = n
	c.allNodes = append(c.allNodes, n)
	c.mutex.Unlock()
	for _, other := range c.running() {
		if other != n {
			n.members.set(persimmoncart.Member{Instance: other.self, State: persimmoncart.MemberAlive})
			other.members.set(persimmoncart.Member{Instance: n.self, State: persimmoncart.MemberAlive})
		}
	}
	n.run()
	c.assignOwners()
}

// storeFault returns the fault of the next call to the store.
func (c *cluster) storeFault(kind objectapi.CallKind) objectapi.Fault {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	fault := objectapi.Fault{Delay: 2 * localLatency, Down: now.Before(c.storeDownUntil)}
	if now.Before(c.storeSlowUntil) {
		fault.Delay = 2 * time.Second
	}
	if kind == objectapi.CallWrite && c.lostResponses > 0 && !fault.Down {
		c.lostResponses--
		fault.ResponseLost = true
	}
	return fault
}

// stopAll crashes all nodes and waits for their goroutines to end.
func (c *cluster) stopAll(ctx context.Context) {
	c.mutex.Lock()
	all := c.allNodes
	c.mutex.Unlock()
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

// A lockedRandom is a random number generator that is safe for concurrent use.
type lockedRandom struct {
	mutex  sync.Mutex
	random *rand.Rand
}

// Float64 returns a random number in [0, 1).
func (r *lockedRandom) Float64() float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.random.Float64()
}

// IntN returns a random number in [0, n).
func (r *lockedRandom) IntN(n int) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.random.IntN(n)
}

// Uint64 returns a random number.
func (r *lockedRandom) Uint64() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.random.Uint64()
}
