package policy

import (
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// stragglerEjectFailures is the number of failures in a row that eject an
	// endpoint. A single one may be the fault of the request, such as evicted
	// KV cache.
	stragglerEjectFailures = 2
	// stragglerMedianPeriod is the time after which the median is computed
	// again: samples arrive every few tokens, and a sort for each of them costs
	// more than the decisions.
	stragglerMedianPeriod = 100 * time.Millisecond
	// stragglerHealthyShare is the latency of a healthy endpoint relative to
	// its pool's target.
	stragglerHealthyShare = 0.75
	// stragglerEjectRatio is the ratio to the pool's median latency at which an
	// endpoint is ejected, if at least two thirds of the pool stay.
	stragglerEjectRatio = 2.5
	// stragglerGain is the weight of one new latency in an endpoint's average.
	stragglerGain = 0.4
	// stragglerMinProbe is the first delay until an ejected endpoint is probed.
	// It doubles with each failed probe up to stragglerMaxProbe.
	stragglerMinProbe = 2 * time.Second
	stragglerMaxProbe = 30 * time.Second
	// stragglerRecoveryRatio is the ratio to the median below which an endpoint
	// counts as healthy again.
	stragglerRecoveryRatio = 1.4
	// stragglerMinSamples is the number of samples needed to change an
	// endpoint's weight.
	stragglerMinSamples = 2
	// stragglerSlowRatio is the ratio to the median from which the weight is
	// lowered.
	stragglerSlowRatio = 1.6
	// stragglerMaxStates is the number of endpoints of a group from which those
	// without recent samples are dropped.
	stragglerMaxStates = 512
	// stragglerWindow is the age beyond which samples do not count.
	stragglerWindow = 20 * time.Second
)

// A StragglerDetector detects slow endpoints by the latencies that this
// instance measures, and failing ones by the calls.
type StragglerDetector struct {
	groups map[groupKey]*stragglerGroup
}

// A groupKey identifies the endpoints that are compared with each other.
type groupKey struct {
	pool persimmoncart.PoolName
	role persimmoncart.Role
}

// A stragglerGroup holds the endpoints of one role of a pool.
type stragglerGroup struct {
	medianKnown   bool
	medianSeconds float64
	medianTime    time.Time // when the median was computed
	reportedSlow  int       // slow endpoints that other instances report
	scratch       []float64
	size          int // number of endpoints
	states        map[persimmoncart.EndpointID]*latencyState
	target        time.Duration // latency up to which no endpoint counts as slow
}

// A latencyState holds the latency and the failures of one endpoint.
type latencyState struct {
	averageLatency float64       // seconds
	backoff        time.Duration // delay before the next probe
	ejected        bool          // because of its latency
	failed         bool          // ejected because of failures
	failures       int           // in a row
	probeAt        time.Time     // earliest time of the next probe
	sampledAt      time.Time     // last sample
	samples        int
	weight         float64 // 1 is healthy
}

// NewStragglerDetector returns a StragglerDetector without samples.
func NewStragglerDetector() *StragglerDetector {
	return &StragglerDetector{groups: make(map[groupKey]*stragglerGroup)}
}

// AddLatency records one latency of an endpoint: of a whole call, or the time
// of one token.
func (d *StragglerDetector) AddLatency(now time.Time, pool persimmoncart.PoolName, role persimmoncart.Role, id persimmoncart.EndpointID, latency time.Duration) {
	g := d.group(pool, role)
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
		e.averageLatency = latency.Seconds() // only the probe counts
	}
	g.updateWeight(now, e)
}

// Ejected returns the number of endpoints of a pool and role that are ejected
// because of their latency.
func (d *StragglerDetector) Ejected(pool persimmoncart.PoolName, role persimmoncart.Role) int {
	return d.group(pool, role).ejected()
}

// AddFailure records a failed call. After stragglerEjectFailures failures in a
// row the endpoint is ejected until a probe succeeds, however many others are
// ejected, because a dead endpoint serves no requests.
func (d *StragglerDetector) AddFailure(now time.Time, pool persimmoncart.PoolName, role persimmoncart.Role, id persimmoncart.EndpointID) {
	g := d.group(pool, role)
	e, found := g.states[id]
	if !found {
		g.dropStale(now)
		e = &latencyState{weight: 1}
		g.states[id] = e
	}
	e.failures++
	if e.failures < stragglerEjectFailures || e.failed && now.Before(e.probeAt) {
		return // calls in flight at the ejection may fail after it
	}
	e.backoff = min(max(2*e.backoff, stragglerMinProbe), stragglerMaxProbe)
	e.failed, e.probeAt = true, now.Add(e.backoff)
}

// Failed reports whether an endpoint is ejected because of failures.
func (d *StragglerDetector) Failed(pool persimmoncart.PoolName, role persimmoncart.Role, id persimmoncart.EndpointID) bool {
	e, found := d.group(pool, role).states[id]
	return found && e.failed
}

// AddSuccess records a successful call. An endpoint that was ejected because of
// failures is back in service.
func (d *StragglerDetector) AddSuccess(pool persimmoncart.PoolName, role persimmoncart.Role, id persimmoncart.EndpointID) {
	if e, found := d.group(pool, role).states[id]; found && e.failures > 0 {
		e.failed, e.failures, e.backoff = false, 0, 0
	}
}

// Len returns the number of endpoints with a recorded state.
func (d *StragglerDetector) Len() int {
	n := 0
	for _, g := range d.groups {
		n += len(g.states)
	}
	return n
}

// Median returns the median latency of a pool and role. It reports false if it
// is unknown.
func (d *StragglerDetector) Median(now time.Time, pool persimmoncart.PoolName, role persimmoncart.Role) (time.Duration, bool) {
	m, ok := d.group(pool, role).median(now)
	return time.Duration(m * float64(time.Second)), ok
}

// SetPool sets the number of endpoints of a pool and role, how many of them
// other instances report as slow, and the target latency, up to which no
// endpoint counts as slow.
func (d *StragglerDetector) SetPool(pool persimmoncart.PoolName, role persimmoncart.Role, size, reportedSlow int, target time.Duration) {
	g := d.group(pool, role)
	g.target, g.reportedSlow, g.size = target, reportedSlow, size
}

// Weight returns an endpoint's weight, 1 if it is healthy and 0 if it is
// ejected, and whether an ejected endpoint may be probed now.
func (d *StragglerDetector) Weight(now time.Time, pool persimmoncart.PoolName, role persimmoncart.Role, id persimmoncart.EndpointID) (weight float64, probe bool) {
	e, found := d.group(pool, role).states[id]
	switch {
	case !found:
		return 1, false
	case e.failed:
		return 0, !now.Before(e.probeAt)
	case e.ejected:
		// While running requests give samples, they show a recovery without a probe.
		return 0, !now.Before(e.probeAt) && now.Sub(e.sampledAt) >= stragglerMinProbe
	case now.Sub(e.sampledAt) > stragglerWindow:
		return 1, false
	default:
		return e.weight, false
	}
}

// group returns the group of a pool and role.
func (d *StragglerDetector) group(pool persimmoncart.PoolName, role persimmoncart.Role) *stragglerGroup {
	k := groupKey{pool: pool, role: role}
	g, found := d.groups[k]
	if !found {
		g = &stragglerGroup{states: make(map[persimmoncart.EndpointID]*latencyState)}
		d.groups[k] = g
	}
	return g
}

// ejected returns the number of endpoints ejected because of their latency.
func (g *stragglerGroup) ejected() int {
	n := 0
	for _, e := range g.states {
		if e.ejected {
			n++
		}
	}
	return n
}

// updateWeight sets the weight of an endpoint after a sample, ejects it or
// returns it to service.
func (g *stragglerGroup) updateWeight(now time.Time, e *latencyState) {
	median, ok := g.median(now)
	if !ok || e.samples < stragglerMinSamples && !e.ejected {
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

// dropStale drops endpoints without samples for a long time if there are
// stragglerMaxStates or more.
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

// median returns the median latency in seconds, computed at most once in each
// stragglerMedianPeriod. It reports false if it is unknown.
func (g *stragglerGroup) median(now time.Time) (float64, bool) {
	if now.Sub(g.medianTime) >= stragglerMedianPeriod || g.medianTime.IsZero() {
		g.medianTime = now
		g.medianSeconds, g.medianKnown = g.computeMedian(now)
	}
	return g.medianSeconds, g.medianKnown
}

// computeMedian returns the median latency of the endpoints with recent
// samples, in seconds. With fewer than three, a slow endpoint would be compared
// with its own latency, so the median is derived from the pool's target, if
// there is one.
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
