package policy

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// borrowBackoff is the pause before the next borrow after a reply without slots.
	borrowBackoff = 25 * time.Millisecond
	// crossRegionReserve is the share of another region's slots that borrows leave
	// free for that region's own requests.
	crossRegionReserve = 0.1
	// maxAffinityWait is the additional prefill wait that is accepted for an owner
	// whose replicas probably have the prefix cached.
	maxAffinityWait = 100 * time.Millisecond
	// maxBorrowWait is how long an owner may keep a borrow in its queue. It is
	// shorter than the timeout of the message, 250 ms.
	maxBorrowWait = 200 * time.Millisecond
	// maxCrossRegionPrompt is the longest prompt in tokens that is sent to another
	// region: the link between regions is slow and billed by volume.
	maxCrossRegionPrompt = 4096
)

// An outgoingBorrow is a borrow without a reply so far.
type outgoingBorrow struct {
	itemsByRole [persimmoncart.RolePrefill + 1]int
	modelPool   *modelPool
	owner       persimmoncart.InstanceID
	request     persimmoncart.BorrowRequest
}

// ReceiveLoan processes the reply to a borrow; a failed borrow has an empty loan.
// Slots of an unknown borrow or an unknown endpoint are returned to the owner.
func (b *Broker) ReceiveLoan(now time.Time, owner persimmoncart.InstanceID, loan persimmoncart.Loan) {
	if loan.Digest.Instance != "" {
		b.peers.updateDigest(loan.Digest, 0)
	}
	o, found := b.outgoing[loan.ID]
	if !found || o.owner != owner {
		for _, s := range loan.Slots {
			b.peers.addUrgentLoanChange(now, owner, persimmoncart.LoanChange{ID: s.ID, Kind: persimmoncart.LoanReleased})
		}
		return
	}
	delete(b.outgoing, loan.ID)
	for role, n := range o.itemsByRole {
		o.modelPool.requested[role] -= n
	}
	if len(loan.Slots) == 0 {
		o.modelPool.nextBorrow = now.Add(borrowBackoff)
	}
	for _, s := range loan.Slots {
		e, ok := b.endpoints[s.Endpoint]
		if !ok {
			b.peers.addUrgentLoanChange(now, owner, persimmoncart.LoanChange{ID: s.ID, Kind: persimmoncart.LoanReleased})
			continue
		}
		o.modelPool.unassigned = append(o.modelPool.unassigned, unassignedSlot{endpoint: e, owner: owner, lentSlot: s})
	}
}

// borrow sends borrows to other owners for the slots that unplaced waiters need.
func (b *Broker) borrow(now time.Time, m *modelPool, unplaced []*waiter) {
	if now.Before(m.nextBorrow) || len(unplaced) == 0 {
		return
	}
	var batches []*outgoingBorrow
	decodes, prefills := 0, 0
	for _, w := range unplaced {
		if w.decode.endpoint == nil {
			decodes++
			if decodes > m.requested[persimmoncart.RoleDecode] {
				batches = b.addDecodeItem(now, m, w, batches)
			}
			continue
		}
		prefills++
		if prefills > m.requested[persimmoncart.RolePrefill] {
			batches = b.addItem(m, w, persimmoncart.RolePrefill, w.decode.endpoint.Region, batches)
		}
	}
	for _, o := range batches {
		for role, n := range o.itemsByRole {
			m.requested[role] += n
		}
		b.outgoing[o.request.ID] = o
		b.settings.Effects.Borrow(o.owner, o.request)
	}
}

// addDecodeItem adds an item for a decode slot to a batch. A short prompt goes to
// another region with spare slots if no slot is free in the home region.
func (b *Broker) addDecodeItem(now time.Time, m *modelPool, w *waiter, batches []*outgoingBorrow) []*outgoingBorrow {
	region := b.settings.Region
	if w.placement.Tokens <= maxCrossRegionPrompt && !b.hasFreeDecode(m, region) {
		if other, found := b.spareRegion(m); found {
			region = other
		}
	}
	if region == b.settings.Region && !b.prefillAvailable(now, m, w) {
		return batches
	}
	return b.addItem(m, w, persimmoncart.RoleDecode, region, batches)
}

// addItem adds an item to the batch of an owner, which it chooses, and returns the
// batches.
func (b *Broker) addItem(m *modelPool, w *waiter, role persimmoncart.Role, region persimmoncart.Region, batches []*outgoingBorrow) []*outgoingBorrow {
	affinity := uint64(0)
	if role == persimmoncart.RolePrefill && len(w.placement.Prefixes) > 0 {
		affinity = w.placement.Prefixes[0]
	}
	owner, row := b.peers.chooseOwner(b.settings.Random, m.key, role, region, affinity)
	if row == nil {
		return batches
	}
	row.FreeSlots--
	if role == persimmoncart.RolePrefill {
		row.Wait += m.prefillTime(w.placement.Tokens)
	}
	item := persimmoncart.BorrowItem{
		Decode:  role == persimmoncart.RoleDecode,
		Prefill: role == persimmoncart.RolePrefill || len(m.prefills) == 0 || region != b.settings.Region,
		Request: w.request,
	}
	var o *outgoingBorrow
	for _, batch := range batches {
		if batch.owner == owner && len(batch.request.Items) < b.settings.MaxBorrowItems {
			o = batch
		}
	}
	if o == nil {
		o = &outgoingBorrow{modelPool: m, owner: owner}
		o.request = persimmoncart.BorrowRequest{From: b.settings.Self, ID: b.nextID(), Wait: maxBorrowWait}
		batches = append(batches, o)
	}
	o.itemsByRole[role]++
	o.request.Items = append(o.request.Items, item)
	return batches
}

// hasFreeDecode reports whether any digest shows a free decode slot in the region.
func (b *Broker) hasFreeDecode(m *modelPool, region persimmoncart.Region) bool {
	found := false
	b.peers.eachRow(m.key, persimmoncart.RoleDecode, region, func(_ persimmoncart.InstanceID, _ *peerState, d *persimmoncart.PoolDigest) {
		found = found || d.FreeSlots > 0
	})
	return found
}

// spareRegion returns the other region with the most free decode slots beyond the
// reserve for its own requests. It reports false if there is none.
func (b *Broker) spareRegion(m *modelPool) (persimmoncart.Region, bool) {
	free := make(map[persimmoncart.Region]float64)
	b.peers.eachRow(m.key, persimmoncart.RoleDecode, "", func(_ persimmoncart.InstanceID, _ *peerState, d *persimmoncart.PoolDigest) {
		if d.Region != b.settings.Region {
			free[d.Region] += float64(d.FreeSlots) - crossRegionReserve*float64(d.Slots)
		}
	})
	best, most := persimmoncart.Region(""), 0.0
	for _, r := range sortedKeys(free) {
		if free[r] > most {
			best, most = r, free[r]
		}
	}
	return best, best != ""
}

// rendezvousRank returns the rank of a name for a hash, as in rendezvous hashing.
func rendezvousRank(name string, hash uint64) uint64 {
	return xxhash.Sum64String(name + "/" + strconv.FormatUint(hash, 16))
}
