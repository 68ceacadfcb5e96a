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

// A load sends completions at random times, whether or not earlier ones are done.
type load struct {
	client client
	random *rand.Rand
	timer  persimmoncart.Timer

	tokens atomic.Int64
	mutex  sync.Mutex
	sample sample
}

// run sends requests for the ramp and the window and measures the window.
func (l *load) run(ctx context.Context, ramp, window time.Duration) sample {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	start := l.timer.Now()
	begin, end := start.Add(ramp), start.Add(ramp+window)
	prompt := strings.Repeat("lorem ipsum ", promptBytes/12)
	measured := make(chan sample, 1)
	l.timer.After(ramp, func(time.Time) { go l.measure(ctx, window, measured) })
	for n := 0; ; n++ {
		// One request in each span, at a random time in it, keeps the rate exact.
		next := start.Add(time.Duration((float64(n) + l.random.Float64()) * float64(time.Second) / requestRate))
		if next.After(end) || l.timer.Sleep(ctx, next.Sub(l.timer.Now())) != nil {
			break
		}
		group.Go(func() {
			id := persimmoncart.RequestID("bench-" + strconv.Itoa(n))
			l.one(ctx, id, strconv.Itoa(n)+prompt, next, !next.Before(begin))
		})
	}
	s := <-measured
	cancel()
	group.Wait()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s.failed, s.first, s.gaps = l.sample.failed, l.sample.first, l.sample.gaps
	return s
}

// measure measures processor time and tokens over the window.
func (l *load) measure(ctx context.Context, window time.Duration, result chan<- sample) {
	used, tokens, start := processorTime(), l.tokens.Load(), l.timer.Now()
	_ = l.timer.Sleep(ctx, window) // an interrupted window is shorter, and divided by its length
	result <- sample{
		span:   l.timer.Now().Sub(start),
		tokens: l.tokens.Load() - tokens,
		used:   processorTime() - used,
	}
}

// one sends one completion; counted says whether its times count.
func (l *load) one(ctx context.Context, id persimmoncart.RequestID, prompt string, start time.Time, counted bool) {
	var first time.Duration
	var last time.Time
	gaps := make([]time.Duration, 0, outputLimit+1)
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
		l.sample.first.record(first)
	}
	for _, g := range gaps {
		l.sample.gaps.record(g)
	}
}

// A sample is what one or several rounds measured.
type sample struct {
	failed int
	first  times // to the first token
	gaps   times // between tokens
	span   time.Duration
	tokens int64
	used   time.Duration // processor time
}

// add adds another round.
func (s *sample) add(o sample) {
	s.failed += o.failed
	s.first.merge(o.first)
	s.gaps.merge(o.gaps)
	s.span += o.span
	s.tokens += o.tokens
	s.used += o.used
}

// cores returns the processor time a second.
func (s sample) cores() float64 { return s.used.Seconds() / s.span.Seconds() }

// requestRate returns the requests whose times were measured, a second.
func (s sample) requestRate() float64 {
	return float64(s.first.count()) / s.span.Seconds()
}

// tokenRate returns the tokens a second.
func (s sample) tokenRate() float64 { return float64(s.tokens) / s.span.Seconds() }

// Range and precision of the histograms.
const (
	lowest  = int64(time.Microsecond)
	highest = int64(time.Minute)
	digits  = 3
)

// A times is a histogram of durations. The zero value is empty.
type times struct {
	histogram *hdrhistogram.Histogram
}

// at returns a percentile in milliseconds.
func (t times) at(percentile float64) float64 {
	if t.histogram == nil {
		return 0
	}
	return time.Duration(t.histogram.ValueAtQuantile(percentile)).Seconds() * 1000
}

// count returns the number of durations.
func (t times) count() int64 {
	if t.histogram == nil {
		return 0
	}
	return t.histogram.TotalCount()
}

// merge adds the durations of o.
func (t *times) merge(o times) {
	if o.histogram == nil {
		return
	}
	t.init()
	t.histogram.Merge(o.histogram)
}

// record adds a duration, cut to the histogram's range.
func (t *times) record(d time.Duration) {
	t.init()
	_ = t.histogram.RecordValue(min(max(int64(d), lowest), highest)) // it is within the range
}

// init builds the histogram on first use.
func (t *times) init() {
	if t.histogram == nil {
		t.histogram = hdrhistogram.New(lowest, highest, digits)
	}
}
