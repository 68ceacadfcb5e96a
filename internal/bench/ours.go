package bench

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

// Times of the router's exchange between instances.
const (
	cacheLag      = time.Second
	crashDetected = time.Second
	digestFar     = 10 * time.Second
	digestPeriod  = time.Second
	messageLimit  = 250 * time.Millisecond
	workCancelled = 3 * time.Second // the work of a dead instance
	workPeriod    = time.Second
	ownershipGap  = 2500 * time.Millisecond
)

// An ours is the router of this repository: one policy.Broker an instance.
type ours struct {
	borrowItems int
	nodes       map[persimmoncart.InstanceID]*node
	order       []*node
	owner       map[persimmoncart.EndpointID]persimmoncart.InstanceID
	pools       []policy.PoolTargets
	sequences   map[persimmoncart.EndpointID]uint64
	world       *world
}

// newOurs returns the router for a world.
func newOurs(w *world) *ours {
	o := &ours{
		nodes: make(map[persimmoncart.InstanceID]*node), sequences: make(map[persimmoncart.EndpointID]uint64),
		owner: make(map[persimmoncart.EndpointID]persimmoncart.InstanceID), world: w,
	}
	t := policy.PoolTargets{Name: w.replicas[0].endpoint.Pool, TokenGapTarget: paceTarget}
	for _, r := range w.replicas {
		t.Size[r.endpoint.Role]++
		if r.endpoint.Role == persimmoncart.RolePrefill {
			r.events = func(prefix uint64, evicted bool) { o.cacheEvent(r.endpoint.ID, prefix, evicted) }
		}
	}
	o.pools = []policy.PoolTargets{t}
	w.clock.Subscribe(digestPeriod, func(now time.Time) { o.exchange(now, true) })
	w.clock.Subscribe(digestFar, func(now time.Time) { o.exchange(now, false) })
	w.clock.Subscribe(workPeriod, func(time.Time) { o.checkWork() })
	return o
}

// cacheEvent sends one cache event to the replica's owner. In cache-gaps half
// of the events are lost.
func (o *ours) cacheEvent(id persimmoncart.EndpointID, prefix uint64, evicted bool) {
	o.sequences[id]++
	event := persimmoncart.CacheEvent{Evicted: evicted, Prefix: prefix, Sequence: o.sequences[id]}
	if o.world.scenario.name == caseCacheGaps && o.world.random.IntN(2) == 0 {
		return
	}
	n, found := o.nodes[o.owner[id]]
	if !found {
		return
	}
	o.world.after(cacheLag, func() { n.broker.ApplyCacheEvent(o.world.now(), id, event) })
}

// checkWork compares the engines' work lists with the grants: slots that other
// instances granted before an ownership moved are not granted again.
func (o *ours) checkWork() {
	if o.world.scenario.name != caseTurnover {
		return
	}
	for _, n := range o.order {
		if n.alive {
			n.setUsable()
		}
	}
}

// crash implements router.
func (o *ours) crash(id persimmoncart.InstanceID) {
	n := o.nodes[id]
	n.alive = false
	for _, f := range byJob(n.flights) {
		f.job.ended = true
		o.world.after(workCancelled, f.cancel)
	}
	for _, t := range n.tickets {
		t.ended = true
	}
	o.world.after(crashDetected, func() {
		for _, p := range o.order {
			p.broker.RemoveDigest(id)
			p.broker.ReleaseBorrower(o.world.now(), id)
		}
	})
}

// exchange sends the digests: near within a region and, at today's size, far
// between regions. At the planned size an instance hears its cell only.
func (o *ours) exchange(now time.Time, near bool) {
	planned := len(o.order) > 16
	for _, n := range o.order {
		if !n.alive || n.leaving {
			continue
		}
		d := n.broker.Digest(now)
		for _, p := range o.order {
			if p == n || (n.instance.Region == p.instance.Region) != near {
				continue
			}
			if planned && (!near || n.instance.DataCentre != p.instance.DataCentre) {
				continue
			}
			distance, _ := o.world.network.delay(n.instance.Region, p.instance.Region)
			o.world.result.message(30*len(d.Pools), len(o.order))
			o.world.network.send(n.instance.Region, p.instance.Region, func() {
				if p.alive {
					p.broker.UpdateDigest(d, distance)
				}
			})
		}
	}
	if o.world.network.cut && near {
		o.suspect()
	}
}

// suspect forgets the instances that a cut link hides, as failed probes do.
func (o *ours) suspect() {
	for _, n := range o.order {
		for _, p := range o.order {
			if n.instance.Region != p.instance.Region {
				n.broker.RemoveDigest(p.instance.ID)
			}
		}
	}
}

// offer implements router.
func (o *ours) offer(j *job, at persimmoncart.InstanceID) {
	n := o.nodes[at]
	if !n.alive {
		j.ended = true
		return
	}
	if j.kind == kindCompletion {
		n.reserve(j, 1, nil)
		return
	}
	o.world.claim(j, func() { n.call(j) })
}

// replaced implements router.
func (o *ours) replaced(live []persimmoncart.Instance) {
	present := make(map[persimmoncart.InstanceID]bool)
	for i := range live {
		present[live[i].ID] = true
		if _, found := o.nodes[live[i].ID]; !found {
			n := newNode(o, live[i])
			o.nodes[live[i].ID] = n
			o.order = append(o.order, n)
		}
	}
	for _, n := range o.order {
		n.leaving = !present[n.instance.ID]
		if n.leaving {
			for _, p := range o.order {
				p.broker.RemoveDigest(n.instance.ID)
			}
		}
	}
	next := owners(o.world.deployment.engines, live)
	if len(o.owner) == 0 {
		o.owner = next
		o.assign()
		o.exchange(o.world.now(), true)
		o.exchange(o.world.now(), false)
		return
	}
	for id, owner := range next {
		if o.owner[id] != owner {
			delete(o.owner, id)
		}
	}
	o.assign()
	o.world.after(ownershipGap, func() {
		o.owner = next
		o.assign()
	})
}

// assign tells the instances what they own.
func (o *ours) assign() {
	for _, n := range o.order {
		n.owned = n.owned[:0]
	}
	for _, r := range o.world.replicas {
		if n, found := o.nodes[o.owner[r.endpoint.ID]]; found && n.alive {
			n.owned = append(n.owned, r)
		}
	}
	for _, n := range o.order {
		n.setUsable()
	}
}

// A node is one instance with its broker.
type node struct {
	alive    bool
	answers  map[uint64]func(persimmoncart.Loan)
	balance  *policy.Balancer
	broker   *policy.Broker
	flights  map[*flight]bool
	hedge    *policy.Hedger
	instance persimmoncart.Instance
	leaving  bool
	lends    map[uint64]*node
	ours     *ours
	owned    []*replica
	random   *rand.Rand
	starts   map[uint64]func(persimmoncart.Grant)
	tickets  map[uint64]*job
	wake     time.Time
}

// newNode returns an instance that owns nothing yet.
func newNode(o *ours, instance persimmoncart.Instance) *node {
	n := &node{
		alive: true, answers: make(map[uint64]func(persimmoncart.Loan)), flights: make(map[*flight]bool), hedge: policy.NewHedger(), instance: instance,
		lends: make(map[uint64]*node), ours: o, starts: make(map[uint64]func(persimmoncart.Grant)),
		random: rand.New(rand.NewPCG(o.world.seed, uint64(len(o.order)+10))), tickets: make(map[uint64]*job),
	}
	w := o.world
	n.broker = policy.NewBroker(policy.BrokerSettings{
		MaxBorrowItems: o.borrowItems, Effects: (*nodeEffects)(n), GrantPrefix: string(instance.ID), Random: n.random,
		Region: instance.Region, Self: instance.ID, TokenBytes: kvBytes,
	})
	n.broker.SetEndpoints(n.engines(), o.pools)
	for i := range w.deployment.engines {
		for k := range w.deployment.engines {
			n.link(&w.deployment.engines[i], &w.deployment.engines[k])
		}
		if len(w.deployment.engines) > 100 {
			break // the default rate serves at the planned size
		}
	}
	n.balance = policy.NewBalancer(w.applications[0].endpoint.Pool, policy.NewStragglerDetector())
	n.balance.SetEndpoints(n.applications())
	return n
}

// applications returns the application endpoints that the instance uses: all,
// or at the planned size those of its region.
func (n *node) applications() []persimmoncart.Endpoint {
	all := n.ours.world.deployment.applications
	if len(all) <= 3 {
		return all
	}
	var list []persimmoncart.Endpoint
	for i := range all {
		if all[i].Region == n.instance.Region {
			list = append(list, all[i])
		}
	}
	return list
}

// engines returns the engines that the instance may use: all, or at the planned
// size those of its region.
func (n *node) engines() []persimmoncart.Endpoint {
	all := n.ours.world.deployment.engines
	if !n.ours.world.scenario.short {
		return all
	}
	var list []persimmoncart.Endpoint
	for i := range all {
		if all[i].Region == n.instance.Region {
			list = append(list, all[i])
		}
	}
	return list
}

// link sets the rate of the path between two engines.
func (n *node) link(from, to *persimmoncart.Endpoint) {
	if from.Region != to.Region {
		return
	}
	rate := rateRegion * n.ours.world.network.scale
	if from.DataCentre == to.DataCentre {
		rate = rateCentre * n.ours.world.network.scale
	}
	n.broker.SetLink(from.DataCentre, to.DataCentre, rate)
}

// setUsable tells the broker which slots it may grant: those of the owned
// replicas that are not in use by grants of an earlier owner.
func (n *node) setUsable() {
	list := make([]persimmoncart.UsableReplica, 0, len(n.owned))
	for _, r := range n.owned {
		u := persimmoncart.UsableReplica{Blocks: r.endpoint.Blocks, Endpoint: r.endpoint.ID, Owned: true, Slots: r.endpoint.Slots}
		slots, blocks := n.foreign(r)
		u.Slots -= slots
		u.Blocks -= blocks
		list = append(list, u)
	}
	n.broker.SetUsable(list)
	n.step()
}

// foreign returns the slots and blocks of a decode replica that were granted by
// other owners, from the replica's list of work.
func (n *node) foreign(r *replica) (slots, blocks int) {
	if n.ours.world.scenario.name != caseTurnover || r.endpoint.Role != persimmoncart.RoleDecode {
		return 0, 0
	}
	for _, d := range slices.Concat(r.running, r.waiting) {
		if d.owner != n.instance.ID {
			slots++
			blocks += d.blocks
		}
	}
	return slots, blocks
}

// step lets the broker decide and plans the next time it has something to do.
func (n *node) step() {
	if !n.alive {
		return
	}
	now := n.ours.world.now()
	n.broker.Step(now)
	next := n.broker.NextStep(now)
	if next.IsZero() || (n.wake.After(now) && !n.wake.After(next)) {
		return
	}
	n.wake = next
	n.ours.world.after(max(next.Sub(now), time.Millisecond), func() {
		if n.wake.Equal(next) || !n.wake.After(n.ours.world.now()) {
			n.wake = time.Time{}
			n.step()
		}
	})
}
