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
	At      time.Duration // intended start
	Err     error         // nil after a whole and right answer
	First   time.Duration // to the first token
	Request Request
	Tokens  int
	Total   time.Duration

	pace pace
}

// end returns how the request ended.
func (r *Result) end() end {
	var (
		refused *RefusedError
		wrong   *WrongError
	)
	switch {
	case r.Err == nil:
		return endAnswered
	case errors.As(r.Err, &wrong):
		return endWrong
	case errors.As(r.Err, &refused):
		if refused.Outcome == persimmoncart.OutcomeNotRun.String() {
			return endRefused
		}
		return endUnknown
	case errors.Is(r.Err, errTooMany):
		return endRefused
	default:
		return endFailed
	}
}

// streamed reports whether the answer has times of single tokens.
func (r *Result) streamed() bool {
	return r.Request.Part.Kind == KindDraft && !r.Request.Whole
}

// Ends of requests.
const (
	endAnswered end = iota
	endFailed       // no answer, or a cut one
	endRefused      // proven not run
	endUnknown      // refused with an unknown outcome, or a stream that ended with an error event
	endWrong        // an answer that is not whole or not right
	ends
)

// An end is how a request ended.
type end int

// A tally counts the results of a run.
type tally struct {
	codes   map[string]int // refusals by code
	keys    map[string]*keyEnd
	mix     Mix
	mutex   sync.Mutex
	parts   map[string]*partTally
	samples []string
	targets Targets
}

// A keyEnd is what a caller knows about one idempotency key.
type keyEnd struct {
	answered bool
	notRun   bool // all calls with the key were refused as not run
}

// A partTally counts the results of one part of the mix.
type partTally struct {
	arrivals []int // by second
	ends     [ends]int
	first    *hdrhistogram.Histogram // microseconds
	gap      *hdrhistogram.Histogram
	good     int
	requests int
	tokens   int
	total    *hdrhistogram.Histogram
}

// newTally returns an empty tally.
func newTally(mix Mix, targets Targets) *tally {
	t := &tally{codes: map[string]int{}, keys: map[string]*keyEnd{}, mix: mix, parts: map[string]*partTally{}, targets: targets}
	for _, p := range mix.Parts {
		t.parts[p.Name] = &partTally{first: newHistogram(), gap: newHistogram(), total: newHistogram()}
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
	p, e := t.parts[r.Request.Part.Name], r.end()
	p.requests++
	p.ends[e]++
	p.tokens += r.Tokens
	for second := int(r.At / time.Second); len(p.arrivals) <= second; {
		p.arrivals = append(p.arrivals, 0)
	}
	p.arrivals[int(r.At/time.Second)]++
	if refused := (*RefusedError)(nil); errors.As(r.Err, &refused) {
		t.codes[refused.Code]++
	}
	if (e == endWrong || e == endFailed) && len(t.samples) < maxSamples {
		t.samples = append(t.samples, r.Request.Part.Name+": "+r.Err.Error())
	}
	t.key(r.Request.Key, e)
	if e != endAnswered {
		return
	}
	record(p.total, r.Total)
	if r.streamed() {
		record(p.first, r.First)
		for _, g := range r.pace.gaps {
			record(p.gap, g)
		}
	}
	if t.good(r) {
		p.good++
	}
}

// good reports whether an answer met both targets and its deadline.
func (t *tally) good(r *Result) bool {
	switch {
	case r.streamed():
	case r.Request.Whole:
		return r.Total <= r.Request.Part.Deadline
	default:
		return r.Total <= t.targets.First
	}
	return r.First <= t.targets.First && r.pace.mean() <= t.targets.Gap && r.Total <= r.Request.Part.Deadline
}

// key notes the end of a call with an idempotency key; the mutex is held.
func (t *tally) key(key string, e end) {
	if key == "" {
		return
	}
	k := t.keys[key]
	if k == nil {
		k = &keyEnd{notRun: true}
		t.keys[key] = k
	}
	k.answered = k.answered || e == endAnswered
	k.notRun = k.notRun && e == endRefused
}

// line returns the progress line.
func (t *tally) line(at time.Duration, inFlight int64) string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var sum partTally
	for _, p := range t.parts {
		sum.requests += p.requests
		sum.good += p.good
		for e := range ends {
			sum.ends[e] += p.ends[e]
		}
	}
	return fmt.Sprintf("%s: %d in flight, %d ended: %d answered (%d within targets), %d refused, %d unknown, %d failed, %d wrong",
		at.Round(time.Second), inFlight, sum.requests, sum.ends[endAnswered], sum.good,
		sum.ends[endRefused], sum.ends[endUnknown], sum.ends[endFailed], sum.ends[endWrong])
}

// record notes a duration in a histogram; longer ones than its range count as its end.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is bounded, so that recording cannot fail.
	_ = h.RecordValue(min(max(d.Microseconds(), histogramLow), histogramHigh))
}
