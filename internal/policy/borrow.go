package policy

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmoncart/persimmoncart"
)

// Constants of the borrower's side.
const (
	// affinityWait is the longer prefill wait that is accepted for a replica
	// that probably has the prefix cached.
	affinityWait = 100 * time.Millisecond
	// borrowPause is the pause after an empty answer.
	borrowPause = 25 * time.Millisecond
	// borrowWait is how long an owner may hold a borrow in its queue; the
	// message's timeout is 250 ms.
	borrowWait = 200 * time.Millisecond
	// crossPrompt is the longest prompt that is routed to another region: the
	// link between regions is slow and billed by volume.
	crossPrompt = 4096
	// crossReserve is the share of another region's slots that stays free for
	// its own requests.
	crossReserve = 0.1
)

// A borrowing is a borrow that waits for its answer.
type borrowing struct {
	items  [persimmoncart.RolePrefill + 1]int
	lane   *lane
	owner  persimmoncart.InstanceID
	answer persimmoncart.BorrowRequest
}

// Lent takes the answer to a borrow; a borrow that failed has an empty loan.
// Slots of a borrow that is not known any more are returned.
func (b *Broker) Lent(now time.Time, owner persimmoncart.InstanceID, loan persimmoncart.Loan) {
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
	for role, n := range o.items {
		o.lane.wanted[role] -= n
	}
	if len(loan.Slots) == 0 {
		o.lane.borrowAfter = now.Add(borrowPause)
	}
	for _, s := range loan.Slots {
		e, known := b.endpoints[s.Endpoint]
		if !known {
			b.peers.addUrgentLoanChange(now, owner, persimmoncart.LoanChange{ID: s.ID, Kind: persimmoncart.LoanReleased})
			continue
		}
		o.lane.stock = append(o.lane.stock, stockSlot{endpoint: e, owner: owner, lentSlot: s})
	}
}

// borrow asks other owners for what the unplaced waiters need.
func (b *Broker) borrow(now time.Time, l *lane, unplaced []*waiter) {
	if now.Before(l.borrowAfter) || len(unplaced) == 0 {
		return
	}
	var batches []*borrowing
	decodes, prefills := 0, 0
	for _, w := range unplaced {
		if w.decode.endpoint == nil {
			decodes++
			if decodes > l.wanted[persimmoncart.RoleDecode] {
				batches = b.askDecode(now, l, w, batches)
			}
			continue
		}
		prefills++
		if prefills > l.wanted[persimmoncart.RolePrefill] {
			batches = b.ask(l, w, persimmoncart.RolePrefill, w.decode.endpoint.Region, batches)
		}
	}
	for _, o := range batches {
		for role, n := range o.items {
			l.wanted[role] += n
		}
		b.outgoing[o.answer.ID] = o
		b.settings.Effects.Borrow(o.owner, o.answer)
	}
}

// askDecode adds an item for a decode slot. The home region goes first; a
// short prompt may go to another region that has slots to spare.
func (b *Broker) askDecode(now time.Time, l *lane, w *waiter, batches []*borrowing) []*borrowing {
	region := b.settings.Region
	if w.ask.Tokens <= crossPrompt && !b.freeAt(l, region) {
		if other, found := b.spareRegion(l); found {
			region = other
		}
	}
	if region == b.settings.Region && !b.prefillNear(now, l, w) {
		return batches
	}
	return b.ask(l, w, persimmoncart.RoleDecode, region, batches)
}

// ask adds an item to the batch for the chosen owner.
func (b *Broker) ask(l *lane, w *waiter, role persimmoncart.Role, region persimmoncart.Region, batches []*borrowing) []*borrowing {
	affinity := uint64(0)
	if role == persimmoncart.RolePrefill && len(w.ask.Prefixes) > 0 {
		affinity = w.ask.Prefixes[0]
	}
	owner, row := b.peers.chooseOwner(b.settings.Random, l.key, role, region, affinity)
	if row == nil {
		return batches
	}
	row.FreeSlots--
	if role == persimmoncart.RolePrefill {
		row.Wait += l.prefillTime(w.ask.Tokens)
	}
	item := persimmoncart.BorrowItem{
		Decode:  role == persimmoncart.RoleDecode,
		Prefill: role == persimmoncart.RolePrefill || len(l.prefills) == 0 || region != b.settings.Region,
		Request: w.request,
	}
	var o *borrowing
	for _, p := range batches {
		if p.owner == owner && len(p.answer.Items) < b.settings.BorrowItems {
			o = p
		}
	}
	if o == nil {
		o = &borrowing{lane: l, owner: owner}
		o.answer = persimmoncart.BorrowRequest{From: b.settings.Self, ID: b.next(), Wait: borrowWait}
		batches = append(batches, o)
	}
	o.items[role]++
	o.answer.Items = append(o.answer.Items, item)
	return batches
}

// freeAt reports whether any digest shows a free decode slot in the region.
func (b *Broker) freeAt(l *lane, region persimmoncart.Region) bool {
	found := false
	b.peers.eachRow(l.key, persimmoncart.RoleDecode, region, func(_ persimmoncart.InstanceID, _ *peerState, d *persimmoncart.PoolDigest) {
		found = found || d.FreeSlots > 0
	})
	return found
}

// spareRegion returns another region that has more free decode slots than it
// keeps for its own requests.
func (b *Broker) spareRegion(l *lane) (persimmoncart.Region, bool) {
	free := make(map[persimmoncart.Region]float64)
	b.peers.eachRow(l.key, persimmoncart.RoleDecode, "", func(_ persimmoncart.InstanceID, _ *peerState, d *persimmoncart.PoolDigest) {
		if d.Region != b.settings.Region {
			free[d.Region] += float64(d.FreeSlots) - crossReserve*float64(d.Slots)
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

// rendezvous returns the rank of a name for a hash.
func rendezvous(name string, hash uint64) uint64 {
	return xxhash.Sum64String(name + "/" + strconv.FormatUint(hash, 16))
}
