package policy

import (
	"container/list"
	"time"

	"golang.org/x/time/rate"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// DefaultMaxLimitedAccounts is the largest number of accounts whose limiters one
	// instance keeps. The least recently used one is removed first.
	DefaultMaxLimitedAccounts = 4096
	// tokenBurst is the burst of the token rate, as the time in which it refills.
	tokenBurst = 10 * time.Second
	// tokenBurstMinimum is the smallest burst in tokens. It allows the longest prompt
	// to every account.
	tokenBurstMinimum = 65536
)

// An AccountLimiter enforces this instance's share of the rate limits of accounts.
//
// Callers reach instances at random, so that each instance allows an equal share. A
// new account starts at half a burst, so that a restart does not grant a whole one
// again.
type AccountLimiter struct {
	accounts    map[persimmoncart.AccountID]*list.Element
	maxAccounts int
	recent      *list.List // of *accountBuckets, most recently used first
}

// accountBuckets are the token buckets of one account.
type accountBuckets struct {
	id       persimmoncart.AccountID
	requests *rate.Limiter
	tokens   *rate.Limiter
}

// NewAccountLimiter returns an AccountLimiter that keeps at most maxAccounts accounts.
func NewAccountLimiter(maxAccounts int) *AccountLimiter {
	return &AccountLimiter{accounts: make(map[persimmoncart.AccountID]*list.Element), maxAccounts: maxAccounts, recent: list.New()}
}

// Allow takes one request with the given number of prompt and output tokens from the
// limits of the account. If the account is over its share, it returns false and the
// time after which the share allows the request.
func (l *AccountLimiter) Allow(now time.Time, account *persimmoncart.Account, instances, tokens int) (bool, time.Duration) {
	a := l.account(now, account, instances)
	if ok, wait := takeTokens(now, a.requests, 1); !ok {
		return false, wait
	}
	if account.TokenRate <= 0 {
		return true, 0
	}
	ok, wait := takeTokens(now, a.tokens, min(tokens, a.tokens.Burst()))
	return ok, wait
}

// Len returns the number of accounts kept.
func (l *AccountLimiter) Len() int { return len(l.accounts) }

// account returns the limiters of an account, set to the present share: one in
// instances.
func (l *AccountLimiter) account(now time.Time, account *persimmoncart.Account, instances int) *accountBuckets {
	share := 1 / float64(max(instances, 1))
	requests, requestBurst := rate.Limit(account.Rate*share), max(int(float64(account.Burst)*share), 1)
	tokens := rate.Limit(account.TokenRate * share)
	burst := max(int(account.TokenRate*share*tokenBurst.Seconds()), tokenBurstMinimum)
	if e, found := l.accounts[account.Name]; found {
		l.recent.MoveToFront(e)
		a := e.Value.(*accountBuckets)
		setLimit(now, a.requests, requests, requestBurst)
		setLimit(now, a.tokens, tokens, burst)
		return a
	}
	if len(l.accounts) >= l.maxAccounts {
		oldest := l.recent.Back()
		delete(l.accounts, oldest.Value.(*accountBuckets).id)
		l.recent.Remove(oldest)
	}
	a := &accountBuckets{
		id:       account.Name,
		requests: halfFull(now, requests, requestBurst),
		tokens:   halfFull(now, tokens, burst),
	}
	l.accounts[account.Name] = l.recent.PushFront(a)
	return a
}

// halfFull returns a limiter that starts at half its burst, rounded up.
func halfFull(now time.Time, limit rate.Limit, burst int) *rate.Limiter {
	r := rate.NewLimiter(limit, burst)
	r.AllowN(now, burst/2)
	return r
}

// setLimit sets the rate and burst of a limiter where they differ.
func setLimit(now time.Time, r *rate.Limiter, limit rate.Limit, burst int) {
	if r.Limit() != limit {
		r.SetLimitAt(now, limit)
	}
	if r.Burst() != burst {
		r.SetBurstAt(now, burst)
	}
}

// takeTokens takes n tokens from the limiter, or returns how long it takes until they
// are available.
func takeTokens(now time.Time, r *rate.Limiter, n int) (bool, time.Duration) {
	reservation := r.ReserveN(now, n)
	if !reservation.OK() {
		return false, maxRetryAfter
	}
	wait := reservation.DelayFrom(now)
	if wait > 0 {
		reservation.CancelAt(now)
		return false, wait
	}
	return true, 0
}
