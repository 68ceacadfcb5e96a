package bench

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// Assumptions of the load.
const (
	loadShare    = 0.75 // of capacity, in steady state
	outputLimit  = 640  // tokens
	outputMean   = 256.0
	promptMean   = 4000.0
	promptLimit  = 30000
	firstTarget  = 1600 * time.Millisecond
	paceTarget   = 60 * time.Millisecond
	repeatShare  = 0.3 // completions about a document that was sent before
	callDeadline = 5 * time.Second
	liveTimeout  = 60 * time.Second // of interactive completions
	warmup       = 10 * time.Second
)

// Kinds of offered requests.
const (
	kindCompletion = iota
	kindLookup
	kindBooking // a call that may not be repeated
)

// A job is one offered request with its fate.
type job struct {
	account  int
	arrive   time.Time
	class    persimmoncart.Class
	deadline time.Time
	due      time.Time // of the first token; zero for drafts
	id       int
	kind     int
	measured bool
	output   int // tokens that will be generated
	prefixes []uint64
	prompt   int
	region   persimmoncart.Region
	work     float64 // seconds of service of a call

	answered time.Time // last token, or the call's answer
	ended    bool
	first    time.Time
	refused  bool
}

// good reports whether a completion met its targets: the time between tokens,
// and the first token for interactive requests or the deadline for drafts.
func (j *job) good() bool {
	if j.answered.IsZero() || j.answered.After(j.deadline) {
		return false
	}
	if !j.due.IsZero() && j.first.After(j.due) {
		return false
	}
	return j.output < 2 || j.answered.Sub(j.first)/time.Duration(j.output-1) <= paceTarget
}

// A load generates the offered requests of a run; it depends on the seed only.
type load struct {
	deployment *deployment
	documents  [][]uint64 // prefixes of documents sent before
	jobs       []*job
	random     *rand.Rand
	scenario   *scenario
	start      time.Time
}

// offered returns the requests of a run, sorted by arrival.
func offered(d *deployment, s *scenario, seed uint64, start time.Time) []*job {
	l := &load{deployment: d, random: rand.New(rand.NewPCG(seed, 1)), scenario: s, start: start}
	for _, r := range d.regions() {
		region := r
		rate := d.capacity(r) * loadShare
		l.arrivals(rate, s.demand, func(at time.Time) { l.completion(at, region, l.random.IntN(d.accounts)) })
		if s.noisy > 0 {
			l.arrivals(d.capacity(r)*s.noisy, nil, func(at time.Time) { l.completion(at, region, d.accounts) })
		}
		part := d.capacity(r) / d.capacity("")
		l.arrivals(d.lookups*part, nil, func(at time.Time) { l.call(at, region, kindLookup) })
		l.arrivals(d.bookings*part, nil, func(at time.Time) { l.call(at, region, kindBooking) })
	}
	slices.SortStableFunc(l.jobs, func(a, b *job) int { return a.arrive.Compare(b.arrive) })
	for i, j := range l.jobs {
		j.id = i
		t := j.arrive.Sub(start)
		j.measured = t >= s.warmup() && t < s.length
	}
	return l.jobs
}

// arrivals calls f for a Poisson process whose rate is multiplied by demand.
func (l *load) arrivals(rate float64, demand func(time.Duration) float64, f func(time.Time)) {
	const most = 3.0
	for t := time.Duration(0); ; {
		t += time.Duration(l.random.ExpFloat64() / (rate * most) * float64(time.Second))
		if t >= l.scenario.length+l.scenario.tail() {
			return
		}
		factor := 1.0
		if demand != nil {
			factor = demand(t)
		}
		if l.random.Float64()*most < factor {
			f(l.start.Add(t))
		}
	}
}

// call adds a call to an application endpoint.
func (l *load) call(at time.Time, region persimmoncart.Region, kind int) {
	l.jobs = append(l.jobs, &job{
		account: l.random.IntN(l.deployment.accounts), arrive: at, class: persimmoncart.ClassInteractive,
		deadline: at.Add(callDeadline), kind: kind, region: region, work: l.logNormal(0.009, 0.5),
	})
}

// completion adds a completion.
func (l *load) completion(at time.Time, region persimmoncart.Region, account int) {
	j := &job{
		account: account, arrive: at, class: persimmoncart.ClassBatch, kind: kindCompletion, region: region,
		output: int(min(max(l.logNormal(outputMean, 0.5), 8), outputLimit)),
	}
	j.deadline = at.Add(time.Duration(45+l.random.IntN(90)) * time.Second)
	if l.random.Float64() < l.deployment.interactive {
		j.class = persimmoncart.ClassInteractive
		j.due = at.Add(firstTarget)
		j.deadline = at.Add(liveTimeout)
	}
	l.prompt(j)
	l.jobs = append(l.jobs, j)
}

// logNormal returns a sample with the given mean.
func (l *load) logNormal(mean, sigma float64) float64 {
	return mean * math.Exp(sigma*l.random.NormFloat64()-sigma*sigma/2)
}

// prompt sets a new prompt that begins with the account's template, or repeats
// a document sent before.
func (l *load) prompt(j *job) {
	if len(l.documents) > 0 && l.random.Float64() < repeatShare {
		j.prefixes = l.documents[max(len(l.documents)-1-l.random.IntN(200), 0)]
		j.prompt = len(j.prefixes)*persimmoncart.BlockTokens + l.random.IntN(persimmoncart.BlockTokens)
		return
	}
	j.prompt = int(min(max(l.logNormal(promptMean, 0.8), 40), promptLimit))
	h := uint64(j.account)*1_000_003 + 17
	for i := range j.prompt / persimmoncart.BlockTokens {
		if i > 0 { // the first block is the account's template
			h = l.random.Uint64()
		}
		j.prefixes = append(j.prefixes, h)
	}
	if len(j.prefixes) > 0 {
		l.documents = append(l.documents, j.prefixes)
	}
}
