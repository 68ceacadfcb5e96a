package policy

import (
	"math/rand/v2"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// RetryBaseDelay is the mean delay before the first retry.
	RetryBaseDelay = 25 * time.Millisecond
	// RetryMaxDelay is the longest mean delay before a retry.
	RetryMaxDelay = time.Second
	// retryCost is the cost of one retry in units. Each first attempt earns one unit,
	// so that a tenth of the first attempts may be retried. The units are integers
	// because ten tenths do not add up to one in floating point.
	retryCost = 10
	// retryBurst is the size of a full budget in units. It allows retries to callers
	// with few requests.
	retryBurst = 3 * retryCost
	// maxRetryBudgets is the largest number of budgets that are stored.
	maxRetryBudgets = 8192
)

// A RetryBudgetKey identifies a budget.
type RetryBudgetKey struct {
	Account persimmoncart.AccountID
	Route   persimmoncart.RouteName
}

// RetryBudgets holds a retry budget for each route and account: a tenth of the first
// attempts plus a small burst. A budget that was evicted starts full again.
type RetryBudgets struct {
	budgets map[RetryBudgetKey]int // units; an absent budget is full
}

// NewRetryBudgets returns RetryBudgets whose budgets are all full.
func NewRetryBudgets() *RetryBudgets {
	return &RetryBudgets{budgets: make(map[RetryBudgetKey]int)}
}

// RecordFirst adds the unit that the first attempt of a request earns.
func (r *RetryBudgets) RecordFirst(k RetryBudgetKey) {
	b, found := r.budgets[k]
	if !found {
		return // a full budget is not stored
	}
	if b++; b >= retryBurst {
		delete(r.budgets, k)
		return
	}
	r.budgets[k] = b
}

// TakeRetry takes one retry from a budget and returns the delay before it. number is
// 1 for the first retry of a request. TakeRetry reports false if the budget is used
// up, or if the delay and the expected time of the attempt reach beyond the deadline.
func (r *RetryBudgets) TakeRetry(now time.Time, random *rand.Rand, k RetryBudgetKey, number int, deadline time.Time, expected time.Duration) (time.Duration, bool) {
	delay := RetryDelay(random, number)
	if now.Add(delay + expected).After(deadline) {
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

// evict removes budgets, the fullest first, until at most half of maxRetryBudgets are
// left. The fullest gain the least by starting full again.
func (r *RetryBudgets) evict() {
	for _, minimum := range []int{2 * retryCost, retryCost, 0} {
		for k, b := range r.budgets {
			if b >= minimum {
				delete(r.budgets, k)
			}
		}
		if len(r.budgets) <= maxRetryBudgets/2 {
			return
		}
	}
}

// RetryDelay returns the delay before a retry, of which number is 1 for the first. It
// is uniform between half and one and a half of a base that starts at RetryBaseDelay
// and doubles up to RetryMaxDelay.
func RetryDelay(random *rand.Rand, number int) time.Duration {
	base := min(RetryBaseDelay<<min(max(number-1, 0), 10), RetryMaxDelay)
	return base/2 + time.Duration(random.Int64N(int64(base)))
}
