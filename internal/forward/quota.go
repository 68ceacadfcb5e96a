package forward

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/quota"
)

// takeQuota takes what the request costs from the limit of its account, or returns the
// refusal of a request that is over it.
func (x *exchange) takeQuota(ctx context.Context) error {
	if x.account == nil || x.router.Quota == nil {
		return nil
	}
	ticket, err := x.router.Quota.Take(ctx, x.account, quota.Units(x.account, x.request.Generation))
	if err != nil {
		if ctx.Err() != nil {
			return x.contextError(ctx, false)
		}
		return errors.Wrap(err, "take quota")
	}
	x.ticket = ticket
	return nil
}

// returnQuota gives back what the request took if it provably has not run: no send may
// have run it, and no engine may have prefilled its prompt.
func (x *exchange) returnQuota() {
	if x.runs == 0 && x.startedPrefills == 0 {
		x.ticket.Return()
	}
	x.ticket = persimmoncart.QuotaTicket{}
}
