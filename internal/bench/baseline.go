package bench

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/persimmoncart/persimmoncart"
)

// baselineMaxAttempts is how often a baseline tries a completion whose KV
// cache was evicted.
const baselineMaxAttempts = 3

// A chooser chooses endpoints for a baseline.
type chooser interface {
	// application chooses an application endpoint of list.
	application(list []*application) *application
	// done reports the end of a request on an engine or application endpoint.
	done(id persimmoncart.EndpointID)
	// replica chooses an engine of list.
	replica(list []*replica) *replica
}

// A baseline is a router without admission control. It chooses the prefill
// engine and then the decode engine among those of its region, and retries at
// once. Each instance has its own chooser.
type baseline struct {
	attempts   map[persimmoncart.InstanceID]map[*completionAttempt]bool
	choosers   map[persimmoncart.InstanceID]chooser
	replicas   map[persimmoncart.Region]map[persimmoncart.Role][]*replica
	newChooser func() chooser
	sim        *simulation
}

// newBaseline returns a baseline for a simulation, whose instances get their
// choosers from newChooser.
func newBaseline(sim *simulation, newChooser func() chooser) *baseline {
	b := &baseline{
		choosers: make(map[persimmoncart.InstanceID]chooser), newChooser: newChooser,
		attempts: make(map[persimmoncart.InstanceID]map[*completionAttempt]bool),
		replicas: make(map[persimmoncart.Region]map[persimmoncart.Role][]*replica), sim: sim,
	}
	for _, r := range sim.replicas {
		e := &r.endpoint
		if b.replicas[e.Region] == nil {
			b.replicas[e.Region] = make(map[persimmoncart.Role][]*replica)
		}
		b.replicas[e.Region][e.Role] = append(b.replicas[e.Region][e.Role], r)
	}
	return b
}

// crash implements router.
func (b *baseline) crash(id persimmoncart.InstanceID) {
	for _, a := range sortByRequest(b.attempts[id]) {
		a.cancel()
		a.request.ended = true
	}
	delete(b.attempts, id)
}

// handle implements router.
func (b *baseline) handle(q *request, instance persimmoncart.InstanceID) {
	c := b.chooser(instance)
	if q.kind == kindCompletion {
		b.tryCompletion(q, instance, c, 1)
		return
	}
	b.sim.claim(q, func() {
		a := c.application(b.sim.applications)
		a.call(b.sim.region(instance), q.serviceSeconds, func() {
			c.done(a.endpoint.ID)
			b.sim.recordResponse(q, b.sim.now())
		})
	})
}

// setInstances implements router.
func (b *baseline) setInstances([]persimmoncart.Instance) {}

// tryCompletion makes one attempt at a completion before its deadline, and
// another one if the KV cache is evicted.
func (b *baseline) tryCompletion(q *request, instance persimmoncart.InstanceID, c chooser, attempt int) {
	now := b.sim.now()
	if !now.Before(q.deadline) {
		return
	}
	region := b.sim.region(instance)
	replicas := b.replicas[region]
	a := &completionAttempt{from: region, request: q, prefillReplica: c.replica(replicas[persimmoncart.RolePrefill]), sim: b.sim}
	if b.attempts[instance] == nil {
		b.attempts[instance] = make(map[*completionAttempt]bool)
	}
	b.attempts[instance][a] = true
	end := func() {
		delete(b.attempts[instance], a)
		c.done(a.prefillReplica.endpoint.ID)
		if a.decodeReplica != nil {
			c.done(a.decodeReplica.endpoint.ID)
		}
	}
	stop := b.sim.after(q.deadline.Sub(now), func() {
		a.cancel()
		end()
		q.ended = true
	})
	a.prefilled = func() {
		a.decodeReplica = c.replica(replicas[persimmoncart.RoleDecode])
		a.startDecode(persimmoncart.Blocks(q.promptTokens + maxOutputTokens))
	}
	a.done = func() {
		stop()
		end()
	}
	a.evicted = func() {
		stop()
		a.ended = true
		end()
		if attempt < baselineMaxAttempts {
			b.tryCompletion(q, instance, c, attempt+1)
		} else {
			q.ended = true
		}
	}
	a.start()
}

// sortByRequest returns the attempts in the order of their requests, because
// map order would make runs differ.
func sortByRequest(attempts map[*completionAttempt]bool) []*completionAttempt {
	return slices.SortedFunc(maps.Keys(attempts), func(a, c *completionAttempt) int { return cmp.Compare(a.request.id, c.request.id) })
}

// chooser returns the chooser of an instance and creates it if needed.
func (b *baseline) chooser(instance persimmoncart.InstanceID) chooser {
	c, found := b.choosers[instance]
	if !found {
		c = b.newChooser()
		b.choosers[instance] = c
	}
	return c
}

// A roundRobin chooses the endpoints of each list in turn.
type roundRobin struct {
	next map[int]int // last index, by list length and role; lists of one length and role share it
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

// nextIndex returns the next index into a list of n for a key.
func (r *roundRobin) nextIndex(key, n int) int {
	r.next[key]++
	return r.next[key] % n
}

// A twoChoices chooses the less loaded of two random endpoints, by reported
// load and by the requests that the instance has in flight there.
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

// load returns the reported load of a replica plus the instance's own requests
// in flight.
func (t *twoChoices) load(r *replica) int {
	return r.reported.load + t.inFlight[r.endpoint.ID]
}
