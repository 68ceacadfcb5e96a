package loadgen

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
)

// Range in microseconds and significant digits of the histograms.
const (
	histogramHigh   = int64(10 * time.Minute / time.Microsecond)
	histogramLow    = 1
	histogramDigits = 3
)

// maxSamples is how many errors of failed and invalid responses a report
// shows.
const maxSamples = 10

// A Result is the result of one request.
type Result struct {
	Err        error         // nil after a complete and correct response
	FirstToken time.Duration // from the intended start
	Latency    time.Duration
	Request    Request
	Start      time.Duration // intended start, from the start of the run
	Tokens     int

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

// streamed reports whether the request is a draft with streaming, so that its
// tokens have times.
func (r *Result) streamed() bool {
	return r.Request.Workload.Kind == KindDraft && !r.Request.NonStreaming
}

// Statuses of requests.
const (
	statusAnswered status = iota
	statusFailed          // no response, or an interrupted one
	statusRefused         // refused as not run, or not sent
	statusUnknown         // refused with an unknown outcome, before or during the response
	statusInvalid         // incomplete or incorrect response
	statusCount
)

// A status is how a request ended.
type status int

// A tally counts the results of a run.
type tally struct {
	keys         map[string]*keyStatus
	mix          Mix
	mutex        sync.Mutex
	refusalCodes map[string]int
	samples      []string
	targets      Targets
	workloads    map[string]*workloadTally
}

// A keyStatus summarises the responses to all calls with one idempotency key.
type keyStatus struct {
	answered bool
	notRun   bool // all calls with the key were refused as not run
}

// A workloadTally counts the results of one workload. Its histograms are in
// microseconds.
type workloadTally struct {
	arrivals   []int // requests by second of the run
	firstToken *hdrhistogram.Histogram
	latency    *hdrhistogram.Histogram
	metTargets int
	requests   int
	statuses   [statusCount]int
	tokenGap   *hdrhistogram.Histogram
	tokens     int
}

// newTally returns an empty tally of the workloads of mix.
func newTally(mix Mix, targets Targets) *tally {
	t := &tally{refusalCodes: map[string]int{}, keys: map[string]*keyStatus{}, mix: mix, workloads: map[string]*workloadTally{}, targets: targets}
	for _, p := range mix.Workloads {
		t.workloads[p.Name] = &workloadTally{firstToken: newHistogram(), tokenGap: newHistogram(), latency: newHistogram()}
	}
	return t
}

// newHistogram returns an empty histogram of microseconds.
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

// metTargets reports whether a response met the targets: for streamed drafts
// both targets and the deadline, for other drafts the deadline, and for calls
// the target to the first token.
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

// countKey records the status of a call with an idempotency key. The caller
// holds the mutex.
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

// progress returns a progress line for the time since the start.
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

// record records a duration in a histogram. Durations outside its range count
// as the nearest value in range.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue fails only for values out of range.
	_ = h.RecordValue(min(max(d.Microseconds(), histogramLow), histogramHigh))
}
