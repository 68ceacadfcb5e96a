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
	loadShare             = 0.75 // of capacity, in steady state
	maxOutputTokens       = 640  // tokens
	meanOutputTokens      = 256.0
	meanPromptTokens      = 4000.0
	maxPromptTokens       = 30000
	firstTokenTarget      = 1600 * time.Millisecond
	tokenGapTarget        = 60 * time.Millisecond
	repeatedDocumentShare = 0.3 // completions about a document that was sent before
	callDeadline          = 5 * time.Second
	interactiveTimeout    = 60 * time.Second // of interactive completions
	warmup                = 10 * time.Second
)

// Kinds of offered requests.
const (
	kindCompletion = iota
	kindLookup
	kindBooking // a call that may not be repeated
)

// A request is one offered request with its fate.
type request struct {
	account            int
	arrival            time.Time
	class              persimmoncart.Class
	deadline           time.Time
	firstTokenDeadline time.Time // of the first token; zero for drafts
	id                 int
	kind               int
	measured           bool
	outputTokens       int // tokens that will be generated
	prefixes           []uint64
	promptTokens       int
	region             persimmoncart.Region
	serviceSeconds     float64 // seconds of service of a call

	answered   time.Time // last token, or the call's answer
	ended      bool
	firstToken time.Time
	refused    bool
}

// metTargets reports whether a completion met its targets: the time between tokens,
// and the first token for interactive requests or the deadline for drafts.
func (q *request) metTargets() bool {
	if q.answered.IsZero() || q.answered.After(q.deadline) {
		return false
	}
	if !q.firstTokenDeadline.IsZero() && q.firstToken.After(q.firstTokenDeadline) {
		return false
	}
	return q.outputTokens < 2 || q.answered.Sub(q.firstToken)/time.Duration(q.outputTokens-1) <= tokenGapTarget
}

// A requestGenerator generates the offered requests of a run; it depends on the seed only.
type requestGenerator struct {
	deployment *deployment
	documents  [][]uint64 // prefixes of documents sent before
	requests   []*request
	random     *rand.Rand
	scenario   *scenario
	start      time.Time
}

// generateRequests returns the requests of a run, sorted by arrival.
func generateRequests(d *deployment, s *scenario, seed uint64, start time.Time) []*request {
	l := &requestGenerator{deployment: d, random: rand.New(rand.NewPCG(seed, 1)), scenario: s, start: start}
	for _, r := range d.regions() {
		region := r
		rate := d.capacity(r) * loadShare
		l.arrivals(rate, s.demandFactor, func(at time.Time) { l.completion(at, region, l.random.IntN(d.accounts)) })
		if s.noisyDemand > 0 {
			l.arrivals(d.capacity(r)*s.noisyDemand, nil, func(at time.Time) { l.completion(at, region, d.accounts) })
		}
		part := d.capacity(r) / d.capacity("")
		l.arrivals(d.lookupRate*part, nil, func(at time.Time) { l.call(at, region, kindLookup) })
		l.arrivals(d.bookingRate*part, nil, func(at time.Time) { l.call(at, region, kindBooking) })
	}
	slices.SortStableFunc(l.requests, func(a, b *request) int { return a.arrival.Compare(b.arrival) })
	for i, q := range l.requests {
		q.id = i
		t := q.arrival.Sub(start)
		q.measured = t >= s.warmup() && t < s.length
	}
	return l.requests
}

// arrivals calls f for a Poisson process whose rate is multiplied by demand.
func (l *requestGenerator) arrivals(rate float64, demand func(time.Duration) float64, f func(time.Time)) {
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
func (l *requestGenerator) call(at time.Time, region persimmoncart.Region, kind int) {
	l.requests = append(l.requests, &request{
		account: l.random.IntN(l.deployment.accounts), arrival: at, class: persimmoncart.ClassInteractive,
		deadline: at.Add(callDeadline), kind: kind, region: region, serviceSeconds: l.logNormal(0.009, 0.5),
	})
}

// completion adds a completion.
func (l *requestGenerator) completion(at time.Time, region persimmoncart.Region, account int) {
	q := &request{
		account: account, arrival: at, class: persimmoncart.ClassBatch, kind: kindCompletion, region: region,
		outputTokens: int(min(max(l.logNormal(meanOutputTokens, 0.5), 8), maxOutputTokens)),
	}
	q.deadline = at.Add(time.Duration(45+l.random.IntN(90)) * time.Second)
	if l.random.Float64() < l.deployment.interactiveShare {
		q.class = persimmoncart.ClassInteractive
		q.firstTokenDeadline = at.Add(firstTokenTarget)
		q.deadline = at.Add(interactiveTimeout)
	}
	l.prompt(q)
	l.requests = append(l.requests, q)
}

// logNormal returns a sample with the given mean.
func (l *requestGenerator) logNormal(mean, sigma float64) float64 {
	return mean * math.Exp(sigma*l.random.NormFloat64()-sigma*sigma/2)
}

// prompt sets a new prompt that begins with the account's template, or repeats
// a document sent before.
func (l *requestGenerator) prompt(q *request) {
	if len(l.documents) > 0 && l.random.Float64() < repeatedDocumentShare {
		q.prefixes = l.documents[max(len(l.documents)-1-l.random.IntN(200), 0)]
		q.promptTokens = len(q.prefixes)*persimmoncart.BlockTokens + l.random.IntN(persimmoncart.BlockTokens)
		return
	}
	q.promptTokens = int(min(max(l.logNormal(meanPromptTokens, 0.8), 40), maxPromptTokens))
	h := uint64(q.account)*1_000_003 + 17
	for i := range q.promptTokens / persimmoncart.BlockTokens {
		if i > 0 { // the first block is the account's template
			h = l.random.Uint64()
		}
		q.prefixes = append(q.prefixes, h)
	}
	if len(q.prefixes) > 0 {
		l.documents = append(l.documents, q.prefixes)
	}
}
