package bench

import "time"

// Names of the cases.
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

// Cases are the names of all cases, sorted.
var Cases = []string{
	caseCacheGaps, caseCrest, caseNoisyAccount, caseRegionCut,
	caseSteady, caseStoreDown, caseStragglers, caseTurnover,
}

// Times of the disturbances, from the start of the run.
const (
	disturbBegin   = 40 * time.Second
	disturbEnd     = 70 * time.Second
	crestRamp      = 3 * time.Second
	overloadLength = 270 * time.Second
	overloadWarmup = 150 * time.Second
	runLength      = 130 * time.Second // measured; arrivals go on for runTail
	runTail        = 140 * time.Second
	shortLength    = 30 * time.Second // at the planned size
)

// A scenario is one case.
type scenario struct {
	demand func(time.Duration) float64 // factor on completions; nil is 1
	length time.Duration
	name   string
	noisy  float64 // demand of one account, in capacities
	short  bool
}

// newScenario returns the case with the given name.
func newScenario(name string, short bool) *scenario {
	s := &scenario{length: runLength, name: name, short: short}
	if short {
		s.length = shortLength
	}
	switch name {
	case caseCrest:
		s.demand = s.crest
	case caseNoisyAccount:
		s.noisy = 0.8
		if !short {
			s.length = overloadLength
		}
	}
	return s
}

// crest triples demand within crestRamp and takes it back as fast.
func (s *scenario) crest(t time.Duration) float64 {
	begin, end := s.disturbance()
	up := min(max(float64(t-begin)/float64(crestRamp), 0), 1)
	down := min(max(float64(t-end)/float64(crestRamp), 0), 1)
	return 1 + 2*(up-down)
}

// disturbance returns when the disturbance of the case begins and ends.
func (s *scenario) disturbance() (begin, end time.Duration) {
	if s.short {
		return s.length / 3, s.length * 2 / 3
	}
	return disturbBegin, disturbEnd
}

// tail returns how long requests keep arriving after the measured ones, so that
// the last measured ones meet the same load as the others.
func (s *scenario) tail() time.Duration {
	if s.short {
		return 0
	}
	return runTail
}

// warmup returns the time before which requests are not measured. A lasting
// overload is measured once the queue of drafts has reached the longest
// deadline: before that, any router can put off the older drafts.
func (s *scenario) warmup() time.Duration {
	switch {
	case s.short:
		return warmup / 2
	case s.noisy > 0:
		return overloadWarmup
	default:
		return warmup
	}
}
