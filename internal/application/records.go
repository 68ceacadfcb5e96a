package application

import (
	"maps"
	"sync"
)

// A Record is what a Records keeps about one idempotency key.
type Record struct {
	Fence uint64 `json:"fence,omitempty"` // highest fencing token seen
	Runs  int    `json:"runs"`            // how often the call ran
	Sum   string `json:"sum"`             // hash of the body of the last run
}

// A Records holds the bookings, payments and pledges of one pool. The replicas
// of the pool share it. The zero value is empty.
type Records struct {
	mutex          sync.Mutex
	records        map[string]Record
	runsWithoutKey int
}

// All returns a copy of the records by idempotency key.
func (r *Records) All() map[string]Record {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return maps.Clone(r.records)
}

// RunsWithoutKey returns how many calls without an idempotency key ran.
func (r *Records) RunsWithoutKey() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.runsWithoutKey
}

// raiseFence notes a fencing token. It reports whether none higher was seen for key.
func (r *Records) raiseFence(key string, fence uint64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e := r.records[key]
	if fence < e.Fence {
		return false
	}
	e.Fence = fence
	r.set(key, e)
	return true
}

// recordRun records one run of a call. If once is set, a key that ran before is left
// as it is.
func (r *Records) recordRun(key, sum string, once bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if key == "" {
		r.runsWithoutKey++
		return
	}
	e := r.records[key]
	if once && e.Runs > 0 {
		return
	}
	e.Runs++
	e.Sum = sum
	r.set(key, e)
}

// set stores a record; the mutex is held.
func (r *Records) set(key string, e Record) {
	if r.records == nil {
		r.records = map[string]Record{}
	}
	r.records[key] = e
}
