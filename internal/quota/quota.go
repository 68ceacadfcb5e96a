// Package quota decides about the rate limits of accounts over all instances. It has no
// I/O and reads no clock: package quotanet carries its messages.
//
// An account's limit is held by a few instances, its holders, which every instance finds
// by rendezvous hashing over the instances' heartbeat records (Ring). Each holder has an
// equal share of the limit, as a token bucket (holder). An instance that needs units asks
// a holder for a batch (asker), serves requests from it, and drops what is left when the
// batch expires. Instance puts the three together.
//
// At no time do more holders than shares grant units: see Ring. Start reading there, and
// docs/design/quotas.md for the design.
package quota

import (
	"math"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/rendezvous"
)

const (
	// MaxHolders is the number of instances that hold the limit of an account, each an
	// equal share; all instances if there are fewer.
	MaxHolders = 6
	// minTokens is the size of a holder's bucket of tokens that it has at least, if the
	// account's whole burst allows it. A bucket of few requests overflows between them, so
	// that the account could not use its limit. It is also how far one request may
	// overdraw a full bucket that is smaller than the request. Both together, times
	// MaxHolders, are less than the excess over a limit that is tolerated in a window.
	minTokens = 15_000
	// minRequests is the same for limits in requests.
	minRequests = 1
	// overage is the share of a limit by which use may exceed it within one window.
	overage = 0.1
	// maxBatchLife bounds the time for which a batch is valid.
	maxBatchLife = time.Second
)

// A Limit is the rate limit of an account.
type Limit struct {
	Burst float64 // units that may be used at once
	Least float64 // units that a holder's bucket has at least, up to Burst; see minTokens
	Rate  float64 // units a second
}

// LimitOf returns the limit of an account. It reports false for one without limits, whose
// rate is zero.
func LimitOf(a *persimmoncart.Account) (Limit, bool) {
	switch {
	case a.TokenRate > 0:
		return Limit{Burst: float64(a.TokenBurst), Least: minTokens, Rate: a.TokenRate}, true
	case a.Rate > 0:
		return Limit{Burst: float64(a.Burst), Least: minRequests, Rate: a.Rate}, true
	default:
		return Limit{}, false
	}
}

// capacity returns the size of the bucket of one of an account's holders.
func (l *Limit) capacity(shares int) float64 {
	return max(l.Burst/float64(shares), min(l.Burst, l.Least))
}

// Units returns what a request takes of its account's limit: its prompt and output
// tokens, Account.DefaultTokens if it does not state them, and 1 if the limit counts
// requests.
func Units(a *persimmoncart.Account, g *persimmoncart.GenerationSize) int {
	if a.TokenRate <= 0 {
		return 1
	}
	if g != nil && g.PromptTokens >= 0 && g.MaxOutputTokens >= 0 {
		tokens := min(g.PromptTokens, math.MaxInt32/2) + min(g.MaxOutputTokens, math.MaxInt32/2)
		if tokens > 0 {
			return tokens
		}
	}
	return max(1, a.DefaultTokens)
}

// Key returns the hash by which an account is known to holders.
func Key(id persimmoncart.AccountID) uint64 { return rendezvous.Hash(string(id)) }

// BatchLife returns how long a batch is valid after it was asked for, with limits that
// apply to a window. Units granted just before a window and used within it are covered by
// overage; the tenth that is left is for the time until the request reaches an endpoint.
func BatchLife(window time.Duration) time.Duration {
	return min(maxBatchLife, time.Duration(0.9*overage*float64(window)))
}
