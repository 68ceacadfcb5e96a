package slots

import (
	"context"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

var _ policy.Effects = (*effects)(nil)

const (
	// borrowTimeout bounds a borrow from another instance. It is longer than the
	// time for which the owner may keep the borrow in its queue.
	borrowTimeout = 250 * time.Millisecond
	// updateTimeout bounds a message that reports changes of borrowed slots.
	updateTimeout = 250 * time.Millisecond
)

// effects carries out the decisions of the broker of an Allocator. The broker
// calls its methods with the mutex of the Allocator held.
type effects struct {
	allocator *Allocator
}

// Borrow implements policy.Effects. A failed call counts as a reply without slots.
func (e *effects) Borrow(owner persimmoncart.InstanceID, request persimmoncart.BorrowRequest) {
	a := e.allocator
	a.callLender(func(ctx context.Context) {
		loan := persimmoncart.Loan{ID: request.ID}
		if a.Lenders != nil {
			ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
			defer cancel()
			if l, err := a.Lenders.Lender(owner).Lend(ctx, request); err == nil {
				loan = l
			}
		}
		a.update(func(now time.Time) { a.broker.ReceiveLoan(now, owner, loan) })
	})
}

// Grant implements policy.Effects.
func (e *effects) Grant(ticket uint64, grant persimmoncart.Grant) {
	e.finishWait(ticket, reserveResult{grant: grant})
}

// Refuse implements policy.Effects.
func (e *effects) Refuse(ticket uint64, refusal *persimmoncart.Refusal) {
	e.finishWait(ticket, reserveResult{refusal: refusal})
}

// ReplyBorrow implements policy.Effects.
func (e *effects) ReplyBorrow(borrow uint64, loan persimmoncart.Loan) {
	for _, reply := range e.allocator.lendReplies[borrow] {
		reply <- loan
	}
	delete(e.allocator.lendReplies, borrow)
}

// UpdateSlots implements policy.Effects. It ignores errors: if a message is lost,
// the lent slots expire at the owner.
func (e *effects) UpdateSlots(owner persimmoncart.InstanceID, changes []persimmoncart.LoanChange) {
	a := e.allocator
	if a.Lenders == nil {
		return
	}
	a.callLender(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, updateTimeout)
		defer cancel()
		if err := a.Lenders.Lender(owner).UpdateSlots(ctx, a.Self.ID, changes); err != nil {
			return
		}
	})
}

// finishWait ends the wait of a ticket in Reserve. The channel is buffered, so
// sending the only result does not block.
func (e *effects) finishWait(ticket uint64, r reserveResult) {
	if done, found := e.allocator.waiters[ticket]; found {
		delete(e.allocator.waiters, ticket)
		done <- r
	}
}

// callLender runs f in a goroutine that Run waits for. It does nothing after Run
// has ended.
func (a *Allocator) callLender(f func(context.Context)) {
	if a.lenderContext.Err() != nil {
		return
	}
	a.lenderCalls.Go(func() { f(a.lenderContext) })
}
