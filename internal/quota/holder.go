package quota

import (
	"math"
	"time"
)

const (
	// minAskAgain and maxAskAgain bound the time that a holder without units states until
	// it is to be asked again. Without the lower bound, instances would ask again for each
	// request.
	minAskAgain = 20 * time.Millisecond
	maxAskAgain = 2 * time.Second
	// fillShare is the part of the time between room for a request and a full bucket that a
	// holder states as well. An account over its limit causes fewer questions then, and its
	// bucket does not overflow although nobody asks.
	fillShare = 0.5
	// notHolderPause is the time after which an instance that does not hold an account is
	// asked again. Instances know the records of the others within seconds.
	notHolderPause = 500 * time.Millisecond
	// backlogShare is the part of the units granted while callers are to come back that
	// goes to others, who have not been refused before.
	backlogShare = 0.75
	// maxRetryAfter bounds the time that is stated to refused callers. Callers do not wait
	// longer, so that those who are told so are not counted as coming back.
	maxRetryAfter = 10 * time.Second
)

// An Ask asks a holder for units of an account.
type Ask struct {
	Account uint64 // see Key
	ID      uint64
	Least   int // smallest useful number
	Refused int // units that callers were refused without a question since the last one
	Want    int
}

// A Reply answers an Ask. No unit is granted if there are fewer than Least.
type Reply struct {
	Account    uint64 // see Key
	Granted    int
	ID         uint64
	Left       int           // units that the holder has left
	Next       time.Duration // until it has room for the smallest useful number again
	NotHolder  bool          // the instance does not hold the account, and states nothing about it
	RetryAfter time.Duration // for callers whose request is refused
}

// A bucket is one holder's share of an account's limit.
type bucket struct {
	backlog float64 // units of refused callers who have not had room for them since
	level   float64 // negative after a request larger than the bucket
	shares  int     // when it was updated
	updated time.Time
}

// A holder grants units of the accounts that its instance holds.
type holder struct {
	buckets map[uint64]bucket                              // by Key
	granted func(now time.Time, account uint64, units int) // called with each grant, and with negative units for what is given back; nil outside tests
	ring    *Ring
}

// ask decides about an Ask for an account with the given limit.
func (h *holder) ask(now time.Time, limit Limit, q Ask) Reply {
	shares, holds := h.ring.share(now, q.Account)
	if !holds {
		return Reply{Account: q.Account, ID: q.ID, Next: notHolderPause, NotHolder: true}
	}
	b := h.bucket(now, limit, shares, q.Account)
	capacity, rate := limit.capacity(shares), limit.Rate/float64(shares)
	least := float64(max(q.Least, 1))
	need := min(least, capacity)
	reply := Reply{Account: q.Account, ID: q.ID}
	fits := least <= capacity+limit.Least
	b.count(float64(q.Refused)/float64(shares), rate)
	switch {
	case fits && b.level >= need-rounding:
		// Half of the rest is left to the other instances.
		batches := max(1, math.Floor(min(float64(q.Want), b.level/2)/least))
		b.level -= batches * least
		reply.Granted = int(batches * least)
		if b.backlog > 0 {
			b.count(backlogShare*batches*least, rate)
		}
		if missing := need - b.level; missing > rounding {
			reply.Next = min(max(seconds(missing/rate), minAskAgain), maxAskAgain)
		}
	case fits:
		wait, alone := seconds((need-b.level+b.backlog)/rate), seconds((need-b.level)/rate)
		reply.RetryAfter = min(wait, maxRetryAfter)
		reply.Next = min(max(min(wait, alone+seconds(fillShare*(capacity-need)/rate)), minAskAgain), maxAskAgain)
		b.count(least/float64(shares), rate)
	default:
		reply.RetryAfter, reply.Next = maxRetryAfter, maxAskAgain
	}
	reply.Left = int(max(0, b.level))
	if h.granted != nil {
		h.granted(now, q.Account, reply.Granted)
	}
	h.buckets[q.Account] = b
	return reply
}

// giveBack returns units to the bucket that they came from.
func (h *holder) giveBack(now time.Time, limit Limit, key uint64, units int) {
	shares, holds := h.ring.share(now, key)
	if !holds || units <= 0 {
		return
	}
	b := h.bucket(now, limit, shares, key)
	b.level = min(b.level+float64(units), limit.capacity(shares))
	if h.granted != nil {
		h.granted(now, key, -units)
	}
	h.buckets[key] = b
}

// rounding is the error of a level that is ignored, units.
const rounding = 1e-6

// bucket returns the bucket of an account at the present time.
func (h *holder) bucket(now time.Time, limit Limit, shares int, key uint64) bucket {
	b, found := h.buckets[key]
	if !found {
		b.updated = h.ring.emptySince
	} else if b.shares > shares && b.updated.Before(h.ring.emptySince) {
		b.refill(h.ring.emptySince, limit, b.shares) // the larger share begins only then
	}
	b.refill(now, limit, shares)
	return b
}

// refill adds what one of a number of shares has got up to a time.
func (b *bucket) refill(now time.Time, limit Limit, shares int) {
	refilled := limit.Rate / float64(shares) * now.Sub(b.updated).Seconds()
	b.level = min(b.level+refilled, limit.capacity(shares))
	b.backlog = max(0, b.backlog-refilled)
	b.shares, b.updated = shares, now
}

// count adds the units of refused callers who were told to come back.
func (b *bucket) count(units, rate float64) {
	if seconds((b.backlog+units)/rate) < maxRetryAfter {
		b.backlog += units
	}
}

// prune drops the buckets that this instance does not hold, before it may take them over.
func (h *holder) prune(now time.Time) {
	for key := range h.buckets {
		if _, holds := h.ring.share(now, key); !holds {
			delete(h.buckets, key)
		}
	}
}

// seconds returns a number of seconds as a duration.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, math.MaxInt32) * float64(time.Second))
}
