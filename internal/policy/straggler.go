package policy

import (
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// Constants of straggler detection.
const (
	// failuresEject is the number of failures in a row that eject an endpoint:
	// one may be the fault of the request, such as evicted KV cache.
	failuresEject = 2
	// medianPeriod is how often the median is computed: samples come with every
	// few tokens, and a sort for each of them costs more than the decisions.
	medianPeriod = 100 * time.Millisecond
	// targetShare is the latency of a healthy endpoint relative to its target.
	targetShare = 0.75
	// stragglerEject is the ratio to the pool's median at which an endpoint is
	// ejected, if enough of the pool stays.
	stragglerEject = 2.5
	// stragglerGain is the weight of one new sample.
	stragglerGain = 0.4
	// stragglerProbe is the first time until an ejected endpoint is probed; it
	// doubles with each failed probe up to stragglerProbeLimit.
	stragglerProbe      = 2 * time.Second
	stragglerProbeLimit = 30 * time.Second
	// stragglerReturn is the ratio below which an endpoint is healthy again.
	stragglerReturn = 1.4
	// stragglerSamples is how many samples a judgement needs.
	stragglerSamples = 2
	// stragglerSlow is the ratio from which the weight is lowered.
	stragglerSlow = 1.6
	// stragglerStates is the number of endpoints of a group from which those
	// without recent samples are dropped.
	stragglerStates = 512
	// stragglerWindow is the age from which samples do not count.
	stragglerWindow = 20 * time.Second
)

// Stragglers detects slow endpoints from this instance's own latencies.
type Stragglers struct {
	groups map[groupKey]*stragglerGroup
}

// A groupKey names the endpoints that are compared with each other.
type groupKey struct {
	pool persimmoncart.PoolName
	role persimmoncart.Role
}

// A stragglerGroup is one role of a pool.
type stragglerGroup struct {
	computed time.Time // of the median
	floor    time.Duration
	known    bool
	middle   float64 // median
	others   int
	scratch  []float64
	size     int
	states   map[persimmoncart.EndpointID]*latencyState
}

// A latencyState is what is known about one endpoint.
type latencyState struct {
	at       time.Time
	average  float64 // seconds
	backoff  time.Duration
	ejected  bool
	failed   bool
	failures int       // in a row
	probe    time.Time // when an ejected endpoint is probed
	samples  int
	weight   float64
}

// NewStragglers returns a Stragglers without samples.
func NewStragglers() *Stragglers {
	return &Stragglers{groups: make(map[groupKey]*stragglerGroup)}
}

// Add takes one latency of an endpoint: a whole call, or the time of one token.
func (s *Stragglers) Add(now time.Time, pool persimmoncart.PoolName, role persimmoncart.Role, id persimmoncart.EndpointID, latency time.Duration) {
	g := s.group(pool, role)
	e, found := g.states[id]
	if !found || now.Sub(e.at) > stragglerWindow {
		if !found {
			g.shrink(now)
			e = &latencyState{weight: 1}
			g.states[id] = e
		}
		e.average, e.samples = latency.Seconds(), 0
	}
	e.at = now
	e.average += stragglerGain * (latency.Seconds() - e.average)
	e.samples++
	if e.ejected && !now.Before(e.probe) {
		e.average = latency.Seconds() // the probe alone decides
	}
	g.judge(now, e)
}

// Ejected returns the number of ejected endpoints of a pool and role.
func (s *Stragglers) Ejected(pool persimmoncart.PoolName, role persimmoncart.Role) int {
	return s.group(pool, role).ejected()
}

// Fail takes a failed call. After failuresEject failures in a row the endpoint
// is ejected until a probe succeeds, however many others are, because a dead
// endpoint serves nobody.
func (s *Stragglers) Fail(now time.Time, pool persimmoncart.PoolName, role persimmoncart.Role, id persimmoncart.EndpointID) {
	g := s.group(pool, role)
	e, found := g.states[id]
	if !found {
		g.shrink(now)
		e = &latencyState{weight: 1}
		g.states[id] = e
	}
	e.failures++
	if e.failures < failuresEject || e.failed && now.Before(e.probe) {
		return // the latter were in flight when the endpoint was ejected
	}
	e.backoff = min(max(2*e.backoff, stragglerProbe), stragglerProbeLimit)
	e.failed, e.probe = true, now.Add(e.backoff)
}

// Failed reports whether the last call on an endpoint failed.
func (s *Stragglers) Failed(pool persimmoncart.PoolName, role persimmoncart.Role, id persimmoncart.EndpointID) bool {
	e, found := s.group(pool, role).states[id]
	return found && e.failed
}

// Succeed takes a successful call: an endpoint that failed is back in service.
func (s *Stragglers) Succeed(pool persimmoncart.PoolName, role persimmoncart.Role, id persimmoncart.EndpointID) {
	if e, found := s.group(pool, role).states[id]; found && e.failures > 0 {
		e.failed, e.failures, e.backoff = false, 0, 0
	}
}

// Len returns the number of endpoints with a state.
func (s *Stragglers) Len() int {
	n := 0
	for _, g := range s.groups {
		n += len(g.states)
	}
	return n
}

// Median returns the median latency of a pool and role, and whether it is known.
func (s *Stragglers) Median(now time.Time, pool persimmoncart.PoolName, role persimmoncart.Role) (time.Duration, bool) {
	m, known := s.group(pool, role).median(now)
	return time.Duration(m * float64(time.Second)), known
}

// SetPool states the number of endpoints of a pool and role, how many of them
// other instances report as slow, and the latency that never counts as slow.
func (s *Stragglers) SetPool(pool persimmoncart.PoolName, role persimmoncart.Role, size, others int, floor time.Duration) {
	g := s.group(pool, role)
	g.floor, g.others, g.size = floor, others, size
}

// Weight returns an endpoint's weight, 0 if it is ejected, and whether an
// ejected endpoint may be probed now.
func (s *Stragglers) Weight(now time.Time, pool persimmoncart.PoolName, role persimmoncart.Role, id persimmoncart.EndpointID) (weight float64, probe bool) {
	e, found := s.group(pool, role).states[id]
	switch {
	case !found:
		return 1, false
	case e.failed:
		return 0, !now.Before(e.probe)
	case e.ejected:
		// Requests that still run there show a recovery by themselves.
		return 0, !now.Before(e.probe) && now.Sub(e.at) >= stragglerProbe
	case now.Sub(e.at) > stragglerWindow:
		return 1, false
	default:
		return e.weight, false
	}
}

// group returns the group of a pool and role.
func (s *Stragglers) group(pool persimmoncart.PoolName, role persimmoncart.Role) *stragglerGroup {
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

// judge sets the weight of an endpoint after a sample.
func (g *stragglerGroup) judge(now time.Time, e *latencyState) {
	median, known := g.median(now)
	if !known || e.samples < stragglerSamples && !e.ejected {
		return
	}
	ratio := e.average / median
	if e.average <= g.floor.Seconds() {
		ratio = min(ratio, 1)
	}
	switch {
	case e.ejected && ratio < stragglerReturn:
		e.ejected, e.backoff, e.weight = false, 0, 1
	case e.ejected:
		if !now.Before(e.probe) {
			e.backoff = min(2*e.backoff, stragglerProbeLimit)
			e.probe = now.Add(e.backoff)
		}
	case ratio >= stragglerEject && 3*(g.ejected()+g.others+1) <= g.size:
		e.ejected, e.backoff = true, stragglerProbe
		e.probe = now.Add(e.backoff)
	case ratio >= stragglerSlow:
		e.weight = 1 / ratio
	case ratio < stragglerReturn:
		e.weight = 1
	}
}

// shrink drops endpoints without samples for a long time once there are many.
func (g *stragglerGroup) shrink(now time.Time) {
	if len(g.states) < stragglerStates {
		return
	}
	for id, e := range g.states {
		if now.Sub(e.at) > stragglerProbeLimit+stragglerWindow {
			delete(g.states, id)
		}
	}
}

// median returns the median of the endpoints with samples. With fewer than
// three, the slower one would be judged by its own latency; the pool's target
// stands in for the median then, if there is one.
func (g *stragglerGroup) median(now time.Time) (float64, bool) {
	if now.Sub(g.computed) >= medianPeriod || g.computed.IsZero() {
		g.computed = now
		g.middle, g.known = g.compute(now)
	}
	return g.middle, g.known
}

// compute computes the median.
func (g *stragglerGroup) compute(now time.Time) (float64, bool) {
	values := g.scratch[:0]
	for _, e := range g.states {
		if now.Sub(e.at) <= stragglerWindow {
			values = append(values, e.average)
		}
	}
	g.scratch = values
	if len(values) < 3 {
		return targetShare * g.floor.Seconds(), g.floor > 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2], true
}
