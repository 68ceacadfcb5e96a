package policy

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// minLatencyGrowth is the factor by which an endpoint's shortest latency grows
// with each call, so that it adapts to an endpoint that has moved farther away.
const minLatencyGrowth = 1.001

// latencyGain is the weight of a new latency in an endpoint's average.
const latencyGain = 0.1

// balancerChoices is the number of random endpoints that one choice compares.
// Pools are small, so this is often the whole pool.
const balancerChoices = 4

// A Balancer chooses application endpoints of one pool. It compares a few
// random endpoints by calls in flight and latency, and leaves out stragglers.
type Balancer struct {
	endpoints  []*balancedEndpoint // sorted by identifier
	pool       persimmoncart.PoolName
	stragglers *StragglerDetector
}

// A balancedEndpoint is the state of one endpoint of a Balancer.
type balancedEndpoint struct {
	averageLatency float64 // seconds
	endpoint       persimmoncart.Endpoint
	inFlight       int
	minLatency     float64 // seconds; the shortest recent latency, network included
	probing        bool    // a probe of the ejected endpoint is in flight
}

// NewBalancer returns a Balancer of a pool without endpoints.
func NewBalancer(pool persimmoncart.PoolName, stragglers *StragglerDetector) *Balancer {
	return &Balancer{pool: pool, stragglers: stragglers}
}

// InFlight returns the number of calls in flight on an endpoint.
func (b *Balancer) InFlight(id persimmoncart.EndpointID) int {
	for _, e := range b.endpoints {
		if e.endpoint.ID == id {
			return e.inFlight
		}
	}
	return 0
}

// Pick chooses an endpoint and counts a call on it. It reports false if the
// pool has none. Endpoints in avoid are used only if there is no other.
func (b *Balancer) Pick(now time.Time, random *rand.Rand, avoid []persimmoncart.EndpointID) (persimmoncart.Endpoint, bool) {
	var healthy, fallback []*balancedEndpoint
	for _, e := range b.endpoints {
		if e.endpoint.Leaving {
			continue
		}
		weight, probe := b.stragglers.Weight(now, b.pool, persimmoncart.RoleApplication, e.endpoint.ID)
		switch avoided := slices.Contains(avoid, e.endpoint.ID); {
		case probe && !avoided && !e.probing:
			e.probing = true
			e.inFlight++
			return e.endpoint, true
		case weight > 0 && !avoided:
			healthy = append(healthy, e)
		default:
			fallback = append(fallback, e)
		}
	}
	if len(healthy) == 0 {
		healthy = fallback
	}
	if len(healthy) == 0 {
		return persimmoncart.Endpoint{}, false
	}
	random.Shuffle(len(healthy), func(i, j int) { healthy[i], healthy[j] = healthy[j], healthy[i] })
	e := healthy[0]
	for _, o := range healthy[1:min(len(healthy), balancerChoices)] {
		if b.cost(now, o) < b.cost(now, e) {
			e = o
		}
	}
	e.inFlight++
	return e.endpoint, true
}

// Report records the result of a call that Pick counted on an endpoint.
func (b *Balancer) Report(now time.Time, result persimmoncart.CallResult) {
	i := slices.IndexFunc(b.endpoints, func(e *balancedEndpoint) bool { return e.endpoint.ID == result.Endpoint })
	if i < 0 {
		return
	}
	e := b.endpoints[i]
	e.inFlight = max(e.inFlight-1, 0)
	e.probing = false
	switch {
	case result.Failed:
		b.stragglers.AddFailure(now, b.pool, persimmoncart.RoleApplication, result.Endpoint)
	case result.Cancelled:
		// A call cancelled in favour of its hedge gives a lower bound of the
		// latency, which counts only if it exceeds the average.
		if result.Latency.Seconds() > e.averageLatency {
			b.addLatency(now, e, result.Latency)
		}
	default:
		b.stragglers.AddSuccess(b.pool, persimmoncart.RoleApplication, result.Endpoint)
		b.addLatency(now, e, result.Latency)
	}
}

// SetEndpoints replaces the endpoints and keeps the state of those that stay.
func (b *Balancer) SetEndpoints(endpoints []persimmoncart.Endpoint) {
	old := b.endpoints
	b.endpoints = nil
	for i := range endpoints {
		e := &balancedEndpoint{}
		if j := slices.IndexFunc(old, func(o *balancedEndpoint) bool { return o.endpoint.ID == endpoints[i].ID }); j >= 0 {
			e = old[j]
		}
		e.endpoint = endpoints[i]
		b.endpoints = append(b.endpoints, e)
	}
	b.stragglers.SetPool(b.pool, persimmoncart.RoleApplication, len(endpoints), 0, 0)
}

// cost returns the expected time of one more call in seconds, longer for
// endpoints of lowered weight.
func (b *Balancer) cost(now time.Time, e *balancedEndpoint) float64 {
	weight, _ := b.stragglers.Weight(now, b.pool, persimmoncart.RoleApplication, e.endpoint.ID)
	return float64(e.inFlight+1) * max(e.averageLatency, 0.001) / max(weight, 0.01)
}

// addLatency records a latency. Straggler detection receives it without the
// network distance: the time by which even the endpoint's shortest call is
// longer than the shortest in the pool.
func (b *Balancer) addLatency(now time.Time, e *balancedEndpoint, latency time.Duration) {
	seconds := latency.Seconds()
	if e.minLatency == 0 || seconds < e.minLatency {
		e.minLatency = seconds
	}
	e.minLatency *= minLatencyGrowth
	if e.averageLatency == 0 {
		e.averageLatency = seconds
	}
	e.averageLatency += latencyGain * (seconds - e.averageLatency)
	nearest := e.minLatency
	for _, o := range b.endpoints {
		if o.minLatency > 0 {
			nearest = min(nearest, o.minLatency)
		}
	}
	withoutDistance := latency - time.Duration((e.minLatency-nearest)*float64(time.Second))
	b.stragglers.AddLatency(now, b.pool, persimmoncart.RoleApplication, e.endpoint.ID, withoutDistance)
}
