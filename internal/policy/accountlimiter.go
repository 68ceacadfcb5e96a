package policy

import (
	"container/list"
	"time"

	"golang.org/x/time/rate"

	"github.com/persimmoncart/persimmoncart"
)

// Constants of account limits.
const (
	// DefaultLimitAccounts bounds the accounts that one instance remembers;
	// the one unused for longest is dropped first.
	DefaultLimitAccounts = 4096
	// tokenBurst is the time over which an account may save up its token rate.
	tokenBurst = 10 * time.Second
	// tokenBurstMinimum lets every account send the longest prompt.
	tokenBurstMinimum = 65536
)

// AccountLimiter enforces this instance's share of the rates of accounts.
//
// Callers reach instances at random, so each instance allows an equal share.
// An account that is new here starts at half a burst, so that a restart does
// not hand out a whole one.
type AccountLimiter struct {
	accounts    map[persimmoncart.AccountID]*list.Element
	maxAccounts int
	recent      *list.List // of *accountLimit, the most recently used first
}

// An accountBuckets is the state of one account.
type accountBuckets struct {
	id       persimmoncart.AccountID
	requests *rate.Limiter
	tokens   *rate.Limiter
}

// NewAccountLimiter returns Limits that remember at most limit accounts.
func NewAccountLimiter(limit int) *AccountLimiter {
	return &AccountLimiter{accounts: make(map[persimmoncart.AccountID]*list.Element), maxAccounts: limit, recent: list.New()}
}

// Allow takes one request of tokens prompt and output tokens. If the account is
// over its share it returns false and when the share allows the request.
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

// Len returns the number of remembered accounts.
func (l *AccountLimiter) Len() int { return len(l.accounts) }

// account returns the state of an account at its present share.
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

// setLimit changes a limiter whose share has changed.
func setLimit(now time.Time, r *rate.Limiter, limit rate.Limit, burst int) {
	if r.Limit() != limit {
		r.SetLimitAt(now, limit)
	}
	if r.Burst() != burst {
		r.SetBurstAt(now, burst)
	}
}

// takeTokens takes n from the limiter, or returns how long until it has them.
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
