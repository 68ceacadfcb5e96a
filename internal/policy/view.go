package policy

import (
	"cmp"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// PoolTargets are the properties of a pool that detection needs.
type PoolTargets struct {
	Name persimmoncart.PoolName
	Pace time.Duration // target between tokens; zero is 60 ms
	Size [persimmoncart.RolePrefill + 1]int
}

// defaultPaceTarget is the pool's target between tokens if none is configured.
const defaultPaceTarget = 60 * time.Millisecond

// slowPeriod is how often an owner is told about a slow replica.
const slowPeriod = 250 * time.Millisecond

// A borrowedSlot is the newest decode lent slot in use on a replica of another owner.
type borrowedSlot struct {
	owner    persimmoncart.InstanceID
	lentSlot persimmoncart.GrantID
	told     time.Time // when the owner was last told that the replica is slow
}

// CacheEvent takes one change of a prefill replica's cache.
func (b *Broker) CacheEvent(now time.Time, replica persimmoncart.EndpointID, e persimmoncart.CacheEvent) {
	b.placement.Prefixes.Apply(now, replica, e)
}

// DecodeOwner returns the instance whose books hold the decode slot of a grant.
func (b *Broker) DecodeOwner(id persimmoncart.GrantID) persimmoncart.InstanceID {
	g, found := b.grants[id]
	if !found {
		return ""
	}
	return cmp.Or(g.decode.owner, b.settings.Self)
}

// Digest returns what this instance can lend.
func (b *Broker) Digest(now time.Time) persimmoncart.Digest {
	rows := make([]persimmoncart.PoolDigest, 0, 2*len(b.modelPoolList))
	for _, l := range b.modelPoolList {
		for _, list := range [][]*Replica{l.decodes, l.prefills} {
			for _, r := range list {
				rows = addRow(now, rows, l, r)
			}
		}
	}
	slices.SortFunc(rows, func(a, c persimmoncart.PoolDigest) int {
		return cmp.Or(cmp.Compare(a.Pool, c.Pool), cmp.Compare(a.Model, c.Model), cmp.Compare(a.Role, c.Role), cmp.Compare(a.DataCentre, c.DataCentre))
	})
	return persimmoncart.Digest{Instance: b.settings.Self, Pools: rows, Sequence: b.nextID()}
}

// Forget drops what is known about an instance that left or is suspect.
func (b *Broker) Forget(instance persimmoncart.InstanceID) { b.peers.forget(instance) }

// Learn takes another instance's digest.
func (b *Broker) Learn(digest persimmoncart.Digest, distance time.Duration) {
	if digest.Instance != b.settings.Self {
		b.peers.learn(digest, distance)
		b.refreshPools()
	}
}

// Observe learns from a result on an endpoint. The result of a decode tells the
// time of one token; prefills are judged in PrefillDone.
func (b *Broker) Observe(now time.Time, result persimmoncart.CallResult) {
	e, found := b.endpoints[result.Endpoint]
	if !found || result.Cancelled {
		return
	}
	if result.Failed {
		b.stragglers.Fail(now, e.Pool, e.Role, e.ID)
		return
	}
	b.stragglers.Succeed(e.Pool, e.Role, e.ID)
	if result.Role != persimmoncart.RoleDecode || result.Tokens <= 0 {
		return
	}
	b.observePace(now, e, result.Latency/time.Duration(result.Tokens))
}

// ObservePace learns the time between tokens on the decode replica of a grant.
func (b *Broker) ObservePace(now time.Time, id persimmoncart.GrantID, pace time.Duration) {
	g, found := b.grants[id]
	if !found || g.decode.endpoint == nil || pace <= 0 {
		return
	}
	g.pace = pace
	b.observePace(now, g.decode.endpoint, pace)
}

// observePace learns the time between tokens on a replica. If the replica is
// slow and another instance owns it, the owner is told, because it may have no
// requests of its own there.
func (b *Broker) observePace(now time.Time, e *persimmoncart.Endpoint, pace time.Duration) {
	b.observe(now, e, pace)
	s, found := b.borrowed[e.ID]
	if !found || pace <= defaultPaceTarget || now.Sub(s.told) < slowPeriod {
		return
	}
	s.told = now
	b.peers.settle(now, s.owner, persimmoncart.LoanChange{ID: s.lentSlot, Kind: persimmoncart.LoanCommitted, Took: pace})
}

// SetEndpoints replaces the records of all engines that the configuration
// names and the targets of their pools.
func (b *Broker) SetEndpoints(endpoints []persimmoncart.Endpoint, pools []PoolTargets) {
	clear(b.endpoints)
	for i := range endpoints {
		e := endpoints[i]
		b.endpoints[e.ID] = &e
		if r, found := b.replicas[e.ID]; found {
			r.Endpoint = e
		}
	}
	b.pools = pools
	b.refreshPools()
	b.reassign()
}

// SetLink sets the rate of a path in bytes a second.
func (b *Broker) SetLink(from, to persimmoncart.DataCentre, rate float64) {
	b.placement.Links.SetRate(from, to, rate)
}

// SetUsable replaces the replicas that this instance may grant. Requests on a
// replica that is no longer in the set keep their slots until released.
func (b *Broker) SetUsable(usable []persimmoncart.Usable) {
	seen := make(map[persimmoncart.EndpointID]bool, len(usable))
	for _, u := range usable {
		e, found := b.endpoints[u.Endpoint]
		if !found || e.Role == persimmoncart.RoleApplication {
			continue
		}
		seen[u.Endpoint] = true
		r, known := b.replicas[u.Endpoint]
		if !known {
			r = b.unretire(e)
			b.replicas[u.Endpoint] = r
		}
		r.Blocks, r.Owned, r.Slots = u.Blocks, u.Owned, u.Slots
	}
	for id, r := range b.replicas {
		if !seen[id] {
			r.Slots = 0
			b.retired[id] = r // its slots in use count if it comes back
			delete(b.replicas, id)
		}
	}
	for id, r := range b.retired {
		if r.usedSlots == 0 {
			delete(b.retired, id)
		}
	}
	b.reassign()
}

// Sizes returns the number of entries of each table, for gauges.
func (b *Broker) Sizes() map[string]int {
	return map[string]int{
		"grants": len(b.grants), "holdings": b.ledger.Len(), "lends": len(b.incoming), "peers": len(b.peers.entries),
		"prefixes": b.placement.Prefixes.Len(), "replicas": len(b.replicas) + len(b.retired),
		"lentSlots": len(b.lentSlots), "stragglers": b.stragglers.Len(), "waiting": len(b.waiters),
	}
}

// unretire returns the replica as it was when it left the set, or a new one.
func (b *Broker) unretire(e *persimmoncart.Endpoint) *Replica {
	r, found := b.retired[e.ID]
	if !found {
		return NewReplica(*e, 0, 0)
	}
	delete(b.retired, e.ID)
	r.Endpoint = *e
	return r
}

// assign fills the replicas of one lane, sorted by identifier.
func (b *Broker) assign(l *modelPool) {
	l.decodes, l.prefills = l.decodes[:0], l.prefills[:0]
	for _, id := range sortedKeys(b.replicas) {
		r := b.replicas[id]
		if r.Endpoint.Pool != l.key.pool || !r.Serves(l.key.model) {
			continue
		}
		if r.Endpoint.Role == persimmoncart.RolePrefill {
			l.prefills = append(l.prefills, r)
		} else {
			l.decodes = append(l.decodes, r)
		}
	}
}

// observe feeds straggler detection and applies its judgement.
func (b *Broker) observe(now time.Time, e *persimmoncart.Endpoint, pace time.Duration) {
	b.stragglers.Add(now, e.Pool, e.Role, e.ID, pace)
	if r, found := b.replicas[e.ID]; found {
		r.Weight, r.Probe = b.stragglers.Weight(now, e.Pool, e.Role, e.ID)
	}
}

// reassign fills the replicas of all lanes and makes one for each model served
// here, so that digests show it.
func (b *Broker) reassign() {
	for _, id := range sortedKeys(b.replicas) {
		e := &b.replicas[id].Endpoint
		for _, m := range e.Models {
			b.modelPool(e.Pool, m)
		}
	}
	for _, l := range b.modelPoolList {
		b.assign(l)
	}
}

// refreshPools tells straggler detection the pools' sizes and how many replicas
// others report as slow.
func (b *Broker) refreshPools() {
	for _, p := range b.pools {
		floor := cmp.Or(p.Pace, defaultPaceTarget)
		others := b.peers.stragglers(p.Name, persimmoncart.RoleDecode)
		b.stragglers.SetPool(p.Name, persimmoncart.RoleDecode, p.Size[persimmoncart.RoleDecode], others, floor)
	}
}

// refreshWeights applies the judgement of stragglers as time passes.
func (b *Broker) refreshWeights(now time.Time) {
	for _, r := range b.replicas {
		if r.Endpoint.Role == persimmoncart.RolePrefill {
			r.overdue(now)
			r.drift(now)
		}
		r.Weight, r.Probe = b.stragglers.Weight(now, r.Endpoint.Pool, r.Endpoint.Role, r.Endpoint.ID)
		r.failed = r.Weight <= 0 && b.stragglers.Failed(r.Endpoint.Pool, r.Endpoint.Role, r.Endpoint.ID)
	}
}

// addRow adds a replica to the digest row of its role and data centre.
func addRow(now time.Time, rows []persimmoncart.PoolDigest, l *modelPool, r *Replica) []persimmoncart.PoolDigest {
	if !r.Owned {
		return rows
	}
	i := slices.IndexFunc(rows, func(d persimmoncart.PoolDigest) bool {
		return d.Pool == l.key.pool && d.Model == l.key.model && d.Role == r.Endpoint.Role && d.DataCentre == r.Endpoint.DataCentre
	})
	if i < 0 {
		i = len(rows)
		rows = append(rows, persimmoncart.PoolDigest{
			DataCentre: r.Endpoint.DataCentre, Model: l.key.model, Pool: l.key.pool,
			Region: r.Endpoint.Region, Role: r.Endpoint.Role, Waiting: l.queue.Len(),
			Wait: r.typical(now),
		})
	}
	d := &rows[i]
	if r.Weight < 1 {
		d.Stragglers++
	}
	if r.Weight <= 0 || r.Endpoint.Leaving {
		return rows
	}
	slots, blocks := r.Free()
	d.Blocks += max(blocks, 0)
	d.Free += max(slots, 0)
	d.Slots += r.Slots
	d.Wait = min(d.Wait, r.typical(now))
	return rows
}
