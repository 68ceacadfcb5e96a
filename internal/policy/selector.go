package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// otherRegionCost and farDataCentre are what a request to another region or data
	// centre costs beside its time on the way: links between them are narrow and
	// paid by volume. They are stated as the wait that is worth avoiding them.
	otherRegionCost     = 80 * time.Millisecond
	otherDataCentreCost = 8 * time.Millisecond
	// cacheOtherRegionCost and transferDataCentre are the same for KV cache that a
	// decode engine fetches, which is larger by five orders of magnitude.
	cacheOtherRegionCost     = time.Second
	cacheOtherDataCentreCost = 15 * time.Millisecond
	// runOnceFailureCost and failRepeatable are the costs of a certain failure of a
	// request that may run once, and of one that can be sent again.
	runOnceFailureCost    = time.Second
	repeatableFailureCost = 300 * time.Millisecond
	// lastResortCost keeps endpoints that the store no longer lists, and those that
	// broke their word, as a last resort.
	lastResortCost = 5 * time.Second
	// overflowCost is the wait for each request's worth of memory or slots that
	// an engine lacks.
	overflowCost = 300 * time.Millisecond
	// loadHalfLife is the age at which a reported load counts half, and
	// decodeHalfLife the same for a decode engine, whose requests run for seconds.
	loadHalfLife       = 400 * time.Millisecond
	decodeLoadHalfLife = 1500 * time.Millisecond
	// fullPeriod is how long an engine that refused a request is left alone,
	// unless a request of this instance ends there.
	fullPeriod = 120 * time.Millisecond
	// reservationRefusedPeriod is how long an engine is left alone that refused a request for
	// which it had reserved a place: it is changing its role, or about to leave.
	reservationRefusedPeriod = 4 * time.Second
	// excludeAfterRefusals is how many such refusals in a row show that it takes nothing at
	// all. A single one may come from KV cache that could not be fetched.
	excludeAfterRefusals = 2
	// slowdownHalfLife is the same for the slowness that an endpoint reports.
	slowdownHalfLife = 600 * time.Millisecond
	// workGain is the weight of one new duration in an average.
	workGain = 0.15
	// initialWork is the average before the first duration: of a plain request, of
	// a thousand prefilled tokens, and of the decode of one request.
	initialWork = 30 * time.Millisecond
	// costNoise is the random share of a cost, so that instances with the same
	// view do not all choose the same endpoint.
	costNoise = 0.25
	// promptUnit is the number of prompt tokens that work is measured by.
	promptUnit = 1000
)

// A EndpointState is what one instance knows of one endpoint.
type EndpointState struct {
	Endpoint persimmoncart.Endpoint
	InFlight int // own requests
	Missing  bool
	Tokens   int // of own requests: to prefill, or held in memory
	Failures FailureRate

	reservationRefusals int       // refusals in a row of requests that it had reserved a place for
	fullUntil           time.Time // until when it counts as full
	avoidUntil          time.Time // until when it is left alone
	load                persimmoncart.EndpointLoad
	loadTime            time.Time
	unitSeconds         float64 // seconds for each unit of work, without the way there
}

// ClearFull notes that a request of this instance ended.
func (e *EndpointState) ClearFull() { e.fullUntil = time.Time{} }

// MarkFull notes that the endpoint has no place for a request.
func (e *EndpointState) MarkFull(now time.Time) { e.fullUntil = now.Add(fullPeriod) }

// ReservationRefused notes that the endpoint broke its word to take a request. A second time
// within twice shutTime shows that it was no chance.
func (e *EndpointState) ReservationRefused(now time.Time) {
	if now.After(e.avoidUntil.Add(reservationRefusedPeriod)) {
		e.reservationRefusals = 0
	}
	e.reservationRefusals++
	e.avoidUntil = now.Add(reservationRefusedPeriod)
}

// AddWork takes how long the given amount of work took.
func (e *EndpointState) AddWork(took time.Duration, units float64) {
	if units <= 0 {
		return
	}
	seconds := took.Seconds() / units
	if e.unitSeconds == 0 {
		e.unitSeconds = initialWork.Seconds()
	}
	e.unitSeconds += workGain * (seconds - e.unitSeconds)
}

// SetLoad takes the load that the endpoint states.
func (e *EndpointState) SetLoad(now time.Time, load persimmoncart.EndpointLoad) {
	// The statement counts own requests as well.
	load.Running = max(0, load.Running+load.Waiting-e.InFlight)
	e.load, e.loadTime = load, now
}

// Waiting returns the requests that waited when the endpoint last stated its load.
func (e *EndpointState) Waiting() int { return e.load.Waiting }

// otherRequests returns the expected requests of other instances.
func (e *EndpointState) otherRequests(now time.Time) float64 {
	if e.loadTime.IsZero() {
		return 0
	}
	half := loadHalfLife
	if e.Endpoint.Role == persimmoncart.RoleDecode {
		half = decodeLoadHalfLife
	}
	return float64(e.load.Running) * decayWeight(now.Sub(e.loadTime), half)
}

// hasRoom reports whether the engine is expected to have a free slot and memory.
func (e *EndpointState) hasRoom(now time.Time, r *SelectorRequest) bool {
	if now.Before(e.fullUntil) || now.Before(e.avoidUntil) && e.reservationRefusals >= excludeAfterRefusals {
		return false
	}
	others := e.otherRequests(now)
	if r.Size.Slots > 0 && float64(e.InFlight)+others+1 > float64(r.Size.Slots) {
		return false
	}
	return r.Size.KVTokens == 0 || float64(e.Tokens+r.MinFreeTokens)+others*float64(r.Tokens) <= float64(r.Size.KVTokens)
}

// slowdown returns how long work takes relative to the usual.
func (e *EndpointState) slowdown(now time.Time) float64 {
	if e.load.Slowdown <= 1 {
		return 1
	}
	return 1 + (e.load.Slowdown-1)*decayWeight(now.Sub(e.loadTime), slowdownHalfLife)
}

// A EndpointView is what a choice knew of its endpoint, for logs.
type EndpointView struct {
	FailureRate   float64 // recent failure rate
	InFlight      int     // own requests
	OtherRequests float64 // expected requests of other instances
	LoadAge       time.Duration
	Slowdown      float64
}

// View returns what is known of the endpoint. Reported is the age of its last
// statement, zero if there is none.
func (e *EndpointState) View(now time.Time) EndpointView {
	v := EndpointView{FailureRate: hundredths(e.Failures.Rate(now)), InFlight: e.InFlight, OtherRequests: hundredths(e.otherRequests(now)), Slowdown: hundredths(e.slowdown(now))}
	if !e.loadTime.IsZero() {
		v.LoadAge = now.Sub(e.loadTime)
	}
	return v
}

// hundredths rounds a number for logs.
func hundredths(x float64) float64 { return math.Round(100*x) / 100 }

// A SelectorRequest is what an endpoint is chosen for.
type SelectorRequest struct {
	Avoid         []persimmoncart.EndpointID // used only if there is no other
	RunOnce       bool                       // may run only once
	DataCentre    persimmoncart.DataCentre   // that the request comes from
	Region        persimmoncart.Region
	Role          persimmoncart.Role
	MinFreeTokens int                          // tokens that have to be free; zero takes engines that are full as well
	Size          persimmoncart.EngineCapacity // of an engine; zero if unknown
	Tokens        int                          // to prefill, or to hold in memory
}

// A Selector chooses the endpoint of a pool where a request costs the least: its
// expected wait and work there, the way, and the risk that it fails. It answers
// load that swings faster than reports arrive, with many instances that choose
// at the same moment.
type Selector struct {
	Endpoints []*EndpointState
}

// Pick returns the best endpoint, or nil if there is none with the role.
func (s *Selector) Pick(now time.Time, random *rand.Rand, r *SelectorRequest) *EndpointState {
	var best *EndpointState
	var least float64
	for _, e := range s.Endpoints {
		if e.Endpoint.Leaving || e.Endpoint.Role != r.Role {
			continue
		}
		if r.MinFreeTokens > 0 && !e.hasRoom(now, r) {
			continue
		}
		c := s.cost(now, e, r) * (1 + costNoise*random.Float64())
		if slices.Contains(r.Avoid, e.Endpoint.ID) {
			c += lastResortCost.Seconds()
		}
		if best == nil || c < least {
			best, least = e, c
		}
	}
	return best
}

// ExpectedTime returns the expected time of a request at an endpoint, its wait included.
func (s *Selector) ExpectedTime(now time.Time, e *EndpointState, r *SelectorRequest) time.Duration {
	return time.Duration(s.expectedSeconds(now, e, r) * float64(time.Second))
}

// cost returns the expected cost of a request, in seconds.
func (s *Selector) cost(now time.Time, e *EndpointState, r *SelectorRequest) float64 {
	c := s.expectedSeconds(now, e, r) + distanceCost(e, r).Seconds()
	fail := repeatableFailureCost
	if r.RunOnce {
		fail = runOnceFailureCost
	}
	c += fail.Seconds() * e.Failures.Rate(now)
	if e.Missing || now.Before(e.avoidUntil) {
		c += lastResortCost.Seconds()
	}
	return c
}

// expectedSeconds returns the expected time at the endpoint, in seconds.
func (s *Selector) expectedSeconds(now time.Time, e *EndpointState, r *SelectorRequest) float64 {
	work := e.unitSeconds
	if work == 0 {
		work = initialWork.Seconds()
	}
	work *= e.slowdown(now)
	others := e.otherRequests(now)
	switch r.Role {
	case persimmoncart.RolePrefill:
		// The queue of a prefill engine is the prompts before this one.
		tokens := float64(e.Tokens+r.Tokens) + others*float64(r.Tokens)
		return work * tokens / promptUnit
	case persimmoncart.RoleDecode:
		running := float64(e.InFlight) + others
		c := work * (1 + running/max(1, float64(r.Size.Slots)))
		c += overflowCost.Seconds() * max(0, running+1-float64(r.Size.Slots))
		if r.Size.KVTokens > 0 && r.Tokens > 0 {
			held := float64(e.Tokens+r.Tokens) + others*float64(r.Tokens)
			c += overflowCost.Seconds() * max(0, (held-float64(r.Size.KVTokens))/float64(r.Tokens))
		}
		return c
	default:
		slots := float64(max(1, e.Endpoint.Slots))
		running := float64(e.InFlight) + others
		// Endpoints work more slowly when nearly full, and a queue forms beyond.
		return work * (1 + running/slots + 2*max(0, running+1-slots)/slots)
	}
}

// distanceCost returns the cost of the way to the endpoint.
func distanceCost(e *EndpointState, r *SelectorRequest) time.Duration {
	region, centre := otherRegionCost, otherDataCentreCost
	if r.Role == persimmoncart.RoleDecode {
		region, centre = cacheOtherRegionCost, cacheOtherDataCentreCost
	}
	switch {
	case e.Endpoint.Region != r.Region:
		return region
	case e.Endpoint.DataCentre != r.DataCentre:
		return centre
	default:
		return 0
	}
}
