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
	// loadTime is the span in which requests arrive and faults begin.
	loadTime = 4 * time.Second
	// pauseTime is longer than the term of a lease and than the window of a claim.
	pauseTime = 20 * time.Second

	// rollPeriod is the time between two replacements of a rolling one.
	rollPeriod = 4 * time.Second

	draftDeadline = 25 * time.Second
	lateCount     = 6
	requestCount  = 9
	rollCount     = 24
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
	Rolling  bool // every node is replaced, one after the other
	Seed     uint64
	Stop     time.Duration // a planned stop of one node; zero for none
	StopSite int
}

// An event is one fault that begins.
type event struct {
	At    time.Duration
	Fault Fault
	For   time.Duration
	Pick  int // chooses the object of the fault
}

// A request is one arrival of a caller's request.
type request struct {
	At     time.Duration
	Cancel time.Duration // after which the caller leaves; zero if it waits
	Key    string        // idempotency key of a booking
	Kind   kind
	Limit  int // tokens
	Number int
	Site   int // where the load balancer sends it first
	Words  int // of the prompt
}

// newPlan returns the plan of a seed under the faults.
func newPlan(seed uint64, faults []Fault) *plan {
	r := rand.New(rand.NewPCG(seed, 1))
	p := &plan{Faults: faults, Seed: seed, StopSite: r.IntN(len(sites))}
	if r.IntN(2) == 0 {
		p.Stop = loadStart + span(r, 0, loadTime)
	}
	for n := range requestCount {
		p.addRequest(r, n, loadStart)
	}
	// Without requests after the time of avoidance nothing would show that a
	// drained endpoint still gets work.
	for n := range lateCount {
		p.addRequest(r, requestCount+n, loadStart+avoidTime+time.Second)
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
	p.Rolling, p.Stop = true, 0
	r := rand.New(rand.NewPCG(seed, 3))
	for n := range rollCount {
		p.addRequest(r, requestCount+lateCount+n, loadStart+span(r, 0, time.Duration(len(sites))*rollPeriod))
	}
	return p
}

// addFault plans one fault.
func (p *plan) addFault(r *rand.Rand, f Fault) {
	if f == CallerCancels {
		for range 3 {
			q := &p.Requests[r.IntN(len(p.Requests))]
			q.Cancel = span(r, time.Millisecond, 2*time.Second)
		}
		return
	}
	e := event{At: loadStart + span(r, -time.Second, loadTime), Fault: f, For: span(r, time.Second, 10*time.Second), Pick: r.IntN(1 << 20)}
	if f == NodePauses {
		e.For = pauseTime
	}
	p.Events = append(p.Events, e)
}

// addRequest plans one request that arrives after from; a booking may arrive
// twice.
func (p *plan) addRequest(r *rand.Rand, n int, from time.Duration) {
	q := request{
		At:     from + span(r, 0, loadTime),
		Kind:   kind(n % int(kinds)),
		Limit:  10 + r.IntN(80),
		Number: n,
		Site:   r.IntN(len(sites)),
		Words:  20 + r.IntN(3000),
	}
	if q.Kind == kindDraft && r.IntN(3) == 0 {
		q.Limit = 500
	}
	if q.Kind == kindBooking {
		q.Key = fmt.Sprintf("booking-%d", n)
		if r.IntN(2) == 0 {
			again := q
			again.At += span(r, 0, time.Second)
			again.Site = r.IntN(len(sites))
			p.Requests = append(p.Requests, again)
		}
	}
	p.Requests = append(p.Requests, q)
}

// calm returns the time after which no fault acts any more.
func (p *plan) calm() time.Duration {
	calm := loadStart + avoidTime + time.Second + loadTime
	for _, e := range p.Events {
		calm = max(calm, e.At+e.For)
	}
	if p.Rolling {
		calm += time.Duration(len(sites)) * rollPeriod
	}
	return calm
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
	if p.Stop > 0 {
		fmt.Fprintf(&b, "%8s planned stop of entry-%d\n", p.Stop, p.StopSite)
	}
	for _, e := range p.Events {
		fmt.Fprintf(&b, "%8s %s for %s (%d)\n", e.At, e.Fault, e.For, e.Pick)
	}
	for _, q := range p.Requests {
		fmt.Fprintf(&b, "%8s request %d kind %d key %q at entry-%d, leaves after %s\n", q.At, q.Number, q.Kind, q.Key, q.Site, q.Cancel)
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
		c.Stop = 0
	}
	return &c
}

// parts returns the number of things that without can leave out.
func (p *plan) parts() int {
	n := len(p.Events) + len(p.Requests)
	if p.Stop > 0 {
		n++
	}
	return n
}

// span returns a time from low to high.
func span(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)))
}

// apply begins the event.
func (e event) apply(w *world) {
	now := time.Now()
	until := now.Add(e.For)
	switch e.Fault {
	default: // CallerCancels belongs to the requests
	case AnswerCrossed:
		w.set(func() { w.crossing = until })
	case AnswerLate:
		w.set(func() { w.lateness = until })
	case EndpointDies:
		w.disturb(e, disturbance{down: true})
	case EndpointSlow:
		w.disturb(e, disturbance{slow: 8})
	case ListLags:
		w.disturb(e, disturbance{leaving: true})
	case NodeDies:
		w.kill(e)
	case NodePauses:
		w.pause(e)
	case OperatorsRace:
		w.race(e)
	case OrderIgnoredFence:
		w.reorder(e)
	case RegionCut:
		w.separate(until)
	case ReportLags:
		w.lagReports()
	case StoreAnswerLost:
		w.set(func() { w.lost += 3 })
	case StoreDown:
		w.set(func() { w.storeDown = until })
	case StoreSlow:
		w.set(func() { w.storeSlow = until })
	case TransferStalls:
		w.disturb(e, disturbance{stall: true})
	}
}
