package bench

import (
	"math/rand/v2"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// reportPeriod is how often engines report their load; a report is published
// reportLag later.
const (
	reportLag    = 500 * time.Millisecond
	reportPeriod = time.Second
	// reportLate is the lag of the reports of stragglers.
	reportLate = 3 * time.Second
)

// A router is one way to decide.
type router interface {
	// crash ends an instance; its callers' connections break.
	crash(instance persimmoncart.InstanceID)
	// offer takes a request that has reached a live instance.
	offer(j *job, at persimmoncart.InstanceID)
	// replaced tells the live instances after a change.
	replaced(live []persimmoncart.Instance)
}

// A world is one run: fakes, offered requests and one router.
type world struct {
	applications []*application
	byID         map[persimmoncart.EndpointID]*replica
	clock        *timer.Virtual
	deployment   *deployment
	jobs         []*job
	live         []persimmoncart.Instance
	network      *network
	paceTokens   int
	random       *rand.Rand // of the world; routers have their own
	replicas     []*replica
	result       *result
	router       router
	scenario     *scenario
	seed         uint64
	start        time.Time
	storeDown    bool
}

// newWorld returns a run that has not started.
func newWorld(d *deployment, s *scenario, seed uint64) *world {
	start := time.Unix(1_700_000_000, 0)
	w := &world{
		byID: make(map[persimmoncart.EndpointID]*replica), clock: timer.NewVirtual(start), deployment: d,
		jobs: offered(d, s, seed, start), random: rand.New(rand.NewPCG(seed, 2)), result: &result{},
		paceTokens: paceTokens, scenario: s, seed: seed, start: start,
	}
	if s.short {
		w.paceTokens = paceTokensPlanned
	}
	w.live = append(w.live, d.nodes...)
	w.network = &network{busy: make(map[[2]persimmoncart.DataCentre]time.Time), scale: d.scale, world: w}
	for _, e := range d.engines {
		r := &replica{blocks: e.Blocks, cache: newBlockCache(prefillCache), endpoint: e, slow: 1, world: w}
		w.replicas = append(w.replicas, r)
		w.byID[e.ID] = r
	}
	for _, e := range d.applications {
		w.applications = append(w.applications, &application{endpoint: e, slow: 1, world: w})
	}
	return w
}

// after runs f once d has passed.
func (w *world) after(d time.Duration, f func()) (stop func()) {
	return w.clock.After(d, func(time.Time) { f() })
}

// now returns the current virtual time.
func (w *world) now() time.Time { return w.clock.Now() }

// run offers all requests to the router and returns the measures.
func (w *world) run(r router) *result {
	w.router = r
	r.replaced(w.live)
	w.disturb()
	w.clock.Subscribe(reportPeriod, func(time.Time) { w.report() })
	w.arrive(0)
	w.clock.Run(w.start.Add(w.scenario.length + w.drain()))
	w.result.finish(w)
	return w.result
}

// drain returns how long answers are awaited after the last arrival.
func (w *world) drain() time.Duration {
	if w.scenario.short {
		return 30 * time.Second
	}
	return 140 * time.Second
}

// arrive offers the requests from index i on, one event at a time.
func (w *world) arrive(i int) {
	if i == len(w.jobs) {
		return
	}
	j := w.jobs[i]
	w.after(j.arrive.Sub(w.now()), func() {
		w.arrive(i + 1)
		at := w.balance(j.region)
		w.after(delayLocal, func() { w.router.offer(j, at) })
	})
}

// balance is the platform's load balancer: a random live instance of the
// caller's region, or of any if the region has none.
func (w *world) balance(region persimmoncart.Region) persimmoncart.InstanceID {
	var local []persimmoncart.InstanceID
	for _, n := range w.live {
		if n.Region == region && !n.Leaving {
			local = append(local, n.ID)
		}
	}
	if len(local) == 0 {
		return w.live[w.random.IntN(len(w.live))].ID
	}
	return local[w.random.IntN(len(local))]
}

// report publishes the load of all engines after its lag.
func (w *world) report() {
	t := w.now().Sub(w.start)
	for _, r := range w.replicas {
		if r.endpoint.Role == persimmoncart.RoleDecode && t >= w.scenario.warmup() && t < w.scenario.length {
			w.result.slots += float64(r.endpoint.Slots)
			w.result.held += float64(r.held)
			w.result.running += float64(len(r.running))
		}
		load, lag := r.load(), reportLag
		if r.slow > 1 {
			lag = reportLate
		}
		w.after(lag, func() { r.reported = report{load: load} })
	}
}

// disturb plans the disturbance of the case.
func (w *world) disturb() {
	begin, end := w.scenario.disturbance()
	at := func(d time.Duration, f func()) { w.after(d, f) }
	switch w.scenario.name {
	case caseRegionCut:
		at(begin, func() { w.network.cut = true })
		at(end, func() { w.network.cut = false })
	case caseStoreDown:
		at(begin, func() { w.storeDown = true })
		at(end, func() { w.storeDown = false })
	case caseStragglers:
		middle := (begin + end) / 2
		at(begin, w.slowDown)
		at(middle, w.recover)
		at(middle+5*time.Second, w.slowDown)
		at(end+5*time.Second, w.recover)
	case caseTurnover:
		w.turnover(begin, end)
	}
}

// recover ends the episode of all stragglers.
func (w *world) recover() {
	for _, r := range w.replicas {
		r.slow = 1
	}
	for _, a := range w.applications {
		a.slow = 1
	}
}

// slowDown makes a tenth of the engines, and one application endpoint of each
// three, slow by 5 to 10 times.
func (w *world) slowDown() {
	factor := func() float64 { return 5 + 5*w.random.Float64() }
	for _, i := range w.random.Perm(len(w.replicas))[:(len(w.replicas)+5)/10] {
		w.replicas[i].slow = factor()
	}
	for _, i := range w.random.Perm(len(w.applications))[:(len(w.applications)+2)/3] {
		w.applications[i].slow = factor()
	}
}

// turnover replaces half of the instances one after the other: every second of
// them by a planned stop, the others without notice.
func (w *world) turnover(begin, end time.Duration) {
	n := len(w.deployment.nodes) / 2
	for i := range n {
		at := begin + (end-begin)*time.Duration(i)/time.Duration(n)
		old := w.deployment.nodes[2*i]
		w.after(at, func() { w.replace(old, i%2 == 0) })
	}
}

// replace replaces an instance by a new one, which starts 5 s later.
func (w *world) replace(old persimmoncart.Instance, planned bool) {
	live := make([]persimmoncart.Instance, 0, len(w.live))
	for _, n := range w.live {
		if n.ID != old.ID {
			live = append(live, n)
		}
	}
	w.live = live
	if !planned {
		w.router.crash(old.ID)
	}
	w.router.replaced(live)
	w.after(5*time.Second, func() {
		n := old
		n.ID += "-new"
		w.live = append(w.live, n)
		w.router.replaced(w.live)
	})
}

// region returns the region of a live or former instance.
func (w *world) region(id persimmoncart.InstanceID) persimmoncart.Region {
	for _, n := range w.live {
		if n.ID == id {
			return n.Region
		}
	}
	for _, n := range w.deployment.nodes {
		if n.ID == id {
			return n.Region
		}
	}
	return ""
}
