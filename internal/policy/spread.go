package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// farRegion and farDataCentre are what a request to another region or data
	// centre costs beside its time on the way: links between them are narrow and
	// paid by volume. They are stated as the wait that is worth avoiding them.
	farRegion     = 80 * time.Millisecond
	farDataCentre = 8 * time.Millisecond
	// transferRegion and transferDataCentre are the same for KV cache that a
	// decode engine fetches, which is larger by five orders of magnitude.
	transferRegion     = time.Second
	transferDataCentre = 15 * time.Millisecond
	// failCareful and failRepeatable are the costs of a certain failure of a
	// request that may run once, and of one that can be sent again.
	failCareful    = time.Second
	failRepeatable = 300 * time.Millisecond
	// missingCost keeps endpoints that the store no longer lists, and those that
	// broke their word, as a last resort.
	missingCost = 5 * time.Second
	// overflowCost is the wait for each request's worth of memory or slots that
	// an engine lacks.
	overflowCost = 300 * time.Millisecond
	// loadHalfLife is the age at which a reported load counts half, and
	// decodeHalfLife the same for a decode engine, whose requests run for seconds.
	loadHalfLife   = 400 * time.Millisecond
	decodeHalfLife = 1500 * time.Millisecond
	// fullTime is how long an engine that refused a request is left alone,
	// unless a request of this instance ends there.
	fullTime = 120 * time.Millisecond
	// shutTime is how long an engine is left alone that refused a request for
	// which it had reserved a place: it is changing its role, or about to leave.
	shutTime = 4 * time.Second
	// shutSure is how many such refusals in a row show that it takes nothing at
	// all. A single one may come from KV cache that could not be fetched.
	shutSure = 2
	// slowHalfLife is the same for the slowness that an endpoint reports.
	slowHalfLife = 600 * time.Millisecond
	// workGain is the weight of one new duration in an average.
	workGain = 0.15
	// workStart is the average before the first duration: of a plain request, of
	// a thousand prefilled tokens, and of the decode of one request.
	workStart = 30 * time.Millisecond
	// spreadNoise is the random share of a cost, so that instances with the same
	// view do not all choose the same endpoint.
	spreadNoise = 0.25
	// promptUnit is the number of prompt tokens that work is measured by.
	promptUnit = 1000
)

// A SpreadEndpoint is what one instance knows of one endpoint.
type SpreadEndpoint struct {
	Endpoint persimmoncart.Endpoint
	InFlight int // own requests
	Missing  bool
	Tokens   int // of own requests: to prefill, or held in memory
	Trust    Trust

	broken int       // refusals in a row of requests that it had reserved a place for
	full   time.Time // until when it counts as full
	shut   time.Time // until when it is left alone
	load   persimmoncart.EndpointLoad
	loadAt time.Time
	work   float64 // seconds for each unit of work, without the way there
}

// Freed notes that a request of this instance ended.
func (e *SpreadEndpoint) Freed() { e.full = time.Time{} }

// Full notes that the endpoint has no place for a request.
func (e *SpreadEndpoint) Full(now time.Time) { e.full = now.Add(fullTime) }

// Shut notes that the endpoint broke its word to take a request. A second time
// within twice shutTime shows that it was no chance.
func (e *SpreadEndpoint) Shut(now time.Time) {
	if now.After(e.shut.Add(shutTime)) {
		e.broken = 0
	}
	e.broken++
	e.shut = now.Add(shutTime)
}

// Learn takes how long the given amount of work took.
func (e *SpreadEndpoint) Learn(took time.Duration, units float64) {
	if units <= 0 {
		return
	}
	seconds := took.Seconds() / units
	if e.work == 0 {
		e.work = workStart.Seconds()
	}
	e.work += workGain * (seconds - e.work)
}

// Report takes the load that the endpoint states.
func (e *SpreadEndpoint) Report(now time.Time, load persimmoncart.EndpointLoad) {
	// The statement counts own requests as well.
	load.Running = max(0, load.Running+load.Waiting-e.InFlight)
	e.load, e.loadAt = load, now
}

// Waiting returns the requests that waited when the endpoint last stated its load.
func (e *SpreadEndpoint) Waiting() int { return e.load.Waiting }

// others returns the expected requests of other instances.
func (e *SpreadEndpoint) others(now time.Time) float64 {
	if e.loadAt.IsZero() {
		return 0
	}
	half := loadHalfLife
	if e.Endpoint.Role == persimmoncart.RoleDecode {
		half = decodeHalfLife
	}
	return float64(e.load.Running) * halfLife(now.Sub(e.loadAt), half)
}

// room reports whether the engine is expected to have a free slot and memory.
func (e *SpreadEndpoint) room(now time.Time, r *SpreadRequest) bool {
	if now.Before(e.full) || now.Before(e.shut) && e.broken >= shutSure {
		return false
	}
	others := e.others(now)
	if r.Size.Slots > 0 && float64(e.InFlight)+others+1 > float64(r.Size.Slots) {
		return false
	}
	return r.Size.KVTokens == 0 || float64(e.Tokens+r.Room)+others*float64(r.Tokens) <= float64(r.Size.KVTokens)
}

// slow returns how long work takes relative to the usual.
func (e *SpreadEndpoint) slow(now time.Time) float64 {
	if e.load.Slowdown <= 1 {
		return 1
	}
	return 1 + (e.load.Slowdown-1)*halfLife(now.Sub(e.loadAt), slowHalfLife)
}

// A SpreadView is what a choice knew of its endpoint, for logs.
type SpreadView struct {
	Failing  float64 // recent failure rate
	InFlight int     // own requests
	Others   float64 // expected requests of other instances
	Reported time.Duration
	Slow     float64
}

// View returns what is known of the endpoint. Reported is the age of its last
// statement, zero if there is none.
func (e *SpreadEndpoint) View(now time.Time) SpreadView {
	v := SpreadView{Failing: hundredths(e.Trust.Rate(now)), InFlight: e.InFlight, Others: hundredths(e.others(now)), Slow: hundredths(e.slow(now))}
	if !e.loadAt.IsZero() {
		v.Reported = now.Sub(e.loadAt)
	}
	return v
}

// hundredths rounds a number for logs.
func hundredths(x float64) float64 { return math.Round(100*x) / 100 }

// A SpreadRequest is what an endpoint is chosen for.
type SpreadRequest struct {
	Avoid      []persimmoncart.EndpointID // used only if there is no other
	Careful    bool                       // may run only once
	DataCentre persimmoncart.DataCentre   // that the request comes from
	Region     persimmoncart.Region
	Role       persimmoncart.Role
	Room       int                          // tokens that have to be free; zero takes engines that are full as well
	Size       persimmoncart.EngineCapacity // of an engine; zero if unknown
	Tokens     int                          // to prefill, or to hold in memory
}

// A Spread chooses the endpoint of a pool where a request costs the least: its
// expected wait and work there, the way, and the risk that it fails. It answers
// load that swings faster than reports arrive, with many instances that choose
// at the same moment.
type Spread struct {
	Endpoints []*SpreadEndpoint
}

// Pick returns the best endpoint, or nil if there is none with the role.
func (s *Spread) Pick(now time.Time, random *rand.Rand, r *SpreadRequest) *SpreadEndpoint {
	var best *SpreadEndpoint
	var least float64
	for _, e := range s.Endpoints {
		if e.Endpoint.Leaving || e.Endpoint.Role != r.Role {
			continue
		}
		if r.Room > 0 && !e.room(now, r) {
			continue
		}
		c := s.cost(now, e, r) * (1 + spreadNoise*random.Float64())
		if slices.Contains(r.Avoid, e.Endpoint.ID) {
			c += missingCost.Seconds()
		}
		if best == nil || c < least {
			best, least = e, c
		}
	}
	return best
}

// Expect returns the expected time of a request at an endpoint, its wait included.
func (s *Spread) Expect(now time.Time, e *SpreadEndpoint, r *SpreadRequest) time.Duration {
	return time.Duration(s.wait(now, e, r) * float64(time.Second))
}

// cost returns the expected cost of a request, in seconds.
func (s *Spread) cost(now time.Time, e *SpreadEndpoint, r *SpreadRequest) float64 {
	c := s.wait(now, e, r) + distance(e, r).Seconds()
	fail := failRepeatable
	if r.Careful {
		fail = failCareful
	}
	c += fail.Seconds() * e.Trust.Rate(now)
	if e.Missing || now.Before(e.shut) {
		c += missingCost.Seconds()
	}
	return c
}

// wait returns the expected time at the endpoint, in seconds.
func (s *Spread) wait(now time.Time, e *SpreadEndpoint, r *SpreadRequest) float64 {
	work := e.work
	if work == 0 {
		work = workStart.Seconds()
	}
	work *= e.slow(now)
	others := e.others(now)
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

// distance returns the cost of the way to the endpoint.
func distance(e *SpreadEndpoint, r *SpreadRequest) time.Duration {
	region, centre := farRegion, farDataCentre
	if r.Role == persimmoncart.RoleDecode {
		region, centre = transferRegion, transferDataCentre
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
