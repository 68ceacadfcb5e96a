package bench

import (
	"math/rand/v2"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// Timing of the engines' load reports: every reportPeriod, published reportLag
// later.
const (
	reportLag    = 500 * time.Millisecond
	reportPeriod = time.Second
	// stragglerReportLag is the lag of the reports of slow engines.
	stragglerReportLag = 3 * time.Second
)

// A router decides where requests run. The routers of a comparison implement
// it.
type router interface {
	// crash ends an instance without notice, which breaks the connections of
	// its callers.
	crash(instance persimmoncart.InstanceID)
	// handle handles a request that has reached a live instance.
	handle(q *request, instance persimmoncart.InstanceID)
	// setInstances sets the live instances at the start and after each change.
	setInstances(live []persimmoncart.Instance)
}

// A simulation is one run: the fakes, the requests and the router.
type simulation struct {
	applications    []*application
	clock           *timer.Virtual
	deployment      *deployment
	gapReportTokens int
	live            []persimmoncart.Instance
	network         *network
	random          *rand.Rand // separate from those of the requests and routers
	replicaByID     map[persimmoncart.EndpointID]*replica
	replicas        []*replica
	requests        []*request
	result          *result
	router          router
	scenario        *scenario
	seed            uint64
	start           time.Time
	storeDown       bool
}

// newSimulation returns a simulation that has not started.
func newSimulation(d *deployment, s *scenario, seed uint64) *simulation {
	start := time.Unix(1_700_000_000, 0)
	sim := &simulation{
		replicaByID: make(map[persimmoncart.EndpointID]*replica), clock: timer.NewVirtual(start), deployment: d,
		requests: generateRequests(d, s, seed, start), random: rand.New(rand.NewPCG(seed, 2)), result: &result{},
		gapReportTokens: gapReportTokens, scenario: s, seed: seed, start: start,
	}
	if s.short {
		sim.gapReportTokens = gapReportTokensPlanned
	}
	sim.live = append(sim.live, d.nodes...)
	sim.network = &network{busyUntil: make(map[[2]persimmoncart.DataCentre]time.Time), scale: d.linkScale, sim: sim}
	for _, e := range d.engines {
		r := &replica{freeBlocks: e.Blocks, cache: newBlockCache(prefillCacheBlocks), endpoint: e, slowdown: 1, sim: sim}
		sim.replicas = append(sim.replicas, r)
		sim.replicaByID[e.ID] = r
	}
	for _, e := range d.applications {
		sim.applications = append(sim.applications, &application{endpoint: e, slowdown: 1, sim: sim})
	}
	return sim
}

// after runs f after d of virtual time. stop cancels it.
func (s *simulation) after(d time.Duration, f func()) (stop func()) {
	return s.clock.After(d, func(time.Time) { f() })
}

// now returns the current virtual time.
func (s *simulation) now() time.Time { return s.clock.Now() }

// run sends all requests to the router and returns the measures.
func (s *simulation) run(r router) *result {
	s.router = r
	r.setInstances(s.live)
	s.scheduleDisturbance()
	s.clock.Subscribe(reportPeriod, func(time.Time) { s.report() })
	s.scheduleArrival(0)
	s.clock.Run(s.start.Add(s.scenario.length + s.drain()))
	s.result.finish(s)
	return s.result
}

// drain returns how long the run waits for responses after the last arrival.
func (s *simulation) drain() time.Duration {
	if s.scenario.short {
		return 30 * time.Second
	}
	return 140 * time.Second
}

// scheduleArrival schedules the arrival of request i, which schedules the next
// one.
func (s *simulation) scheduleArrival(i int) {
	if i == len(s.requests) {
		return
	}
	q := s.requests[i]
	s.after(q.arrival.Sub(s.now()), func() {
		s.scheduleArrival(i + 1)
		instance := s.pickInstance(q.region)
		s.after(delayWithinRegion, func() { s.router.handle(q, instance) })
	})
}

// pickInstance picks an instance as the platform's load balancer does: a
// random live one of the caller's region, or any live one if the region has
// none.
func (s *simulation) pickInstance(region persimmoncart.Region) persimmoncart.InstanceID {
	var local []persimmoncart.InstanceID
	for _, n := range s.live {
		if n.Region == region && !n.Leaving {
			local = append(local, n.ID)
		}
	}
	if len(local) == 0 {
		return s.live[s.random.IntN(len(s.live))].ID
	}
	return local[s.random.IntN(len(local))]
}

// report samples the use of the decode slots and publishes the load of all
// engines after its lag.
func (s *simulation) report() {
	t := s.now().Sub(s.start)
	for _, r := range s.replicas {
		if r.endpoint.Role == persimmoncart.RoleDecode && t >= s.scenario.warmup() && t < s.scenario.length {
			s.result.totalSlots += float64(r.endpoint.Slots)
			s.result.usedSlots += float64(r.usedSlots)
			s.result.generatingSlots += float64(len(r.running))
		}
		load, lag := r.load(), reportLag
		if r.slowdown > 1 {
			lag = stragglerReportLag
		}
		s.after(lag, func() { r.reported = report{load: load} })
	}
}

// scheduleDisturbance schedules the disturbance of the case.
func (s *simulation) scheduleDisturbance() {
	begin, end := s.scenario.disturbance()
	at := func(d time.Duration, f func()) { s.after(d, f) }
	switch s.scenario.name {
	case caseRegionCut:
		at(begin, func() { s.network.regionsCut = true })
		at(end, func() { s.network.regionsCut = false })
	case caseStoreDown:
		at(begin, func() { s.storeDown = true })
		at(end, func() { s.storeDown = false })
	case caseStragglers:
		middle := (begin + end) / 2
		at(begin, s.slowDown)
		at(middle, s.restoreSpeed)
		at(middle+5*time.Second, s.slowDown)
		at(end+5*time.Second, s.restoreSpeed)
	case caseTurnover:
		s.scheduleTurnover(begin, end)
	}
}

// restoreSpeed ends the slowdown of all engines and application endpoints.
func (s *simulation) restoreSpeed() {
	for _, r := range s.replicas {
		r.slowdown = 1
	}
	for _, a := range s.applications {
		a.slowdown = 1
	}
}

// slowDown slows a tenth of the engines and a third of the application
// endpoints by a random factor of 5 to 10.
func (s *simulation) slowDown() {
	factor := func() float64 { return 5 + 5*s.random.Float64() }
	for _, i := range s.random.Perm(len(s.replicas))[:(len(s.replicas)+5)/10] {
		s.replicas[i].slowdown = factor()
	}
	for _, i := range s.random.Perm(len(s.applications))[:(len(s.applications)+2)/3] {
		s.applications[i].slowdown = factor()
	}
}

// scheduleTurnover replaces half of the instances one after the other,
// alternately by a planned stop and by a crash.
func (s *simulation) scheduleTurnover(begin, end time.Duration) {
	n := len(s.deployment.nodes) / 2
	for i := range n {
		at := begin + (end-begin)*time.Duration(i)/time.Duration(n)
		old := s.deployment.nodes[2*i]
		s.after(at, func() { s.replaceInstance(old, i%2 == 0) })
	}
}

// replaceInstance stops an instance and starts a new one 5 s later.
func (s *simulation) replaceInstance(old persimmoncart.Instance, planned bool) {
	live := make([]persimmoncart.Instance, 0, len(s.live))
	for _, n := range s.live {
		if n.ID != old.ID {
			live = append(live, n)
		}
	}
	s.live = live
	if !planned {
		s.router.crash(old.ID)
	}
	s.router.setInstances(live)
	s.after(5*time.Second, func() {
		n := old
		n.ID += "-new"
		s.live = append(s.live, n)
		s.router.setInstances(s.live)
	})
}

// region returns the region of a live or former instance, or an empty string
// for an unknown one.
func (s *simulation) region(id persimmoncart.InstanceID) persimmoncart.Region {
	for _, n := range s.live {
		if n.ID == id {
			return n.Region
		}
	}
	for _, n := range s.deployment.nodes {
		if n.ID == id {
			return n.Region
		}
	}
	return ""
}
