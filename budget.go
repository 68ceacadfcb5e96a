package persimmoncart

import "time"

// Budgets bounds the load that repeated attempts add.
type Budgets interface {
	// First counts a first attempt, which earns budget for later ones.
	First(route RouteName, account AccountID)
	// Hedge takes one hedge from the budget and reports whether it allows one.
	Hedge(route RouteName, account AccountID) bool
	// HedgeDelay returns the time to wait for an answer before a hedge is sent;
	// zero if too little is known about the pool.
	HedgeDelay(pool PoolName) time.Duration
	// Latency reports how long an answered call to a pool took.
	Latency(pool PoolName, latency time.Duration)
	// Retry takes one retry from the budget and reports whether it allows one.
	Retry(route RouteName, account AccountID) bool
}

// Limits bounds the requests and tokens of each account on this instance.
type Limits interface {
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
