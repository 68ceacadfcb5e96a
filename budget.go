package persimmoncart

import "time"

// RetryBudgets bounds the load that repeated attempts add.
type RetryBudgets interface {
	// HedgeDelay counts a call to a pool and returns the time to wait for its
	// answer before a hedge is sent; zero if too little is known about the pool.
	HedgeDelay(pool PoolName) time.Duration
	// RecordFirst counts a first attempt, which earns budget for later ones.
	RecordFirst(route RouteName, account AccountID)
	// RecordLatency reports how long an answered call to a pool took.
	RecordLatency(pool PoolName, latency time.Duration)
	// TakeHedge takes one hedge from the budget of a pool and reports whether it
	// allows one.
	TakeHedge(pool PoolName) bool
	// TakeRetry takes one retry, number from 1, from the budget. It returns the pause
	// before it, and false if the budget is used up or the pause would reach
	// beyond the deadline.
	TakeRetry(route RouteName, account AccountID, number int, deadline time.Time) (pause time.Duration, ok bool)
}

// RateLimiter bounds the requests and tokens of each account on this instance.
type RateLimiter interface {
	// Allow takes one request with the given number of prompt and output tokens.
	// If the limit does not allow it, retry is the time after which it would.
	Allow(account *Account, tokens int) (retry time.Duration, ok bool)
}

// A BufferedTokenStream is a TokenStream that knows whether its next token has
// already arrived, so that its reader can write several tokens at once.
type BufferedTokenStream interface {
	TokenStream
	// Buffered reports whether Next returns without waiting.
	Buffered() bool
}
