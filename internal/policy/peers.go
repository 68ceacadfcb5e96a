package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// Constants of the table of peers.
const (
	// peerLimit bounds the table: a cell, the region's cells and the gateways
	// of other regions.
	peerLimit = 128
	// settleDelay collects changes of lent slots into one message.
	settleDelay = 50 * time.Millisecond
)

// A peerTable holds what is known about other owners, as a hint.
type peerTable struct {
	candidates []OwnerLoad // scratch of one choice
	entries    map[persimmoncart.InstanceID]*peerState
	order      []persimmoncart.InstanceID // sorted
	rows       []*persimmoncart.PoolDigest
	ids        []persimmoncart.InstanceID
	unsettled  int
}

// A peerState is one other owner.
type peerState struct {
	changes  []persimmoncart.LoanChange
	digest   persimmoncart.Digest
	distance time.Duration
	since    time.Time // when the oldest change was made; zero to send now
}

// newPeerTable returns an empty table.
func newPeerTable() *peerTable {
	return &peerTable{entries: make(map[persimmoncart.InstanceID]*peerState)}
}

// choose returns the owner to borrow from, with its row of the digest, which
// the caller lowers by what it asks for.
func (t *peerTable) choose(random *rand.Rand, key modelPoolKey, role persimmoncart.Role, region persimmoncart.Region, affinity uint64) (persimmoncart.InstanceID, *persimmoncart.PoolDigest) {
	t.candidates, t.rows, t.ids = t.candidates[:0], t.rows[:0], t.ids[:0]
	t.each(key, role, region, func(id persimmoncart.InstanceID, p *peerState, d *persimmoncart.PoolDigest) {
		t.candidates = append(t.candidates, OwnerLoad{
			Distance: p.distance, Free: d.Free, Slots: d.Slots, Wait: d.Wait, Waiting: d.Waiting,
		})
		t.rows = append(t.rows, d)
		t.ids = append(t.ids, id)
	})
	i := ChooseOwner(random, t.candidates, ownerChoices)
	if i < 0 {
		return "", nil
	}
	if affinity != 0 {
		i = t.prefer(i, affinity)
	}
	return t.ids[i], t.rows[i]
}

// prefer returns the owner that requests with the same prefix go to, unless it
// has a much longer wait than the best one.
func (t *peerTable) prefer(best int, affinity uint64) int {
	preferred, rank := best, uint64(0)
	for i, id := range t.ids {
		if r := rendezvousRank(string(id), affinity); r >= rank {
			preferred, rank = i, r
		}
	}
	if t.candidates[preferred].Wait > t.candidates[best].Wait+maxAffinityWait || t.candidates[preferred].Free <= 0 {
		return best
	}
	return preferred
}

// decodeLoad returns the smallest share of used decode slots that any digest
// shows; 1 if there is none.
func (t *peerTable) decodeLoad(key modelPoolKey, region persimmoncart.Region) float64 {
	load := 1.0
	t.each(key, persimmoncart.RoleDecode, region, func(_ persimmoncart.InstanceID, _ *peerState, d *persimmoncart.PoolDigest) {
		load = min(load, 1-float64(d.Free)/float64(d.Slots))
	})
	return load
}

// each calls f with every row for the lane and role; an empty region means all.
func (t *peerTable) each(key modelPoolKey, role persimmoncart.Role, region persimmoncart.Region, f func(persimmoncart.InstanceID, *peerState, *persimmoncart.PoolDigest)) {
	for _, id := range t.order {
		p := t.entries[id]
		for i := range p.digest.Pools {
			d := &p.digest.Pools[i]
			if d.Pool == key.pool && d.Model == key.model && d.Role == role && d.Slots > 0 && (region == "" || d.Region == region) {
				f(id, p, d)
			}
		}
	}
}

// flush sends the collected changes that are due.
func (t *peerTable) flush(now time.Time, send func(persimmoncart.InstanceID, []persimmoncart.LoanChange)) {
	if t.unsettled == 0 {
		return
	}
	for _, id := range t.order {
		p := t.entries[id]
		if len(p.changes) == 0 || now.Sub(p.since) < settleDelay {
			continue
		}
		changes := p.changes
		p.changes = nil
		t.unsettled--
		send(id, changes)
	}
}

// forget drops an instance.
func (t *peerTable) forget(id persimmoncart.InstanceID) {
	if p, found := t.entries[id]; found {
		p.digest = persimmoncart.Digest{Instance: id}
	}
}

// learn takes a digest unless it is older than the known one.
func (t *peerTable) learn(digest persimmoncart.Digest, distance time.Duration) {
	p, found := t.entries[digest.Instance]
	if !found {
		if len(t.entries) >= peerLimit && !t.evict() {
			return
		}
		p = t.add(digest.Instance)
	}
	if digest.Sequence < p.digest.Sequence {
		return
	}
	if distance > 0 {
		p.distance = distance
	}
	digest.Pools = slices.Clone(digest.Pools) // choices lower its rows
	p.digest = digest
}

// add inserts an instance in order.
func (t *peerTable) add(id persimmoncart.InstanceID) *peerState {
	p := &peerState{}
	t.entries[id] = p
	t.order = sortedKeys(t.entries)
	return p
}

// evict makes room for one instance by dropping a forgotten one.
func (t *peerTable) evict() bool {
	for _, id := range t.order {
		if p := t.entries[id]; len(p.digest.Pools) == 0 && len(p.changes) == 0 {
			delete(t.entries, id)
			t.order = sortedKeys(t.entries)
			return true
		}
	}
	return false
}

// pending reports whether changes wait to be sent.
func (t *peerTable) pending() bool { return t.unsettled > 0 }

// prefillWait returns the shortest prefill wait that any digest shows.
func (t *peerTable) prefillWait(key modelPoolKey, region persimmoncart.Region) time.Duration {
	wait := time.Duration(math.MaxInt64)
	t.each(key, persimmoncart.RolePrefill, region, func(_ persimmoncart.InstanceID, _ *peerState, d *persimmoncart.PoolDigest) {
		if d.Free > 0 {
			wait = min(wait, d.Wait)
		}
	})
	return wait
}

// serves reports whether any owner has the role for the lane.
func (t *peerTable) serves(key modelPoolKey, role persimmoncart.Role) bool {
	found := false
	t.each(key, role, "", func(persimmoncart.InstanceID, *peerState, *persimmoncart.PoolDigest) { found = true })
	return found
}

// settle collects a change for the owner.
func (t *peerTable) settle(now time.Time, owner persimmoncart.InstanceID, c persimmoncart.LoanChange) {
	p, found := t.entries[owner]
	if !found {
		p = t.add(owner)
	}
	if len(p.changes) == 0 {
		p.since = now
		t.unsettled++
	}
	p.changes = append(p.changes, c)
}

// settleNow sends a change with the next flush.
func (t *peerTable) settleNow(now time.Time, owner persimmoncart.InstanceID, c persimmoncart.LoanChange) {
	t.settle(now, owner, c)
	t.entries[owner].since = time.Time{}
}

// stragglers returns the replicas of lowered weight that others report.
func (t *peerTable) stragglers(pool persimmoncart.PoolName, role persimmoncart.Role) int {
	n := 0
	for _, id := range t.order {
		for i := range t.entries[id].digest.Pools {
			if d := &t.entries[id].digest.Pools[i]; d.Pool == pool && d.Role == role {
				n += d.Stragglers
			}
		}
	}
	return n
}
