package policy

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmoncart/persimmoncart"
)

// Constants of the borrower's side.
const (
	// maxAffinityWait is the longer prefill wait that is accepted for a replica
	// that probably has the prefix cached.
	maxAffinityWait = 100 * time.Millisecond
	// borrowBackoff is the pause after an empty answer.
	borrowBackoff = 25 * time.Millisecond
	// maxBorrowWait is how long an owner may hold a borrow in its queue; the
	// message's timeout is 250 ms.
	maxBorrowWait = 200 * time.Millisecond
	// maxCrossRegionPrompt is the longest prompt that is routed to another region: the
	// link between regions is slow and billed by volume.
	maxCrossRegionPrompt = 4096
	// crossRegionReserve is the share of another region's slots that stays free for
	// its own requests.
	crossRegionReserve = 0.1
)

// A outgoingBorrow is a borrow that waits for its answer.
type outgoingBorrow struct {
	itemsByRole [persimmoncart.RolePrefill + 1]int
	modelPool   *modelPool
	owner       persimmoncart.InstanceID
	request     persimmoncart.BorrowRequest
}

// ReceiveLoan takes the answer to a borrow; a borrow that failed has an empty loan.
// Slots of a borrow that is not known any more are returned.
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
		e, known := b.endpoints[s.Endpoint]
		if !known {
			b.peers.addUrgentLoanChange(now, owner, persimmoncart.LoanChange{ID: s.ID, Kind: persimmoncart.LoanReleased})
			continue
		}
		o.modelPool.unassigned = append(o.modelPool.unassigned, unassignedSlot{endpoint: e, owner: owner, lentSlot: s})
	}
}

// borrow asks other owners for what the unplaced waiters need.
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

// addDecodeItem adds an item for a decode slot. The home region goes first; a
// short prompt may go to another region that has slots to spare.
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

// addItem adds an item to the batch for the chosen owner.
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
	for _, p := range batches {
		if p.owner == owner && len(p.request.Items) < b.settings.MaxBorrowItems {
			o = p
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

// spareRegion returns another region that has more free decode slots than it
// keeps for its own requests.
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

// rendezvousRank returns the rank of a name for a hash.
func rendezvousRank(name string, hash uint64) uint64 {
	return xxhash.Sum64String(name + "/" + strconv.FormatUint(hash, 16))
}
