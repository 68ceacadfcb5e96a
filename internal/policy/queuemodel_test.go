package policy_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

// Figures of the users' endpoints, which the model takes over.
const (
	modelLongFactor  = 5 // of the time of one request in modelLongOneIn
	modelLongOneIn   = 100
	modelMedian      = 15 * time.Millisecond
	modelNetwork     = 500 * time.Microsecond // one way
	modelNoiseFactor = 2.5
	modelNoiseLength = 600 * time.Millisecond
	modelNoiseShare  = 0.15
	modelQueue       = 24 // waiting requests, beyond which an endpoint refuses
	modelSends       = 3
	modelSigma       = 0.3 // of the logarithm of the time of a request
	modelSlots       = 6

	// A prefill engine works on one prompt after the other.
	modelPrefillRate  = 20_000 // tokens a second
	modelPrefillSlots = 16     // that it states
	modelPrompt       = 3200   // tokens, mean
	modelPromptMax    = 6600   // tokens
	modelPromptSigma  = 0.5    // of the logarithm of the tokens
)

// modelSpeeds are the speeds of the endpoints of a pool, relative to nominal.
var modelSpeeds = []float64{0.55, 0.7, 0.8, 0.9, 1.05, 1.2}

// A modelEndpoint is an application endpoint: slots, a queue in order of arrival, and
// refusals beyond it.
type modelEndpoint struct {
	contention float64                        // share by which each request beyond half of the slots prolongs the others
	errorShare float64                        // of the requests fail at once
	slowness   func(at time.Duration) float64 // factor of the time of requests; may be nil
	speed      float64
	steady     bool // has no noise
	tells      bool // its load header contains slowness

	noisyUntil time.Duration
	peak       int // requests at the same time since it was reset
	quietUntil time.Duration
	running    int
	served     int
	waiting    []*modelRequest
}

// A modelRequest is one request.
type modelRequest struct {
	arrived  time.Duration
	avoid    []persimmoncart.EndpointID
	endpoint *modelEndpoint
	instance int
	sent     time.Duration
	state    *policy.EndpointState
	tokens   int // to prefill; 0 for a plain request
}

// A queueModel is a pool of endpoints and the instances that send requests to it, in
// virtual time. The instances share nothing but the endpoints and their load headers.
type queueModel struct {
	endpoints []*modelEndpoint
	load      float64 // arriving work relative to what the endpoints could do without noise or faults
	prefill   bool    // the endpoints are prefill engines
	selectors []*policy.Selector

	errors    int
	events    modelEvents
	latencies []time.Duration
	now       time.Duration
	pick      *rand.Rand
	random    *rand.Rand
	refused   int
}

// newPrefillModel returns a model with four prefill engines for each of modelSpeeds.
func newPrefillModel(seed uint64, adaptive bool, load float64) *queueModel {
	return newModel(seed, adaptive, load, true)
}

// newQueueModel returns a model with one application endpoint for each of modelSpeeds.
func newQueueModel(seed uint64, adaptive bool, load float64) *queueModel {
	return newModel(seed, adaptive, load, false)
}

// newModel returns a model of either kind.
func newModel(seed uint64, adaptive bool, load float64, prefill bool) *queueModel {
	m := &queueModel{prefill: prefill, load: load, pick: rand.New(rand.NewPCG(seed, 2)), random: rand.New(rand.NewPCG(seed, 1))}
	const instances = 60
	for range instances {
		m.selectors = append(m.selectors, &policy.Selector{Adaptive: adaptive})
	}
	for _, speed := range modelSpeeds {
		m.addEndpoint(speed)
		for n := 0; prefill && n < 3; n++ {
			m.addEndpoint(speed)
		}
	}
	return m
}

// addEndpoint adds an endpoint, which all instances know from now on.
func (m *queueModel) addEndpoint(speed float64) *modelEndpoint {
	e := &modelEndpoint{speed: speed, quietUntil: m.now + time.Duration(m.random.Float64()*float64(modelNoiseLength)/modelNoiseShare)}
	for _, s := range m.selectors {
		s.Endpoints = append(s.Endpoints, &policy.EndpointState{Endpoint: persimmoncart.Endpoint{
			DataCentre: "r1", ID: persimmoncart.EndpointID(rune('a' + len(m.endpoints))), Region: "r", Role: m.role(), Slots: m.slots(),
		}})
	}
	m.endpoints = append(m.endpoints, e)
	return e
}

// role returns the role of the endpoints.
func (m *queueModel) role() persimmoncart.Role {
	if m.prefill {
		return persimmoncart.RolePrefill
	}
	return persimmoncart.RoleApplication
}

// slots returns the slots that the endpoints state.
func (m *queueModel) slots() int {
	if m.prefill {
		return modelPrefillSlots
	}
	return modelSlots
}

// servers returns the requests that an endpoint works on at the same time.
func (m *queueModel) servers() int {
	if m.prefill {
		return 1
	}
	return modelSlots
}

// work returns the seconds of work of a request at nominal speed.
func (m *queueModel) work(r *modelRequest) float64 {
	if m.prefill {
		return float64(r.tokens) / modelPrefillRate
	}
	work := modelMedian.Seconds() * math.Exp(modelSigma*m.random.NormFloat64())
	if m.random.IntN(modelLongOneIn) == 0 {
		work *= modelLongFactor
	}
	return work
}

// clock returns the time for the selectors.
func (m *queueModel) clock() time.Time { return time.Unix(1000, 0).Add(m.now) }

// after runs a function after a time.
func (m *queueModel) after(d time.Duration, run func()) {
	m.events.serial++
	heap.Push(&m.events, modelEvent{at: m.now + d, run: run, serial: m.events.serial})
}

// run runs the model until the given time; arrivals start with the first call.
func (m *queueModel) run(until time.Duration) {
	if m.events.serial == 0 {
		m.after(0, m.newRequest)
	}
	for m.events.Len() > 0 && m.events.events[0].at <= until {
		e, _ := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.run()
	}
	m.now = until
}

// newRequest sends one request and schedules the next.
func (m *queueModel) newRequest() {
	mean := modelMedian.Seconds() * math.Exp(modelSigma*modelSigma/2) * (1 + (modelLongFactor-1.0)/modelLongOneIn)
	r := &modelRequest{arrived: m.now, instance: m.random.IntN(len(m.selectors))}
	if m.prefill {
		mean = modelPrompt / float64(modelPrefillRate)
		r.tokens = min(modelPromptMax, int(modelPrompt*math.Exp(modelPromptSigma*m.random.NormFloat64()-modelPromptSigma*modelPromptSigma/2)))
	}
	rate := 0.0
	for _, e := range m.endpoints {
		rate += m.load * e.speed * float64(m.servers()) / mean
	}
	m.after(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), m.newRequest)
	m.send(r)
}

// send sends a request to the endpoint that its instance chooses.
func (m *queueModel) send(r *modelRequest) {
	s := m.selectors[r.instance]
	r.state = nil
	if len(r.avoid) < modelSends {
		r.state = s.Pick(m.clock(), m.pick, &policy.SelectorRequest{
			Avoid: r.avoid, DataCentre: "r1", Region: "r", Role: m.role(), Tokens: r.tokens,
		})
	}
	if r.state == nil {
		m.refused++
		return
	}
	r.endpoint, r.sent = m.endpoints[slices.Index(s.Endpoints, r.state)], m.now
	r.state.InFlight++
	r.state.Tokens += r.tokens
	m.after(modelNetwork, func() { m.arrive(r) })
}

// arrive lets a request arrive at its endpoint.
func (m *queueModel) arrive(r *modelRequest) {
	e := r.endpoint
	switch {
	case m.random.Float64() < e.errorShare:
		m.errors++
		m.after(modelNetwork, func() { m.fail(r) })
	case e.running < m.servers():
		m.start(r)
	case len(e.waiting) < modelQueue:
		e.waiting = append(e.waiting, r)
	default:
		load := m.report(e)
		m.after(modelNetwork, func() {
			r.state.SetLoad(m.clock(), load)
			m.fail(r)
		})
	}
	e.peak = max(e.peak, e.running+len(e.waiting))
}

// start lets a request take a slot, and the next one after it.
func (m *queueModel) start(r *modelRequest) {
	e := r.endpoint
	e.running++
	work := m.work(r) * m.noise(e) / e.speed
	if e.slowness != nil {
		work *= e.slowness(m.now)
	}
	work *= 1 + e.contention*float64(max(0, e.running-modelSlots/2))
	m.after(time.Duration(work*float64(time.Second)), func() {
		load := m.report(e)
		e.running--
		e.served++
		m.after(modelNetwork, func() { m.respond(r, load) })
		if len(e.waiting) > 0 {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			m.start(next)
		}
	})
}

// noise returns the factor of the time of requests at an endpoint now, which it reports.
func (m *queueModel) noise(e *modelEndpoint) float64 {
	for !e.steady && m.now >= e.quietUntil {
		e.noisyUntil = e.quietUntil + modelNoiseLength
		e.quietUntil = e.noisyUntil + time.Duration(m.random.ExpFloat64()*float64(modelNoiseLength)*(1-modelNoiseShare)/modelNoiseShare)
	}
	if !e.steady && m.now < e.noisyUntil {
		return modelNoiseFactor
	}
	return 1
}

// report returns the load header of an endpoint.
func (m *queueModel) report(e *modelEndpoint) persimmoncart.EndpointLoad {
	slowdown := m.noise(e)
	if e.tells {
		slowdown *= e.slowness(m.now)
	}
	return persimmoncart.EndpointLoad{Running: e.running, Slots: m.slots(), Slowdown: slowdown, Waiting: len(e.waiting)}
}

// fail lets an instance send a request again that an endpoint refused or failed.
func (m *queueModel) fail(r *modelRequest) {
	r.state.Failures.Fail(m.clock())
	r.state.InFlight--
	r.state.Tokens -= r.tokens
	r.avoid = append(r.avoid, r.state.Endpoint.ID)
	m.send(r)
}

// respond lets a response arrive at the instance.
func (m *queueModel) respond(r *modelRequest, load persimmoncart.EndpointLoad) {
	r.state.SetLoad(m.clock(), load)
	r.state.Failures.Succeed(m.clock())
	units := 1.0
	if m.prefill {
		units = float64(r.tokens) / 1000
	}
	r.state.AddWork(m.clock(), m.now-r.sent, units)
	r.state.InFlight--
	r.state.Tokens -= r.tokens
	m.latencies = append(m.latencies, m.now-r.arrived)
}

// takeServed returns the requests that each endpoint has served since the last call, and
// resets their peaks.
func (m *queueModel) takeServed() []int {
	var served []int
	for _, e := range m.endpoints {
		served = append(served, e.served)
		e.peak, e.served = 0, 0
	}
	return served
}

// modelFigures are what the clients of a model see.
type modelFigures struct {
	mean, p99 time.Duration
	refused   float64 // share of the requests
}

// figures returns what the clients have seen.
func (m *queueModel) figures() modelFigures {
	sorted := slices.Sorted(slices.Values(m.latencies))
	sum := time.Duration(0)
	for _, l := range sorted {
		sum += l
	}
	n := len(sorted)
	return modelFigures{mean: sum / time.Duration(n), p99: sorted[n*99/100], refused: float64(m.refused) / float64(n+m.refused)}
}

// String returns the figures for a log.
func (f modelFigures) String() string {
	const precision = 100 * time.Microsecond
	return fmt.Sprintf("mean %v, p99 %v, refused %.2f%%", f.mean.Round(precision), f.p99.Round(precision), 100*f.refused)
}

// A modelEvent is something that happens at a time.
type modelEvent struct {
	at     time.Duration
	run    func()
	serial int
}

// modelEvents implements heap.Interface.
type modelEvents struct {
	events []modelEvent
	serial int // of the last event
}

// Len implements heap.Interface.
func (e *modelEvents) Len() int { return len(e.events) }

// Less implements heap.Interface.
func (e *modelEvents) Less(i, j int) bool {
	a, b := &e.events[i], &e.events[j]
	return a.at < b.at || a.at == b.at && a.serial < b.serial
}

// Pop implements heap.Interface.
func (e *modelEvents) Pop() any {
	last := len(e.events) - 1
	event := e.events[last]
	e.events = e.events[:last]
	return event
}

// Push implements heap.Interface.
func (e *modelEvents) Push(x any) {
	event, _ := x.(modelEvent)
	e.events = append(e.events, event)
}

// Swap implements heap.Interface.
func (e *modelEvents) Swap(i, j int) { e.events[i], e.events[j] = e.events[j], e.events[i] }
