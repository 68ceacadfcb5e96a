package forward

import (
	"context"
	"sync"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
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
	turns   map[*policy.WaitlistEntry]chan struct{}
	waiting policy.Waitlist
}

// Wait waits until the request may try again to reserve an engine, its LatestStart has
// come, or ctx ends.
func (q *admissionQueue) Wait(ctx context.Context, entry *policy.WaitlistEntry) {
	turn := make(chan struct{}, 1)
	q.mutex.Lock()
	if q.turns == nil {
		q.turns = make(map[*policy.WaitlistEntry]chan struct{})
	}
	q.waiting.Add(entry)
	q.turns[entry] = turn
	q.schedulePoll()
	q.mutex.Unlock()
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

// WakeNext wakes the waiting request with the highest precedence, if there is one.
func (q *admissionQueue) WakeNext() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
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
