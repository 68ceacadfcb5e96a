package bench

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// Parameters of the load. Means and limits of outputs and prompts are in
// tokens.
const (
	loadShare             = 0.75 // offered completions in the steady state, as a share of capacity
	maxOutputTokens       = 640
	meanOutputTokens      = 256.0
	meanPromptTokens      = 4000.0
	maxPromptTokens       = 30000
	firstTokenTarget      = 1600 * time.Millisecond
	tokenGapTarget        = 60 * time.Millisecond
	repeatedDocumentShare = 0.3 // completions that send an earlier document again
	callDeadline          = 5 * time.Second
	interactiveTimeout    = 60 * time.Second // deadline of interactive completions
	warmup                = 10 * time.Second
)

// Kinds of requests.
const (
	kindCompletion = iota
	kindLookup
	kindBooking // a call that may run only once
)

// A request is one request with its result.
type request struct {
	account            int
	arrival            time.Time
	class              persimmoncart.Class
	deadline           time.Time
	firstTokenDeadline time.Time // zero for batch requests
	id                 int
	kind               int
	measured           bool
	outputTokens       int // tokens; routers do not see it, except the bound
	prefixes           []uint64
	promptTokens       int
	region             persimmoncart.Region
	serviceSeconds     float64 // of a call

	answered   time.Time // of the last token or of the call's response at the caller; zero if there was none
	ended      bool
	firstToken time.Time
	refused    bool
}

// metTargets reports whether a completion met its targets: its deadline, the
// mean time between tokens and, for interactive requests, the time to the
// first token.
func (q *request) metTargets() bool {
	if q.answered.IsZero() || q.answered.After(q.deadline) {
		return false
	}
	if !q.firstTokenDeadline.IsZero() && q.firstToken.After(q.firstTokenDeadline) {
		return false
	}
	return q.outputTokens < 2 || q.answered.Sub(q.firstToken)/time.Duration(q.outputTokens-1) <= tokenGapTarget
}

// A requestGenerator generates the requests of a run. They depend only on the
// seed.
type requestGenerator struct {
	deployment *deployment
	documents  [][]uint64 // prefixes of the documents sent before
	random     *rand.Rand
	requests   []*request
	scenario   *scenario
	start      time.Time
}

// generateRequests returns the requests of a run, sorted by arrival.
func generateRequests(d *deployment, s *scenario, seed uint64, start time.Time) []*request {
	g := &requestGenerator{deployment: d, random: rand.New(rand.NewPCG(seed, 1)), scenario: s, start: start}
	for _, r := range d.regions() {
		region := r
		rate := d.capacity(r) * loadShare
		g.arrivals(rate, s.demandFactor, func(at time.Time) { g.completion(at, region, g.random.IntN(d.accounts)) })
		if s.noisyDemand > 0 {
			g.arrivals(d.capacity(r)*s.noisyDemand, nil, func(at time.Time) { g.completion(at, region, d.accounts) })
		}
		share := d.capacity(r) / d.capacity("")
		g.arrivals(d.lookupRate*share, nil, func(at time.Time) { g.call(at, region, kindLookup) })
		g.arrivals(d.bookingRate*share, nil, func(at time.Time) { g.call(at, region, kindBooking) })
	}
	slices.SortStableFunc(g.requests, func(a, b *request) int { return a.arrival.Compare(b.arrival) })
	for i, q := range g.requests {
		q.id = i
		t := q.arrival.Sub(start)
		q.measured = t >= s.warmup() && t < s.length
	}
	return g.requests
}

// arrivals calls f for each arrival of a Poisson process with the given rate a
// second, multiplied by the factor that demandFactor returns, at most
// maxFactor. It thins a process of the highest rate.
func (g *requestGenerator) arrivals(rate float64, demandFactor func(time.Duration) float64, f func(time.Time)) {
	const maxFactor = 3.0
	for t := time.Duration(0); ; {
		t += time.Duration(g.random.ExpFloat64() / (rate * maxFactor) * float64(time.Second))
		if t >= g.scenario.length+g.scenario.tail() {
			return
		}
		factor := 1.0
		if demandFactor != nil {
			factor = demandFactor(t)
		}
		if g.random.Float64()*maxFactor < factor {
			f(g.start.Add(t))
		}
	}
}

// call adds a call to an application endpoint.
func (g *requestGenerator) call(at time.Time, region persimmoncart.Region, kind int) {
	g.requests = append(g.requests, &request{
		account: g.random.IntN(g.deployment.accounts), arrival: at, class: persimmoncart.ClassInteractive,
		deadline: at.Add(callDeadline), kind: kind, region: region, serviceSeconds: g.logNormal(0.009, 0.5),
	})
}

// completion adds a completion, interactive or batch, to the requests.
func (g *requestGenerator) completion(at time.Time, region persimmoncart.Region, account int) {
	q := &request{
		account: account, arrival: at, class: persimmoncart.ClassBatch, kind: kindCompletion, region: region,
		outputTokens: int(min(max(g.logNormal(meanOutputTokens, 0.5), 8), maxOutputTokens)),
	}
	q.deadline = at.Add(time.Duration(45+g.random.IntN(90)) * time.Second)
	if g.random.Float64() < g.deployment.interactiveShare {
		q.class = persimmoncart.ClassInteractive
		q.firstTokenDeadline = at.Add(firstTokenTarget)
		q.deadline = at.Add(interactiveTimeout)
	}
	g.prompt(q)
	g.requests = append(g.requests, q)
}

// logNormal returns a sample of a log-normal distribution with the given mean.
func (g *requestGenerator) logNormal(mean, sigma float64) float64 {
	return mean * math.Exp(sigma*g.random.NormFloat64()-sigma*sigma/2)
}

// prompt sets the prompt of a completion: a new one that begins with the
// account's template, or one of the latest 200 documents again.
func (g *requestGenerator) prompt(q *request) {
	if len(g.documents) > 0 && g.random.Float64() < repeatedDocumentShare {
		q.prefixes = g.documents[max(len(g.documents)-1-g.random.IntN(200), 0)]
		q.promptTokens = len(q.prefixes)*persimmoncart.BlockTokens + g.random.IntN(persimmoncart.BlockTokens)
		return
	}
	q.promptTokens = int(min(max(g.logNormal(meanPromptTokens, 0.8), 40), maxPromptTokens))
	prefix := uint64(q.account)*1_000_003 + 17
	for i := range q.promptTokens / persimmoncart.BlockTokens {
		if i > 0 { // the first block holds the account's template
			prefix = g.random.Uint64()
		}
		q.prefixes = append(q.prefixes, prefix)
	}
	if len(q.prefixes) > 0 {
		g.documents = append(g.documents, q.prefixes)
	}
}
