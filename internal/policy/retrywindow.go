package policy

import "time"

const (
	// retryBuckets is the number of parts that a RetryWindow counts in.
	retryBuckets = 10
	// retryHeadroom is the part of the shared budget that instances use, since
	// their windows slide at other moments than the one that counts.
	retryHeadroom = 0.8
)

// A RetryWindow bounds the repeated sends to one pool to a share of the requests
// for it. Each instance takes the share of its own requests, so that all of them
// together stay below the shared budget without any message. It answers a load
// where many endpoints fail at once and every failure would be sent again.
type RetryWindow struct {
	Ratio float64       // repeated sends for each request
	Slack int           // repeated sends beyond it
	Span  time.Duration // length of the window

	base    time.Time // of the numbers of parts; on the monotonic clock
	buckets [2 * retryBuckets]retryBucket
}

// A retryBucket counts one part of a window.
type retryBucket struct {
	number   int64 // of the part, from 1
	repeated int
	requests int
}

// Request counts a request.
func (w *RetryWindow) Request(now time.Time) { w.bucket(now).requests++ }

// Repeat takes one repeated send and reports whether the budget allows it.
func (w *RetryWindow) Repeat(now time.Time) bool {
	current, repeated := w.count(now, 0)
	half, _ := w.count(now, retryBuckets/2)
	before, _ := w.count(now, retryBuckets)
	allowed := retryHeadroom*w.Ratio*float64(max(current, half, before)) + float64(w.Slack)
	if float64(repeated+1) > allowed {
		return false
	}
	w.bucket(now).repeated++
	return true
}

// bucket returns the current part.
func (w *RetryWindow) bucket(now time.Time) *retryBucket {
	number := w.number(now)
	b := &w.buckets[number%int64(len(w.buckets))]
	if b.number != number {
		*b = retryBucket{number: number}
	}
	return b
}

// count returns the counts of the window that ended the given number of parts ago.
func (w *RetryWindow) count(now time.Time, ago int64) (requests, repeated int) {
	last := w.number(now) - ago
	for _, b := range w.buckets {
		if b.number > 0 && b.number > last-retryBuckets && b.number <= last {
			requests += b.requests
			repeated += b.repeated
		}
	}
	return requests, repeated
}

// number returns the number of the part that now lies in.
func (w *RetryWindow) number(now time.Time) int64 {
	if w.base.IsZero() {
		w.base = now
	}
	return 1 + int64(now.Sub(w.base)/(w.Span/retryBuckets))
}
