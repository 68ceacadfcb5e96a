package forward

import (
	"context"
	"sync"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/admission"
)

// admissionPollPeriod is the time between two wake-ups while requests wait: a
// request of another instance may have freed capacity.
const admissionPollPeriod = 60 * time.Millisecond

// An admissionQueue holds the generations that wait for a decode engine of one
// pool and wakes them one at a time.
type admissionQueue struct {
	timer persimmoncart.Timer

	mutex   sync.Mutex
	polling bool
	turns   map[*admission.Entry]chan struct{}
	waiting admission.Queue
}

// An admissionTurn states what a request may do at its turn.
type admissionTurn struct {
	freeTokens int     // that an engine must have free
	reserved   float64 // share of the engines that are left to more urgent requests
	tries      int     // engines that it may ask
}

// Enter takes note of a request that has arrived. It reports false if the request has no
// prospect of an engine in time. Leave has to follow.
func (q *admissionQueue) Enter(entry *admission.Entry) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.waiting.Enter(entry)
	return !q.waiting.Hopeless(q.timer.Now(), entry)
}

// Leave takes note that a request has found an engine, or that it is given up.
func (q *admissionQueue) Leave(entry *admission.Entry, served bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.waiting.Leave(entry, served)
}

// Observe records whether a request found an engine with room at its first attempt.
func (q *admissionQueue) Observe(room bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.waiting.Observe(q.timer.Now(), room)
}

// Pressure returns the share of recent requests that found no room at once.
func (q *admissionQueue) Pressure() float64 {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.waiting.Pressure(q.timer.Now())
}

// Turn returns what a request that itself needs tokens may do at its turn.
func (q *admissionQueue) Turn(entry *admission.Entry, tokens int) admissionTurn {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.timer.Now()
	return admissionTurn{
		freeTokens: q.waiting.RequiredFreeTokens(now, entry, tokens),
		reserved:   q.waiting.Reserved(now, entry),
		tries:      q.waiting.Tries(now, entry),
	}
}

// Arrive lets a request that has arrived wait for its turn if others wait that may go before
// it, and starts a round of turns: an arrival is one more occasion to ask.
func (q *admissionQueue) Arrive(ctx context.Context, entry *admission.Entry) {
	q.mutex.Lock()
	if !q.waiting.Weighted || q.waiting.Len() == 0 {
		q.mutex.Unlock()
		return
	}
	turn := q.add(entry)
	q.waiting.StartRound()
	q.wakeNext()
	q.mutex.Unlock()
	q.await(ctx, entry, turn)
}

// Wait waits until the request may try again to reserve an engine, its LatestStart has
// come, or ctx ends.
func (q *admissionQueue) Wait(ctx context.Context, entry *admission.Entry) {
	q.mutex.Lock()
	turn := q.add(entry)
	if q.waiting.HadTurn(entry) {
		q.wakeNext()
	}
	q.mutex.Unlock()
	q.await(ctx, entry, turn)
}

// add adds a request and returns the channel that states its turn. The caller holds the
// mutex.
func (q *admissionQueue) add(entry *admission.Entry) <-chan struct{} {
	turn := make(chan struct{}, 1)
	if q.turns == nil {
		q.turns = make(map[*admission.Entry]chan struct{})
	}
	q.waiting.Add(entry)
	q.turns[entry] = turn
	q.schedulePoll()
	return turn
}

// await waits for the turn of a request that was added, its LatestStart or the end of ctx.
func (q *admissionQueue) await(ctx context.Context, entry *admission.Entry, turn <-chan struct{}) {
	defer func() {
		q.mutex.Lock()
		q.waiting.Remove(entry)
		delete(q.turns, entry)
		q.mutex.Unlock()
	}()
	expired := make(chan time.Time, 1)
	defer q.timer.After(entry.LatestStart.Sub(q.timer.Now()), func(now time.Time) { expired <- now })()
	select {
	case <-ctx.Done():
	case <-expired:
	case <-turn:
	}
}

// WakeNext starts a round of turns: it wakes the waiting request with the highest
// precedence, if there is one.
func (q *admissionQueue) WakeNext() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.waiting.StartRound()
	q.wakeNext()
}

// wakeNext wakes the request that is next in the round, if there is one. The caller holds
// the mutex.
func (q *admissionQueue) wakeNext() {
	entry := q.waiting.Next(q.timer.Now())
	if entry == nil {
		return
	}
	q.waiting.Remove(entry)
	q.turns[entry] <- struct{}{} // does not block: the channel buffers one, and entry is sent to once
	delete(q.turns, entry)
}

// schedulePoll calls WakeNext every admissionPollPeriod while requests wait. The
// caller holds the mutex.
func (q *admissionQueue) schedulePoll() {
	if q.polling {
		return
	}
	q.polling = true
	q.timer.After(admissionPollPeriod, func(time.Time) {
		q.mutex.Lock()
		q.polling = false
		if q.waiting.Len() > 0 {
			q.schedulePoll()
		}
		q.mutex.Unlock()
		q.WakeNext()
	})
}
