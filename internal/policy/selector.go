package policy

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// otherRegionCost and otherDataCentreCost are the costs of sending a
	// request to another region or data centre, beside its time on the network:
	// the links between them are narrow and billed by volume. Each is the extra
	// wait that is accepted to avoid the link.
	otherRegionCost     = 80 * time.Millisecond
	otherDataCentreCost = 8 * time.Millisecond
	// cacheOtherRegionCost and cacheOtherDataCentreCost are the costs of a decode
	// engine in another region or data centre: the KV cache that it fetches is
	// larger than a request by five orders of magnitude.
	cacheOtherRegionCost     = time.Second
	cacheOtherDataCentreCost = 15 * time.Millisecond
	// runOnceFailureCost and repeatableFailureCost are the costs of a certain
	// failure: of a request that may run only once, and of one that can be sent
	// again.
	runOnceFailureCost    = time.Second
	repeatableFailureCost = 300 * time.Millisecond
	// lastResortCost is added for endpoints that the store no longer lists,
	// that refused a request with a reservation, or that the request avoids,
	// so that they are used only if there is no other.
	lastResortCost = 5 * time.Second
	// fewMissingFactor is the number of listed endpoints for each missing one from
	// which few are missing.
	fewMissingFactor = 2
	// overflowCost is the cost of each request's worth of memory or slots that
	// an engine lacks.
	overflowCost = 300 * time.Millisecond
	// loadHalfLife is the age at which a reported load counts half. For a
	// decode engine it is decodeLoadHalfLife, because its requests run for
	// seconds.
	loadHalfLife       = 400 * time.Millisecond
	decodeLoadHalfLife = 1500 * time.Millisecond
	// fullPeriod is how long an engine that refused a request is left out,
	// unless a request of this instance ends there.
	fullPeriod = 120 * time.Millisecond
	// unreachablePeriod is how long an engine that did not respond is left out; it
	// doubles with each further time up to maxUnreachablePeriod.
	unreachablePeriod    = 120 * time.Millisecond
	maxUnreachablePeriod = 2 * time.Second
	// reservationRefusedPeriod is how long an engine is avoided after it refused a
	// request with a reservation: the engine is changing its role or about to
	// stop.
	reservationRefusedPeriod = 4 * time.Second
	// excludeAfterRefusals is the number of such refusals in a row after which
	// the engine is left out for that period, even if there is no other. A
	// single one may come from KV cache that could not be fetched.
	excludeAfterRefusals = 2
	// slowdownHalfLife is the age at which a reported slowdown counts half.
	slowdownHalfLife = 600 * time.Millisecond
	// workGain is the weight of one new sample in the average time of a unit of
	// work.
	workGain = 0.15
	// initialWork is the time of a unit of work before the first sample: a
	// plain request, a thousand prefilled tokens, or the decode of one request.
	initialWork = 30 * time.Millisecond
	// costNoise is the largest random addition to a cost, as a share of it, so
	// that instances with the same data do not all choose the same endpoint.
	costNoise = 0.25
	// promptUnit is the number of prompt tokens in one unit of prefill work.
	promptUnit = 1000
)

// An EndpointState holds the measurements of one instance and the reports that it
// received about one endpoint.
type EndpointState struct {
	Endpoint   persimmoncart.Endpoint
	Failures   FailureRate
	InFlight   int  // requests of this instance
	Missing    bool // no longer listed by the store
	Unverified bool // failed since its last response: another process may be at its address
	Tokens     int  // of this instance's requests: to prefill, or held in memory

	adaptive            *adaptiveState             // nil unless the selector is adaptive
	avoidUntil          time.Time                  // used only as a last resort until then
	backOffUntil        time.Time                  // not used until then
	fullUntil           time.Time                  // left out until then
	load                persimmoncart.EndpointLoad // last report; Running is without this instance's requests
	loadTime            time.Time                  // of the last report; zero if there is none
	requests            requestLimit
	reservationRefusals int           // consecutive refusals of requests with a reservation
	unitSeconds         float64       // average time of a unit of work, without the network
	unreachable         time.Duration // for which it was left out the last time that it did not respond; zero after a response
	unreachableUntil    time.Time     // left out until then
}

// BackOff records that the endpoint wants no requests of this instance until the
// given time.
func (e *EndpointState) BackOff(until time.Time) {
	if until.After(e.backOffUntil) {
		e.backOffUntil = until
	}
}

// BackOffLeft returns the time for which the endpoint is still not to be used; zero
// if it is.
func (e *EndpointState) BackOffLeft(now time.Time) time.Duration {
	return max(0, e.backOffUntil.Sub(now))
}

// RateLimit returns the requests a second that the endpoint takes from all instances
// together; zero for no limit.
func (e *EndpointState) RateLimit() float64 { return e.requests.total }

// SetRateLimit sets the requests a second that the endpoint takes from all instances
// together, zero for no limit, and those that it takes from this instance.
func (e *EndpointState) SetRateLimit(now time.Time, total, share float64) {
	e.requests.set(now, total, share)
}

// TakeRequest counts a request or call against the endpoint's limit. It reports false
// if the endpoint does not take it.
func (e *EndpointState) TakeRequest(now time.Time) bool {
	return e.BackOffLeft(now) == 0 && e.requests.take(now)
}

// WaitLeft returns the time until the endpoint takes a request of this instance again;
// zero if it does.
func (e *EndpointState) WaitLeft(now time.Time) time.Duration {
	return max(e.BackOffLeft(now), e.requests.left(now))
}

// ClearFull records that a request of this instance ended, so that the endpoint
// counts as full no longer.
func (e *EndpointState) ClearFull() { e.fullUntil = time.Time{} }

// MarkFull records that the endpoint refused a request because it is full.
func (e *EndpointState) MarkFull(now time.Time) { e.fullUntil = now.Add(fullPeriod) }

// MarkUnreachable records that the endpoint did not respond to a call. One that has ended
// looks idle until its record is removed: without a pause, waiting requests would spend
// their time on it.
func (e *EndpointState) MarkUnreachable(now time.Time) {
	if now.Before(e.unreachableUntil) {
		return // another request has found the same
	}
	e.unreachable = min(max(unreachablePeriod, 2*e.unreachable), maxUnreachablePeriod)
	e.unreachableUntil = now.Add(e.unreachable)
}

// MarkReachable records that the endpoint responded.
func (e *EndpointState) MarkReachable() { e.unreachable, e.unreachableUntil = 0, time.Time{} }

// ReservationRefused records that the endpoint refused a request with a
// reservation. Refusals are in a row if each is within twice
// reservationRefusedPeriod of the previous one.
func (e *EndpointState) ReservationRefused(now time.Time) {
	if now.After(e.avoidUntil.Add(reservationRefusedPeriod)) {
		e.reservationRefusals = 0
	}
	e.reservationRefusals++
	e.avoidUntil = now.Add(reservationRefusedPeriod)
}

// AddWork records how long the given number of units of work took.
func (e *EndpointState) AddWork(now time.Time, took time.Duration, units float64) {
	if units <= 0 {
		return
	}
	e.adaptWork(now, took, units)
	seconds := took.Seconds() / units
	if e.unitSeconds == 0 {
		e.unitSeconds = initialWork.Seconds()
	}
	e.unitSeconds += workGain * (seconds - e.unitSeconds)
}

// SetLoad records the load that the endpoint reports.
func (e *EndpointState) SetLoad(now time.Time, load persimmoncart.EndpointLoad) {
	// The report includes the requests of this instance.
	all := load.Running + load.Waiting
	load.Running = max(0, all-e.InFlight)
	e.adaptLoad(now, all, &load)
	e.load, e.loadTime = load, now
}

// Waiting returns the number of waiting requests in the endpoint's last report.
func (e *EndpointState) Waiting() int { return e.load.Waiting }

// otherRequests returns the expected number of requests of other instances.
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

// hasRoom reports whether the engine is expected to have a free slot and enough
// free memory.
func (e *EndpointState) hasRoom(now time.Time, r *SelectorRequest) bool {
	if now.Before(e.fullUntil) || now.Before(e.unreachableUntil) || now.Before(e.avoidUntil) && e.reservationRefusals >= excludeAfterRefusals {
		return false
	}
	otherRequests := e.otherRequests(now)
	if r.Size.Slots > 0 && float64(e.InFlight)+otherRequests+1 > float64(r.Size.Slots) {
		return false
	}
	return r.Size.KVTokens == 0 || float64(e.Tokens+r.MinFreeTokens)+otherRequests*r.otherTokens() <= float64(r.Size.KVTokens)
}

// draw returns a number from 0 to 1 by which all instances tell the same endpoints from
// the others.
func (e *EndpointState) draw() float64 {
	return float64(xxhash.Sum64String(string(e.Endpoint.ID))) / math.MaxUint64
}

// slowdown returns how long work takes relative to normal; at least 1.
func (e *EndpointState) slowdown(now time.Time) float64 {
	if e.load.Slowdown <= 1 {
		return 1
	}
	return 1 + (e.load.Slowdown-1)*decayWeight(now.Sub(e.loadTime), slowdownHalfLife)
}

// A SelectorRequest is a request that an endpoint is chosen for.
type SelectorRequest struct {
	Avoid         []persimmoncart.EndpointID // used only if there is no other
	DataCentre    persimmoncart.DataCentre   // where the request comes from
	MinFreeTokens int                        // memory that must be free, in tokens; zero allows full engines
	OtherTokens   int                        // expected memory of a request of another instance; zero for that of this one
	Region        persimmoncart.Region
	Reserved      float64 // share of the endpoints that are kept for more urgent requests
	Role          persimmoncart.Role
	RunOnce       bool                          // must not be sent again after it may have run
	Size          persimmoncart.EngineCapacity  // of an engine; zero if unknown
	Software      persimmoncart.SoftwareVersion // that the endpoint must run; empty for any
	Tokens        int                           // to prefill, or to hold in memory
}

// matches reports whether an endpoint may get the request, however loaded it is.
func (r *SelectorRequest) matches(e *persimmoncart.Endpoint) bool {
	return !e.Leaving && e.Role == r.Role && (r.Software == "" || e.Software == r.Software)
}

// otherTokens returns the expected memory of a request of another instance.
func (r *SelectorRequest) otherTokens() float64 {
	if r.OtherTokens > 0 {
		return float64(r.OtherTokens)
	}
	return float64(r.Tokens)
}

// A Selector chooses the endpoint of a pool where a request costs the least:
// its expected wait and work there, the network distance, and the risk of
// failure. It is made for load that changes faster than reports arrive and for
// many instances that choose at the same time.
type Selector struct {
	Adaptive  bool // estimates the speed and the limit of each endpoint
	Endpoints []*EndpointState

	adaptation adaptation
}

// Has reports whether there is an endpoint for the request, however loaded it is.
func (s *Selector) Has(r *SelectorRequest) bool {
	return slices.ContainsFunc(s.Endpoints, func(e *EndpointState) bool { return r.matches(&e.Endpoint) })
}

// MeanTokens returns the mean memory of this instance's requests at endpoints with a role;
// zero if it has none there.
func (s *Selector) MeanTokens(role persimmoncart.Role) int {
	requests, tokens := 0, 0
	for _, e := range s.Endpoints {
		if e.Endpoint.Role == role {
			requests += e.InFlight
			tokens += e.Tokens
		}
	}
	return tokens / max(1, requests)
}

// Software returns the versions of the software that take new requests, those of the most
// endpoints first.
func (s *Selector) Software() []persimmoncart.SoftwareVersion {
	count := make(map[persimmoncart.SoftwareVersion]int)
	for _, e := range s.Endpoints {
		if !e.Endpoint.Leaving {
			count[e.Endpoint.Software]++
		}
	}
	versions := slices.Collect(maps.Keys(count))
	slices.SortFunc(versions, func(a, b persimmoncart.SoftwareVersion) int {
		return cmp.Or(count[b]-count[a], cmp.Compare(a, b))
	})
	return versions
}

// Pick returns the endpoint with the lowest cost, or nil if no endpoint can take the
// request.
func (s *Selector) Pick(now time.Time, random *rand.Rand, r *SelectorRequest) *EndpointState {
	var best *EndpointState
	var least float64
	withoutMissing, reserved := s.fewMissing(r), s.reservedDraw(r)
	s.adapt(now, random)
	for _, e := range s.Endpoints {
		if !r.matches(&e.Endpoint) || e.WaitLeft(now) > 0 || withoutMissing && e.Missing {
			continue
		}
		if r.MinFreeTokens > 0 && !e.hasRoom(now, r) || reserved > 0 && e.draw() < reserved {
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

// reservedDraw returns the draw below which endpoints are kept for more urgent requests;
// zero if none is. They are no more than their share, so that a small pool keeps none.
func (s *Selector) reservedDraw(r *SelectorRequest) float64 {
	if r.Reserved <= 0 {
		return 0
	}
	var draws []float64
	for _, e := range s.Endpoints {
		if r.matches(&e.Endpoint) {
			draws = append(draws, e.draw())
		}
	}
	reserved := int(r.Reserved * float64(len(draws)))
	if reserved == 0 {
		return 0
	}
	slices.Sort(draws)
	return draws[min(reserved, len(draws)-1)]
}

// fewMissing reports whether so few endpoints for a request are missing that they
// have probably left: then none of them is used, however loaded the others are.
// After an outage of the store many records are missing at once, most of which come
// back, and those that come back first must not get the load of all.
func (s *Selector) fewMissing(r *SelectorRequest) bool {
	listed, missing := 0, 0
	for _, e := range s.Endpoints {
		switch {
		case !r.matches(&e.Endpoint):
		case e.Missing:
			missing++
		default:
			listed++
		}
	}
	return listed >= fewMissingFactor*missing
}

// WaitLeft returns the time until the first endpoint for the request takes requests
// again. It reports false if one does now, or there is none.
func (s *Selector) WaitLeft(now time.Time, r *SelectorRequest) (time.Duration, bool) {
	least, found := time.Duration(0), false
	for _, e := range s.Endpoints {
		if !r.matches(&e.Endpoint) {
			continue
		}
		left := e.WaitLeft(now)
		if left == 0 {
			return 0, false
		}
		if !found || left < least {
			least, found = left, true
		}
	}
	return least, found
}

// ExpectedTime returns the expected time of a request at an endpoint, its wait
// included.
func (s *Selector) ExpectedTime(now time.Time, e *EndpointState, r *SelectorRequest) time.Duration {
	return time.Duration(s.expectedSeconds(now, e, r) * float64(time.Second))
}

// cost returns the expected cost of a request, in seconds.
func (s *Selector) cost(now time.Time, e *EndpointState, r *SelectorRequest) float64 {
	c := s.expectedSeconds(now, e, r) + distanceCost(e, r).Seconds()
	failure := repeatableFailureCost
	if r.RunOnce {
		failure = runOnceFailureCost
	}
	c += failure.Seconds() * e.Failures.Rate(now)
	if e.Missing || now.Before(e.avoidUntil) {
		c += lastResortCost.Seconds()
	}
	return c
}

// expectedSeconds returns the expected time at the endpoint in seconds, its wait
// included.
func (s *Selector) expectedSeconds(now time.Time, e *EndpointState, r *SelectorRequest) float64 {
	if e.adaptive != nil {
		return e.adaptiveSeconds(now, r)
	}
	work := e.unitSeconds
	if work == 0 {
		work = initialWork.Seconds()
	}
	work *= e.slowdown(now)
	otherRequests := e.otherRequests(now)
	switch r.Role {
	case persimmoncart.RolePrefill:
		// A prefill engine processes the prompts before this one first.
		tokens := float64(e.Tokens+r.Tokens) + otherRequests*float64(r.Tokens)
		return work * tokens / promptUnit
	case persimmoncart.RoleDecode:
		running := float64(e.InFlight) + otherRequests
		c := work * (1 + running/max(1, float64(r.Size.Slots)))
		c += overflowCost.Seconds() * max(0, running+1-float64(r.Size.Slots))
		if r.Size.KVTokens > 0 && r.Tokens > 0 {
			held := float64(e.Tokens+r.Tokens) + otherRequests*r.otherTokens()
			c += overflowCost.Seconds() * max(0, (held-float64(r.Size.KVTokens))/float64(r.Tokens))
		}
		return c
	default:
		slots := float64(max(1, e.Endpoint.Slots))
		running := float64(e.InFlight) + otherRequests
		// Endpoints slow down when nearly full; beyond that, requests queue.
		return work * (1 + running/slots + 2*max(0, running+1-slots)/slots)
	}
}

// distanceCost returns the cost of the network distance to the endpoint.
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
