package faults

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	// loadStart leaves the nodes time to take the configuration.
	loadStart = 3 * time.Second
	// loadDuration is the span in which requests arrive and faults begin.
	loadDuration = 4 * time.Second
	// pauseDuration is longer than the term of a lease and than the window of a claim.
	pauseDuration = 20 * time.Second

	// replacementPeriod is the time between two replacements of a rolling one.
	replacementPeriod = 4 * time.Second

	draftDeadline       = 25 * time.Second
	lateRequestCount    = 6
	requestCount        = 9
	rollingRequestCount = 24
)

// Kinds of requests.
const (
	kindBooking kind = iota
	kindDraft
	kindLookup
	kinds
)

// A kind is a kind of request.
type kind uint8

// A plan is everything that happens in one schedule. The same plan with the
// same seed is the same schedule, up to the order of concurrent goroutines.
type plan struct {
	Events   []event
	Faults   []Fault
	Requests []request
	Rolling  bool // replaces every node, one after the other
	Seed     uint64
	StopSite int           // site of the node that is stopped gracefully
	StopTime time.Duration // start of the graceful stop; zero for none
}

// An event injects one fault.
type event struct {
	Begin    time.Duration // since the start of the schedule
	Duration time.Duration
	Fault    Fault
	Random   int // selects the target and the variant of the fault
}

// A request is one request of a caller.
type request struct {
	Arrival        time.Duration // since the start of the schedule
	CancelAfter    time.Duration // time until the caller cancels; zero if it waits for the end
	IdempotencyKey string        // of a booking
	Kind           kind
	MaxTokens      int // tokens to generate for a draft
	Number         int
	Site           int // site that the load balancer tries first
	WordCount      int // words in the prompt of a draft
}

// newPlan returns the plan of a seed under the faults.
func newPlan(seed uint64, faults []Fault) *plan {
	r := rand.New(rand.NewPCG(seed, 1))
	p := &plan{Faults: faults, Seed: seed, StopSite: r.IntN(len(sites))}
	if r.IntN(2) == 0 {
		p.StopTime = loadStart + randomDuration(r, 0, loadDuration)
	}
	for n := range requestCount {
		p.addRequest(r, n, loadStart)
	}
	// Without requests after the time of avoidance nothing would show that a
	// drained endpoint still gets work.
	for n := range lateRequestCount {
		p.addRequest(r, requestCount+n, loadStart+drainTime+time.Second)
	}
	for _, f := range faults {
		p.addFault(r, f)
	}
	return p
}

// rollingPlan returns a plan without faults in which every node is replaced
// while requests arrive.
func rollingPlan(seed uint64) *plan {
	p := newPlan(seed, nil)
	p.Rolling, p.StopTime = true, 0
	r := rand.New(rand.NewPCG(seed, 3))
	for n := range rollingRequestCount {
		p.addRequest(r, requestCount+lateRequestCount+n, loadStart+randomDuration(r, 0, time.Duration(len(sites))*replacementPeriod))
	}
	return p
}

// addFault plans one fault.
func (p *plan) addFault(r *rand.Rand, f Fault) {
	if f == CallerCancels {
		for range 3 {
			q := &p.Requests[r.IntN(len(p.Requests))]
			q.CancelAfter = randomDuration(r, time.Millisecond, 2*time.Second)
		}
		return
	}
	e := event{Begin: loadStart + randomDuration(r, -time.Second, loadDuration), Duration: randomDuration(r, time.Second, 10*time.Second), Fault: f, Random: r.IntN(1 << 20)}
	if f == NodePauses {
		e.Duration = pauseDuration
	}
	p.Events = append(p.Events, e)
}

// addRequest plans one request that arrives after from; a booking may arrive
// twice.
func (p *plan) addRequest(r *rand.Rand, n int, from time.Duration) {
	q := request{
		Arrival:   from + randomDuration(r, 0, loadDuration),
		Kind:      kind(n % int(kinds)),
		MaxTokens: 10 + r.IntN(80),
		Number:    n,
		Site:      r.IntN(len(sites)),
		WordCount: 20 + r.IntN(3000),
	}
	if q.Kind == kindDraft && r.IntN(3) == 0 {
		q.MaxTokens = 500
	}
	if q.Kind == kindBooking {
		q.IdempotencyKey = fmt.Sprintf("booking-%d", n)
		if r.IntN(2) == 0 {
			again := q
			again.Arrival += randomDuration(r, 0, time.Second)
			again.Site = r.IntN(len(sites))
			p.Requests = append(p.Requests, again)
		}
	}
	p.Requests = append(p.Requests, q)
}

// activityEnd returns the time after which no fault acts any more.
func (p *plan) activityEnd() time.Duration {
	activityEnd := loadStart + drainTime + time.Second + loadDuration
	for _, e := range p.Events {
		activityEnd = max(activityEnd, e.Begin+e.Duration)
	}
	if p.Rolling {
		activityEnd += time.Duration(len(sites)) * replacementPeriod
	}
	return activityEnd
}

// has reports whether the plan has the fault.
func (p *plan) has(faults ...Fault) bool {
	for _, f := range faults {
		for _, e := range p.Events {
			if e.Fault == f {
				return true
			}
		}
	}
	return false
}

// String returns the plan as a trace.
func (p *plan) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d\n", p.Seed)
	if p.StopTime > 0 {
		fmt.Fprintf(&b, "%8s planned stop of entry-%d\n", p.StopTime, p.StopSite)
	}
	for _, e := range p.Events {
		fmt.Fprintf(&b, "%8s %s for %s (%d)\n", e.Begin, e.Fault, e.Duration, e.Random)
	}
	for _, q := range p.Requests {
		fmt.Fprintf(&b, "%8s request %d kind %d key %q at entry-%d, leaves after %s\n", q.Arrival, q.Number, q.Kind, q.IdempotencyKey, q.Site, q.CancelAfter)
	}
	return b.String()
}

// without returns the plan without the event, request or stop of a number.
func (p *plan) without(n int) *plan {
	c := *p
	switch {
	case n < len(p.Events):
		c.Events = append(append([]event(nil), p.Events[:n]...), p.Events[n+1:]...)
	case n < len(p.Events)+len(p.Requests):
		n -= len(p.Events)
		c.Requests = append(append([]request(nil), p.Requests[:n]...), p.Requests[n+1:]...)
	default:
		c.StopTime = 0
	}
	return &c
}

// parts returns the number of things that without can leave out.
func (p *plan) removable() int {
	n := len(p.Events) + len(p.Requests)
	if p.StopTime > 0 {
		n++
	}
	return n
}

// span returns a time from low to high.
func randomDuration(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)))
}

// apply begins the event.
func (e event) apply(cluster *cluster) {
	now := time.Now()
	until := now.Add(e.Duration)
	switch e.Fault {
	default: // CallerCancels belongs to the requests
	case AnswerCrossed:
		cluster.withLock(func() { cluster.mismatchUntil = until })
	case AnswerLate:
		cluster.withLock(func() { cluster.lateUntil = until })
	case EndpointDies:
		cluster.injectEndpointFault(e, endpointFault{down: true})
	case EndpointSlow:
		cluster.injectEndpointFault(e, endpointFault{slow: 8})
	case ListLags:
		cluster.injectEndpointFault(e, endpointFault{leaving: true})
	case NodeDies:
		cluster.killNode(e)
	case NodePauses:
		cluster.pauseNode(e)
	case OperatorsRace:
		cluster.raceEdits(e)
	case OrderIgnoredFence:
		cluster.sendStaleOrder(e)
	case RegionCut:
		cluster.partition(until)
	case ReportLags:
		cluster.delayLoadReports()
	case StoreAnswerLost:
		cluster.withLock(func() { cluster.lostResponses += 3 })
	case StoreDown:
		cluster.withLock(func() { cluster.storeDownUntil = until })
	case StoreSlow:
		cluster.withLock(func() { cluster.storeSlowUntil = until })
	case TransferStalls:
		cluster.injectEndpointFault(e, endpointFault{stall: true})
	}
}
