package bench

import "time"

// Names of the cases, as printed.
const (
	caseCacheGaps    = "cache-gaps"
	caseCrest        = "crest"
	caseNoisyAccount = "noisy-account"
	caseRegionCut    = "region-cut"
	caseSteady       = "steady"
	caseStoreDown    = "store-down"
	caseStragglers   = "stragglers"
	caseTurnover     = "turnover"
)

// Cases holds the names of all cases, sorted.
var Cases = []string{
	caseCacheGaps, caseCrest, caseNoisyAccount, caseRegionCut,
	caseSteady, caseStoreDown, caseStragglers, caseTurnover,
}

// Times of a run. Disturbances count from its start.
const (
	disturbanceStart = 40 * time.Second
	disturbanceEnd   = 70 * time.Second
	overloadRamp     = 3 * time.Second
	noisyLength      = 270 * time.Second // end of the measured requests with a noisy account
	noisyWarmup      = 150 * time.Second // start of the measured requests with a noisy account
	runLength        = 130 * time.Second // end of the measured requests; arrivals continue for runTail
	runTail          = 140 * time.Second
	shortLength      = 30 * time.Second // end of the measured requests at the planned size
)

// A scenario holds the load and length of one case.
type scenario struct {
	demandFactor func(time.Duration) float64 // factor on the rate of completions by time from the start; nil is 1
	length       time.Duration
	name         string
	noisyDemand  float64 // rate of the noisy account's completions, as a share of capacity
	short        bool    // shortened run, as at the planned size
}

// newScenario returns the scenario of a case.
func newScenario(name string, short bool) *scenario {
	s := &scenario{length: runLength, name: name, short: short}
	if short {
		s.length = shortLength
	}
	switch name {
	case caseCrest:
		s.demandFactor = s.overloadFactor
	case caseNoisyAccount:
		s.noisyDemand = 0.8
		if !short {
			s.length = noisyLength
		}
	}
	return s
}

// overloadFactor returns a factor that rises to 3 within overloadRamp and
// falls back as fast at the end of the disturbance.
func (s *scenario) overloadFactor(t time.Duration) float64 {
	begin, end := s.disturbance()
	up := min(max(float64(t-begin)/float64(overloadRamp), 0), 1)
	down := min(max(float64(t-end)/float64(overloadRamp), 0), 1)
	return 1 + 2*(up-down)
}

// disturbance returns when the disturbance of the case begins and ends, from
// the start of the run.
func (s *scenario) disturbance() (begin, end time.Duration) {
	if s.short {
		return s.length / 3, s.length * 2 / 3
	}
	return disturbanceStart, disturbanceEnd
}

// tail returns how long requests keep arriving after the measured ones, so
// that the last measured requests meet the same load as the others.
func (s *scenario) tail() time.Duration {
	if s.short {
		return 0
	}
	return runTail
}

// warmup returns the time before which requests are not measured. A lasting
// overload is measured only after the queue of batch requests has reached the
// longest deadline: before that, any router can postpone the older ones.
func (s *scenario) warmup() time.Duration {
	switch {
	case s.short:
		return warmup / 2
	case s.noisyDemand > 0:
		return noisyWarmup
	default:
		return warmup
	}
}
