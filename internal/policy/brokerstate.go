package policy

import (
	"cmp"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// PoolTargets are the properties of a pool that straggler detection needs.
type PoolTargets struct {
	Name           persimmoncart.PoolName
	Size           [persimmoncart.RolePrefill + 1]int // replicas by role
	TokenGapTarget time.Duration                      // target time between tokens; zero is 60 ms
}

// defaultTokenGapTarget is the target time between tokens of a pool that
// configures none.
const defaultTokenGapTarget = 60 * time.Millisecond

// slowReportPeriod is the minimum time between two reports to an owner that a
// replica is slow.
const slowReportPeriod = 250 * time.Millisecond

// A borrowedSlot is the newest borrowed decode slot in use on a replica of
// another owner.
type borrowedSlot struct {
	lentSlot   persimmoncart.GrantID
	owner      persimmoncart.InstanceID
	reportedAt time.Time // when the owner last received a report that the replica is slow
}

// ApplyCacheEvent records one change of a prefill replica's cache.
func (b *Broker) ApplyCacheEvent(now time.Time, replica persimmoncart.EndpointID, e persimmoncart.CacheEvent) {
	b.placer.Prefixes.Apply(now, replica, e)
}

// DecodeOwner returns the instance that owns the decode replica of a grant;
// empty if the grant is unknown.
func (b *Broker) DecodeOwner(id persimmoncart.GrantID) persimmoncart.InstanceID {
	g, found := b.grants[id]
	if !found {
		return ""
	}
	return cmp.Or(g.decode.owner, b.settings.Self)
}

// Digest returns the capacity of the replicas that this instance owns, from
// which it can lend.
func (b *Broker) Digest(now time.Time) persimmoncart.Digest {
	rows := make([]persimmoncart.PoolDigest, 0, 2*len(b.modelPoolList))
	for _, m := range b.modelPoolList {
		for _, list := range [][]*Replica{m.decodes, m.prefills} {
			for _, r := range list {
				rows = addDigestRow(now, rows, m, r)
			}
		}
	}
	slices.SortFunc(rows, func(a, c persimmoncart.PoolDigest) int {
		return cmp.Or(cmp.Compare(a.Pool, c.Pool), cmp.Compare(a.Model, c.Model), cmp.Compare(a.Role, c.Role), cmp.Compare(a.DataCentre, c.DataCentre))
	})
	return persimmoncart.Digest{Instance: b.settings.Self, Pools: rows, Sequence: b.nextID()}
}

// ObserveTokenGap records the time between tokens on the decode replica of a
// grant.
func (b *Broker) ObserveTokenGap(now time.Time, id persimmoncart.GrantID, gap time.Duration) {
	g, found := b.grants[id]
	if !found || g.decode.endpoint == nil || gap <= 0 {
		return
	}
	g.tokenGap = gap
	b.addTokenGap(now, g.decode.endpoint, gap)
}

// addTokenGap records the time between tokens on a replica. If the replica is
// slow and another instance owns it, the owner receives a report, because it
// may have no requests of its own there.
func (b *Broker) addTokenGap(now time.Time, e *persimmoncart.Endpoint, gap time.Duration) {
	b.addLatency(now, e, gap)
	s, found := b.borrowed[e.ID]
	if !found || gap <= defaultTokenGapTarget || now.Sub(s.reportedAt) < slowReportPeriod {
		return
	}
	s.reportedAt = now
	b.peers.addLoanChange(now, s.owner, persimmoncart.LoanChange{ID: s.lentSlot, Kind: persimmoncart.LoanCommitted, Latency: gap})
}

// RemoveDigest drops the digest of an instance that left or is suspect.
func (b *Broker) RemoveDigest(instance persimmoncart.InstanceID) { b.peers.removeDigest(instance) }

// Report records the result of a call on an endpoint. The result of a decode
// gives the time of one token; PrefillDone records the time of prefills.
func (b *Broker) Report(now time.Time, result persimmoncart.CallResult) {
	e, found := b.endpoints[result.Endpoint]
	if !found || result.Cancelled {
		return
	}
	if result.Failed {
		b.stragglers.AddFailure(now, e.Pool, e.Role, e.ID)
		return
	}
	b.stragglers.AddSuccess(e.Pool, e.Role, e.ID)
	if result.Role != persimmoncart.RoleDecode || result.Tokens <= 0 {
		return
	}
	b.addTokenGap(now, e, result.Latency/time.Duration(result.Tokens))
}

// SetEndpoints replaces the records of all engines in the configuration and the
// targets of their pools.
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
	b.assignAllReplicas()
}

// SetLink sets the rate of a path in bytes a second.
func (b *Broker) SetLink(from, to persimmoncart.DataCentre, rate float64) {
	b.placer.Links.SetRate(from, to, rate)
}

// SetUsable replaces the replicas that this instance may grant. Requests on a
// replica that is no longer in the set keep their slots until released.
func (b *Broker) SetUsable(usable []persimmoncart.UsableReplica) {
	isUsable := make(map[persimmoncart.EndpointID]bool, len(usable))
	for _, u := range usable {
		e, found := b.endpoints[u.Endpoint]
		if !found || e.Role == persimmoncart.RoleApplication {
			continue
		}
		isUsable[u.Endpoint] = true
		r, ok := b.replicas[u.Endpoint]
		if !ok {
			r = b.restoreReplica(e)
			b.replicas[u.Endpoint] = r
		}
		r.Blocks, r.Owned, r.Slots = u.Blocks, u.Owned, u.Slots
	}
	for id, r := range b.replicas {
		if !isUsable[id] {
			r.Slots = 0
			b.retired[id] = r // its slots in use still count if it returns
			delete(b.replicas, id)
		}
	}
	for id, r := range b.retired {
		if r.usedSlots == 0 {
			delete(b.retired, id)
		}
	}
	b.assignAllReplicas()
}

// Sizes returns the number of entries of each table, for gauges.
func (b *Broker) Sizes() map[string]int {
	return map[string]int{
		"grants": len(b.grants), "holdings": b.ledger.Len(), "lends": len(b.incoming), "peers": len(b.peers.entries),
		"prefixes": b.placer.Prefixes.Len(), "replicas": len(b.replicas) + len(b.retired),
		"lentSlots": len(b.lentSlots), "stragglers": b.stragglers.Len(), "waiting": len(b.waiters),
	}
}

// UpdateDigest stores the digest of another instance, which is the given
// network distance away.
func (b *Broker) UpdateDigest(digest persimmoncart.Digest, networkLatency time.Duration) {
	if digest.Instance != b.settings.Self {
		b.peers.updateDigest(digest, networkLatency)
		b.refreshPools()
	}
}

// restoreReplica returns the retired replica of an endpoint with its slots in
// use, or a new one.
func (b *Broker) restoreReplica(e *persimmoncart.Endpoint) *Replica {
	r, found := b.retired[e.ID]
	if !found {
		return NewReplica(*e, 0, 0)
	}
	delete(b.retired, e.ID)
	r.Endpoint = *e
	return r
}

// assignReplicas fills the replicas of one pool and model, sorted by identifier.
func (b *Broker) assignReplicas(m *modelPool) {
	m.decodes, m.prefills = m.decodes[:0], m.prefills[:0]
	for _, id := range sortedKeys(b.replicas) {
		r := b.replicas[id]
		if r.Endpoint.Pool != m.key.pool || !r.Serves(m.key.model) {
			continue
		}
		if r.Endpoint.Role == persimmoncart.RolePrefill {
			m.prefills = append(m.prefills, r)
		} else {
			m.decodes = append(m.decodes, r)
		}
	}
}

// addLatency adds a sample to straggler detection and updates the weight of an
// own replica.
func (b *Broker) addLatency(now time.Time, e *persimmoncart.Endpoint, latency time.Duration) {
	b.stragglers.AddLatency(now, e.Pool, e.Role, e.ID, latency)
	if r, found := b.replicas[e.ID]; found {
		r.Weight, r.Probe = b.stragglers.Weight(now, e.Pool, e.Role, e.ID)
	}
}

// assignAllReplicas fills the replicas of every pool and model. It adds each
// model served here, so that digests show it.
func (b *Broker) assignAllReplicas() {
	for _, id := range sortedKeys(b.replicas) {
		e := &b.replicas[id].Endpoint
		for _, m := range e.Models {
			b.modelPool(e.Pool, m)
		}
	}
	for _, m := range b.modelPoolList {
		b.assignReplicas(m)
	}
}

// refreshPools passes the sizes and targets of pools, and the number of
// replicas that others report as slow, to straggler detection.
func (b *Broker) refreshPools() {
	for _, p := range b.pools {
		target := cmp.Or(p.TokenGapTarget, defaultTokenGapTarget)
		reportedSlow := b.peers.reportedStragglers(p.Name, persimmoncart.RoleDecode)
		b.stragglers.SetPool(p.Name, persimmoncart.RoleDecode, p.Size[persimmoncart.RoleDecode], reportedSlow, target)
	}
}

// refreshWeights updates what changes on a replica as time passes: its weight,
// its prefill rate and the slowness of an overdue prefill.
func (b *Broker) refreshWeights(now time.Time) {
	for _, r := range b.replicas {
		if r.Endpoint.Role == persimmoncart.RolePrefill {
			r.updateSlowness(now)
			r.recoverRate(now)
		}
		r.Weight, r.Probe = b.stragglers.Weight(now, r.Endpoint.Pool, r.Endpoint.Role, r.Endpoint.ID)
		r.failed = r.Weight <= 0 && b.stragglers.Failed(r.Endpoint.Pool, r.Endpoint.Role, r.Endpoint.ID)
	}
}

// addDigestRow adds an owned replica to the digest row of its role and data
// centre.
func addDigestRow(now time.Time, rows []persimmoncart.PoolDigest, m *modelPool, r *Replica) []persimmoncart.PoolDigest {
	if !r.Owned {
		return rows
	}
	i := slices.IndexFunc(rows, func(d persimmoncart.PoolDigest) bool {
		return d.Pool == m.key.pool && d.Model == m.key.model && d.Role == r.Endpoint.Role && d.DataCentre == r.Endpoint.DataCentre
	})
	if i < 0 {
		i = len(rows)
		rows = append(rows, persimmoncart.PoolDigest{
			DataCentre: r.Endpoint.DataCentre, Model: m.key.model, Pool: m.key.pool,
			Region: r.Endpoint.Region, Role: r.Endpoint.Role, Waiting: m.queue.Len(),
			Wait: r.typicalWait(now),
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
	d.FreeBlocks += max(blocks, 0)
	d.FreeSlots += max(slots, 0)
	d.Slots += r.Slots
	d.Wait = min(d.Wait, r.typicalWait(now))
	return rows
}
