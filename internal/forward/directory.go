package forward

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/admission"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

const (
	// missingGrace is how long an endpoint that the store no longer lists is kept as
	// a last resort: until its record is back and this instance has learned of it.
	missingGrace = recordReturn + removalDelay
	// recordReturn is the time after the return of the store within which endpoints
	// whose records expired meanwhile are listed again.
	recordReturn = 2 * time.Second
	// removalDelay is how much later than the store an instance learns that a record
	// was removed: followCoalesce, and the lag of the watch.
	removalDelay = followCoalesce + 300*time.Millisecond
	// settledAfter is the time after the return of the store from which records do
	// not expire because of its absence.
	settledAfter = 5 * time.Second
)

// maxDeparted bounds the endpoints that are remembered as departed.
const maxDeparted = 4096

// maxLearnedRoutes bounds the routes that are learned about. Routes come and go with the
// configuration; beyond it, all are learned anew.
const maxLearnedRoutes = 4096

// A Directory holds the routes in force and the endpoints of all pools, with the
// load and failures that this instance has observed. Its exported fields are set
// before use.
type Directory struct {
	Adaptive         bool                         // estimates the speed and the limit of each endpoint
	DrainTime        time.Duration                // longest time for which an endpoint that leaves may get new requests
	EndpointDropped  func(persimmoncart.Endpoint) // called when an endpoint is removed or its process replaced; may be nil
	EndpointsChanged func()                       // called when the versions of the software in service may have changed; must not block; may be nil
	Home             persimmoncart.Instance
	Logger           zerolog.Logger
	Pressure         bool          // callers compete for too little room; see admission.Queue
	Random           *rand.Rand    // guarded by the Directory
	RetryRatio       float64       // retries allowed for each request, over all instances; SetRetryRatio changes it during use
	RetrySlack       int           // retries of this instance allowed beyond RetryRatio
	RetrySpan        time.Duration // window in which requests and retries are counted
	Timer            persimmoncart.Timer

	departed        map[persimmoncart.EndpointID]persimmoncart.Incarnation // that left; up to maxDeparted
	endpointsListed atomic.Bool                                            // SetEndpoints was called
	instances       []persimmoncart.InstanceID                             // in service; see SetInstances
	limited         atomic.Int32                                           // endpoints with a rate limit
	missing         map[persimmoncart.EndpointID]time.Time                 // until when they are kept
	mutex           sync.Mutex
	pools           map[persimmoncart.PoolName]*pool
	routes          map[persimmoncart.RouteName]*learnedRoute // up to maxLearnedRoutes
	storeLost       bool                                      // the store is unreachable
	storeReturned   time.Time                                 // when the store was reached again; zero before
	table           atomic.Pointer[persimmoncart.ForwardTable]
}

// A pool is the state of one pool.
type pool struct {
	decodeQueue admissionQueue // generations that wait for a decode engine
	outputs     policy.OutputEstimator
	retries     policy.RetryWindow
	selector    policy.Selector
}

// A learnedRoute is what earlier requests of a route have shown.
type learnedRoute struct {
	durations policy.DurationEstimator
	patience  policy.Patience
}

// Ready reports whether routes and endpoints have been read from the store.
func (d *Directory) Ready() bool { return d.endpointsListed.Load() && d.table.Load() != nil }

// SetRetryRatio changes the number of retries allowed for each request.
func (d *Directory) SetRetryRatio(ratio float64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.RetryRatio = ratio
	for _, p := range d.pools {
		p.retries.Ratio = ratio
	}
}

// SetTable replaces the routes in force. A table that is not newer is ignored.
func (d *Directory) SetTable(t *persimmoncart.ForwardTable) {
	for {
		old := d.table.Load()
		if old != nil && old.Version >= t.Version {
			return
		}
		if d.table.CompareAndSwap(old, t) {
			d.reportChange()
			d.Logger.Info().Uint64("version", t.Version).Int("hosts", len(t.Routes)).Msg("routes in force")
			return
		}
	}
}

// Table returns the routes in force, or nil before the first.
func (d *Directory) Table() *persimmoncart.ForwardTable { return d.table.Load() }

// SetEndpoints replaces all endpoints but those whose records are invalid: these say
// nothing of the endpoint. Endpoints that are in neither list are marked missing, as by
// Remove.
func (d *Directory) SetEndpoints(endpoints []persimmoncart.Endpoint, invalid []persimmoncart.EndpointID) {
	d.mutex.Lock()
	var gone []persimmoncart.EndpointID
	for _, p := range d.pools {
		for _, e := range p.selector.Endpoints {
			listed := slices.ContainsFunc(endpoints, func(o persimmoncart.Endpoint) bool { return o.ID == e.Endpoint.ID })
			if !listed && !slices.Contains(invalid, e.Endpoint.ID) {
				gone = append(gone, e.Endpoint.ID)
			}
		}
	}
	d.mutex.Unlock()
	for n := range endpoints {
		d.Put(endpoints[n])
	}
	for _, id := range gone {
		d.remove(id, missingGrace)
	}
	d.endpointsListed.Store(true)
}

// AddEndpoints adds or replaces endpoints of a list that is not complete yet. From
// the first ones on, requests are served.
func (d *Directory) AddEndpoints(endpoints []persimmoncart.Endpoint) {
	for n := range endpoints {
		d.Put(endpoints[n])
	}
	if len(endpoints) > 0 {
		d.endpointsListed.Store(true)
	}
}

// Put adds or replaces an endpoint. A process that leaves does not come back: a
// record that says otherwise is older than what is known of it.
func (d *Directory) Put(e persimmoncart.Endpoint) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if left, found := d.departed[e.ID]; found && left == e.Incarnation {
		d.log("record of a departed endpoint ignored", &e)
		return
	}
	delete(d.missing, e.ID)
	old, oldPool := d.find(e.ID)
	same := old != nil && isSameProcess(&old.Endpoint, &e)
	if old != nil && !same {
		d.drop(oldPool, old)
	}
	if !same {
		p := d.pool(e.Pool)
		p.selector.Endpoints = append(p.selector.Endpoints, &policy.EndpointState{Endpoint: e})
		d.log("endpoint added", &e)
		d.reportChange()
		return
	}
	old.Missing = false
	e.Leaving = e.Leaving || old.Endpoint.Leaving
	if old.Endpoint.Leaving != e.Leaving || old.Endpoint.Role != e.Role {
		d.log("endpoint changed", &e)
	}
	old.Endpoint = e
	d.reportChange()
}

// isSameProcess reports whether two records of one endpoint are of the same process.
func isSameProcess(a, b *persimmoncart.Endpoint) bool {
	return a.Addr == b.Addr && a.Incarnation == b.Incarnation && a.Pool == b.Pool && a.Software == b.Software
}

// reportChange calls EndpointsChanged.
func (d *Directory) reportChange() {
	if d.EndpointsChanged != nil {
		d.EndpointsChanged()
	}
}

// SetStoreReachable records whether the store is reachable.
func (d *Directory) SetStoreReachable(reachable bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.storeLost = !reachable
	d.storeReturned = d.Timer.Now()
}

// Remove marks an endpoint whose record was removed as missing. It is dropped at
// once if it was leaving, and otherwise when it is not listed again in time. Unless
// the store was away, it has probably left without notice, and is dropped while it
// may still get requests.
func (d *Directory) Remove(id persimmoncart.EndpointID) {
	d.mutex.Lock()
	grace := missingGrace
	if settled := d.storeReturned.IsZero() || d.Timer.Now().Sub(d.storeReturned) >= settledAfter; settled && !d.storeLost && d.DrainTime > 0 {
		grace = max(0, min(missingGrace, d.DrainTime-removalDelay))
	}
	d.mutex.Unlock()
	d.remove(id, grace)
}

// remove marks an endpoint as missing, and drops it after the grace time.
func (d *Directory) remove(id persimmoncart.EndpointID, grace time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	e, p := d.find(id)
	if e == nil || e.Missing {
		return
	}
	if e.Endpoint.Leaving {
		d.drop(p, e)
		return
	}
	e.Missing = true
	d.log("endpoint missing", &e.Endpoint)
	if d.missing == nil {
		d.missing = make(map[persimmoncart.EndpointID]time.Time)
	}
	d.missing[id] = d.Timer.Now().Add(grace)
	d.Timer.After(grace, func(time.Time) { d.expire(id) })
}

// DropReplaced drops an endpoint at whose address another process responds, unless the
// record of that process has been read meanwhile.
func (d *Directory) DropReplaced(replaced *persimmoncart.Endpoint) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if e, p := d.find(replaced.ID); e != nil && isSameProcess(&e.Endpoint, replaced) {
		d.drop(p, e)
	}
}

// RecordRequest counts a request for a pool, which adds to its retry budget.
func (d *Directory) RecordRequest(name persimmoncart.PoolName) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.pool(name).retries.RecordRequest(d.Timer.Now())
}

// MayRetry reports whether the retry budget of a pool allows one more retry.
func (d *Directory) MayRetry(name persimmoncart.PoolName) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.pool(name).retries.MayRetry(d.Timer.Now())
}

// TakeRetry takes one retry from the budget of a pool. It reports false if the
// budget is used up.
func (d *Directory) TakeRetry(name persimmoncart.PoolName) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.pool(name).retries.TakeRetry(d.Timer.Now())
}

// OutputTokens returns the number of output tokens of a generation to reserve
// memory for.
func (d *Directory) OutputTokens(name persimmoncart.PoolName, g *persimmoncart.GenerationSize) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.pool(name).outputs.Estimate(g)
}

// RecordOutput records the number of output tokens of a whole response.
func (d *Directory) RecordOutput(name persimmoncart.PoolName, g *persimmoncart.GenerationSize, tokens int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.pool(name).outputs.Record(g, tokens)
}

// Waited returns how long the caller of a request has probably waited before this
// attempt, whose deadline is the time left away.
func (d *Directory) Waited(route persimmoncart.RouteName, left time.Duration) time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.route(route).patience.Waited(left)
}

// ExpectedDuration returns the time within which a response of the given size, in output
// tokens or 1, is very probably complete. It reports false while none of the route is
// known.
func (d *Directory) ExpectedDuration(route persimmoncart.RouteName, size int) (time.Duration, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.route(route).durations.Estimate(size)
}

// RecordDuration records how long a complete response of the given size took.
func (d *Directory) RecordDuration(route persimmoncart.RouteName, size int, took time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.route(route).durations.Record(size, took)
}

// Assign chooses an endpoint of a pool and counts a request on it. It returns nil
// if no endpoint fits. A request without a region is taken to come from Home.
func (d *Directory) Assign(name persimmoncart.PoolName, r policy.SelectorRequest) *assignment {
	if r.Region == "" {
		r.DataCentre, r.Region = d.Home.DataCentre, d.Home.Region
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	p, now := d.pool(name), d.Timer.Now()
	if d.Pressure {
		r.OtherTokens = p.selector.MeanTokens(r.Role)
	}
	e := p.selector.Pick(now, d.Random, &r)
	if e == nil {
		return nil
	}
	expected, view := p.selector.ExpectedTime(now, e, &r), e.View(now)
	e.TakeRequest(now) // succeeds, as Pick leaves out endpoints that take none
	e.InFlight++
	e.Tokens += r.Tokens
	return &assignment{
		Endpoint: e.Endpoint, Expected: expected, Limited: e.RateLimit() != 0, Unverified: e.Unverified, View: view, directory: d, pool: p, state: e, tokens: r.Tokens,
	}
}

// RandomShare returns a random number from 0 to 1.
func (d *Directory) RandomShare() float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.Random.Float64()
}

// DecodeQueue returns the queue of generations that wait for a decode engine of a
// pool.
func (d *Directory) DecodeQueue(name persimmoncart.PoolName) *admissionQueue {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return &d.pool(name).decodeQueue
}

// Has reports whether a pool has an endpoint for a request, however loaded it is.
func (d *Directory) Has(name persimmoncart.PoolName, r policy.SelectorRequest) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.pool(name).selector.Has(&r)
}

// Instances returns the instances of the system that are in service.
func (d *Directory) Instances() []persimmoncart.InstanceID {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.instances
}

// SoftwareInService returns the versions of the software that take new requests of each
// pool with streams that may be resumed, those of the most endpoints first.
func (d *Directory) SoftwareInService() map[persimmoncart.PoolName][]persimmoncart.SoftwareVersion {
	inService := make(map[persimmoncart.PoolName][]persimmoncart.SoftwareVersion)
	table := d.table.Load()
	if table == nil {
		return inService
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, name := range table.ResumablePools() {
		if versions := d.pool(name).selector.Software(); len(versions) > 0 {
			inService[name] = versions
		}
	}
	return inService
}

// Engines returns the engines of each pool that are neither leaving nor missing.
func (d *Directory) Engines() map[persimmoncart.PoolName][]persimmoncart.Endpoint {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	engines := make(map[persimmoncart.PoolName][]persimmoncart.Endpoint)
	for name, p := range d.pools {
		for _, e := range p.selector.Endpoints {
			if e.Endpoint.Role != persimmoncart.RoleApplication && !e.Endpoint.Leaving && !e.Missing {
				engines[name] = append(engines[name], e.Endpoint)
			}
		}
	}
	return engines
}

// drop removes an endpoint from its pool. The caller holds the mutex.
func (d *Directory) drop(p *pool, e *policy.EndpointState) {
	p.selector.Endpoints = slices.DeleteFunc(p.selector.Endpoints, func(o *policy.EndpointState) bool { return o == e })
	delete(d.missing, e.Endpoint.ID)
	if e.RateLimit() != 0 {
		d.limited.Add(-1)
	}
	if e.Endpoint.Leaving {
		if d.departed == nil || len(d.departed) >= maxDeparted {
			d.departed = make(map[persimmoncart.EndpointID]persimmoncart.Incarnation)
		}
		d.departed[e.Endpoint.ID] = e.Endpoint.Incarnation
	}
	d.log("endpoint dropped", &e.Endpoint)
	d.reportChange()
	if d.EndpointDropped != nil {
		d.EndpointDropped(e.Endpoint)
	}
}

// expire drops an endpoint that has been missing for its grace time.
func (d *Directory) expire(id persimmoncart.EndpointID) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	until, missing := d.missing[id]
	if !missing || d.Timer.Now().Before(until) {
		return
	}
	if e, p := d.find(id); e != nil {
		d.drop(p, e)
	}
}

// find returns an endpoint and its pool, or nil. The caller holds the mutex.
func (d *Directory) find(id persimmoncart.EndpointID) (*policy.EndpointState, *pool) {
	for _, p := range d.pools {
		for _, e := range p.selector.Endpoints {
			if e.Endpoint.ID == id {
				return e, p
			}
		}
	}
	return nil, nil
}

// log logs a change to an endpoint.
func (d *Directory) log(message string, e *persimmoncart.Endpoint) {
	d.Logger.Info().Str("endpoint", string(e.ID)).Stringer("addr", e.Addr).Str("pool", string(e.Pool)).
		Stringer("role", e.Role).Str("software", string(e.Software)).Bool("leaving", e.Leaving).Uint64("incarnation", uint64(e.Incarnation)).Msg(message)
}

// pool returns the state of a pool and creates it if needed. The caller holds the
// mutex.
func (d *Directory) pool(name persimmoncart.PoolName) *pool {
	p, found := d.pools[name]
	if !found {
		if d.pools == nil {
			d.pools = make(map[persimmoncart.PoolName]*pool)
		}
		p = &pool{
			decodeQueue: admissionQueue{timer: d.Timer, waiting: admission.Queue{Weighted: d.Pressure}}, retries: policy.RetryWindow{Ratio: d.RetryRatio, Slack: d.RetrySlack, Span: d.RetrySpan},
			selector: policy.Selector{Adaptive: d.Adaptive},
		}
		d.pools[name] = p
	}
	return p
}

// route returns what is learned about a route, and creates it if needed. The caller holds
// the mutex.
func (d *Directory) route(name persimmoncart.RouteName) *learnedRoute {
	r, found := d.routes[name]
	if !found {
		if d.routes == nil || len(d.routes) >= maxLearnedRoutes {
			d.routes = make(map[persimmoncart.RouteName]*learnedRoute)
		}
		r = &learnedRoute{}
		d.routes[name] = r
	}
	return r
}
