package policy_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/persimmoncart/persimmoncart/internal/policy"
)

// Guards against instances that together send more retries than the shared budget
// allows in any window, however the requests arrive.
func TestRetryWindowKeepsSharedBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const (
			span  = 10 * time.Second
			ratio = 0.2
			slack = 2
		)
		instances := rapid.IntRange(1, 12).Draw(t, "instances")
		windows := make([]*policy.RetryWindow, instances)
		for n := range windows {
			windows[n] = &policy.RetryWindow{Ratio: ratio, Slack: slack, Span: span}
		}
		now := time.Unix(0, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "gap")) * time.Millisecond)
			w := windows[rapid.IntRange(0, instances-1).Draw(t, "instance")]
			if rapid.Bool().Draw(t, "request") {
				w.RecordRequest(now)
				requests = append(requests, now)
			} else if w.TakeRetry(now) {
				retries = append(retries, now)
			}
			// The budget holds for a window that ends at any moment. It follows the
			// largest number of requests of that window, the one half a window earlier
			// and the one before.
			inWindow := func(list []time.Time, ago time.Duration) int {
				count := 0
				for _, at := range list {
					if d := now.Sub(at) - ago; d >= 0 && d < span {
						count++
					}
				}
				return count
			}
			base := max(inWindow(requests, 0), inWindow(requests, span/2), inWindow(requests, span))
			// A bucket leaves the window as a whole, so that up to a tenth of a window
			// may count for longer, which the unused share of the budget covers.
			allowed := ratio*float64(base) + float64(instances*slack) + ratio*float64(inWindow(requests, span+span/10))
			if got := inWindow(retries, 0); float64(got) > allowed {
				t.Fatalf("%d retries for %d requests, more than %.1f", got, base, allowed)
			}
		}
	})
}

// Guards against a budget that does not follow the requests of the instance.
func TestRetryWindowFollowsRequests(t *testing.T) {
	w := &policy.RetryWindow{Ratio: 0.2, Slack: 2, Span: 10 * time.Second}
	now := time.Unix(1000, 0)
	for range 100 {
		w.RecordRequest(now)
	}
	allowed := 0
	for w.TakeRetry(now) {
		allowed++
	}
	assert.Equal(t, allowed, 18) // 0.8 of 20% of 100 requests, and the slack of 2
	assert.Assert(t, !w.TakeRetry(now.Add(5*time.Second)))
	assert.Assert(t, w.TakeRetry(now.Add(11*time.Second)))
}

// Guards against granting the budget of a window again before its span has passed,
// under a constant load whose requests all fail.
func TestRetryWindowSlides(t *testing.T) {
	const (
		span    = 10 * time.Second
		failing = 21900 * time.Millisecond // when requests begin to fail, shortly before the end of a bucket
		period  = 10 * time.Millisecond    // between two requests
	)
	w := &policy.RetryWindow{Ratio: 0.2, Slack: 2, Span: span}
	start := time.Unix(1000, 0)
	var taken []time.Time
	for at := time.Duration(0); at < time.Minute; at += period {
		now := start.Add(at)
		w.RecordRequest(now)
		for at >= failing && w.TakeRetry(now) {
			taken = append(taken, now)
		}
	}
	most := 0
	for n, first := range taken {
		inSpan := 0
		for _, at := range taken[n:] {
			if at.Sub(first) < span {
				inSpan++
			}
		}
		most = max(most, inSpan)
	}
	allowed := int(0.2*float64(span/period)) + 2
	assert.Assert(t, most <= allowed, "%d retries within %s, %d allowed", most, span, allowed)
}
