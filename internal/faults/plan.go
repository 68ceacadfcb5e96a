package faults

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	// loadStart is when requests begin to arrive. Before, the nodes apply the initial
	// configuration.
	loadStart = 3 * time.Second
	// loadDuration is the length of the interval in which requests arrive and faults
	// begin.
	loadDuration = 4 * time.Second
	// pauseDuration is the length of a pause of a node. It exceeds the term of a lease
	// and the dispatch window of a claim.
	pauseDuration = 20 * time.Second

	// replacementPeriod is the time between the replacements of two nodes in a rolling
	// replacement.
	replacementPeriod = 4 * time.Second

	// draftDeadline is the deadline of a draft request.
	draftDeadline = 25 * time.Second

	lateRequestCount    = 6  // requests that arrive after drainTime
	requestCount        = 9  // requests that arrive from loadStart on
	rollingRequestCount = 24 // further requests of a rolling replacement
)

// Kinds of requests; kinds is their number.
const (
	kindBooking kind = iota
	kindDraft
	kindLookup
	kinds
)

// A kind is a kind of request.
type kind uint8

// A plan lists all requests, faults and stops of one schedule. Two runs of a plan
// differ only in the order of concurrent goroutines.
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

// newPlan returns a random plan with the given faults. Equal seeds and faults give
// equal plans.
func newPlan(seed uint64, faults []Fault) *plan {
	r := rand.New(rand.NewPCG(seed, 1))
	p := &plan{Faults: faults, Seed: seed, StopSite: r.IntN(len(sites))}
	if r.IntN(2) == 0 {
		p.StopTime = loadStart + randomDuration(r, 0, loadDuration)
	}
	for n := range requestCount {
		p.addRequest(r, n, loadStart)
	}
	// Requests after drainTime show whether a drained endpoint still gets work.
	for n := range lateRequestCount {
		p.addRequest(r, requestCount+n, loadStart+drainTime+time.Second)
	}
	for _, f := range faults {
		p.addFault(r, f)
	}
	return p
}

// rollingPlan returns a plan without faults in which every node is replaced while
// requests arrive.
func rollingPlan(seed uint64) *plan {
	p := newPlan(seed, nil)
	p.Rolling, p.StopTime = true, 0
	r := rand.New(rand.NewPCG(seed, 3))
	for n := range rollingRequestCount {
		p.addRequest(r, requestCount+lateRequestCount+n, loadStart+randomDuration(r, 0, time.Duration(len(sites))*replacementPeriod))
	}
	return p
}

// addFault adds one fault to the plan.
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

// addRequest adds one request that arrives within loadDuration after from. A booking
// may be sent twice with the same idempotency key.
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
			duplicate := q
			duplicate.Arrival += randomDuration(r, 0, time.Second)
			duplicate.Site = r.IntN(len(sites))
			p.Requests = append(p.Requests, duplicate)
		}
	}
	p.Requests = append(p.Requests, q)
}

// activityEnd returns the time after which no request arrives and no fault is active.
func (p *plan) activityEnd() time.Duration {
	end := loadStart + drainTime + time.Second + loadDuration
	for _, e := range p.Events {
		end = max(end, e.Begin+e.Duration)
	}
	if p.Rolling {
		end += time.Duration(len(sites)) * replacementPeriod
	}
	return end
}

// has reports whether the plan has one of the faults.
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

// String returns the plan as text, one line for each stop, fault and request.
func (p *plan) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d\n", p.Seed)
	if p.StopTime > 0 {
		fmt.Fprintf(&b, "%8s graceful stop of entry-%d\n", p.StopTime, p.StopSite)
	}
	for _, e := range p.Events {
		fmt.Fprintf(&b, "%8s %s for %s (%d)\n", e.Begin, e.Fault, e.Duration, e.Random)
	}
	for _, q := range p.Requests {
		fmt.Fprintf(&b, "%8s request %d kind %d key %q at entry-%d, cancels after %s\n", q.Arrival, q.Number, q.Kind, q.IdempotencyKey, q.Site, q.CancelAfter)
	}
	return b.String()
}

// without returns a copy of the plan without element n, counted over the events, the
// requests and the graceful stop.
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

// removable returns the number of elements that without can remove.
func (p *plan) removable() int {
	n := len(p.Events) + len(p.Requests)
	if p.StopTime > 0 {
		n++
	}
	return n
}

// randomDuration returns a random duration in [low, high).
func randomDuration(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)))
}

// apply injects the fault of the event.
func (e event) apply(cluster *cluster) {
	now := time.Now()
	until := now.Add(e.Duration)
	switch e.Fault {
	default: // CallerCancels is part of the requests
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
