package claim

import (
	"sync"

	"github.com/persimmoncart/persimmoncart"
)

// A settlementQueue is a queue of up to maxUnsettled settlements that wait for the
// store. When it is full, the oldest is dropped.
type settlementQueue struct {
	mutex sync.Mutex
	queue []persimmoncart.Settlement
}

// add appends s and reports whether it dropped the oldest settlement.
func (q *settlementQueue) add(s persimmoncart.Settlement) (dropped bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.queue = append(q.queue, s)
	if len(q.queue) > maxUnsettled {
		q.queue = q.queue[1:]
		return true
	}
	return false
}

// len returns the number of queued settlements.
func (q *settlementQueue) len() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.queue)
}

// take removes and returns the oldest settlement. It returns false if the queue is
// empty.
func (q *settlementQueue) take() (persimmoncart.Settlement, bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.queue) == 0 {
		return persimmoncart.Settlement{}, false
	}
	s := q.queue[0]
	q.queue = q.queue[1:]
	return s, true
}
