package bench

import (
	"cmp"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// Orders in which the central decider serves waiting requests.
const (
	orderDue   boundOrder = iota // interactive first, then the earliest due; batch keeps its share
	orderShort                   // the shortest output first, which serves the most requests
)

// A boundOrder is an order of the central decider.
type boundOrder int

// A bound is one decider with instant and complete knowledge of the present:
// true speeds, caches, batches and output lengths. It knows no future arrivals.
// If ahead is set, it starts a prefill before a decode slot is free if one will
// be free in time.
type bound struct {
	blind    bool // does not know the lengths of answers
	ahead    bool
	credit   float64
	decodes  map[persimmoncart.Region][]*replica
	order    boundOrder
	planned  bool // a dispatch is due
	prefills map[persimmoncart.Region][]*replica
	regions  []persimmoncart.Region
	waiting  []*job
	flights  map[*flight]bool
	world    *world
}

// newBound returns the decider for a world.
func newBound(w *world, order boundOrder, ahead bool) *bound {
	b := &bound{
		ahead:   ahead,
		decodes: make(map[persimmoncart.Region][]*replica), flights: make(map[*flight]bool), order: order,
		prefills: make(map[persimmoncart.Region][]*replica), regions: w.deployment.regions(), world: w,
	}
	for _, r := range w.replicas {
		r.freed = b.plan
		lists := b.decodes
		if r.endpoint.Role == persimmoncart.RolePrefill {
			lists = b.prefills
		}
		lists[r.endpoint.Region] = append(lists[r.endpoint.Region], r)
	}
	w.clock.Subscribe(20*time.Millisecond, func(time.Time) { b.plan() })
	return b
}

// crash implements router. The one decider does not fail.
func (*bound) crash(persimmoncart.InstanceID) {}

// offer implements router.
func (b *bound) offer(j *job, at persimmoncart.InstanceID) {
	if j.kind == kindCompletion {
		b.waiting = append(b.waiting, j)
		b.plan()
		return
	}
	from := b.world.region(at)
	b.world.claim(j, func() {
		var best *application
		var least time.Duration
		for _, a := range b.world.applications {
			d, reachable := b.world.network.delay(from, a.endpoint.Region)
			cost := 2*d + time.Duration(j.work*a.slow*float64(1+len(a.queue))*float64(time.Second))
			if reachable && (best == nil || cost < least) {
				best, least = a, cost
			}
		}
		best.call(from, j.work, func() { b.world.answer(j, b.world.now()) })
	})
}

// replaced implements router.
func (*bound) replaced([]persimmoncart.Instance) {}

// output returns the answer's length, or what is expected of it. Without
// knowledge, deadlines are planned with a long answer, because a prefill is
// wasted otherwise.
func (b *bound) output(j *job) int {
	if b.blind {
		return outputLimit
	}
	return j.output
}

// plan dispatches once all events of this moment have happened.
func (b *bound) plan() {
	if !b.planned {
		b.planned = true
		b.world.after(0, func() {
			b.planned = false
			b.dispatch()
		})
	}
}

// dispatch serves the waiting requests in order while there is room.
func (b *bound) dispatch() {
	const misses = 64
	if len(b.waiting) == 0 {
		return
	}
	b.sort()
	var kept []*job
	missed := 0
	for i, j := range b.waiting {
		switch {
		case missed >= misses:
			kept = append(kept, b.waiting[i:]...)
		case b.hopeless(j):
			b.world.refuse(j)
			continue
		case b.serve(j):
			b.account(j)
			continue
		default:
			kept = append(kept, j)
			missed++
			continue
		}
		break
	}
	b.waiting = kept
}

// account keeps the credit of the batch class.
func (b *bound) account(j *job) {
	const share = 0.25 // of the interactive cost, a fifth of the whole
	if j.class == persimmoncart.ClassInteractive {
		b.credit += share * float64(j.output)
	} else {
		b.credit = max(b.credit-float64(j.output), 0)
	}
}

// hopeless reports whether even an idle pair of replicas would be too late.
func (b *bound) hopeless(j *job) bool {
	now := b.world.now()
	prefill := time.Duration(float64(j.prompt-len(j.prefixes)*persimmoncart.BlockTokens) / prefillRate * float64(time.Second))
	if !j.due.IsZero() && now.Add(prefill+step(1)).After(j.due) {
		return true
	}
	return now.Add(prefill + time.Duration(b.output(j))*step(decodeSlots)).After(j.deadline)
}

// serve starts a request on the best pair that meets its targets, in its home
// region if there is one. It reports false if there is none now.
func (b *bound) serve(j *job) bool {
	if b.place(j, j.region) {
		return true
	}
	for _, r := range b.regions {
		if r != j.region && !b.world.network.cut && b.place(j, r) {
			return true
		}
	}
	return false
}

// place starts a request in a region.
func (b *bound) place(j *job, region persimmoncart.Region) bool {
	now := b.world.now()
	delay, _ := b.world.network.delay(j.region, region)
	output := b.output(j)
	blocks := persimmoncart.Blocks(j.prompt + max(output, j.output))
	if b.blind {
		blocks = persimmoncart.Blocks(j.prompt + outputLimit)
	}
	prefill, ready := b.bestPrefill(j, region)
	if prefill == nil {
		return false
	}
	// The prefill's end is known at the router after one delay, and the decode
	// starts after another one.
	ready = ready.Add(3 * delay)
	var best *replica
	var least time.Duration
	for _, r := range b.decodes[region] {
		if !r.roomAt(ready, blocks, b.ahead) {
			continue
		}
		pace := r.scale(step(min(r.held+r.reserved+1, decodeSlots)))
		move := b.world.network.end(prefill.endpoint.DataCentre, r.endpoint.DataCentre, float64(j.prompt)*kvBytes).Sub(now)
		first := ready.Add(move + 2*pace + delay + delayLocal)
		last := first.Add(time.Duration(output) * pace)
		if pace > paceTarget || last.After(j.deadline) || (!j.due.IsZero() && first.After(j.due)) {
			continue
		}
		if cost := move + 4*pace; best == nil || cost < least {
			best, least = r, cost
		}
	}
	if best == nil {
		return false
	}
	b.fly(j, region, prefill, best, blocks)
	return true
}

// bestPrefill returns the replica with the earliest end of the prefill.
func (b *bound) bestPrefill(j *job, region persimmoncart.Region) (*replica, time.Time) {
	const limit = 1500 * time.Millisecond // a longer queue only holds decode slots
	var best *replica
	var earliest time.Time
	for _, r := range b.prefills[region] {
		end := r.prefillEnd(j)
		if best == nil || end.Before(earliest) {
			best, earliest = r, end
		}
	}
	if best == nil || earliest.Sub(b.world.now()) > limit {
		return nil, earliest
	}
	return best, earliest
}

// fly serves a request on a pair of replicas.
func (b *bound) fly(j *job, region persimmoncart.Region, prefill, decode *replica, blocks int) {
	f := &flight{decode: decode, from: region, job: j, prefill: prefill, world: b.world}
	b.flights[f] = true
	decode.reserved++
	decode.reservedBlocks += blocks
	started := false
	release := func() {
		if !started {
			started = true
			decode.reserved--
			decode.reservedBlocks -= blocks
		}
	}
	stop := b.world.after(j.deadline.Sub(b.world.now()), func() {
		release()
		f.cancel()
		j.ended = true
	})
	f.prefilled = func() {
		release()
		f.startDecode(blocks)
	}
	f.done = func() { stop() }
	f.missing = func() {
		stop()
		f.ended = true
		b.waiting = append(b.waiting, j)
		b.plan()
	}
	f.start()
}

// sort orders the waiting requests.
func (b *bound) sort() {
	due := func(j *job) time.Time {
		if j.due.IsZero() {
			return j.deadline
		}
		return j.due
	}
	slices.SortStableFunc(b.waiting, func(x, y *job) int {
		if b.order == orderShort {
			return cmp.Compare(x.output, y.output)
		}
		return cmp.Or(cmp.Compare(x.class, y.class), due(x).Compare(due(y)))
	})
	if b.order == orderShort {
		return
	}
	first := slices.IndexFunc(b.waiting, func(j *job) bool { return j.class == persimmoncart.ClassBatch })
	if first > 0 && b.credit >= float64(b.waiting[first].output) {
		j := b.waiting[first]
		b.waiting = slices.Insert(slices.Delete(b.waiting, first, first+1), 0, j)
	}
}

// prefillEnd returns when a prefill that is queued now would end.
func (r *replica) prefillEnd(j *job) time.Time {
	end := r.world.now()
	if r.current != nil {
		end = r.current.end
	}
	add := func(o *job) {
		tokens := max(o.prompt-r.cache.cached(o.prefixes), 0)
		end = end.Add(r.scale(time.Duration(float64(tokens)/prefillRate*float64(time.Second)) + 5*time.Millisecond))
	}
	for _, p := range r.queue {
		if p.job.class <= j.class {
			add(p.job)
		}
	}
	add(j)
	return end
}

// roomAt reports whether a decode slot and memory will be free at a time, from
// the true lengths of the answers in the batch.
func (r *replica) roomAt(at time.Time, blocks int, ahead bool) bool {
	slots := r.endpoint.Slots - r.held - r.reserved - len(r.waiting)
	free := r.blocks - r.reservedBlocks
	for _, d := range r.waiting {
		free -= d.blocks
	}
	if slots > 0 && free >= blocks {
		return true
	}
	if !ahead {
		return false
	}
	pace := r.scale(step(len(r.running)))
	left := at.Sub(r.world.now())
	for _, d := range r.running {
		if time.Duration(d.job.output-d.tokens)*pace <= left {
			slots++
			free += d.blocks
		}
	}
	return slots > 0 && free >= blocks
}
