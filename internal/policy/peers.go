package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// maxPeers is the maximum number of instances in the table. It suffices for
	// a cell, the region's cells and the gateways of other regions.
	maxPeers = 128
	// loanChangeDelay is how long changes of lent slots are collected into one
	// message.
	loanChangeDelay = 50 * time.Millisecond
)

// A peerTable holds the last digests of other owners, which may be out of date,
// and the changes of lent slots to send to them.
type peerTable struct {
	candidates  []OwnerLoad // scratch of chooseOwner
	entries     map[persimmoncart.InstanceID]*peerState
	order       []persimmoncart.InstanceID  // sorted keys of entries
	rows        []*persimmoncart.PoolDigest // their digest rows
	ids         []persimmoncart.InstanceID  // their owners
	unsentPeers int                         // entries with changes to send
}

// A peerState is the state of one other owner.
type peerState struct {
	changes        []persimmoncart.LoanChange // not sent yet
	digest         persimmoncart.Digest
	networkLatency time.Duration // one way
	oldestChange   time.Time     // time of the oldest change; zero if changes are due at once
}

// newPeerTable returns an empty table.
func newPeerTable() *peerTable {
	return &peerTable{entries: make(map[persimmoncart.InstanceID]*peerState)}
}

// chooseOwner returns the owner to borrow from and its digest row, from which
// the caller subtracts what it requests. It returns nil for the row if there is
// no owner. An affinity other than zero is the hash of a prompt prefix.
func (t *peerTable) chooseOwner(random *rand.Rand, key modelPoolKey, role persimmoncart.Role, region persimmoncart.Region, affinity uint64) (persimmoncart.InstanceID, *persimmoncart.PoolDigest) {
	t.candidates, t.rows, t.ids = t.candidates[:0], t.rows[:0], t.ids[:0]
	t.eachRow(key, role, region, func(id persimmoncart.InstanceID, p *peerState, d *persimmoncart.PoolDigest) {
		t.candidates = append(t.candidates, OwnerLoad{
			FreeSlots: d.FreeSlots, NetworkLatency: p.networkLatency, Slots: d.Slots, Wait: d.Wait, Waiting: d.Waiting,
		})
		t.rows = append(t.rows, d)
		t.ids = append(t.ids, id)
	})
	i := ChooseOwner(random, t.candidates, ownerChoices)
	if i < 0 {
		return "", nil
	}
	if affinity != 0 {
		i = t.preferAffine(i, affinity)
	}
	return t.ids[i], t.rows[i]
}

// preferAffine returns the owner that requests with the same prefix go to,
// unless it has no free slots or waits longer than the best owner by more than
// affinityWait. Owners are indices of candidates.
func (t *peerTable) preferAffine(best int, affinity uint64) int {
	preferred, rank := best, uint64(0)
	for i, id := range t.ids {
		if r := rendezvousRank(string(id), affinity); r >= rank {
			preferred, rank = i, r
		}
	}
	if t.candidates[preferred].Wait > t.candidates[best].Wait+maxAffinityWait || t.candidates[preferred].FreeSlots <= 0 {
		return best
	}
	return preferred
}

// minDecodeLoad returns the smallest share of used decode slots in any digest
// of the region; 1 if there is none.
func (t *peerTable) minDecodeLoad(key modelPoolKey, region persimmoncart.Region) float64 {
	load := 1.0
	t.eachRow(key, persimmoncart.RoleDecode, region, func(_ persimmoncart.InstanceID, _ *peerState, d *persimmoncart.PoolDigest) {
		load = min(load, 1-float64(d.FreeSlots)/float64(d.Slots))
	})
	return load
}

// eachRow calls f with every digest row for the pool, model and role in the
// region; an empty region means all.
func (t *peerTable) eachRow(key modelPoolKey, role persimmoncart.Role, region persimmoncart.Region, f func(persimmoncart.InstanceID, *peerState, *persimmoncart.PoolDigest)) {
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
	if t.unsentPeers == 0 {
		return
	}
	for _, id := range t.order {
		p := t.entries[id]
		if len(p.changes) == 0 || now.Sub(p.oldestChange) < loanChangeDelay {
			continue
		}
		changes := p.changes
		p.changes = nil
		t.unsentPeers--
		send(id, changes)
	}
}

// removeDigest clears the digest of an instance. Changes to send to it stay.
func (t *peerTable) removeDigest(id persimmoncart.InstanceID) {
	if p, found := t.entries[id]; found {
		p.digest = persimmoncart.Digest{Instance: id}
	}
}

// updateDigest stores a digest unless it is older than the stored one. An
// instance that does not fit into the full table is ignored.
func (t *peerTable) updateDigest(digest persimmoncart.Digest, networkLatency time.Duration) {
	p, found := t.entries[digest.Instance]
	if !found {
		if len(t.entries) >= maxPeers && !t.evict() {
			return
		}
		p = t.add(digest.Instance)
	}
	if digest.Sequence < p.digest.Sequence {
		return
	}
	if networkLatency > 0 {
		p.networkLatency = networkLatency
	}
	digest.Pools = slices.Clone(digest.Pools) // borrows change its rows
	p.digest = digest
}

// add inserts an instance.
func (t *peerTable) add(id persimmoncart.InstanceID) *peerState {
	p := &peerState{}
	t.entries[id] = p
	t.order = sortedKeys(t.entries)
	return p
}

// evict removes one instance without a digest and without changes to send. It
// reports false if there is none.
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

// hasUnsentChanges reports whether changes wait to be sent.
func (t *peerTable) hasUnsentChanges() bool { return t.unsentPeers > 0 }

// minPrefillWait returns the shortest prefill wait in the digests of the region
// that show free slots; the longest duration if there is none.
func (t *peerTable) minPrefillWait(key modelPoolKey, region persimmoncart.Region) time.Duration {
	wait := time.Duration(math.MaxInt64)
	t.eachRow(key, persimmoncart.RolePrefill, region, func(_ persimmoncart.InstanceID, _ *peerState, d *persimmoncart.PoolDigest) {
		if d.FreeSlots > 0 {
			wait = min(wait, d.Wait)
		}
	})
	return wait
}

// serves reports whether any digest shows slots of the role for the pool and
// model.
func (t *peerTable) serves(key modelPoolKey, role persimmoncart.Role) bool {
	found := false
	t.eachRow(key, role, "", func(persimmoncart.InstanceID, *peerState, *persimmoncart.PoolDigest) { found = true })
	return found
}

// addLoanChange collects a change to send to the owner.
func (t *peerTable) addLoanChange(now time.Time, owner persimmoncart.InstanceID, c persimmoncart.LoanChange) {
	p, found := t.entries[owner]
	if !found {
		p = t.add(owner)
	}
	if len(p.changes) == 0 {
		p.oldestChange = now
		t.unsentPeers++
	}
	p.changes = append(p.changes, c)
}

// addUrgentLoanChange collects a change that the next flush sends.
func (t *peerTable) addUrgentLoanChange(now time.Time, owner persimmoncart.InstanceID, c persimmoncart.LoanChange) {
	t.addLoanChange(now, owner, c)
	t.entries[owner].oldestChange = time.Time{}
}

// reportedStragglers returns the number of replicas of lowered weight in all
// digests.
func (t *peerTable) reportedStragglers(pool persimmoncart.PoolName, role persimmoncart.Role) int {
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
