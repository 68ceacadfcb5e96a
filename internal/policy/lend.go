package policy

import (
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// lendItems bounds the items of one borrow that are looked at.
const lendItems = 64

// A lending is a borrow of another instance that waits for its answer.
type lending struct {
	from    persimmoncart.InstanceID
	id      uint64
	loan    persimmoncart.Loan
	open    int // items that still wait
	request uint64
	until   time.Time
	waiters []*waiter
}

// A lentState is a lent slot that another instance holds.
type lentState struct {
	borrower  persimmoncart.InstanceID
	deadline  time.Time
	holding   uint64
	replica   *Replica
	role      persimmoncart.Role
	committed bool
}

// A loanKey identifies a borrow of another instance.
type loanKey struct {
	from persimmoncart.InstanceID
	id   uint64
}

// Lend takes another instance's borrow into the queue and returns the number
// that Effects.Lend answers. A repeated borrow that still waits returns the
// same number.
func (b *Broker) Lend(now time.Time, request persimmoncart.BorrowRequest) uint64 {
	k := loanKey{from: request.From, id: request.ID}
	if id, found := b.loans[k]; found {
		return id
	}
	d := &lending{
		from:    request.From,
		id:      b.next(),
		loan:    persimmoncart.Loan{ID: request.ID},
		request: request.ID,
		until:   now.Add(request.Wait),
	}
	b.lends[d.id] = d
	b.loans[k] = d.id
	for i := range request.Items[:min(len(request.Items), lendItems)] {
		b.lendItem(now, d, i, &request.Items[i])
	}
	return d.id
}

// ReleaseFrom frees all lent slots lent to an instance that has ended.
func (b *Broker) ReleaseFrom(now time.Time, instance persimmoncart.InstanceID) {
	for id, s := range b.lentSlots {
		if s.borrower == instance {
			b.freeSlot(now, id, s)
		}
	}
}

// Settled takes what a borrower says about its lent slots.
func (b *Broker) Settled(now time.Time, from persimmoncart.InstanceID, changes []persimmoncart.LoanChange) {
	for _, c := range changes {
		s, found := b.lentSlots[c.ID]
		if !found || s.borrower != from {
			continue
		}
		b.learnSlot(now, s, c)
		switch c.Kind {
		case persimmoncart.LoanCommitted:
			s.committed = true
			b.ledger.Extend(s.holding, s.deadline.Add(b.settings.Expiry))
		case persimmoncart.LoanReleased:
			if s.role == persimmoncart.RolePrefill {
				s.replica.EndPrefill(now, s.holding, c.Latency)
			}
			b.freeSlot(now, c.ID, s)
		}
	}
}

// answerLends answers the borrows that got lent slots or waited long enough.
func (b *Broker) answerLends(now time.Time) {
	for _, id := range sortedKeys(b.lends) {
		d := b.lends[id]
		if d.open > 0 && len(d.loan.Slots) == 0 && now.Before(d.until) {
			continue
		}
		delete(b.lends, id)
		delete(b.loans, loanKey{from: d.from, id: d.request})
		for _, w := range d.waiters {
			if _, waits := b.tickets[w.ID]; waits {
				b.drop(now, w)
			}
		}
		d.loan.Digest = b.Digest(now)
		b.settings.Effects.Lend(id, d.loan)
	}
}

// freeSlot frees a lent slot.
func (b *Broker) freeSlot(now time.Time, id persimmoncart.GrantID, s *lentState) {
	if s.role == persimmoncart.RolePrefill {
		s.replica.EndPrefill(now, s.holding, 0)
	}
	b.ledger.Release(s.holding)
	delete(b.byHolding, s.holding)
	delete(b.lentSlots, id)
}

// learnSlot learns from the time that a borrower saw.
func (b *Broker) learnSlot(now time.Time, s *lentState, c persimmoncart.LoanChange) {
	if c.Latency > 0 && s.role == persimmoncart.RoleDecode {
		b.addLatency(now, &s.replica.Endpoint, c.Latency)
	}
}

// lendItem queues one item of a borrow.
func (b *Broker) lendItem(now time.Time, d *lending, index int, item *persimmoncart.BorrowItem) {
	l := b.lane(item.Request.Pool, item.Request.Model)
	if len(l.decodes)+len(l.prefills) == 0 {
		return
	}
	w := b.waiter(now, l, item.Request, 1)
	w.index, w.lend = index, d
	w.needDecode, w.needPrefill = item.Decode, item.Prefill
	if l.queue.Push(&w.Item) {
		b.tickets[w.ID] = w
		d.waiters = append(d.waiters, w)
		d.open++
	}
}

// lendSlots turns what a waiter has secured into lent slots.
func (b *Broker) lendSlots(now time.Time, w *waiter) {
	w.lend.open--
	for _, p := range []*part{&w.decode, &w.prefill} {
		if p.endpoint == nil {
			continue
		}
		id := b.id(p.holding)
		role := p.replica.Endpoint.Role
		b.byHolding[p.holding] = id
		b.ledger.Extend(p.holding, now.Add(b.settings.Expiry))
		b.lentSlots[id] = &lentState{
			borrower: w.lend.from,
			deadline: w.request.Deadline,
			holding:  p.holding,
			replica:  p.replica,
			role:     role,
		}
		w.lend.loan.Slots = append(w.lend.loan.Slots, persimmoncart.LentSlot{
			Blocks:       w.ask.Blocks,
			CachedTokens: p.cached,
			Endpoint:     p.endpoint.ID,
			PrefillTime:  p.first,
			ID:           id,
			Item:         w.index,
			Role:         role,
		})
	}
}
