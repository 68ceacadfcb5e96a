package forward_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
)

const (
	overloadEngines  = 10
	overloadRouters  = 7
	overloadMemory   = 28_000 // tokens of an engine
	overloadLength   = 24 * time.Second
	overloadTarget   = 900 * time.Millisecond // to the first event
	overloadPatience = 14 * time.Second       // of a caller
	overloadUrgent   = 0.08                   // share of urgent callers
	overloadSeeds    = 2
	outageBegin      = 4 * time.Second
	meanPrompt       = 3200 // tokens
	meanOutput       = 66   // tokens
	maxPrompt        = 6600 // tokens
	largeFactor      = 2.2  // of the mean product of prompt and output, from which a request is large: about one in twelve
)

// An overload is more load than the memory of engines holds, before several routers.
type overload struct {
	bursts   time.Duration // twice the capacity and 0.7 of it in turns of this length; zero for twice all the time
	gone     int           // engines that refuse connections from outageBegin on, while they are still listed
	pressure bool          // Directory.Pressure
	seed     uint64
}

// An overloadCaller is a caller with one generation.
type overloadCaller struct {
	arrives        time.Duration
	large, urgent  bool
	output, prompt int    // tokens
	routers        [2]int // that it reaches first, and after a refusal
}

// An overloadCount counts callers of one kind.
type overloadCount struct{ callers, inTime, late int }

// inTimeShare returns the share of callers that were served in time.
func (c *overloadCount) inTimeShare() float64 { return float64(c.inTime) / float64(c.callers) }

// servedShare returns the share of callers that were served in time or late.
func (c *overloadCount) servedShare() float64 { return float64(c.inTime+c.late) / float64(c.callers) }

// overloadCounts counts the callers of overloads, and calls to engines that are gone.
type overloadCounts struct {
	all, large, ordinary, urgent overloadCount
	asked                        int
	mutex                        sync.Mutex
}

// add counts a caller.
func (c *overloadCounts) add(caller *overloadCaller, served, inTime bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	kinds := []*overloadCount{&c.all, &c.ordinary}
	if caller.urgent {
		kinds[1] = &c.urgent
	}
	if caller.large {
		kinds = append(kinds, &c.large)
	}
	for _, k := range kinds {
		k.callers++
		switch {
		case inTime:
			k.inTime++
		case served:
			k.late++
		}
	}
}

// callers returns the callers of the overload, with log-normal sizes.
func (o *overload) callers() []overloadCaller {
	random := rand.New(rand.NewPCG(o.seed, 1))
	logNormal := func(mean, deviation float64) int {
		return max(1, int(mean*math.Exp(deviation*random.NormFloat64()-deviation*deviation/2)))
	}
	held := meanOutput * outputTokenTime.Seconds() * (meanPrompt + meanOutput)
	interval := held / (2 * overloadEngines * overloadMemory)
	var callers []overloadCaller
	for at := 0.0; at < overloadLength.Seconds(); at += interval * random.ExpFloat64() {
		c := overloadCaller{
			arrives: time.Duration(at * float64(time.Second)),
			output:  logNormal(meanOutput, 0.6), prompt: min(maxPrompt, logNormal(meanPrompt, 0.5)),
			routers: [2]int{random.IntN(overloadRouters), random.IntN(overloadRouters)}, urgent: random.Float64() < overloadUrgent,
		}
		c.large = float64(c.prompt*c.output) > largeFactor*meanPrompt*meanOutput
		if pause := o.bursts > 0 && c.arrives/o.bursts%2 == 1; !pause || random.Float64() < 0.35 {
			callers = append(callers, c)
		}
	}
	return callers
}

// run replays the overload and adds its callers to counts.
func (o *overload) run(t *testing.T, counts *overloadCounts) {
	synctest.Test(t, func(t *testing.T) {
		model := &memoryModel{
			asked: map[persimmoncart.EndpointID]int{}, free: map[persimmoncart.EndpointID]int{}, gone: map[persimmoncart.EndpointID]bool{},
			holds: map[string]hold{}, running: map[persimmoncart.EndpointID]int{},
		}
		var routers []*fixture
		for n := range overloadRouters {
			f := newFixtureWith(t, directoryOptions{pressure: o.pressure})
			f.Directory.Random = rand.New(rand.NewPCG(o.seed, uint64(n)))
			f.Directory.SetTable(overloadTable())
			f.addDecodeEngines(overloadEngines - 2)
			f.Router.Upstream = &memoryUpstream{model: model}
			routers = append(routers, f)
			for _, e := range f.Directory.Engines()[llm] {
				model.free[e.ID] = overloadMemory
			}
		}
		time.AfterFunc(outageBegin, func() {
			model.mutex.Lock()
			defer model.mutex.Unlock()
			for n := range o.gone {
				model.gone[persimmoncart.EndpointID(fmt.Sprintf("e%d", n))] = true
			}
		})
		var callers sync.WaitGroup
		begin := time.Now()
		for n, c := range o.callers() {
			time.Sleep(c.arrives - time.Since(begin))
			callers.Go(func() {
				served, inTime := c.call(t, routers, n)
				counts.add(&c, served, inTime)
			})
		}
		callers.Wait()
		for _, n := range model.asked {
			counts.asked += n
		}
	})
}

// call makes the attempts of a caller, who returns once after a refusal, at the latest when
// a third of its time left is over.
func (c *overloadCaller) call(t *testing.T, routers []*fixture, n int) (served, inTime bool) {
	waited := time.Duration(0)
	for attempt, router := range c.routers {
		path := "/draft/"
		if c.urgent {
			path = "/urgent/"
		}
		r := request(path)
		r.ID = persimmoncart.RequestID(fmt.Sprintf("%d-%d", n, attempt))
		r.Deadline = r.Arrived.Add(overloadPatience - waited)
		r.Header.Set(outputHeader, strconv.Itoa(c.output))
		r.Generation = &persimmoncart.GenerationSize{ExpectedOutputTokens: c.output, MaxOutputTokens: 2000, PromptTokens: c.prompt}
		first, refusal := routers[router].send(t.Context(), r)
		if refusal == nil {
			return true, waited+first <= overloadTarget
		}
		waited += time.Since(r.Arrived)
		pause := min(refusal.RetryAfter, (overloadPatience-waited)/3)
		time.Sleep(pause)
		waited += pause
	}
	return false, false
}

// overloadTable returns routes of which one is urgent, and the size of the engines.
func overloadTable() *persimmoncart.ForwardTable {
	routes := table(2)
	urgent := *routes.Routes["h"][0]
	urgent.Name, urgent.Prefix, urgent.Priority = "/urgent/", "/urgent/", 0
	for _, r := range routes.Routes["h"] {
		r.Priority = 1
	}
	routes.Routes["h"] = append(routes.Routes["h"], &urgent)
	routes.Pools[llm].Engine.KVTokens, routes.Pools[llm].Engine.Slots = overloadMemory, 32
	return routes
}

// Load: twice the capacity of the engines' memory, 8% of it urgent, with log-normal sizes,
// before seven routers that know little of each other; all the time, in bursts, or with
// engines that are gone and still listed. The bounds are those that the users ask for.
// Guards against decisions under pressure that serve urgent callers no better than others,
// or fewer callers than without them, that starve large requests (less than a quarter as
// often as all), and against engines that are gone and asked all the time.
func TestOverload(t *testing.T) {
	inTime := 0 // more callers with pressure than without, at twice the capacity all the time
	for _, c := range []struct {
		name   string
		bursts time.Duration
		gone   int
	}{
		{name: "steady"},
		{name: "bursts", bursts: 8 * time.Second},
		{name: "engines gone", gone: 2},
	} {
		var off, on overloadCounts
		for seed := range uint64(overloadSeeds) {
			(&overload{bursts: c.bursts, gone: c.gone, seed: seed + 1}).run(t, &off)
			(&overload{bursts: c.bursts, gone: c.gone, pressure: true, seed: seed + 1}).run(t, &on)
		}
		t.Logf("%s: in time %.3f, served %.3f without pressure; %.3f, %.3f with it", c.name, off.all.inTimeShare(), off.all.servedShare(), on.all.inTimeShare(), on.all.servedShare())
		t.Logf("in time: urgent %.3f, ordinary %.3f; served: large %.3f; calls to engines that are gone: %d, %d", on.urgent.inTimeShare(), on.ordinary.inTimeShare(), on.large.servedShare(), off.asked, on.asked)
		if c.bursts == 0 {
			inTime += on.all.inTime - off.all.inTime
		}
		assert.Check(t, on.urgent.inTimeShare() >= on.ordinary.inTimeShare(), c.name)
		assert.Check(t, on.urgent.servedShare() >= on.ordinary.servedShare(), c.name)
		assert.Check(t, on.all.servedShare() >= off.all.servedShare(), c.name)
		assert.Check(t, on.large.servedShare() >= on.all.servedShare()/4, c.name)
		// The pause doubles from 120 ms to 2 s; twice as many calls where two ask at once.
		const length = overloadLength + overloadPatience - outageBegin
		const pauses = 5 + int(length/(2*time.Second))
		assert.Check(t, on.asked <= 2*pauses*c.gone*overloadRouters*overloadSeeds, c.name)
	}
	assert.Check(t, inTime > 0, "%d more callers in time", inTime)
}
