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
	cacheEventLag           = time.Second
	crashDetectionDelay     = time.Second
	digestPeriodCrossRegion = 10 * time.Second
	digestPeriod            = time.Second
	messageTimeout          = 250 * time.Millisecond
	workCancelDelay         = 3 * time.Second // the work of a dead instance
	workPeriod              = time.Second
	ownershipGap            = 2500 * time.Millisecond
)

// An brokerRouter is the router of this repository: one policy.Broker an instance.
type brokerRouter struct {
	borrowItems int
	nodes       map[persimmoncart.InstanceID]*node
	nodeList    []*node
	owners      map[persimmoncart.EndpointID]persimmoncart.InstanceID
	pools       []policy.PoolTargets
	sequences   map[persimmoncart.EndpointID]uint64
	sim         *simulation
}

// newBrokerRouter returns the router for a world.
func newBrokerRouter(sim *simulation) *brokerRouter {
	o := &brokerRouter{
		nodes: make(map[persimmoncart.InstanceID]*node), sequences: make(map[persimmoncart.EndpointID]uint64),
		owners: make(map[persimmoncart.EndpointID]persimmoncart.InstanceID), sim: sim,
	}
	t := policy.PoolTargets{Name: sim.replicas[0].endpoint.Pool, TokenGapTarget: tokenGapTarget}
	for _, r := range sim.replicas {
		t.Size[r.endpoint.Role]++
		if r.endpoint.Role == persimmoncart.RolePrefill {
			r.onCacheEvent = func(prefix uint64, evicted bool) { o.sendCacheEvent(r.endpoint.ID, prefix, evicted) }
		}
	}
	o.pools = []policy.PoolTargets{t}
	sim.clock.Subscribe(digestPeriod, func(now time.Time) { o.exchangeDigests(now, true) })
	sim.clock.Subscribe(digestPeriodCrossRegion, func(now time.Time) { o.exchangeDigests(now, false) })
	sim.clock.Subscribe(workPeriod, func(time.Time) { o.updateUsable() })
	return o
}

// sendCacheEvent sends one cache event to the replica's owner. In cache-gaps half
// of the events are lost.
func (o *brokerRouter) sendCacheEvent(id persimmoncart.EndpointID, prefix uint64, evicted bool) {
	o.sequences[id]++
	event := persimmoncart.CacheEvent{Evicted: evicted, Prefix: prefix, Sequence: o.sequences[id]}
	if o.sim.scenario.name == caseCacheGaps && o.sim.random.IntN(2) == 0 {
		return
	}
	n, found := o.nodes[o.owners[id]]
	if !found {
		return
	}
	o.sim.after(cacheEventLag, func() { n.broker.ApplyCacheEvent(o.sim.now(), id, event) })
}

// updateUsable compares the engines' work lists with the grants: slots that other
// instances granted before an ownership moved are not granted again.
func (o *brokerRouter) updateUsable() {
	if o.sim.scenario.name != caseTurnover {
		return
	}
	for _, n := range o.nodeList {
		if n.alive {
			n.setUsable()
		}
	}
}

// crash implements router.
func (o *brokerRouter) crash(id persimmoncart.InstanceID) {
	n := o.nodes[id]
	n.alive = false
	for _, f := range sortByRequest(n.attempts) {
		f.request.ended = true
		o.sim.after(workCancelDelay, f.cancel)
	}
	for _, t := range n.requests {
		t.ended = true
	}
	o.sim.after(crashDetectionDelay, func() {
		for _, p := range o.nodeList {
			p.broker.RemoveDigest(id)
			p.broker.ReleaseBorrower(o.sim.now(), id)
		}
	})
}

// exchangeDigests sends the digests: near within a region and, at today's size, far
// between regions. At the planned size an instance hears its cell only.
func (o *brokerRouter) exchangeDigests(now time.Time, near bool) {
	planned := len(o.nodeList) > 16
	for _, n := range o.nodeList {
		if !n.alive || n.leaving {
			continue
		}
		d := n.broker.Digest(now)
		for _, p := range o.nodeList {
			if p == n || (n.instance.Region == p.instance.Region) != near {
				continue
			}
			if planned && (!near || n.instance.DataCentre != p.instance.DataCentre) {
				continue
			}
			distance, _ := o.sim.network.delay(n.instance.Region, p.instance.Region)
			o.sim.result.countMessage(30*len(d.Pools), len(o.nodeList))
			o.sim.network.send(n.instance.Region, p.instance.Region, func() {
				if p.alive {
					p.broker.UpdateDigest(d, distance)
				}
			})
		}
	}
	if o.sim.network.regionsCut && near {
		o.removeUnreachable()
	}
}

// removeUnreachable forgets the instances that a cut link hides, as failed probes do.
func (o *brokerRouter) removeUnreachable() {
	for _, n := range o.nodeList {
		for _, p := range o.nodeList {
			if n.instance.Region != p.instance.Region {
				n.broker.RemoveDigest(p.instance.ID)
			}
		}
	}
}

// handle implements router.
func (o *brokerRouter) handle(q *request, at persimmoncart.InstanceID) {
	n := o.nodes[at]
	if !n.alive {
		q.ended = true
		return
	}
	if q.kind == kindCompletion {
		n.reserve(q, 1, nil)
		return
	}
	o.sim.claim(q, func() { n.call(q) })
}

// setInstances implements router.
func (o *brokerRouter) setInstances(live []persimmoncart.Instance) {
	present := make(map[persimmoncart.InstanceID]bool)
	for i := range live {
		present[live[i].ID] = true
		if _, found := o.nodes[live[i].ID]; !found {
			n := newNode(o, live[i])
			o.nodes[live[i].ID] = n
			o.nodeList = append(o.nodeList, n)
		}
	}
	for _, n := range o.nodeList {
		n.leaving = !present[n.instance.ID]
		if n.leaving {
			for _, p := range o.nodeList {
				p.broker.RemoveDigest(n.instance.ID)
			}
		}
	}
	next := assignOwners(o.sim.deployment.engines, live)
	if len(o.owners) == 0 {
		o.owners = next
		o.applyOwnership()
		o.exchangeDigests(o.sim.now(), true)
		o.exchangeDigests(o.sim.now(), false)
		return
	}
	for id, owner := range next {
		if o.owners[id] != owner {
			delete(o.owners, id)
		}
	}
	o.applyOwnership()
	o.sim.after(ownershipGap, func() {
		o.owners = next
		o.applyOwnership()
	})
}

// applyOwnership tells the instances what they own.
func (o *brokerRouter) applyOwnership() {
	for _, n := range o.nodeList {
		n.owned = n.owned[:0]
	}
	for _, r := range o.sim.replicas {
		if n, found := o.nodes[o.owners[r.endpoint.ID]]; found && n.alive {
			n.owned = append(n.owned, r)
		}
	}
	for _, n := range o.nodeList {
		n.setUsable()
	}
}

// A node is one instance with its broker.
type node struct {
	alive          bool
	loanReplies    map[uint64]func(persimmoncart.Loan)
	balancer       *policy.Balancer
	broker         *policy.Broker
	attempts       map[*completionAttempt]bool
	hedger         *policy.Hedger
	instance       persimmoncart.Instance
	leaving        bool
	borrowers      map[uint64]*node
	router         *brokerRouter
	owned          []*replica
	random         *rand.Rand
	grantCallbacks map[uint64]func(persimmoncart.Grant)
	requests       map[uint64]*request
	nextStep       time.Time
}

// newNode returns an instance that owns nothing yet.
func newNode(o *brokerRouter, instance persimmoncart.Instance) *node {
	n := &node{
		alive: true, loanReplies: make(map[uint64]func(persimmoncart.Loan)), attempts: make(map[*completionAttempt]bool), hedger: policy.NewHedger(), instance: instance,
		borrowers: make(map[uint64]*node), router: o, grantCallbacks: make(map[uint64]func(persimmoncart.Grant)),
		random: rand.New(rand.NewPCG(o.sim.seed, uint64(len(o.nodeList)+10))), requests: make(map[uint64]*request),
	}
	sim := o.sim
	n.broker = policy.NewBroker(policy.BrokerSettings{
		MaxBorrowItems: o.borrowItems, Effects: (*nodeEffects)(n), GrantPrefix: string(instance.ID), Random: n.random,
		Region: instance.Region, Self: instance.ID, TokenBytes: kvBytesPerToken,
	})
	n.broker.SetEndpoints(n.engines(), o.pools)
	for i := range sim.deployment.engines {
		for k := range sim.deployment.engines {
			n.setLink(&sim.deployment.engines[i], &sim.deployment.engines[k])
		}
		if len(sim.deployment.engines) > 100 {
			break // the default rate serves at the planned size
		}
	}
	n.balancer = policy.NewBalancer(sim.applications[0].endpoint.Pool, policy.NewStragglerDetector())
	n.balancer.SetEndpoints(n.applications())
	return n
}

// applications returns the application endpoints that the instance uses: all,
// or at the planned size those of its region.
func (n *node) applications() []persimmoncart.Endpoint {
	all := n.router.sim.deployment.applications
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
	all := n.router.sim.deployment.engines
	if !n.router.sim.scenario.short {
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

// setLink sets the rate of the path between two engines.
func (n *node) setLink(from, to *persimmoncart.Endpoint) {
	if from.Region != to.Region {
		return
	}
	rate := rateWithinRegion * n.router.sim.network.scale
	if from.DataCentre == to.DataCentre {
		rate = rateWithinDataCentre * n.router.sim.network.scale
	}
	n.broker.SetLink(from.DataCentre, to.DataCentre, rate)
}

// setUsable tells the broker which slots it may grant: those of the owned
// replicas that are not in use by grants of an earlier owner.
func (n *node) setUsable() {
	list := make([]persimmoncart.UsableReplica, 0, len(n.owned))
	for _, r := range n.owned {
		u := persimmoncart.UsableReplica{Blocks: r.endpoint.Blocks, Endpoint: r.endpoint.ID, Owned: true, Slots: r.endpoint.Slots}
		slots, blocks := n.grantedByOthers(r)
		u.Slots -= slots
		u.Blocks -= blocks
		list = append(list, u)
	}
	n.broker.SetUsable(list)
	n.step()
}

// grantedByOthers returns the slots and blocks of a decode replica that were granted by
// other owners, from the replica's list of work.
func (n *node) grantedByOthers(r *replica) (slots, blocks int) {
	if n.router.sim.scenario.name != caseTurnover || r.endpoint.Role != persimmoncart.RoleDecode {
		return 0, 0
	}
	for _, d := range slices.Concat(r.running, r.decodeQueue) {
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
	now := n.router.sim.now()
	n.broker.Step(now)
	next := n.broker.NextStep(now)
	if next.IsZero() || (n.nextStep.After(now) && !n.nextStep.After(next)) {
		return
	}
	n.nextStep = next
	n.router.sim.after(max(next.Sub(now), time.Millisecond), func() {
		if n.nextStep.Equal(next) || !n.nextStep.After(n.router.sim.now()) {
			n.nextStep = time.Time{}
			n.step()
		}
	})
}
