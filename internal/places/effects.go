package places

import (
	"context"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

var _ policy.Effects = (*effects)(nil)

// Timeouts of calls to owners, beyond the time an owner may hold a borrow.
const (
	borrowTimeout = 250 * time.Millisecond
	updateTimeout = 250 * time.Millisecond
)

// An effects carries out the decisions of the broker. The mutex of its Places
// is held in all methods.
type effects struct {
	allocator *Allocator
}

// Borrow implements policy.Effects.
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
func (e *effects) ReplyBorrow(lend uint64, loan persimmoncart.Loan) {
	if answer, found := e.allocator.lendReplies[lend]; found {
		delete(e.allocator.lendReplies, lend)
		answer <- loan
	}
}

// UpdateSlots implements policy.Effects. A lost message is no fault: lent slots expire at
// the owner.
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

// finishWait ends a wait. Its channel has room for the one result.
func (e *effects) finishWait(ticket uint64, r reserveResult) {
	if done, found := e.allocator.waiters[ticket]; found {
		delete(e.allocator.waiters, ticket)
		done <- r
	}
}

// callLender runs f in a goroutine that Run waits for.
func (a *Allocator) callLender(f func(context.Context)) {
	if a.lenderContext.Err() != nil {
		return
	}
	a.lenderCalls.Go(func() { f(a.lenderContext) })
}
