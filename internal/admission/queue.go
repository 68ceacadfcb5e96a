package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

const (
	// lateTokensFactor is the multiple of its own tokens that must be free for a late
	// request to start. It leaves room for requests that can still be in time.
	lateTokensFactor = 2
	// lateTurnPause is the pause between two turns of a late request under full pressure.
	lateTurnPause = 800 * time.Millisecond
	// urgentTries, ordinaryTries and lateTries are how many engines a request asks at each
	// of its turns. What an engine frees goes to whoever asks first, of all instances.
	urgentTries   = 64
	ordinaryTries = 12
	lateTries     = 1
	// urgentShare is the largest share of engines that are kept for urgent requests. The
	// share rises in proportion to the pressure, and is reached at 1/urgentShareRise. It is
	// at most urgentShareFactor times the share of urgent requests.
	urgentShare       = 0.17
	urgentShareRise   = 1.5
	urgentShareFactor = 4
	// refusePressure is the pressure from which the most expensive requests are refused
	// at once: cheaper ones take all room before their time is over. The refused share of
	// the requests is refuseFactor times the pressure above refusePressure.
	refusePressure = 0.4
	refuseFactor   = 0.7
	// exemptShare is the share of requests that are not refused for their size, so that
	// no size is starved.
	exemptShare = 0.35
	// equalWeight is the weight of each account in the fair shares. They are charged what
	// is served, not what is asked for: most requests of an account that asks for too much
	// are refused, and tags that count them would take its share as well.
	equalWeight = 1
)

// An Entry is a request that needs memory of a decode engine.
type Entry struct {
	Account     persimmoncart.AccountID // empty for none
	Arrived     time.Time               // when the request arrived
	Cost        float64                 // memory that the request takes times the time for which it does so, in any unit
	Draw        float64                 // from 0 to 1, uniformly distributed over requests
	LatestStart time.Time               // a later start is of no use to the caller
	Priority    int                     // 0 is the most urgent
	TargetStart time.Time               // latest start that still meets the target for the first token

	nextTurn time.Time // earliest next turn of a late request
	round    int       // of its last turn
	rank     float64   // share of recent requests with a lower cost; zero if the size does not count
	urgent   bool      // more urgent than most
}

// Late reports whether a start at now is later than TargetStart.
func (e *Entry) Late(now time.Time) bool { return now.After(e.TargetStart) }

// Urgent reports whether the request is more urgent than most.
func (e *Entry) Urgent() bool { return e.urgent }

// A Queue orders requests that wait for room at an engine. In an overload, more requests
// arrive than can start in time. Then the newest request that can still be in time
// goes first, because the oldest one would take its room for a late response. Late
// requests follow in the order of arrival once the overload is over.
//
// A Weighted queue also tells requests apart:
//
//   - More urgent requests go first. Since other instances compete for the same engines,
//     urgent ones ask more engines at each turn, and some engines are left to them.
//   - Accounts of equal priority get fair shares of what their served requests cost. Within
//     an account, the request goes first that has to start first to be in time.
//   - Each request has one turn in a round of turns, so that the first one, which may be too
//     large for what is free, does not take the turns of all.
//   - Requests that would take much memory for long are refused at once while there is
//     room for few: several others are served in place of one.
type Queue struct {
	Weighted bool // set before use

	entries  []*Entry
	pressure Pressure
	ranks    CostRanks
	round    int                // of turns, from one
	shares   *policy.FairShares // nil before the first request
	urgency  Urgency
}

// Enter takes note of a request that has arrived, before the other methods. Leave has to
// follow.
func (q *Queue) Enter(e *Entry) {
	if !q.Weighted {
		return
	}
	if q.shares == nil {
		q.shares = policy.NewFairShares(policy.DefaultMaxFairAccounts)
	}
	q.shares.Start(e.Account, equalWeight, 0) // charged when it is served
	e.urgent = q.urgency.Add(e.Priority)
	if rank := q.ranks.Add(e.Cost); e.Draw >= exemptShare && !e.urgent {
		e.rank = rank
	}
}

// Leave takes note that a request has found room, or that it is given up.
func (q *Queue) Leave(e *Entry, served bool) {
	if !q.Weighted {
		return
	}
	if served {
		q.shares.Charge(e.Account, e.Cost)
	}
	q.shares.Drop(e.Account, 0)
}

// Hopeless reports whether a request has no prospect of room in time, so that it is
// refused at once.
func (q *Queue) Hopeless(now time.Time, e *Entry) bool {
	return q.Weighted && e.rank > 1-refuseFactor*(q.pressure.Value(now)-refusePressure)
}

// Observe records whether a request found room at its first attempt.
func (q *Queue) Observe(now time.Time, room bool) { q.pressure.Observe(now, room) }

// Pressure returns the share of recent requests that found no room at once.
func (q *Queue) Pressure(now time.Time) float64 { return q.pressure.Value(now) }

// RequiredFreeTokens returns how many tokens an engine must have free to take the
// request, which itself needs tokens.
func (q *Queue) RequiredFreeTokens(now time.Time, e *Entry, tokens int) int {
	if e.Late(now) && !q.Weighted {
		return lateTokensFactor * tokens
	}
	return tokens // reserving more for a moment would take room from others
}

// Reserved returns the share of the engines that a request leaves to urgent ones.
func (q *Queue) Reserved(now time.Time, e *Entry) float64 {
	if !q.Weighted || e.urgent {
		return 0
	}
	return min(urgentShare*min(1, urgentShareRise*q.pressure.Value(now)), urgentShareFactor*q.urgency.Share())
}

// Tries returns how many engines a request may ask at each of its turns.
func (q *Queue) Tries(now time.Time, e *Entry) int {
	switch {
	case !q.Weighted:
		return math.MaxInt
	case e.Late(now):
		return lateTries
	case e.urgent:
		return urgentTries
	default:
		return ordinaryTries
	}
}

// Add adds a request that waits.
func (q *Queue) Add(e *Entry) { q.entries = append(q.entries, e) }

// Len returns the number of requests.
func (q *Queue) Len() int { return len(q.entries) }

// StartRound starts a round of turns, because an engine may have room.
func (q *Queue) StartRound() { q.round++ }

// HadTurn reports whether the request has had its turn in this round, so that the next one
// goes if it has found no room.
func (q *Queue) HadTurn(e *Entry) bool { return q.Weighted && e.round > 0 && e.round == q.round }

// Next returns the request that goes first, or nil if there is none.
func (q *Queue) Next(now time.Time) *Entry {
	var next *Entry
	for _, e := range q.entries {
		if q.HadTurn(e) || q.Weighted && e.Late(now) && now.Before(e.nextTurn) {
			continue
		}
		if next == nil || q.compare(now, e, next) < 0 {
			next = e
		}
	}
	if next != nil && q.Weighted {
		next.round = q.round
		next.nextTurn = now.Add(time.Duration(q.pressure.Value(now) * float64(lateTurnPause)))
	}
	return next
}

// Remove removes a request that waits no longer.
func (q *Queue) Remove(e *Entry) {
	q.entries = slices.DeleteFunc(q.entries, func(o *Entry) bool { return o == e })
}

// compare returns a negative number if a goes before b.
func (q *Queue) compare(now time.Time, a, b *Entry) int {
	switch late := a.Late(now); {
	case late != b.Late(now):
		if late {
			return 1
		}
		return -1
	case q.Weighted && a.Priority != b.Priority:
		return cmp.Compare(a.Priority, b.Priority)
	case late:
		return a.Arrived.Compare(b.Arrived)
	case q.Weighted:
		return cmp.Or(cmp.Compare(q.shares.Tag(a.Account), q.shares.Tag(b.Account)), a.TargetStart.Compare(b.TargetStart))
	default:
		return b.Arrived.Compare(a.Arrived)
	}
}
