package policy

import "time"

const (
	// retryBuckets is the number of parts that a RetryWindow counts in.
	retryBuckets = 10
	// retryBudgetShare is the part of the shared budget that instances use, since
	// their windows slide at other moments than the one that counts.
	retryBudgetShare = 0.8
)

// A RetryWindow bounds the repeated sends to one pool to a share of the requests
// for it. Each instance takes the share of its own requests, so that all of them
// together stay below the shared budget without any message. It answers a load
// where many endpoints fail at once and every failure would be sent again.
type RetryWindow struct {
	Ratio float64       // repeated sends for each request
	Slack int           // repeated sends beyond it
	Span  time.Duration // length of the window

	start   time.Time // of the numbers of parts; on the monotonic clock
	buckets [2 * retryBuckets]retryBucket
}

// A retryBucket counts one part of a window.
type retryBucket struct {
	number   int64 // of the part, from 1
	retries  int
	requests int
}

// RecordRequest counts a request.
func (w *RetryWindow) RecordRequest(now time.Time) { w.bucket(now).requests++ }

// TakeRetry takes one repeated send and reports whether the budget allows it.
func (w *RetryWindow) TakeRetry(now time.Time) bool {
	current, repeated := w.count(now, 0)
	half, _ := w.count(now, retryBuckets/2)
	before, _ := w.count(now, retryBuckets)
	allowed := retryBudgetShare*w.Ratio*float64(max(current, half, before)) + float64(w.Slack)
	if float64(repeated+1) > allowed {
		return false
	}
	w.bucket(now).retries++
	return true
}

// bucket returns the current part.
func (w *RetryWindow) bucket(now time.Time) *retryBucket {
	number := w.bucketNumber(now)
	b := &w.buckets[number%int64(len(w.buckets))]
	if b.number != number {
		*b = retryBucket{number: number}
	}
	return b
}

// count returns the counts of the window that ended the given number of parts ago.
func (w *RetryWindow) count(now time.Time, ago int64) (requests, repeated int) {
	last := w.bucketNumber(now) - ago
	for _, b := range w.buckets {
		if b.number > 0 && b.number > last-retryBuckets && b.number <= last {
			requests += b.requests
			repeated += b.retries
		}
	}
	return requests, repeated
}

// bucketNumber returns the bucketNumber of the part that now lies in.
func (w *RetryWindow) bucketNumber(now time.Time) int64 {
	if w.start.IsZero() {
		w.start = now
	}
	return 1 + int64(now.Sub(w.start)/(w.Span/retryBuckets))
}
