package bench

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/persimmoncart/persimmoncart"
)

// baselineAttempts is how often a baseline tries a completion whose KV cache
// was evicted.
const baselineAttempts = 3

// A chooser is the choice of a baseline among the endpoints of its region.
type chooser interface {
	// application chooses among all application endpoints.
	application(list []*application) *application
	// done reports the end of a request on an engine or endpoint.
	done(id persimmoncart.EndpointID)
	// replica chooses among engines.
	replica(list []*replica) *replica
}

// A baseline is a router without admission control: prefill first, then decode
// where the chooser says, with plain retries. Each instance has its own chooser.
type baseline struct {
	choosers map[persimmoncart.InstanceID]chooser
	create   func() chooser
	flights  map[persimmoncart.InstanceID]map[*flight]bool
	lists    map[persimmoncart.Region]map[persimmoncart.Role][]*replica
	world    *world
}

// newBaseline returns a baseline for a world.
func newBaseline(w *world, create func() chooser) *baseline {
	b := &baseline{
		choosers: make(map[persimmoncart.InstanceID]chooser), create: create,
		flights: make(map[persimmoncart.InstanceID]map[*flight]bool),
		lists:   make(map[persimmoncart.Region]map[persimmoncart.Role][]*replica), world: w,
	}
	for _, r := range w.replicas {
		e := &r.endpoint
		if b.lists[e.Region] == nil {
			b.lists[e.Region] = make(map[persimmoncart.Role][]*replica)
		}
		b.lists[e.Region][e.Role] = append(b.lists[e.Region][e.Role], r)
	}
	return b
}

// crash implements router.
func (b *baseline) crash(id persimmoncart.InstanceID) {
	for _, f := range byJob(b.flights[id]) {
		f.cancel()
		f.job.ended = true
	}
	delete(b.flights, id)
}

// offer implements router.
func (b *baseline) offer(j *job, at persimmoncart.InstanceID) {
	c := b.chooser(at)
	if j.kind == kindCompletion {
		b.attempt(j, at, c, 1)
		return
	}
	b.world.claim(j, func() {
		a := c.application(b.world.applications)
		a.call(b.world.region(at), j.work, func() {
			c.done(a.endpoint.ID)
			b.world.answer(j, b.world.now())
		})
	})
}

// replaced implements router.
func (b *baseline) replaced([]persimmoncart.Instance) {}

// attempt tries a completion.
func (b *baseline) attempt(j *job, at persimmoncart.InstanceID, c chooser, number int) {
	now := b.world.now()
	if !now.Before(j.deadline) {
		return
	}
	region := b.world.region(at)
	lists := b.lists[region]
	f := &flight{from: region, job: j, prefill: c.replica(lists[persimmoncart.RolePrefill]), world: b.world}
	if b.flights[at] == nil {
		b.flights[at] = make(map[*flight]bool)
	}
	b.flights[at][f] = true
	end := func() {
		delete(b.flights[at], f)
		c.done(f.prefill.endpoint.ID)
		if f.decode != nil {
			c.done(f.decode.endpoint.ID)
		}
	}
	stop := b.world.after(j.deadline.Sub(now), func() {
		f.cancel()
		end()
		j.ended = true
	})
	f.prefilled = func() {
		f.decode = c.replica(lists[persimmoncart.RoleDecode])
		f.startDecode(persimmoncart.Blocks(j.prompt + outputLimit))
	}
	f.done = func() {
		stop()
		end()
	}
	f.missing = func() {
		stop()
		f.ended = true
		end()
		if number < baselineAttempts {
			b.attempt(j, at, c, number+1)
		} else {
			j.ended = true
		}
	}
	f.start()
}

// byJob returns flights in the order of their requests, so that a run does not
// depend on the order of a map.
func byJob(flights map[*flight]bool) []*flight {
	return slices.SortedFunc(maps.Keys(flights), func(a, c *flight) int { return cmp.Compare(a.job.id, c.job.id) })
}

// chooser returns the chooser of an instance.
func (b *baseline) chooser(at persimmoncart.InstanceID) chooser {
	c, found := b.choosers[at]
	if !found {
		c = b.create()
		b.choosers[at] = c
	}
	return c
}

// A roundRobin is the naive chooser.
type roundRobin struct {
	next map[int]int // by list length, so that each list has its own turn
}

// application implements chooser.
func (r *roundRobin) application(list []*application) *application {
	return list[r.turn(-len(list), len(list))]
}

// done implements chooser.
func (*roundRobin) done(persimmoncart.EndpointID) {}

// replica implements chooser.
func (r *roundRobin) replica(list []*replica) *replica {
	key := len(list)
	if list[0].endpoint.Role == persimmoncart.RolePrefill {
		key += 1 << 20
	}
	return list[r.turn(key, len(list))]
}

// turn returns the next index of a list of n.
func (r *roundRobin) turn(key, n int) int {
	r.next[key]++
	return r.next[key] % n
}

// A twoChoices takes the less loaded of two random endpoints, by the reported
// load and the own requests in flight.
type twoChoices struct {
	inFlight map[persimmoncart.EndpointID]int
	random   *rand.Rand
}

// application implements chooser.
func (t *twoChoices) application(list []*application) *application {
	a, b := list[t.random.IntN(len(list))], list[t.random.IntN(len(list))]
	if t.inFlight[b.endpoint.ID] < t.inFlight[a.endpoint.ID] {
		a = b
	}
	t.inFlight[a.endpoint.ID]++
	return a
}

// done implements chooser.
func (t *twoChoices) done(id persimmoncart.EndpointID) { t.inFlight[id]-- }

// replica implements chooser.
func (t *twoChoices) replica(list []*replica) *replica {
	a, b := list[t.random.IntN(len(list))], list[t.random.IntN(len(list))]
	if t.load(b) < t.load(a) {
		a = b
	}
	t.inFlight[a.endpoint.ID]++
	return a
}

// load returns the expected load of a replica.
func (t *twoChoices) load(r *replica) int {
	return r.reported.load + t.inFlight[r.endpoint.ID]
}
