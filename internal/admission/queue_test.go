package admission_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/internal/admission"
)

// Guards against an overload in which every slot goes to a request that is already
// late: serving in the order of arrival leaves all of them late.
func TestQueueOverload(t *testing.T) {
	const (
		inTime   = 500 * time.Millisecond
		interval = 20 * time.Millisecond // between arrivals
		slotFree = 40 * time.Millisecond // between free slots: the load is twice the capacity
		length   = 4 * time.Second
	)
	start := time.Unix(0, 0)
	var l admission.Queue
	served, late := 0, 0
	for at := time.Duration(0); at < length; at += interval {
		now := start.Add(at)
		l.Add(&admission.Entry{TargetStart: now.Add(inTime), Arrived: now, LatestStart: now.Add(length)})
		if at%slotFree != 0 {
			continue
		}
		w := l.Next(now)
		l.Remove(w)
		served++
		if w.Late(now) {
			late++
		}
	}
	assert.Equal(t, late, 0, "late requests of %d served", served)
	assert.Equal(t, l.Len(), int(length/interval)-served)
}

// Guards against late requests that are not served after an overload, and against an
// order that starves the oldest of them.
func TestQueueLateInOrder(t *testing.T) {
	now := time.Unix(100, 0)
	var l admission.Queue
	older := &admission.Entry{TargetStart: now.Add(-2 * time.Second), Arrived: now.Add(-3 * time.Second)}
	newer := &admission.Entry{TargetStart: now.Add(-time.Second), Arrived: now.Add(-2 * time.Second)}
	fresh := &admission.Entry{TargetStart: now.Add(time.Second), Arrived: now}
	for _, w := range []*admission.Entry{newer, fresh, older} {
		l.Add(w)
	}
	for _, want := range []*admission.Entry{fresh, older, newer} {
		got := l.Next(now)
		assert.Assert(t, got == want)
		l.Remove(got)
	}
	assert.Assert(t, l.Next(now) == nil)
}

// Guards against late requests that take the last slot from one that can be in time.
func TestRequiredFreeTokens(t *testing.T) {
	var q admission.Queue
	now := time.Unix(100, 0)
	fresh, late := admission.Entry{TargetStart: now.Add(time.Second)}, admission.Entry{TargetStart: now.Add(-time.Second)}
	assert.Equal(t, q.RequiredFreeTokens(now, &fresh, 4000), 4000)
	assert.Equal(t, q.RequiredFreeTokens(now, &late, 4000), 8000)
}
