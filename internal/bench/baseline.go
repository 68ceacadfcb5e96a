package bench

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/persimmoncart/persimmoncart"
)

// baselineMaxAttempts is how often a baseline tries a completion whose KV cache
// was evicted.
const baselineMaxAttempts = 3

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
	choosers   map[persimmoncart.InstanceID]chooser
	newChooser func() chooser
	attempts   map[persimmoncart.InstanceID]map[*completionAttempt]bool
	lists      map[persimmoncart.Region]map[persimmoncart.Role][]*replica
	sim        *simulation
}

// newBaseline returns a baseline for a world.
func newBaseline(sim *simulation, create func() chooser) *baseline {
	b := &baseline{
		choosers: make(map[persimmoncart.InstanceID]chooser), newChooser: create,
		attempts: make(map[persimmoncart.InstanceID]map[*completionAttempt]bool),
		lists:    make(map[persimmoncart.Region]map[persimmoncart.Role][]*replica), sim: sim,
	}
	for _, r := range sim.replicas {
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
	for _, f := range sortByRequest(b.attempts[id]) {
		f.cancel()
		f.request.ended = true
	}
	delete(b.attempts, id)
}

// handle implements router.
func (b *baseline) handle(q *request, at persimmoncart.InstanceID) {
	c := b.chooser(at)
	if q.kind == kindCompletion {
		b.tryCompletion(q, at, c, 1)
		return
	}
	b.sim.claim(q, func() {
		a := c.application(b.sim.applications)
		a.call(b.sim.region(at), q.serviceSeconds, func() {
			c.done(a.endpoint.ID)
			b.sim.recordResponse(q, b.sim.now())
		})
	})
}

// setInstances implements router.
func (b *baseline) setInstances([]persimmoncart.Instance) {}

// tryCompletion tries a completion.
func (b *baseline) tryCompletion(q *request, at persimmoncart.InstanceID, c chooser, number int) {
	now := b.sim.now()
	if !now.Before(q.deadline) {
		return
	}
	region := b.sim.region(at)
	lists := b.lists[region]
	f := &completionAttempt{from: region, request: q, prefillReplica: c.replica(lists[persimmoncart.RolePrefill]), sim: b.sim}
	if b.attempts[at] == nil {
		b.attempts[at] = make(map[*completionAttempt]bool)
	}
	b.attempts[at][f] = true
	end := func() {
		delete(b.attempts[at], f)
		c.done(f.prefillReplica.endpoint.ID)
		if f.decodeReplica != nil {
			c.done(f.decodeReplica.endpoint.ID)
		}
	}
	stop := b.sim.after(q.deadline.Sub(now), func() {
		f.cancel()
		end()
		q.ended = true
	})
	f.prefilled = func() {
		f.decodeReplica = c.replica(lists[persimmoncart.RoleDecode])
		f.startDecode(persimmoncart.Blocks(q.promptTokens + maxOutputTokens))
	}
	f.done = func() {
		stop()
		end()
	}
	f.evicted = func() {
		stop()
		f.ended = true
		end()
		if number < baselineMaxAttempts {
			b.tryCompletion(q, at, c, number+1)
		} else {
			q.ended = true
		}
	}
	f.start()
}

// sortByRequest returns flights in the order of their requests, so that a run does not
// depend on the order of a map.
func sortByRequest(flights map[*completionAttempt]bool) []*completionAttempt {
	return slices.SortedFunc(maps.Keys(flights), func(a, c *completionAttempt) int { return cmp.Compare(a.request.id, c.request.id) })
}

// chooser returns the chooser of an instance.
func (b *baseline) chooser(at persimmoncart.InstanceID) chooser {
	c, found := b.choosers[at]
	if !found {
		c = b.newChooser()
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
	return list[r.nextIndex(-len(list), len(list))]
}

// done implements chooser.
func (*roundRobin) done(persimmoncart.EndpointID) {}

// replica implements chooser.
func (r *roundRobin) replica(list []*replica) *replica {
	key := len(list)
	if list[0].endpoint.Role == persimmoncart.RolePrefill {
		key += 1 << 20
	}
	return list[r.nextIndex(key, len(list))]
}

// nextIndex returns the next index of a list of n.
func (r *roundRobin) nextIndex(key, n int) int {
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
