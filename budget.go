package persimmoncart

import "time"

// RetryBudgets bounds the load that retries and hedged requests add.
type RetryBudgets interface {
	// HedgeDelay counts a call to a pool and returns the time to wait for its
	// response before a hedge is sent; zero if the pool has too few recorded
	// latencies for a hedge.
	HedgeDelay(pool PoolName) time.Duration
	// RecordFirst counts a first attempt, which adds to the budget for retries.
	RecordFirst(route RouteName, account AccountID)
	// RecordLatency records the latency of an answered call to a pool.
	RecordLatency(pool PoolName, latency time.Duration)
	// TakeHedge takes one hedge from the budget of a pool and reports whether the
	// budget allowed it.
	TakeHedge(pool PoolName) bool
	// TakeRetry takes one retry from the budget; number is 1 for the first retry
	// of a request. It returns the pause before the retry, and false if the budget
	// is used up or the pause would reach beyond the deadline.
	TakeRetry(route RouteName, account AccountID, number int, deadline time.Time) (pause time.Duration, ok bool)
}

// A RateLimiter limits the request and token rates of each account on this instance.
type RateLimiter interface {
	// Allow counts one request with the given number of prompt and output tokens.
	// If the limit does not allow it, retry is the time after which it would.
	Allow(account *Account, tokens int) (retry time.Duration, ok bool)
}

// A BufferedTokenStream is a TokenStream that reports whether its next token has
// already arrived, so that its reader can write several tokens at once.
type BufferedTokenStream interface {
	TokenStream
	// Buffered reports whether the next call of Next returns without waiting.
	Buffered() bool
}
