package policy

import (
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// Constants of straggler detection.
const (
	// stragglerEjectFailures is the number of failures in a row that eject an endpoint:
	// one may be the fault of the request, such as evicted KV cache.
	stragglerEjectFailures = 2
	// stragglerMedianPeriod is how often the median is computed: samples come with every
	// few tokens, and a sort for each of them costs more than the decisions.
	stragglerMedianPeriod = 100 * time.Millisecond
	// stragglerHealthyShare is the latency of a healthy endpoint relative to its target.
	stragglerHealthyShare = 0.75
	// stragglerEjectRatio is the ratio to the pool's median at which an endpoint is
	// ejected, if enough of the pool stays.
	stragglerEjectRatio = 2.5
	// stragglerGain is the weight of one new sample.
	stragglerGain = 0.4
	// stragglerMinProbe is the first time until an ejected endpoint is probed; it
	// doubles with each failed probe up to stragglerProbeLimit.
	stragglerMinProbe = 2 * time.Second
	stragglerMaxProbe = 30 * time.Second
	// stragglerRecoveryRatio is the ratio below which an endpoint is healthy again.
	stragglerRecoveryRatio = 1.4
	// stragglerMinSamples is how many samples a judgement needs.
	stragglerMinSamples = 2
	// stragglerSlowRatio is the ratio from which the weight is lowered.
	stragglerSlowRatio = 1.6
	// stragglerMaxStates is the number of endpoints of a group from which those
	// without recent samples are dropped.
	stragglerMaxStates = 512
	// stragglerWindow is the age from which samples do not count.
	stragglerWindow = 20 * time.Second
)

// StragglerDetector detects slow endpoints from this instance's own latencies.
type StragglerDetector struct {
	groups map[groupKey]*stragglerGroup
}

// A groupKey names the endpoints that are compared with each other.
type groupKey struct {
	pool persimmoncart.PoolName
	role persimmoncart.Role
}

// A stragglerGroup is one role of a pool.
type stragglerGroup struct {
	medianTime    time.Time // of the median
	target        time.Duration
	medianKnown   bool
	medianSeconds float64 // median
	reportedSlow  int
	scratch       []float64
	size          int
	states        map[persimmoncart.EndpointID]*latencyState
}

// A latencyState is what is known about one endpoint.
type latencyState struct {
	sampledAt      time.Time
	averageLatency float64 // seconds
	backoff        time.Duration
	ejected        bool
	failed         bool
	failures       int       // in a row
	probeAt        time.Time // when an ejected endpoint is probed
	samples        int
	weight         float64
}

// NewStragglerDetector returns a Stragglers without samples.
func NewStragglerDetector() *StragglerDetector {
	return &StragglerDetector{groups: make(map[groupKey]*stragglerGroup)}
}

// AddLatency takes one latency of an endpoint: a whole call, or the time of one token.
func (s *StragglerDetector) AddLatency(now time.Time, pool persimmoncart.PoolName, role persimmoncart.Role, id persimmoncart.EndpointID, latency time.Duration) {
	g := s.group(pool, role)
	e, found := g.states[id]
	if !found || now.Sub(e.sampledAt) > stragglerWindow {
		if !found {
			g.dropStale(now)
			e = &latencyState{weight: 1}
			g.states[id] = e
		}
		e.averageLatency, e.samples = latency.Seconds(), 0
	}
	e.sampledAt = now
	e.averageLatency += stragglerGain * (latency.Seconds() - e.averageLatency)
	e.samples++
	if e.ejected && !now.Before(e.probeAt) {
		e.averageLatency = latency.Seconds() // the probe alone decides
	}
	g.updateWeight(now, e)
}

// Ejected returns the number of ejected endpoints of a pool and role.
func (s *StragglerDetector) Ejected(pool persimmoncart.PoolName, role persimmoncart.Role) int {
	return s.group(pool, role).ejected()
}

// AddFailure takes a failed call. After failuresEject failures in a row the endpoint
// is ejected until a probe succeeds, however many others are, because a dead
// endpoint serves nobody.
func (s *StragglerDetector) AddFailure(now time.Time, pool persimmoncart.PoolName, role persimmoncart.Role, id persimmoncart.EndpointID) {
	g := s.group(pool, role)
	e, found := g.states[id]
	if !found {
		g.dropStale(now)
		e = &latencyState{weight: 1}
		g.states[id] = e
	}
	e.failures++
	if e.failures < stragglerEjectFailures || e.failed && now.Before(e.probeAt) {
		return // the latter were in flight when the endpoint was ejected
	}
	e.backoff = min(max(2*e.backoff, stragglerMinProbe), stragglerMaxProbe)
	e.failed, e.probeAt = true, now.Add(e.backoff)
}

// Failed reports whether the last call on an endpoint failed.
func (s *StragglerDetector) Failed(pool persimmoncart.PoolName, role persimmoncart.Role, id persimmoncart.EndpointID) bool {
	e, found := s.group(pool, role).states[id]
	return found && e.failed
}

// AddSuccess takes a successful call: an endpoint that failed is back in service.
func (s *StragglerDetector) AddSuccess(pool persimmoncart.PoolName, role persimmoncart.Role, id persimmoncart.EndpointID) {
	if e, found := s.group(pool, role).states[id]; found && e.failures > 0 {
		e.failed, e.failures, e.backoff = false, 0, 0
	}
}

// Len returns the number of endpoints with a state.
func (s *StragglerDetector) Len() int {
	n := 0
	for _, g := range s.groups {
		n += len(g.states)
	}
	return n
}

// Median returns the median latency of a pool and role, and whether it is known.
func (s *StragglerDetector) Median(now time.Time, pool persimmoncart.PoolName, role persimmoncart.Role) (time.Duration, bool) {
	m, known := s.group(pool, role).median(now)
	return time.Duration(m * float64(time.Second)), known
}

// SetPool states the number of endpoints of a pool and role, how many of them
// other instances report as slow, and the latency that never counts as slow.
func (s *StragglerDetector) SetPool(pool persimmoncart.PoolName, role persimmoncart.Role, size, others int, floor time.Duration) {
	g := s.group(pool, role)
	g.target, g.reportedSlow, g.size = floor, others, size
}

// Weight returns an endpoint's weight, 0 if it is ejected, and whether an
// ejected endpoint may be probed now.
func (s *StragglerDetector) Weight(now time.Time, pool persimmoncart.PoolName, role persimmoncart.Role, id persimmoncart.EndpointID) (weight float64, probe bool) {
	e, found := s.group(pool, role).states[id]
	switch {
	case !found:
		return 1, false
	case e.failed:
		return 0, !now.Before(e.probeAt)
	case e.ejected:
		// Requests that still run there show a recovery by themselves.
		return 0, !now.Before(e.probeAt) && now.Sub(e.sampledAt) >= stragglerMinProbe
	case now.Sub(e.sampledAt) > stragglerWindow:
		return 1, false
	default:
		return e.weight, false
	}
}

// group returns the group of a pool and role.
func (s *StragglerDetector) group(pool persimmoncart.PoolName, role persimmoncart.Role) *stragglerGroup {
	k := groupKey{pool: pool, role: role}
	g, found := s.groups[k]
	if !found {
		g = &stragglerGroup{states: make(map[persimmoncart.EndpointID]*latencyState)}
		s.groups[k] = g
	}
	return g
}

// ejected returns the number of ejected endpoints.
func (g *stragglerGroup) ejected() int {
	n := 0
	for _, e := range g.states {
		if e.ejected {
			n++
		}
	}
	return n
}

// updateWeight sets the weight of an endpoint after a sample.
func (g *stragglerGroup) updateWeight(now time.Time, e *latencyState) {
	median, known := g.median(now)
	if !known || e.samples < stragglerMinSamples && !e.ejected {
		return
	}
	ratio := e.averageLatency / median
	if e.averageLatency <= g.target.Seconds() {
		ratio = min(ratio, 1)
	}
	switch {
	case e.ejected && ratio < stragglerRecoveryRatio:
		e.ejected, e.backoff, e.weight = false, 0, 1
	case e.ejected:
		if !now.Before(e.probeAt) {
			e.backoff = min(2*e.backoff, stragglerMaxProbe)
			e.probeAt = now.Add(e.backoff)
		}
	case ratio >= stragglerEjectRatio && 3*(g.ejected()+g.reportedSlow+1) <= g.size:
		e.ejected, e.backoff = true, stragglerMinProbe
		e.probeAt = now.Add(e.backoff)
	case ratio >= stragglerSlowRatio:
		e.weight = 1 / ratio
	case ratio < stragglerRecoveryRatio:
		e.weight = 1
	}
}

// dropStale drops endpoints without samples for a long time once there are many.
func (g *stragglerGroup) dropStale(now time.Time) {
	if len(g.states) < stragglerMaxStates {
		return
	}
	for id, e := range g.states {
		if now.Sub(e.sampledAt) > stragglerMaxProbe+stragglerWindow {
			delete(g.states, id)
		}
	}
}

// median returns the median of the endpoints with samples. With fewer than
// three, the slower one would be judged by its own latency; the pool's target
// stands in for the median then, if there is one.
func (g *stragglerGroup) median(now time.Time) (float64, bool) {
	if now.Sub(g.medianTime) >= stragglerMedianPeriod || g.medianTime.IsZero() {
		g.medianTime = now
		g.medianSeconds, g.medianKnown = g.computeMedian(now)
	}
	return g.medianSeconds, g.medianKnown
}

// computeMedian computes the median.
func (g *stragglerGroup) computeMedian(now time.Time) (float64, bool) {
	values := g.scratch[:0]
	for _, e := range g.states {
		if now.Sub(e.sampledAt) <= stragglerWindow {
			values = append(values, e.averageLatency)
		}
	}
	g.scratch = values
	if len(values) < 3 {
		return stragglerHealthyShare * g.target.Seconds(), g.target > 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2], true
}
