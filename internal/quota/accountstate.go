package quota

import (
	"math"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// A lot is what is left of one batch.
type lot struct {
	expires     time.Duration
	holder      persimmoncart.InstanceID
	incarnation persimmoncart.Incarnation
	units       int
}

// A slot is one holder of an account from the view of an asker. Times are since
// asker.started.
type slot struct {
	asked     bool          // it has replied
	holds     bool          // its last reply did not deny that it holds the account
	left      int           // units that it had left at leftAt
	leftAt    time.Duration // of the last reply
	member    *member
	notBefore time.Duration // it is not asked before
	refused   int           // units that callers were refused since it was asked last
	retryAt   time.Duration // when callers may come back, as it stated last
	saidNo    bool          // its last reply granted nothing
}

// expectedLeft returns the units that a holder has if no other instance asks it.
func (t *slot) expectedLeft(at time.Duration, limit Limit, shares int) float64 {
	capacity := limit.capacity(shares)
	if !t.asked {
		return capacity
	}
	return min(capacity, float64(t.left)+limit.Rate/float64(shares)*(at-t.leftAt).Seconds())
}

// An accountState is what an instance knows of an account that it serves.
type accountState struct {
	asking     uint64  // identifier of the ask in flight; zero for none
	backlog    float64 // units refused here since the last reply
	backlogAt  time.Duration
	batch      int     // units of the last reply
	demand     float64 // units a second, averaged
	demandAt   time.Duration
	generation uint64 // of the ring, when slots were set
	key        uint64
	limit      Limit // at the last request
	lots       []lot
	slots      []slot
	units      int // of the last request
	waiters    []*Waiter
	wakeAt     time.Duration // when Instance.Wake is due; zero for never
}

// expect counts units for the expected use of an account.
func (s *accountState) expect(at time.Duration, units int) {
	s.demand = s.demand*math.Exp(-(at-s.demandAt).Seconds()/demandSpan.Seconds()) + float64(units)/demandSpan.Seconds()
	s.demandAt = at
}

// countRefused counts units refused here, and returns the time that earlier ones add.
func (s *accountState) countRefused(at time.Duration, limit Limit, units int) time.Duration {
	s.backlog = max(0, s.backlog-limit.Rate*(at-s.backlogAt).Seconds())
	s.backlogAt = at
	wait := min(seconds(s.backlog/limit.Rate), maxRetryAfter)
	s.backlog += float64(units)
	for n := range s.slots {
		s.slots[n].refused = min(s.slots[n].refused+units, math.MaxInt32)
	}
	return wait
}

// drop drops batches that have expired, and returns the units that are left.
func (s *accountState) drop(at time.Duration) int {
	s.lots = slices.DeleteFunc(s.lots, func(l lot) bool { return l.units == 0 || l.expires <= at })
	left := 0
	for _, l := range s.lots {
		left += l.units
	}
	return left
}

// room returns when a holder that has no units now will probably have some;
// math.MaxInt64 if none has said so.
func (s *accountState) room(at time.Duration) time.Duration {
	first := time.Duration(math.MaxInt64)
	for n := range s.slots {
		if t := &s.slots[n]; t.holds && t.notBefore > at && t.member.silentUntil <= at {
			first = min(first, max(t.notBefore, t.retryAt))
		}
	}
	return first
}
