package claim

import (
	"sync"

	"github.com/persimmoncart/persimmoncart"
)

// An unsettled is a bounded queue of settlements that wait for the store. When
// it is full the oldest goes.
type unsettled struct {
	mutex sync.Mutex
	queue []persimmoncart.Settlement
}

// add appends s and reports whether the oldest settlement was dropped for it.
func (u *unsettled) add(s persimmoncart.Settlement) (dropped bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.queue = append(u.queue, s)
	if len(u.queue) > maxUnsettled {
		u.queue = u.queue[1:]
		return true
	}
	return false
}

// len returns the number of settlements that wait.
func (u *unsettled) len() int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return len(u.queue)
}

// take removes and returns the oldest settlement.
func (u *unsettled) take() (persimmoncart.Settlement, bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if len(u.queue) == 0 {
		return persimmoncart.Settlement{}, false
	}
	s := u.queue[0]
	u.queue = u.queue[1:]
	return s, true
}
