package timer

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

var _ persimmoncart.Timer = (*Virtual)(nil)

// A Virtual is a timer in virtual time, which advances only by calls of Advance,
// Step and Run.
//
// Callbacks run in the goroutine of that call, one after the other, ordered by due
// time and then by registration, so that a run is deterministic.
type Virtual struct {
	events   eventHeap
	mutex    sync.Mutex
	now      time.Time
	sequence uint64
}

// NewVirtual returns a Virtual with the given start time.
func NewVirtual(start time.Time) *Virtual {
	return &Virtual{now: start}
}

// Advance moves time forward by d and runs the callbacks that come due.
func (v *Virtual) Advance(d time.Duration) {
	v.Run(v.Now().Add(d))
}

// After implements persimmoncart.Timer.
func (v *Virtual) After(d time.Duration, f func(time.Time)) (stop func()) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	e := v.add(max(d, 0), f)
	return func() { v.remove(e) }
}

// Now implements persimmoncart.Timer.
func (v *Virtual) Now() time.Time {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.now
}

// Run runs all callbacks due up to and including end, and sets the time to end.
func (v *Virtual) Run(end time.Time) {
	for v.step(end) {
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.now.Before(end) {
		v.now = end
	}
}

// Sleep implements persimmoncart.Timer. It returns only if another goroutine
// advances the time or ctx ends.
func (v *Virtual) Sleep(ctx context.Context, d time.Duration) error {
	due := make(chan struct{})
	stop := v.After(d, func(time.Time) { close(due) })
	defer stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-due:
		return nil
	}
}

// Step advances the time to the next callback and runs it. It reports whether there
// was one.
func (v *Virtual) Step() bool {
	return v.step(time.Time{})
}

// Subscribe implements persimmoncart.Timer.
func (v *Virtual) Subscribe(period time.Duration, f func(time.Time)) (stop func()) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	var current *event
	stopped := false
	var tick func(time.Time)
	tick = func(now time.Time) {
		v.mutex.Lock()
		if stopped {
			v.mutex.Unlock()
			return
		}
		current = v.add(period, tick)
		v.mutex.Unlock()
		f(now)
	}
	current = v.add(period, tick)
	return func() {
		v.mutex.Lock()
		stopped = true
		e := current
		v.mutex.Unlock()
		v.remove(e)
	}
}

// add registers f to run after d. The caller holds the mutex.
func (v *Virtual) add(d time.Duration, f func(time.Time)) *event {
	v.sequence++
	e := &event{due: v.now.Add(d), f: f, sequence: v.sequence}
	heap.Push(&v.events, e)
	return e
}

// remove removes e from the heap if it has not run yet.
func (v *Virtual) remove(e *event) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if e.index >= 0 {
		heap.Remove(&v.events, e.index)
	}
}

// step runs the next callback if it is due at or before end; a zero end is no
// limit. It reports whether it ran one.
func (v *Virtual) step(end time.Time) bool {
	v.mutex.Lock()
	if len(v.events) == 0 || (!end.IsZero() && v.events[0].due.After(end)) {
		v.mutex.Unlock()
		return false
	}
	e := heap.Pop(&v.events).(*event)
	if v.now.Before(e.due) {
		v.now = e.due
	}
	now := v.now
	v.mutex.Unlock()
	e.f(now)
	return true
}

// An event is one registered callback.
type event struct {
	due      time.Time
	f        func(time.Time)
	index    int // position in the heap; negative once removed
	sequence uint64
}

// An eventHeap is a heap of events, ordered by due time and then by registration.
type eventHeap []*event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if h[i].due.Equal(h[j].due) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].due.Before(h[j].due)
}

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	e.index = -1
	return e
}

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) {
	e := x.(*event)
	e.index = len(*h)
	*h = append(*h, e)
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}
