package policy

import (
	"math/rand/v2"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// Constants of retry budgets.
const (
	// RetryBaseDelay is the mean delay before the first retry, RetryCap the longest.
	RetryBaseDelay = 25 * time.Millisecond
	RetryMaxDelay  = time.Second
	// retryCost is the price of one retry in units of which each first attempt
	// earns one, so that a tenth of the first attempts may be retried. They are
	// whole numbers, because ten tenths do not add up to one in floating point.
	retryCost = 10
	// retryBurst lets rare callers retry.
	retryBurst = 3 * retryCost
	// maxRetryBudgets bounds the remembered pairs of route and account.
	maxRetryBudgets = 8192
)

// A RetryBudgetKey names a budget.
type RetryBudgetKey struct {
	Account persimmoncart.AccountID
	Route   persimmoncart.RouteName
}

// RetryBudgets keeps a retry budget for each route and account: a tenth of the first
// attempts plus a small burst. A budget that is forgotten starts at the burst.
type RetryBudgets struct {
	budgets map[RetryBudgetKey]int
}

// NewRetryBudgets returns Retries with full bursts.
func NewRetryBudgets() *RetryBudgets {
	return &RetryBudgets{budgets: make(map[RetryBudgetKey]int)}
}

// RecordFirst counts the first attempt of a request.
func (r *RetryBudgets) RecordFirst(k RetryBudgetKey) {
	b, found := r.budgets[k]
	if !found {
		return // a full burst needs no memory
	}
	if b++; b >= retryBurst {
		delete(r.budgets, k)
		return
	}
	r.budgets[k] = b
}

// TakeRetry takes one retry, number from 1, and returns the delay before it. It
// reports false if the budget is empty, or if the delay and the expected time
// need of the attempt reach beyond the deadline.
func (r *RetryBudgets) TakeRetry(now time.Time, random *rand.Rand, k RetryBudgetKey, number int, deadline time.Time, need time.Duration) (time.Duration, bool) {
	delay := RetryDelay(random, number)
	if now.Add(delay + need).After(deadline) {
		return 0, false
	}
	b, found := r.budgets[k]
	if !found {
		b = retryBurst
	}
	if b < retryCost {
		return 0, false
	}
	if !found && len(r.budgets) >= maxRetryBudgets {
		r.evict()
	}
	r.budgets[k] = b - retryCost
	return delay, true
}

// evict drops the fullest half of the budgets, which lose the least by
// starting at the burst again.
func (r *RetryBudgets) evict() {
	for _, least := range []int{2 * retryCost, retryCost, 0} {
		for k, b := range r.budgets {
			if b >= least {
				delete(r.budgets, k)
			}
		}
		if len(r.budgets) <= maxRetryBudgets/2 {
			return
		}
	}
}

// RetryDelay returns the delay before retry number, from 1: uniform between
// half and one and a half of a base that doubles up to RetryCap.
func RetryDelay(random *rand.Rand, number int) time.Duration {
	base := min(RetryBaseDelay<<min(max(number-1, 0), 10), RetryMaxDelay)
	return base/2 + time.Duration(random.Int64N(int64(base)))
}
