package bench

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

// Delays and periods of the messages between instances and from engines.
const (
	cacheEventLag           = time.Second
	crashDetectionDelay     = time.Second
	digestPeriodCrossRegion = 10 * time.Second
	digestPeriod            = time.Second
	messageTimeout          = 250 * time.Millisecond
	workCancelDelay         = 3 * time.Second // after a crash, until the engines cancel the instance's work
	workPeriod              = time.Second
	ownershipGap            = 2500 * time.Millisecond
)

// A brokerRouter is the router of this repository, with one policy.Broker for
// each instance.
type brokerRouter struct {
	borrowItems int
	nodeList    []*node
	nodes       map[persimmoncart.InstanceID]*node
	owners      map[persimmoncart.EndpointID]persimmoncart.InstanceID
	pools       []policy.PoolTargets
	sequences   map[persimmoncart.EndpointID]uint64
	sim         *simulation
}

// newBrokerRouter returns a broker router for a simulation.
func newBrokerRouter(sim *simulation) *brokerRouter {
	b := &brokerRouter{
		nodes: make(map[persimmoncart.InstanceID]*node), sequences: make(map[persimmoncart.EndpointID]uint64),
		owners: make(map[persimmoncart.EndpointID]persimmoncart.InstanceID), sim: sim,
	}
	t := policy.PoolTargets{Name: sim.replicas[0].endpoint.Pool, TokenGapTarget: tokenGapTarget}
	for _, r := range sim.replicas {
		t.Size[r.endpoint.Role]++
		if r.endpoint.Role == persimmoncart.RolePrefill {
			r.onCacheEvent = func(prefix uint64, evicted bool) { b.sendCacheEvent(r.endpoint.ID, prefix, evicted) }
		}
	}
	b.pools = []policy.PoolTargets{t}
	sim.clock.Subscribe(digestPeriod, func(now time.Time) { b.exchangeDigests(now, true) })
	sim.clock.Subscribe(digestPeriodCrossRegion, func(now time.Time) { b.exchangeDigests(now, false) })
	sim.clock.Subscribe(workPeriod, func(time.Time) { b.updateUsable() })
	return b
}

// sendCacheEvent sends one cache event to the replica's owner. In the case
// cache-gaps half of the events are lost.
func (b *brokerRouter) sendCacheEvent(id persimmoncart.EndpointID, prefix uint64, evicted bool) {
	b.sequences[id]++
	event := persimmoncart.CacheEvent{Evicted: evicted, Prefix: prefix, Sequence: b.sequences[id]}
	if b.sim.scenario.name == caseCacheGaps && b.sim.random.IntN(2) == 0 {
		return
	}
	n, found := b.nodes[b.owners[id]]
	if !found {
		return
	}
	b.sim.after(cacheEventLag, func() { n.broker.ApplyCacheEvent(b.sim.now(), id, event) })
}

// updateUsable updates the slots that brokers may grant, from the engines' lists
// of work in the case turnover: slots that an earlier owner granted are not
// granted again.
func (b *brokerRouter) updateUsable() {
	if b.sim.scenario.name != caseTurnover {
		return
	}
	for _, n := range b.nodeList {
		if n.alive {
			n.setUsable()
		}
	}
}

// crash implements router.
func (b *brokerRouter) crash(id persimmoncart.InstanceID) {
	n := b.nodes[id]
	n.alive = false
	for _, a := range sortByRequest(n.attempts) {
		a.request.ended = true
		b.sim.after(workCancelDelay, a.cancel)
	}
	for _, q := range n.requests {
		q.ended = true
	}
	b.sim.after(crashDetectionDelay, func() {
		for _, p := range b.nodeList {
			p.broker.RemoveDigest(id)
			p.broker.ReleaseBorrower(b.sim.now(), id)
		}
	})
}

// exchangeDigests sends the digests within each region or between regions. At the planned size instances exchange them only within their data
// centre.
func (b *brokerRouter) exchangeDigests(now time.Time, withinRegion bool) {
	planned := len(b.nodeList) > 16
	for _, n := range b.nodeList {
		if !n.alive || n.leaving {
			continue
		}
		digest := n.broker.Digest(now)
		for _, p := range b.nodeList {
			if p == n || (n.instance.Region == p.instance.Region) != withinRegion {
				continue
			}
			if planned && (!withinRegion || n.instance.DataCentre != p.instance.DataCentre) {
				continue
			}
			delay, _ := b.sim.network.delay(n.instance.Region, p.instance.Region)
			b.sim.result.countMessage(30*len(digest.Pools), len(b.nodeList))
			b.sim.network.send(n.instance.Region, p.instance.Region, func() {
				if p.alive {
					p.broker.UpdateDigest(digest, delay)
				}
			})
		}
	}
	if b.sim.network.regionsCut && withinRegion {
		b.removeUnreachable()
	}
}

// removeUnreachable removes the digests of instances that a cut link
// separates, as failed probes do.
func (b *brokerRouter) removeUnreachable() {
	for _, n := range b.nodeList {
		for _, p := range b.nodeList {
			if n.instance.Region != p.instance.Region {
				n.broker.RemoveDigest(p.instance.ID)
			}
		}
	}
}

// handle implements router.
func (b *brokerRouter) handle(q *request, instance persimmoncart.InstanceID) {
	n := b.nodes[instance]
	if !n.alive {
		q.ended = true
		return
	}
	if q.kind == kindCompletion {
		n.reserve(q, 1, nil)
		return
	}
	b.sim.claim(q, func() { n.call(q) })
}

// setInstances implements router.
func (b *brokerRouter) setInstances(live []persimmoncart.Instance) {
	present := make(map[persimmoncart.InstanceID]bool)
	for i := range live {
		present[live[i].ID] = true
		if _, found := b.nodes[live[i].ID]; !found {
			n := newNode(b, live[i])
			b.nodes[live[i].ID] = n
			b.nodeList = append(b.nodeList, n)
		}
	}
	for _, n := range b.nodeList {
		n.leaving = !present[n.instance.ID]
		if n.leaving {
			for _, p := range b.nodeList {
				p.broker.RemoveDigest(n.instance.ID)
			}
		}
	}
	next := assignOwners(b.sim.deployment.engines, live)
	if len(b.owners) == 0 {
		b.owners = next
		b.applyOwnership()
		b.exchangeDigests(b.sim.now(), true)
		b.exchangeDigests(b.sim.now(), false)
		return
	}
	for id, owner := range next {
		if b.owners[id] != owner {
			delete(b.owners, id)
		}
	}
	b.applyOwnership()
	b.sim.after(ownershipGap, func() {
		b.owners = next
		b.applyOwnership()
	})
}

// applyOwnership updates the replicas that each instance owns.
func (b *brokerRouter) applyOwnership() {
	for _, n := range b.nodeList {
		n.owned = n.owned[:0]
	}
	for _, r := range b.sim.replicas {
		if n, found := b.nodes[b.owners[r.endpoint.ID]]; found && n.alive {
			n.owned = append(n.owned, r)
		}
	}
	for _, n := range b.nodeList {
		n.setUsable()
	}
}

// A node is one instance with its broker.
type node struct {
	alive          bool
	attempts       map[*completionAttempt]bool
	balancer       *policy.Balancer
	borrowers      map[uint64]*node
	broker         *policy.Broker
	grantCallbacks map[uint64]func(persimmoncart.Grant)
	hedger         *policy.Hedger
	instance       persimmoncart.Instance
	leaving        bool
	loanReplies    map[uint64]func(persimmoncart.Loan)
	nextStep       time.Time
	owned          []*replica
	random         *rand.Rand
	requests       map[uint64]*request
	router         *brokerRouter
}

// newNode returns an instance that owns no replicas yet.
func newNode(b *brokerRouter, instance persimmoncart.Instance) *node {
	n := &node{
		alive: true, loanReplies: make(map[uint64]func(persimmoncart.Loan)), attempts: make(map[*completionAttempt]bool), hedger: policy.NewHedger(), instance: instance,
		borrowers: make(map[uint64]*node), router: b, grantCallbacks: make(map[uint64]func(persimmoncart.Grant)),
		random: rand.New(rand.NewPCG(b.sim.seed, uint64(len(b.nodeList)+10))), requests: make(map[uint64]*request),
	}
	sim := b.sim
	n.broker = policy.NewBroker(policy.BrokerSettings{
		MaxBorrowItems: b.borrowItems, Effects: (*nodeEffects)(n), GrantPrefix: string(instance.ID), Random: n.random,
		Region: instance.Region, Self: instance.ID, TokenBytes: kvBytesPerToken,
	})
	n.broker.SetEndpoints(n.engines(), b.pools)
	for i := range sim.deployment.engines {
		for k := range sim.deployment.engines {
			n.setLink(&sim.deployment.engines[i], &sim.deployment.engines[k])
		}
		if len(sim.deployment.engines) > 100 {
			break // at the planned size the broker's default rate is used
		}
	}
	n.balancer = policy.NewBalancer(sim.applications[0].endpoint.Pool, policy.NewStragglerDetector())
	n.balancer.SetEndpoints(n.applications())
	return n
}

// applications returns the application endpoints that the instance uses: all,
// or those of its region at the planned size.
func (n *node) applications() []persimmoncart.Endpoint {
	all := n.router.sim.deployment.applications
	if len(all) <= 3 {
		return all
	}
	return n.inRegion(all)
}

// engines returns the engines that the instance may use: all, or those of its
// region at the planned size.
func (n *node) engines() []persimmoncart.Endpoint {
	all := n.router.sim.deployment.engines
	if !n.router.sim.scenario.short {
		return all
	}
	return n.inRegion(all)
}

// inRegion returns the endpoints of the instance's region.
func (n *node) inRegion(all []persimmoncart.Endpoint) []persimmoncart.Endpoint {
	var list []persimmoncart.Endpoint
	for i := range all {
		if all[i].Region == n.instance.Region {
			list = append(list, all[i])
		}
	}
	return list
}

// setLink sets the rate of the path between two engines of one region.
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

// setUsable updates the slots that the broker may grant: those of the owned
// replicas without the slots in use by grants of an earlier owner.
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

// grantedByOthers returns the slots and blocks of a decode replica that other
// owners granted, from the replica's list of work.
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

// step runs the broker and schedules its next step.
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
