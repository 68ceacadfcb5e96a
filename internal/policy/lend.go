package policy

import (
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// maxLendItems bounds the items of one borrow that are looked at.
const maxLendItems = 64

// A incomingBorrow is a borrow of another instance that waits for its answer.
type incomingBorrow struct {
	from         persimmoncart.InstanceID
	id           uint64
	loan         persimmoncart.Loan
	waitingItems int // items that still wait
	borrowID     uint64
	replyBy      time.Time
	waiters      []*waiter
}

// A lentState is a lent slot that another instance holds.
type lentState struct {
	borrower    persimmoncart.InstanceID
	deadline    time.Time
	reservation uint64
	replica     *Replica
	role        persimmoncart.Role
	committed   bool
}

// A borrowKey identifies a borrow of another instance.
type borrowKey struct {
	from persimmoncart.InstanceID
	id   uint64
}

// ReceiveBorrow takes another instance's borrow into the queue and returns the number
// that Effects.ReceiveBorrow answers. A repeated borrow that still waits returns the
// same number.
func (b *Broker) ReceiveBorrow(now time.Time, request persimmoncart.BorrowRequest) uint64 {
	k := borrowKey{from: request.From, id: request.ID}
	if id, found := b.incomingIDs[k]; found {
		return id
	}
	in := &incomingBorrow{
		from:     request.From,
		id:       b.nextID(),
		loan:     persimmoncart.Loan{ID: request.ID},
		borrowID: request.ID,
		replyBy:  now.Add(request.Wait),
	}
	b.incoming[in.id] = in
	b.incomingIDs[k] = in.id
	for i := range request.Items[:min(len(request.Items), maxLendItems)] {
		b.queueItem(now, in, i, &request.Items[i])
	}
	return in.id
}

// ReleaseBorrower frees all lent slots lent to an instance that has ended.
func (b *Broker) ReleaseBorrower(now time.Time, instance persimmoncart.InstanceID) {
	for id, s := range b.lentSlots {
		if s.borrower == instance {
			b.releaseLent(now, id, s)
		}
	}
}

// ReceiveChanges takes what a borrower says about its lent slots.
func (b *Broker) ReceiveChanges(now time.Time, from persimmoncart.InstanceID, changes []persimmoncart.LoanChange) {
	for _, c := range changes {
		s, found := b.lentSlots[c.ID]
		if !found || s.borrower != from {
			continue
		}
		b.observeLent(now, s, c)
		switch c.Kind {
		case persimmoncart.LoanCommitted:
			s.committed = true
			b.ledger.Extend(s.reservation, s.deadline.Add(b.settings.GrantExpiry))
		case persimmoncart.LoanReleased:
			if s.role == persimmoncart.RolePrefill {
				s.replica.EndPrefill(now, s.reservation, c.Latency)
			}
			b.releaseLent(now, c.ID, s)
		}
	}
}

// replyBorrows answers the borrows that got lent slots or waited long enough.
func (b *Broker) replyBorrows(now time.Time) {
	for _, id := range sortedKeys(b.incoming) {
		in := b.incoming[id]
		if in.waitingItems > 0 && len(in.loan.Slots) == 0 && now.Before(in.replyBy) {
			continue
		}
		delete(b.incoming, id)
		delete(b.incomingIDs, borrowKey{from: in.from, id: in.borrowID})
		for _, w := range in.waiters {
			if _, waits := b.waiters[w.ID]; waits {
				b.removeWaiter(now, w)
			}
		}
		in.loan.Digest = b.Digest(now)
		b.settings.Effects.ReplyBorrow(id, in.loan)
	}
}

// releaseLent frees a lent slot.
func (b *Broker) releaseLent(now time.Time, id persimmoncart.GrantID, s *lentState) {
	if s.role == persimmoncart.RolePrefill {
		s.replica.EndPrefill(now, s.reservation, 0)
	}
	b.ledger.Release(s.reservation)
	delete(b.grantByReservation, s.reservation)
	delete(b.lentSlots, id)
}

// observeLent learns from the time that a borrower saw.
func (b *Broker) observeLent(now time.Time, s *lentState, c persimmoncart.LoanChange) {
	if c.Latency > 0 && s.role == persimmoncart.RoleDecode {
		b.addLatency(now, &s.replica.Endpoint, c.Latency)
	}
}

// queueItem queues one item of a borrow.
func (b *Broker) queueItem(now time.Time, in *incomingBorrow, index int, item *persimmoncart.BorrowItem) {
	m := b.modelPool(item.Request.Pool, item.Request.Model)
	if len(m.decodes)+len(m.prefills) == 0 {
		return
	}
	w := b.newWaiter(now, m, item.Request, 1)
	w.itemIndex, w.incoming = index, in
	w.needDecode, w.needPrefill = item.Decode, item.Prefill
	if m.queue.Push(&w.Item) {
		b.waiters[w.ID] = w
		in.waiters = append(in.waiters, w)
		in.waitingItems++
	}
}

// lendSlots turns what a waiter has secured into lent slots.
func (b *Broker) lendSlots(now time.Time, w *waiter) {
	w.incoming.waitingItems--
	for _, slot := range []*grantedSlot{&w.decode, &w.prefill} {
		if slot.endpoint == nil {
			continue
		}
		id := b.grantID(slot.reservation)
		role := slot.replica.Endpoint.Role
		b.grantByReservation[slot.reservation] = id
		b.ledger.Extend(slot.reservation, now.Add(b.settings.GrantExpiry))
		b.lentSlots[id] = &lentState{
			borrower:    w.incoming.from,
			deadline:    w.request.Deadline,
			reservation: slot.reservation,
			replica:     slot.replica,
			role:        role,
		}
		w.incoming.loan.Slots = append(w.incoming.loan.Slots, persimmoncart.LentSlot{
			Blocks:       w.placement.Blocks,
			CachedTokens: slot.cachedTokens,
			Endpoint:     slot.endpoint.ID,
			PrefillTime:  slot.expectedPrefill,
			ID:           id,
			Item:         w.itemIndex,
			Role:         role,
		})
	}
}
