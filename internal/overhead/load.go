package overhead

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/persimmoncart/persimmoncart"
)

// A loadGenerator sends completions at random times, independent of the completion of
// earlier ones (open loop).
type loadGenerator struct {
	client client
	random *rand.Rand
	timer  persimmoncart.Timer

	tokens atomic.Int64
	mutex  sync.Mutex
	sample sample // of the requests that have ended
}

// run sends requests for the durations of ramp and window, and returns the measures
// of the window.
func (l *loadGenerator) run(ctx context.Context, ramp, window time.Duration) sample {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	start := l.timer.Now()
	windowStart, windowEnd := start.Add(ramp), start.Add(ramp+window)
	prompt := strings.Repeat("lorem ipsum ", promptBytes/12)
	measured := make(chan sample, 1)
	l.timer.After(ramp, func(time.Time) { go l.measure(ctx, window, measured) })
	for n := 0; ; n++ {
		// One request at a random time in each interval of 1/targetRequestRate seconds
		// keeps the rate exact.
		next := start.Add(time.Duration((float64(n) + l.random.Float64()) * float64(time.Second) / targetRequestRate))
		if next.After(windowEnd) || l.timer.Sleep(ctx, next.Sub(l.timer.Now())) != nil {
			break
		}
		group.Go(func() {
			id := persimmoncart.RequestID("bench-" + strconv.Itoa(n))
			l.sendOne(ctx, id, strconv.Itoa(n)+prompt, next, !next.Before(windowStart))
		})
	}
	s := <-measured
	cancel()
	group.Wait()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s.failed, s.firstToken, s.tokenGaps = l.sample.failed, l.sample.firstToken, l.sample.tokenGaps
	return s
}

// measure measures processor time and tokens over the window.
func (l *loadGenerator) measure(ctx context.Context, window time.Duration, measured chan<- sample) {
	startProcessorTime, startTokens, start := processorTime(), l.tokens.Load(), l.timer.Now()
	_ = l.timer.Sleep(ctx, window) // if interrupted, rates are over the shorter duration
	measured <- sample{
		duration:      l.timer.Now().Sub(start),
		tokens:        l.tokens.Load() - startTokens,
		processorTime: processorTime() - startProcessorTime,
	}
}

// sendOne sends one completion, which was due at start. inWindow says whether its times
// are recorded.
func (l *loadGenerator) sendOne(ctx context.Context, id persimmoncart.RequestID, prompt string, start time.Time, inWindow bool) {
	var first time.Duration
	var last time.Time
	gaps := make([]time.Duration, 0, maxOutputTokens+1)
	err := l.client.complete(ctx, id, prompt, func() {
		l.tokens.Add(1)
		now := l.timer.Now()
		if last.IsZero() {
			first = now.Sub(start)
		} else {
			gaps = append(gaps, now.Sub(last))
		}
		last = now
	})
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err != nil && ctx.Err() == nil {
		l.sample.failed++
		return
	}
	if !inWindow {
		return
	}
	if first > 0 {
		l.sample.firstToken.record(first)
	}
	for _, g := range gaps {
		l.sample.tokenGaps.record(g)
	}
}

// A sample holds the measures of one or several rounds.
type sample struct {
	duration      time.Duration
	failed        int
	firstToken    histogram     // time to the first token
	processorTime time.Duration // user and system time of the process
	tokenGaps     histogram     // time between tokens
	tokens        int64
}

// add adds the measures of another round.
func (s *sample) add(other sample) {
	s.failed += other.failed
	s.firstToken.merge(other.firstToken)
	s.tokenGaps.merge(other.tokenGaps)
	s.duration += other.duration
	s.tokens += other.tokens
	s.processorTime += other.processorTime
}

// cores returns the mean number of cores in use.
func (s sample) cores() float64 { return s.processorTime.Seconds() / s.duration.Seconds() }

// requestRate returns the number of measured requests per second.
func (s sample) requestRate() float64 {
	return float64(s.firstToken.count()) / s.duration.Seconds()
}

// tokenRate returns the number of tokens per second.
func (s sample) tokenRate() float64 { return float64(s.tokens) / s.duration.Seconds() }

// Range, in nanoseconds, and precision of the histograms.
const (
	minDuration       = int64(time.Microsecond)
	maxDuration       = int64(time.Minute)
	significantDigits = 3
)

// A histogram counts durations. The zero value is empty.
type histogram struct {
	hdr *hdrhistogram.Histogram
}

// percentile returns a percentile in milliseconds, or 0 if the histogram is empty.
func (h histogram) percentile(percent float64) float64 {
	if h.hdr == nil {
		return 0
	}
	return time.Duration(h.hdr.ValueAtQuantile(percent)).Seconds() * 1000
}

// count returns the number of recorded durations.
func (h histogram) count() int64 {
	if h.hdr == nil {
		return 0
	}
	return h.hdr.TotalCount()
}

// merge adds the durations of another histogram.
func (h *histogram) merge(other histogram) {
	if other.hdr == nil {
		return
	}
	h.init()
	h.hdr.Merge(other.hdr)
}

// record records a duration. Durations outside of the histogram's range count as its
// lowest or highest value.
func (h *histogram) record(d time.Duration) {
	h.init()
	_ = h.hdr.RecordValue(min(max(int64(d), minDuration), maxDuration)) // cannot fail: the value is within the range
}

// init creates the histogram on first use.
func (h *histogram) init() {
	if h.hdr == nil {
		h.hdr = hdrhistogram.New(minDuration, maxDuration, significantDigits)
	}
}
