package forward

import (
	"context"
	"sync"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

// admissionPollPeriod is the time between two looks for a place that another instance's
// request may have left.
const admissionPollPeriod = 60 * time.Millisecond

// A admissionQueue lets waiting generations of one pool try for a place, one at a time.
type admissionQueue struct {
	timer persimmoncart.Timer

	mutex   sync.Mutex
	polling bool
	turns   map[*policy.Waiting]chan struct{}
	waiting policy.Waitlist
}

// Wait waits until it is the request's turn to try for a place, or ctx ends.
func (q *admissionQueue) Wait(ctx context.Context, entry *policy.Waiting) {
	turn := make(chan struct{}, 1)
	q.mutex.Lock()
	if q.turns == nil {
		q.turns = make(map[*policy.Waiting]chan struct{})
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
	select {
	case <-ctx.Done():
	case <-turn:
	}
}

// WakeNext lets the request that goes first try.
func (q *admissionQueue) WakeNext() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	entry := q.waiting.Next(q.timer.Now())
	if entry == nil {
		return
	}
	q.waiting.Remove(entry)
	q.turns[entry] <- struct{}{} // has room for one, and is sent to once
	delete(q.turns, entry)
}

// schedulePoll keeps looking for places while requests wait; the mutex is held.
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
