package concurrency

import (
	"math"
	"time"
)

const (
	// initialUnitTime is the time of a unit of work before the first sample.
	initialUnitTime = 30 * time.Millisecond
	// initialScale is the mean deviation of the logarithm of a time before samples show
	// it; minScale and maxScale bound it.
	initialScale = 0.25
	minScale     = 0.1
	maxScale     = 0.5
	// maxSlopeSamples bounds the weight of the samples of which the slope follows.
	maxSlopeSamples = 200
	// minReports is the weight of load reports, which halves with loadForgetHalfLife, below
	// which the mean load is no longer that of the reports.
	minReports = 0.1
	// scaleGain is the weight of one sample in the mean deviation.
	scaleGain = 0.01
)

// A Pool joins the estimators of the endpoints that serve one role. Its mean is the prior
// of each of them: an endpoint with few samples counts as the mean.
type Pool struct {
	level    float64 // logarithm of the seconds of a unit of work
	others   float64 // mean requests of other instances at an endpoint
	scale    float64 // mean deviation of the logarithm of a time
	slowdown float64 // mean time that work takes relative to normal
	slope    float64 // exponent of concurrency of an endpoint without samples
	weight   float64 // of the samples; 0 before the first

	sums poolSums

	// Sums over samples with decay, of which the slope follows: x is the logarithm of
	// concurrency, y that of the seconds of a unit at an endpoint of mean speed.
	initialSlope, sumX, sumXX, sumXY, sumY, sumWeight float64
}

// poolSums are the sums of a refresh.
type poolSums struct {
	level, limit, others, reports, slowdown, spread, weight float64
	endpoints                                               int
}

// PoolStats are the means of a Pool.
type PoolStats struct {
	Endpoints int
	Limit     float64 // mean concurrency up to which latency holds
	Spread    float64 // mean deviation of the endpoints' speeds from 1
}

// NewPool returns a Pool without samples. Slope is the exponent of concurrency of an
// endpoint without samples: 0 if requests do not slow down each other, and 1 if it works
// on one after the other.
func NewPool(slope float64) *Pool {
	return &Pool{level: math.Log(initialUnitTime.Seconds()), scale: initialScale, initialSlope: slope, slope: slope, slowdown: 1}
}

// BeginRefresh starts to compute the means from calls of Add for all endpoints. They are
// in force after EndRefresh.
func (p *Pool) BeginRefresh() { p.sums = poolSums{} }

// Add adds an endpoint to the means that are being computed.
func (p *Pool) Add(now time.Time, e *Estimator, l *Load) {
	level, weight := e.raw(now)
	p.sums.endpoints++
	p.sums.level += weight * level
	p.sums.weight += weight
	p.sums.limit += e.Limit(now)
	p.sums.spread += math.Abs(1 - e.Speed(now))
	if !l.reported.IsZero() {
		recent := decayWeight(now.Sub(l.reported), loadForgetHalfLife)
		p.sums.others += recent * l.mean
		p.sums.reports += recent
		p.sums.slowdown += recent * l.meanSlowdown
	}
}

// EndRefresh sets the means.
func (p *Pool) EndRefresh() {
	if p.weight = p.sums.weight; p.weight > 0 {
		p.level = p.sums.level / p.weight
	}
	if p.sums.reports > minReports {
		p.others, p.slowdown = p.sums.others/p.sums.reports, p.sums.slowdown/p.sums.reports
	}
}

// Stats returns the means of the last refresh.
func (p *Pool) Stats() PoolStats {
	n := float64(max(1, p.sums.endpoints))
	return PoolStats{Endpoints: p.sums.endpoints, Limit: p.sums.limit / n, Spread: p.sums.spread / n}
}

// addResidual adds a deviation of a time from its estimate to the mean deviation.
func (p *Pool) addResidual(residual float64) {
	p.scale += scaleGain * (min(residual, 2*p.scale) - p.scale)
	p.scale = min(max(p.scale, minScale), maxScale)
}

// addSlope adds a sample to the slope.
func (p *Pool) addSlope(x, y float64) {
	const keep = 1 - 1.0/maxSlopeSamples
	p.weight = max(p.weight, 1)
	p.sumWeight, p.sumX, p.sumXX = p.sumWeight*keep+1, p.sumX*keep+x, p.sumXX*keep+x*x
	p.sumY, p.sumXY = p.sumY*keep+y, p.sumXY*keep+x*y
	covariance := p.sumXY - p.sumX*p.sumY/p.sumWeight + priorSlopeWeight*p.initialSlope
	variance := p.sumXX - p.sumX*p.sumX/p.sumWeight + priorSlopeWeight
	p.slope = min(max(0, covariance/variance), maxSlope)
}
