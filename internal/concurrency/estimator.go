package concurrency

import (
	"math"
	"time"
)

const (
	// priorSamples is the number of samples that the mean of the pool counts as: the
	// variance of one sample relative to the variance between endpoints of a pool.
	priorSamples = 2
	// priorSlopeWeight is the weight of the pool's prior slope, relative to the sum of
	// squares of the logarithms of concurrency.
	priorSlopeWeight = 4
	// maxSamples bounds the weight of the samples of one endpoint, so that it follows a
	// lasting change.
	maxSamples = 24
	// sampleHalfLife is the age at which samples count half. Speeds differ lastingly, and
	// an instance that is one of many rarely has a sample of one engine.
	sampleHalfLife = 3 * time.Minute
	// maxResidualScales is the number of mean deviations at which one sample is clipped.
	maxResidualScales = 2
	// recentGain is the weight of one sample in the recent deviation of an endpoint.
	recentGain = 0.5
	// recentHalfLife is the time in which the recent deviation halves without samples. At
	// each instance it is multiplied by a random factor from minJitter, over jitterSpan.
	recentHalfLife = 3 * time.Second
	minJitter      = 0.7
	jitterSpan     = 0.6
	// deadScales is the number of mean deviations up to which recent requests show no
	// change.
	deadScales = 1.5
	// maxRecent bounds the logarithm of the recent deviation.
	maxRecent = 2.5
	// maxSlope is the highest exponent of concurrency: a little more than that of an
	// endpoint which works on one request after the other.
	maxSlope = 1.2
	// maxLimit is the highest limit of an endpoint that states no slots.
	maxLimit = 1000
	// latencyTolerance is the time of a unit of work, relative to that without other
	// requests, up to which latency holds.
	latencyTolerance = 1.5
	// maxLoad is the share of the slots in use up to which the wait of requests that come
	// at random is estimated; it has no bound at 1.
	maxLoad = 0.95
)

// A Sample is one request that an endpoint has served.
type Sample struct {
	AtLeast  bool    // the request was given up: it would have taken longer
	Others   float64 // requests of all instances that the endpoint had beside this one, waiting ones included
	Slots    int     // requests that the endpoint serves at the same time
	Slowdown float64 // time that work took relative to normal, as reported; 0 if unknown
	Took     time.Duration
	Units    float64 // of work
}

// An Estimator estimates the speed of one endpoint in one role. The time of a unit of
// work beside n other requests is modelled as exp(level) * (1+n)^slope up to the
// endpoint's slots, and in proportion to the requests beyond them.
type Estimator struct {
	pool *Pool

	jitter  float64   // factor of recentHalfLife: instances forget a deviation at different times
	level   float64   // logarithm of the seconds of a unit of work without other requests
	recent  float64   // logarithm of the recent times relative to the model
	slope   float64   // exponent of concurrency
	updated time.Time // last sample
	slots   int       // in the last sample

	// Sums over samples with decay: x is the logarithm of concurrency, y that of the
	// seconds of a unit.
	sumX, sumXX, sumXY, sumY, weight float64
}

// NewEstimator returns an Estimator without samples. Random is a number from 0 to 1.
func NewEstimator(pool *Pool, random float64) *Estimator {
	return &Estimator{jitter: minJitter + jitterSpan*random, level: pool.level, pool: pool, slope: pool.slope}
}

// deviation returns the factor by which recent requests took longer than the model of the
// endpoint says. Deviations that chance explains count as none, and twice as large ones in
// full.
func (e *Estimator) deviation(now time.Time) float64 {
	chance := deadScales * e.pool.scale
	if math.Abs(e.recent) <= chance {
		return 1 // it only falls with time
	}
	recent := e.recent * e.recentWeight(now.Sub(e.updated))
	return math.Exp(recent * min(max(0, math.Abs(recent)/chance-1), 1))
}

// Expected returns the expected seconds of a unit of work beside other requests, the wait
// for a slot included and a slowdown excluded.
func (e *Estimator) Expected(now time.Time, others float64, slots int) float64 {
	x, wait := concurrencyOf(others, slots)
	return math.Exp(e.levelAt(now)+e.slope*x) * e.deviation(now) * wait
}

// ExpectedInQueue returns the same for an endpoint whose requests come at random: part of
// them waits although the mean of the others is below the slots.
func (e *Estimator) ExpectedInQueue(now time.Time, others float64, slots int) float64 {
	c := e.Expected(now, others, slots)
	if slots <= 0 {
		return c
	}
	k := float64(slots)
	load := min(others/k, maxLoad)
	return c * (1 + math.Pow(load, math.Sqrt(2*(k+1))-1)/(k*(1-load)))
}

// Limit returns the concurrency up to which latency holds: at least 1, and at most the
// endpoint's slots.
func (e *Estimator) Limit(time.Time) float64 {
	limit := float64(maxLimit)
	if e.slots > 0 {
		limit = float64(e.slots)
	}
	if e.slope > 0 {
		limit = min(limit, math.Pow(latencyTolerance, 1/e.slope))
	}
	return max(1, limit)
}

// Record adds a sample.
func (e *Estimator) Record(now time.Time, s Sample) {
	if s.Units <= 0 || s.Took <= 0 {
		return
	}
	e.slots = s.Slots
	x, wait := concurrencyOf(s.Others, s.Slots)
	y := math.Log(s.Took.Seconds() / s.Units / max(1, s.Slowdown) / wait)
	e.decay(now)
	if e.pool.weight == 0 && !s.AtLeast {
		// The first sample of the pool: there is no prior to compare it with.
		e.pool.level = y - e.pool.slope*x
	}
	e.solve()
	residual := y - e.level - e.slope*x
	if s.AtLeast && residual <= 0 {
		return
	}
	e.recent += recentGain * (min(max(residual, -maxRecent), maxRecent) - e.recent)
	clip := maxResidualScales * e.pool.scale
	e.pool.addResidual(math.Abs(residual))
	y += min(max(residual, -clip), clip) - residual
	keep := 1 - 1/float64(maxSamples)
	e.weight, e.sumX, e.sumXX = e.weight*keep+1, e.sumX*keep+x, e.sumXX*keep+x*x
	e.sumY, e.sumXY = e.sumY*keep+y, e.sumXY*keep+x*y
	e.pool.addSlope(x, y-e.level+e.pool.level)
	e.solve()
}

// Speed returns the endpoint's speed relative to the mean of its pool, which is 1.
func (e *Estimator) Speed(now time.Time) float64 {
	return math.Exp(e.pool.level-e.levelAt(now)) / e.deviation(now)
}

// decay reduces the weight of the samples by their age.
func (e *Estimator) decay(now time.Time) {
	if !e.updated.IsZero() {
		age := now.Sub(e.updated)
		e.recent *= e.recentWeight(age)
		keep := decayWeight(age, sampleHalfLife)
		e.weight, e.sumX, e.sumXX, e.sumXY, e.sumY = e.weight*keep, e.sumX*keep, e.sumXX*keep, e.sumXY*keep, e.sumY*keep
	}
	e.updated = now
}

// levelAt returns the level at now: without samples it returns to the mean of the pool.
func (e *Estimator) levelAt(now time.Time) float64 {
	if e.weight == 0 {
		return e.pool.level
	}
	weight := e.weight * decayWeight(now.Sub(e.updated), sampleHalfLife)
	full := e.weight / (e.weight + priorSamples)
	return e.pool.level + (e.level-e.pool.level)*weight/(weight+priorSamples)/full
}

// raw returns the level that the samples alone show, and its weight from 0 to 1.
func (e *Estimator) raw(now time.Time) (level, weight float64) {
	if e.weight == 0 {
		return 0, 0
	}
	w := e.weight * decayWeight(now.Sub(e.updated), sampleHalfLife)
	return (e.sumY - e.slope*e.sumX) / e.weight, w / (w + priorSamples)
}

// recentWeight returns the weight of a recent deviation of the given age.
func (e *Estimator) recentWeight(age time.Duration) float64 {
	return decayWeight(age, time.Duration(e.jitter*float64(recentHalfLife)))
}

// solve computes level and slope by least squares, with the pool's as the prior.
func (e *Estimator) solve() {
	w, xx := e.weight+priorSamples, e.sumXX+priorSlopeWeight
	y, xy := e.sumY+priorSamples*e.pool.level, e.sumXY+priorSlopeWeight*e.pool.slope
	e.slope = min(max(0, (w*xy-e.sumX*y)/(w*xx-e.sumX*e.sumX)), maxSlope)
	e.level = (y - e.slope*e.sumX) / w
}

// concurrencyOf returns the logarithm of the requests that are served at the same time,
// and the factor by which those that wait for a slot prolong a request.
func concurrencyOf(others float64, slots int) (x, wait float64) {
	running, wait := 1+max(0, others), 1.0
	if most := float64(slots); slots > 0 && running > most {
		running, wait = most, running/most
	}
	return math.Log(running), wait
}

// decayWeight returns the weight of a sample of the given age.
func decayWeight(age, half time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(half))
}
