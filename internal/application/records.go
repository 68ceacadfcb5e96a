package application

import (
	"maps"
	"sync"
)

// A Record is the record of the calls with one idempotency key.
type Record struct {
	Fence uint64 `json:"fence,omitempty"` // highest fencing token of a call
	Runs  int    `json:"runs"`            // number of runs
	Sum   string `json:"sum"`             // hash of the body of the last run
}

// A Records holds the bookings, payments and pledges of one pool, whose fakes
// share it. The zero value is empty.
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

// RunsWithoutKey returns the number of runs of calls without an idempotency key.
func (r *Records) RunsWithoutKey() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.runsWithoutKey
}

// raiseFence records the fencing token of a call. It reports whether no earlier
// call with the key had a higher one.
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

// recordRun records one run of a call. If once is set, it ignores a key that has
// already run.
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

// set stores a record. The mutex is held.
func (r *Records) set(key string, e Record) {
	if r.records == nil {
		r.records = map[string]Record{}
	}
	r.records[key] = e
}
