package policy

import (
	"math/rand/v2"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/concurrency"
)

const (
	// adaptPeriod is the time after which the means of the pools are computed again.
	adaptPeriod = 100 * time.Millisecond
	// plainLoadMemory, prefillLoadMemory and decodeLoadMemory are the ages at which the
	// difference of the last load report to the mean counts half: requests of each kind
	// take a few of them.
	plainLoadMemory   = 100 * time.Millisecond
	prefillLoadMemory = 400 * time.Millisecond
	decodeLoadMemory  = 1500 * time.Millisecond
	// plainSlope, prefillSlope and decodeSlope are the exponents of concurrency of an
	// endpoint of which nothing is known yet: a prefill engine works on one prompt after
	// the other.
	plainSlope   = 0.1
	prefillSlope = 1
	decodeSlope  = 0.2
	// decodeCostEvents is the number of events whose time is the cost of an engine's pace.
	// With those of whole streams, KV cache would be moved to another region for an
	// engine that is a little faster or emptier.
	decodeCostEvents = 10
	// minPaceEvents is the number of events from which a stream shows an engine's pace.
	minPaceEvents = 8
)

// An adaptiveState is what is estimated of one endpoint.
type adaptiveState struct {
	estimator *concurrency.Estimator
	load      concurrency.Load
	pool      *concurrency.Pool
	reported  int // requests of all instances in the last report
	role      persimmoncart.Role
}

// An adaptiveKey identifies endpoints whose times are compared with each other: the times
// contain the network, which differs between regions.
type adaptiveKey struct {
	region persimmoncart.Region
	role   persimmoncart.Role
}

// addWork adds a sample to the estimate.
func (a *adaptiveState) addWork(now time.Time, e *EndpointState, took time.Duration, units float64, atLeast bool) {
	others := float64(max(0, a.reported-1))
	if atLeast || a.role == persimmoncart.RoleDecode { // the last report is not that of this response's end
		others = a.others(now) + float64(max(0, e.InFlight-1))
	}
	a.estimator.Record(now, concurrency.Sample{
		AtLeast: atLeast, Others: others, Slots: e.slots(), Slowdown: e.load.Slowdown, Took: took, Units: units,
	})
}

// memory returns the age at which the difference of the last report to the mean counts
// half.
func (a *adaptiveState) memory() time.Duration {
	switch a.role {
	case persimmoncart.RoleDecode:
		return decodeLoadMemory
	case persimmoncart.RolePrefill:
		return prefillLoadMemory
	default:
		return plainLoadMemory
	}
}

// others returns the expected number of requests of other instances.
func (a *adaptiveState) others(now time.Time) float64 { return a.load.Others(now, a.pool, a.memory()) }

// slots returns the requests that the endpoint serves at the same time, zero if unknown.
func (e *EndpointState) slots() int {
	if e.load.Slots > 0 {
		return e.load.Slots
	}
	return e.Endpoint.Slots
}

// AddStream records the time of the events of a stream that the engine has sent to its
// end, from the first one on.
func (e *EndpointState) AddStream(now time.Time, took time.Duration, events int) {
	if e.adaptive != nil && events >= minPaceEvents {
		e.adaptive.addWork(now, e, took, float64(events-1), false)
	}
}

// GiveUpWork records that units of work that were given up have taken more than the given
// time.
func (e *EndpointState) GiveUpWork(now time.Time, took time.Duration, units float64) {
	if e.adaptive != nil && e.adaptive.role != persimmoncart.RoleDecode {
		e.adaptive.addWork(now, e, took, units, true)
	}
}

// adaptWork records how long the given number of units of work took. A stream is recorded
// by AddStream.
func (e *EndpointState) adaptWork(now time.Time, took time.Duration, units float64) {
	if e.adaptive != nil && e.adaptive.role != persimmoncart.RoleDecode {
		e.adaptive.addWork(now, e, took, units, false)
	}
}

// adaptLoad records a load report; all are the requests of all instances, and those in
// load of the others.
func (e *EndpointState) adaptLoad(now time.Time, all int, load *persimmoncart.EndpointLoad) {
	if e.adaptive != nil {
		e.adaptive.reported = all
		e.adaptive.load.Report(now, e.adaptive.pool, float64(load.Running), load.Slowdown)
	}
}

// An adaptation holds the estimates of the pools of a Selector.
type adaptation struct {
	last      *EndpointState // of the endpoints at the last refresh, to which new ones are appended
	pools     map[adaptiveKey]*concurrency.Pool
	refreshed time.Time
}

// adapt makes sure that each endpoint has estimates for its role, and computes the means
// of the pools from time to time. It does nothing unless the selector is adaptive.
func (s *Selector) adapt(now time.Time, random *rand.Rand) {
	a := &s.adaptation
	if !s.Adaptive || len(s.Endpoints) == 0 {
		return
	}
	last := s.Endpoints[len(s.Endpoints)-1]
	if now.Sub(a.refreshed) < adaptPeriod && last == a.last {
		return
	}
	a.last, a.refreshed = last, now
	for _, p := range a.pools {
		p.BeginRefresh()
	}
	for _, e := range s.Endpoints {
		if e.adaptive == nil || e.adaptive.role != e.Endpoint.Role {
			pool := a.pool(adaptiveKey{region: e.Endpoint.Region, role: e.Endpoint.Role})
			e.adaptive = &adaptiveState{estimator: concurrency.NewEstimator(pool, random.Float64()), pool: pool, role: e.Endpoint.Role}
		}
		e.adaptive.pool.Add(now, e.adaptive.estimator, &e.adaptive.load)
	}
	for _, p := range a.pools {
		p.EndRefresh()
	}
}

// Concurrency returns the means of what is estimated of the endpoints of a role, as of the
// last choice of an endpoint.
func (s *Selector) Concurrency(role persimmoncart.Role) concurrency.PoolStats {
	var sum concurrency.PoolStats
	for k, p := range s.adaptation.pools {
		if k.role != role {
			continue
		}
		stats := p.Stats()
		n := float64(stats.Endpoints)
		sum.Endpoints += stats.Endpoints
		sum.Limit += n * stats.Limit
		sum.Spread += n * stats.Spread
	}
	n := float64(max(1, sum.Endpoints))
	sum.Limit, sum.Spread = sum.Limit/n, sum.Spread/n
	return sum
}

// pool returns the pool of estimates with the given key.
func (a *adaptation) pool(k adaptiveKey) *concurrency.Pool {
	p, found := a.pools[k]
	if !found {
		if a.pools == nil {
			a.pools = make(map[adaptiveKey]*concurrency.Pool)
		}
		p = concurrency.NewPool(initialSlope(k.role))
		a.pools[k] = p
	}
	return p
}

// initialSlope returns the exponent of concurrency of an endpoint without samples.
func initialSlope(role persimmoncart.Role) float64 {
	switch role {
	case persimmoncart.RoleDecode:
		return decodeSlope
	case persimmoncart.RolePrefill:
		return prefillSlope
	default:
		return plainSlope
	}
}

// adaptiveSeconds returns the expected time at an endpoint in seconds by the estimates,
// its wait included.
func (e *EndpointState) adaptiveSeconds(now time.Time, r *SelectorRequest) float64 {
	a := e.adaptive
	others := a.others(now) + float64(e.InFlight)
	slots := e.slots()
	switch r.Role {
	case persimmoncart.RolePrefill:
		units := float64(r.Tokens) / promptUnit
		if r.Tokens > 0 {
			others += float64(e.Tokens)/float64(r.Tokens) - float64(e.InFlight)
		}
		return a.estimator.Expected(now, others, slots) * units * a.load.Slowdown(now, a.pool)
	case persimmoncart.RoleDecode:
		if r.Size.Slots > 0 {
			slots = r.Size.Slots
		}
		c := a.estimator.Expected(now, others, slots) * decodeCostEvents * a.load.Slowdown(now, a.pool)
		room := float64(max(1, slots))
		c += overflowCost.Seconds() * max(0, others+1-float64(slots))
		if r.Size.KVTokens > 0 && r.Tokens > 0 {
			held := float64(e.Tokens+r.Tokens) + (others-float64(e.InFlight))*float64(r.Tokens)
			c += overflowCost.Seconds() * max(0, (held-float64(r.Size.KVTokens))/float64(r.Tokens))
			room = min(room, max(1, float64(r.Size.KVTokens)/float64(r.Tokens)))
		}
		// An engine that is slow holds the memory of each stream for longer: with the
		// requests in proportion to the room, it gets fewer.
		return c * (1 + others/room)
	default:
		return a.estimator.ExpectedInQueue(now, others, slots) * a.load.Slowdown(now, a.pool)
	}
}
