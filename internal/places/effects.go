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
	settleTimeout = 250 * time.Millisecond
)

// An effects carries out the decisions of the broker. The mutex of its Places
// is held in all methods.
type effects struct {
	places *Places
}

// Borrow implements policy.Effects.
func (e *effects) Borrow(owner persimmoncart.InstanceID, request persimmoncart.BorrowRequest) {
	p := e.places
	p.call(func(ctx context.Context) {
		loan := persimmoncart.Loan{ID: request.ID}
		if p.Lenders != nil {
			ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
			defer cancel()
			if l, err := p.Lenders.Lender(owner).Lend(ctx, request); err == nil {
				loan = l
			}
		}
		p.do(func(now time.Time) { p.broker.ReceiveLoan(now, owner, loan) })
	})
}

// Grant implements policy.Effects.
func (e *effects) Grant(ticket uint64, grant persimmoncart.Grant) {
	e.finish(ticket, result{grant: grant})
}

// ReplyBorrow implements policy.Effects.
func (e *effects) ReplyBorrow(lend uint64, loan persimmoncart.Loan) {
	if answer, found := e.places.lends[lend]; found {
		delete(e.places.lends, lend)
		answer <- loan
	}
}

// Refuse implements policy.Effects.
func (e *effects) Refuse(ticket uint64, refusal *persimmoncart.Refusal) {
	e.finish(ticket, result{refusal: refusal})
}

// UpdateSlots implements policy.Effects. A lost message is no fault: lent slots expire at
// the owner.
func (e *effects) UpdateSlots(owner persimmoncart.InstanceID, changes []persimmoncart.LoanChange) {
	p := e.places
	if p.Lenders == nil {
		return
	}
	p.call(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, settleTimeout)
		defer cancel()
		if err := p.Lenders.Lender(owner).UpdateSlots(ctx, p.Self.ID, changes); err != nil {
			return
		}
	})
}

// finish ends a wait. Its channel has room for the one result.
func (e *effects) finish(ticket uint64, r result) {
	if done, found := e.places.waiting[ticket]; found {
		delete(e.places.waiting, ticket)
		done <- r
	}
}

// call runs f in a goroutine that Run waits for.
func (p *Places) call(f func(context.Context)) {
	if p.context.Err() != nil {
		return
	}
	p.calls.Go(func() { f(p.context) })
}
