package policy

import (
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// maxLendItems is the largest number of items of one borrow; the rest are ignored.
const maxLendItems = 64

// An incomingBorrow is a borrow of another instance without a reply so far.
type incomingBorrow struct {
	borrowID     uint64 // chosen by the borrower
	from         persimmoncart.InstanceID
	id           uint64 // chosen by the owner
	loan         persimmoncart.Loan
	replyBy      time.Time
	waiters      []*waiter
	waitingItems int // items in the queue
}

// A lentState is a slot that is lent to another instance.
type lentState struct {
	borrower    persimmoncart.InstanceID
	committed   bool
	deadline    time.Time
	replica     *Replica
	reservation uint64
	role        persimmoncart.Role
}

// A borrowKey identifies a borrow of another instance.
type borrowKey struct {
	from persimmoncart.InstanceID
	id   uint64
}

// ReceiveBorrow adds the items of another instance's borrow to the queues and
// returns the number under which Effects.ReplyBorrow replies. A repeated borrow
// that is still open gets the same number.
func (b *Broker) ReceiveBorrow(now time.Time, request persimmoncart.BorrowRequest) uint64 {
	k := borrowKey{from: request.From, id: request.ID}
	if id, found := b.incomingIDs[k]; found {
		return id
	}
	in := &incomingBorrow{
		borrowID: request.ID,
		from:     request.From,
		id:       b.nextID(),
		loan:     persimmoncart.Loan{ID: request.ID},
		replyBy:  now.Add(request.Wait),
	}
	b.incoming[in.id] = in
	b.incomingIDs[k] = in.id
	for i := range request.Items[:min(len(request.Items), maxLendItems)] {
		b.queueItem(now, in, i, &request.Items[i])
	}
	return in.id
}

// ReceiveChanges applies the changes that a borrower reports for its lent slots. It
// ignores slots that are not lent to that instance.
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

// ReleaseBorrower frees all slots lent to an instance that has ended.
func (b *Broker) ReleaseBorrower(now time.Time, instance persimmoncart.InstanceID) {
	for id, s := range b.lentSlots {
		if s.borrower == instance {
			b.releaseLent(now, id, s)
		}
	}
}

// lendSlots adds the reserved slots of a waiter to the loan of its borrow.
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

// observeLent passes the time between tokens that a borrower measured to straggler
// detection.
func (b *Broker) observeLent(now time.Time, s *lentState, c persimmoncart.LoanChange) {
	if c.Latency > 0 && s.role == persimmoncart.RoleDecode {
		b.addLatency(now, &s.replica.Endpoint, c.Latency)
	}
}

// queueItem adds one item of a borrow to the queue.
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

// releaseLent frees a lent slot.
func (b *Broker) releaseLent(now time.Time, id persimmoncart.GrantID, s *lentState) {
	if s.role == persimmoncart.RolePrefill {
		s.replica.EndPrefill(now, s.reservation, 0)
	}
	b.ledger.Release(s.reservation)
	delete(b.grantByReservation, s.reservation)
	delete(b.lentSlots, id)
}

// replyBorrows replies to the borrows that have slots, have no items left or have
// reached the end of their wait.
func (b *Broker) replyBorrows(now time.Time) {
	for _, id := range sortedKeys(b.incoming) {
		in := b.incoming[id]
		if in.waitingItems > 0 && len(in.loan.Slots) == 0 && now.Before(in.replyBy) {
			continue
		}
		delete(b.incoming, id)
		delete(b.incomingIDs, borrowKey{from: in.from, id: in.borrowID})
		for _, w := range in.waiters {
			if _, waiting := b.waiters[w.ID]; waiting {
				b.removeWaiter(now, w)
			}
		}
		in.loan.Digest = b.Digest(now)
		b.settings.Effects.ReplyBorrow(id, in.loan)
	}
}
