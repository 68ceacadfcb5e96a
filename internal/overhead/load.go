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

// A loadGenerator sends completions at random times, whether or not earlier ones are done.
type loadGenerator struct {
	client client
	random *rand.Rand
	timer  persimmoncart.Timer

	tokens atomic.Int64
	mutex  sync.Mutex
	sample sample
}

// run sends requests for the ramp and the window and measures the window.
func (l *loadGenerator) run(ctx context.Context, ramp, window time.Duration) sample {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	start := l.timer.Now()
	begin, end := start.Add(ramp), start.Add(ramp+window)
	prompt := strings.Repeat("lorem ipsum ", promptBytes/12)
	measured := make(chan sample, 1)
	l.timer.After(ramp, func(time.Time) { go l.measure(ctx, window, measured) })
	for n := 0; ; n++ {
		// One request in each span, at a random time in it, keeps the rate exact.
		next := start.Add(time.Duration((float64(n) + l.random.Float64()) * float64(time.Second) / targetRequestRate))
		if next.After(end) || l.timer.Sleep(ctx, next.Sub(l.timer.Now())) != nil {
			break
		}
		group.Go(func() {
			id := persimmoncart.RequestID("bench-" + strconv.Itoa(n))
			l.sendOne(ctx, id, strconv.Itoa(n)+prompt, next, !next.Before(begin))
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
func (l *loadGenerator) measure(ctx context.Context, window time.Duration, result chan<- sample) {
	used, tokens, start := processorTime(), l.tokens.Load(), l.timer.Now()
	_ = l.timer.Sleep(ctx, window) // an interrupted window is shorter, and divided by its length
	result <- sample{
		duration:      l.timer.Now().Sub(start),
		tokens:        l.tokens.Load() - tokens,
		processorTime: processorTime() - used,
	}
}

// sendOne sends sendOne completion; counted says whether its times count.
func (l *loadGenerator) sendOne(ctx context.Context, id persimmoncart.RequestID, prompt string, start time.Time, counted bool) {
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
	if !counted {
		return
	}
	if first > 0 {
		l.sample.firstToken.record(first)
	}
	for _, g := range gaps {
		l.sample.tokenGaps.record(g)
	}
}

// A sample is what one or several rounds measured.
type sample struct {
	failed        int
	firstToken    histogram // to the first token
	tokenGaps     histogram // between tokens
	duration      time.Duration
	tokens        int64
	processorTime time.Duration // processor time
}

// add adds another round.
func (s *sample) add(o sample) {
	s.failed += o.failed
	s.firstToken.merge(o.firstToken)
	s.tokenGaps.merge(o.tokenGaps)
	s.duration += o.duration
	s.tokens += o.tokens
	s.processorTime += o.processorTime
}

// cores returns the processor time a second.
func (s sample) cores() float64 { return s.processorTime.Seconds() / s.duration.Seconds() }

// requestRate returns the requests whose times were measured, a second.
func (s sample) requestRate() float64 {
	return float64(s.firstToken.count()) / s.duration.Seconds()
}

// tokenRate returns the tokens a second.
func (s sample) tokenRate() float64 { return float64(s.tokens) / s.duration.Seconds() }

// Range and precision of the histograms.
const (
	minDuration       = int64(time.Microsecond)
	maxDuration       = int64(time.Minute)
	significantDigits = 3
)

// A histogram is a histogram of durations. The zero value is empty.
type histogram struct {
	hdr *hdrhistogram.Histogram
}

// percentile returns a percentile in milliseconds.
func (t histogram) percentile(percentile float64) float64 {
	if t.hdr == nil {
		return 0
	}
	return time.Duration(t.hdr.ValueAtQuantile(percentile)).Seconds() * 1000
}

// count returns the number of durations.
func (t histogram) count() int64 {
	if t.hdr == nil {
		return 0
	}
	return t.hdr.TotalCount()
}

// merge adds the durations of o.
func (t *histogram) merge(o histogram) {
	if o.hdr == nil {
		return
	}
	t.init()
	t.hdr.Merge(o.hdr)
}

// record adds a duration, cut to the histogram's range.
func (t *histogram) record(d time.Duration) {
	t.init()
	_ = t.hdr.RecordValue(min(max(int64(d), minDuration), maxDuration)) // it is within the range
}

// init builds the histogram on first use.
func (t *histogram) init() {
	if t.hdr == nil {
		t.hdr = hdrhistogram.New(minDuration, maxDuration, significantDigits)
	}
}
