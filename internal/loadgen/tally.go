package loadgen

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
)

// Range and precision of the histograms, in microseconds.
const (
	histogramHigh   = int64(10 * time.Minute / time.Microsecond)
	histogramLow    = 1
	histogramDigits = 3
)

// maxSamples bounds the faulty answers that a report shows.
const maxSamples = 10

// A Result is the end of one request.
type Result struct {
	Start      time.Duration // intended start
	Err        error         // nil after a whole and right answer
	FirstToken time.Duration // to the first token
	Request    Request
	Tokens     int
	Latency    time.Duration

	tokenTimes tokenTimes
}

// status returns how the request ended.
func (r *Result) status() status {
	var (
		refused *RefusedError
		wrong   *InvalidResponseError
	)
	switch {
	case r.Err == nil:
		return statusAnswered
	case errors.As(r.Err, &wrong):
		return statusInvalid
	case errors.As(r.Err, &refused):
		if refused.Outcome == persimmoncart.OutcomeNotRun.String() {
			return statusRefused
		}
		return statusUnknown
	case errors.Is(r.Err, errTooManyInFlight):
		return statusRefused
	default:
		return statusFailed
	}
}

// streamed reports whether the answer has times of single tokens.
func (r *Result) streamed() bool {
	return r.Request.Workload.Kind == KindDraft && !r.Request.NonStreaming
}

// Ends of requests.
const (
	statusAnswered status = iota
	statusFailed          // no answer, or a cut one
	statusRefused         // proven not run
	statusUnknown         // refused with an unknown outcome, or a stream that ended with an error event
	statusInvalid         // an answer that is not whole or not right
	statusCount
)

// An status is how a request ended.
type status int

// A tally counts the results of a run.
type tally struct {
	refusalCodes map[string]int // refusals by code
	keys         map[string]*keyStatus
	mix          Mix
	mutex        sync.Mutex
	workloads    map[string]*workloadTally
	samples      []string
	targets      Targets
}

// A keyStatus is what a caller knows about one idempotency key.
type keyStatus struct {
	answered bool
	notRun   bool // all calls with the key were refused as not run
}

// A workloadTally counts the results of one part of the mix.
type workloadTally struct {
	arrivals   []int // by second
	statuses   [statusCount]int
	firstToken *hdrhistogram.Histogram // microseconds
	tokenGap   *hdrhistogram.Histogram
	metTargets int
	requests   int
	tokens     int
	latency    *hdrhistogram.Histogram
}

// newTally returns an empty tally.
func newTally(mix Mix, targets Targets) *tally {
	t := &tally{refusalCodes: map[string]int{}, keys: map[string]*keyStatus{}, mix: mix, workloads: map[string]*workloadTally{}, targets: targets}
	for _, p := range mix.Workloads {
		t.workloads[p.Name] = &workloadTally{firstToken: newHistogram(), tokenGap: newHistogram(), latency: newHistogram()}
	}
	return t
}

// newHistogram returns a histogram of microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramLow, histogramHigh, histogramDigits)
}

// add counts one result.
func (t *tally) add(r *Result) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	p, e := t.workloads[r.Request.Workload.Name], r.status()
	p.requests++
	p.statuses[e]++
	p.tokens += r.Tokens
	for second := int(r.Start / time.Second); len(p.arrivals) <= second; {
		p.arrivals = append(p.arrivals, 0)
	}
	p.arrivals[int(r.Start/time.Second)]++
	if refused := (*RefusedError)(nil); errors.As(r.Err, &refused) {
		t.refusalCodes[refused.Code]++
	}
	if (e == statusInvalid || e == statusFailed) && len(t.samples) < maxSamples {
		t.samples = append(t.samples, r.Request.Workload.Name+": "+r.Err.Error())
	}
	t.countKey(r.Request.IdempotencyKey, e)
	if e != statusAnswered {
		return
	}
	record(p.latency, r.Latency)
	if r.streamed() {
		record(p.firstToken, r.FirstToken)
		for _, g := range r.tokenTimes.gaps {
			record(p.tokenGap, g)
		}
	}
	if t.metTargets(r) {
		p.metTargets++
	}
}

// metTargets reports whether an answer met both targets and its deadline.
func (t *tally) metTargets(r *Result) bool {
	switch {
	case r.streamed():
	case r.Request.NonStreaming:
		return r.Latency <= r.Request.Workload.Deadline
	default:
		return r.Latency <= t.targets.FirstToken
	}
	return r.FirstToken <= t.targets.FirstToken && r.tokenTimes.meanGap() <= t.targets.TokenGap && r.Latency <= r.Request.Workload.Deadline
}

// countKey notes the end of a call with an idempotency countKey; the mutex is held.
func (t *tally) countKey(key string, e status) {
	if key == "" {
		return
	}
	k := t.keys[key]
	if k == nil {
		k = &keyStatus{notRun: true}
		t.keys[key] = k
	}
	k.answered = k.answered || e == statusAnswered
	k.notRun = k.notRun && e == statusRefused
}

// progress returns the progress progress.
func (t *tally) progress(at time.Duration, inFlight int64) string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var sum workloadTally
	for _, p := range t.workloads {
		sum.requests += p.requests
		sum.metTargets += p.metTargets
		for e := range statusCount {
			sum.statuses[e] += p.statuses[e]
		}
	}
	return fmt.Sprintf("%s: %d in flight, %d ended: %d answered (%d within targets), %d refused, %d unknown, %d failed, %d wrong",
		at.Round(time.Second), inFlight, sum.requests, sum.statuses[statusAnswered], sum.metTargets,
		sum.statuses[statusRefused], sum.statuses[statusUnknown], sum.statuses[statusFailed], sum.statuses[statusInvalid])
}

// record notes a duration in a histogram; longer ones than its range count as its end.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is bounded, so that recording cannot fail.
	_ = h.RecordValue(min(max(d.Microseconds(), histogramLow), histogramHigh))
}
