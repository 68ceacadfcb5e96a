package claim

import (
	"sync"

	"github.com/persimmoncart/persimmoncart"
)

// An settlementQueue is a bounded queue of settlements that wait for the store. When
// it is full the oldest goes.
type settlementQueue struct {
	mutex sync.Mutex
	queue []persimmoncart.Settlement
}

// add appends s and reports whether the oldest settlement was dropped for it.
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

// len returns the number of settlements that wait.
func (q *settlementQueue) len() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.queue)
}

// take removes and returns the oldest settlement.
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
