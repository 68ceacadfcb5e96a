package policy

import "time"

const (
	// retryBuckets is the number of buckets that a window is divided into.
	retryBuckets = 10
	// retryBudgetShare is the share of the budget that an instance uses. The rest is a
	// margin, as the windows of instances do not slide together with the window in
	// which the shared budget is measured.
	retryBudgetShare = 0.8
)

// A RetryWindow limits the retries to one pool to a share of the requests for it.
// Each instance takes the share of its own requests, so that all instances together
// stay within the shared budget without messages. The limit keeps retries from
// multiplying the load when many endpoints fail at once.
type RetryWindow struct {
	Ratio float64       // retries for each request
	Slack int           // retries in addition
	Span  time.Duration // length of the window

	start   time.Time // of bucket 1; on the monotonic clock
	buckets [2 * retryBuckets]retryBucket
}

// A retryBucket counts the requests and retries of one part of a window.
type retryBucket struct {
	number   int64 // of the bucket since start, from 1; zero if unused
	retries  int
	requests int
}

// RecordRequest counts a request.
func (w *RetryWindow) RecordRequest(now time.Time) { w.bucket(now).requests++ }

// MayRetry reports whether the budget allows one more retry. The budget follows the
// largest number of requests in the current window, the one that ended half a window
// ago and the one before.
func (w *RetryWindow) MayRetry(now time.Time) bool {
	last := w.bucketNumber(now)
	current := w.requests(last)
	halfBefore := w.requests(last - retryBuckets/2)
	before := w.requests(last - retryBuckets)
	allowed := retryBudgetShare*w.Ratio*float64(max(current, halfBefore, before)) + float64(w.Slack)
	return float64(w.retries(last)+1) <= allowed
}

// TakeRetry takes one retry and reports whether the budget allows it.
func (w *RetryWindow) TakeRetry(now time.Time) bool {
	if !w.MayRetry(now) {
		return false
	}
	w.bucket(now).retries++
	return true
}

// bucket returns the current bucket, cleared if its place held an older one.
func (w *RetryWindow) bucket(now time.Time) *retryBucket {
	number := w.bucketNumber(now)
	b := &w.buckets[number%int64(len(w.buckets))]
	if b.number != number {
		*b = retryBucket{number: number}
	}
	return b
}

// bucketNumber returns the number of the current bucket.
func (w *RetryWindow) bucketNumber(now time.Time) int64 {
	if w.start.IsZero() {
		w.start = now
	}
	return 1 + int64(now.Sub(w.start)/(w.Span/retryBuckets))
}

// total returns the counts of the buckets from first to last.
func (w *RetryWindow) total(first, last int64) (requests, retries int) {
	for _, b := range w.buckets {
		if b.number > 0 && b.number >= first && b.number <= last {
			requests += b.requests
			retries += b.retries
		}
	}
	return requests, retries
}

// requests returns the number of requests in the window whose last bucket is given.
func (w *RetryWindow) requests(last int64) int {
	n, _ := w.total(last-retryBuckets+1, last)
	return n
}

// retries returns the number of retries in the window whose last bucket is given. The
// window slides in whole buckets. The bucket in which it begins counts fully: otherwise
// its retries would be granted again before Span has passed.
func (w *RetryWindow) retries(last int64) int {
	_, n := w.total(last-retryBuckets, last)
	return n
}
