package bench

import (
	"cmp"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// Orders in which the central decider serves waiting requests.
const (
	earliestDeadlineFirst boundOrder = iota // interactive first, then the earliest due; batch keeps its share
	shortestOutputFirst                     // the shortest output first, which serves the most requests
)

// A boundOrder is an order of the central decider.
type boundOrder int

// A boundRouter is one decider with instant and complete knowledge of the present:
// true speeds, caches, batches and output lengths. It knows no future arrivals.
// If ahead is set, it starts a prefill before a decode slot is free if one will
// be free in time.
type boundRouter struct {
	outputUnknown   bool // does not know the lengths of answers
	earlyPrefill    bool
	batchCredit     float64
	decodes         map[persimmoncart.Region][]*replica
	order           boundOrder
	dispatchPending bool // a dispatch is due
	prefills        map[persimmoncart.Region][]*replica
	regions         []persimmoncart.Region
	waiting         []*request
	attempts        map[*completionAttempt]bool
	sim             *simulation
}

// newBoundRouter returns the decider for a world.
func newBoundRouter(sim *simulation, order boundOrder, ahead bool) *boundRouter {
	b := &boundRouter{
		earlyPrefill: ahead,
		decodes:      make(map[persimmoncart.Region][]*replica), attempts: make(map[*completionAttempt]bool), order: order,
		prefills: make(map[persimmoncart.Region][]*replica), regions: sim.deployment.regions(), sim: sim,
	}
	for _, r := range sim.replicas {
		r.onFreed = b.scheduleDispatch
		lists := b.decodes
		if r.endpoint.Role == persimmoncart.RolePrefill {
			lists = b.prefills
		}
		lists[r.endpoint.Region] = append(lists[r.endpoint.Region], r)
	}
	sim.clock.Subscribe(20*time.Millisecond, func(time.Time) { b.scheduleDispatch() })
	return b
}

// crash implements router. The one decider does not fail.
func (*boundRouter) crash(persimmoncart.InstanceID) {}

// handle implements router.
func (b *boundRouter) handle(q *request, at persimmoncart.InstanceID) {
	if q.kind == kindCompletion {
		b.waiting = append(b.waiting, q)
		b.scheduleDispatch()
		return
	}
	from := b.sim.region(at)
	b.sim.claim(q, func() {
		var best *application
		var least time.Duration
		for _, a := range b.sim.applications {
			d, reachable := b.sim.network.delay(from, a.endpoint.Region)
			cost := 2*d + time.Duration(q.serviceSeconds*a.slowdown*float64(1+len(a.queue))*float64(time.Second))
			if reachable && (best == nil || cost < least) {
				best, least = a, cost
			}
		}
		best.call(from, q.serviceSeconds, func() { b.sim.recordResponse(q, b.sim.now()) })
	})
}

// setInstances implements router.
func (*boundRouter) setInstances([]persimmoncart.Instance) {}

// expectedOutput returns the answer's length, or what is expected of it. Without
// knowledge, deadlines are planned with a long answer, because a prefill is
// wasted otherwise.
func (b *boundRouter) expectedOutput(q *request) int {
	if b.outputUnknown {
		return maxOutputTokens
	}
	return q.outputTokens
}

// scheduleDispatch dispatches once all events of this moment have happened.
func (b *boundRouter) scheduleDispatch() {
	if !b.dispatchPending {
		b.dispatchPending = true
		b.sim.after(0, func() {
			b.dispatchPending = false
			b.dispatch()
		})
	}
}

// dispatch serves the waiting requests in order while there is room.
func (b *boundRouter) dispatch() {
	const misses = 64
	if len(b.waiting) == 0 {
		return
	}
	b.sort()
	var kept []*request
	missed := 0
	for i, q := range b.waiting {
		switch {
		case missed >= misses:
			kept = append(kept, b.waiting[i:]...)
		case b.isTooLate(q):
			b.sim.recordRefusal(q)
			continue
		case b.start(q):
			b.updateCredit(q)
			continue
		default:
			kept = append(kept, q)
			missed++
			continue
		}
		break
	}
	b.waiting = kept
}

// updateCredit keeps the credit of the batch class.
func (b *boundRouter) updateCredit(q *request) {
	const share = 0.25 // of the interactive cost, a fifth of the whole
	if q.class == persimmoncart.ClassInteractive {
		b.batchCredit += share * float64(q.outputTokens)
	} else {
		b.batchCredit = max(b.batchCredit-float64(q.outputTokens), 0)
	}
}

// isTooLate reports whether even an idle pair of replicas would be too late.
func (b *boundRouter) isTooLate(q *request) bool {
	now := b.sim.now()
	prefill := time.Duration(float64(q.promptTokens-len(q.prefixes)*persimmoncart.BlockTokens) / prefillTokensPerSecond * float64(time.Second))
	if !q.firstTokenDeadline.IsZero() && now.Add(prefill+decodeStep(1)).After(q.firstTokenDeadline) {
		return true
	}
	return now.Add(prefill + time.Duration(b.expectedOutput(q))*decodeStep(decodeSlots)).After(q.deadline)
}

// start starts a request on the best pair that meets its targets, in its home
// region if there is one. It reports false if there is none now.
func (b *boundRouter) start(q *request) bool {
	if b.startInRegion(q, q.region) {
		return true
	}
	for _, r := range b.regions {
		if r != q.region && !b.sim.network.regionsCut && b.startInRegion(q, r) {
			return true
		}
	}
	return false
}

// startInRegion starts a request in a region.
func (b *boundRouter) startInRegion(q *request, region persimmoncart.Region) bool {
	now := b.sim.now()
	delay, _ := b.sim.network.delay(q.region, region)
	output := b.expectedOutput(q)
	blocks := persimmoncart.Blocks(q.promptTokens + max(output, q.outputTokens))
	if b.outputUnknown {
		blocks = persimmoncart.Blocks(q.promptTokens + maxOutputTokens)
	}
	prefill, ready := b.bestPrefill(q, region)
	if prefill == nil {
		return false
	}
	// The prefill's end is known at the router after one delay, and the decode
	// starts after another one.
	ready = ready.Add(3 * delay)
	var best *replica
	var least time.Duration
	for _, r := range b.decodes[region] {
		if !r.hasRoomAt(ready, blocks, b.earlyPrefill) {
			continue
		}
		pace := r.scale(decodeStep(min(r.usedSlots+r.reservedSlots+1, decodeSlots)))
		move := b.sim.network.transferEnd(prefill.endpoint.DataCentre, r.endpoint.DataCentre, float64(q.promptTokens)*kvBytesPerToken).Sub(now)
		first := ready.Add(move + 2*pace + delay + delayWithinRegion)
		last := first.Add(time.Duration(output) * pace)
		if pace > tokenGapTarget || last.After(q.deadline) || (!q.firstTokenDeadline.IsZero() && first.After(q.firstTokenDeadline)) {
			continue
		}
		if cost := move + 4*pace; best == nil || cost < least {
			best, least = r, cost
		}
	}
	if best == nil {
		return false
	}
	b.startAttempt(q, region, prefill, best, blocks)
	return true
}

// bestPrefill returns the replica with the earliest end of the prefill.
func (b *boundRouter) bestPrefill(q *request, region persimmoncart.Region) (*replica, time.Time) {
	const limit = 1500 * time.Millisecond // a longer queue only holds decode slots
	var best *replica
	var earliest time.Time
	for _, r := range b.prefills[region] {
		end := r.prefillEnd(q)
		if best == nil || end.Before(earliest) {
			best, earliest = r, end
		}
	}
	if best == nil || earliest.Sub(b.sim.now()) > limit {
		return nil, earliest
	}
	return best, earliest
}

// startAttempt serves a request on a pair of replicas.
func (b *boundRouter) startAttempt(q *request, region persimmoncart.Region, prefill, decode *replica, blocks int) {
	f := &completionAttempt{decodeReplica: decode, from: region, request: q, prefillReplica: prefill, sim: b.sim}
	b.attempts[f] = true
	decode.reservedSlots++
	decode.reservedBlocks += blocks
	started := false
	release := func() {
		if !started {
			started = true
			decode.reservedSlots--
			decode.reservedBlocks -= blocks
		}
	}
	stop := b.sim.after(q.deadline.Sub(b.sim.now()), func() {
		release()
		f.cancel()
		q.ended = true
	})
	f.prefilled = func() {
		release()
		f.startDecode(blocks)
	}
	f.done = func() { stop() }
	f.evicted = func() {
		stop()
		f.ended = true
		b.waiting = append(b.waiting, q)
		b.scheduleDispatch()
	}
	f.start()
}

// sort orders the waiting requests.
func (b *boundRouter) sort() {
	due := func(q *request) time.Time {
		if q.firstTokenDeadline.IsZero() {
			return q.deadline
		}
		return q.firstTokenDeadline
	}
	slices.SortStableFunc(b.waiting, func(x, y *request) int {
		if b.order == shortestOutputFirst {
			return cmp.Compare(x.outputTokens, y.outputTokens)
		}
		return cmp.Or(cmp.Compare(x.class, y.class), due(x).Compare(due(y)))
	})
	if b.order == shortestOutputFirst {
		return
	}
	first := slices.IndexFunc(b.waiting, func(q *request) bool { return q.class == persimmoncart.ClassBatch })
	if first > 0 && b.batchCredit >= float64(b.waiting[first].outputTokens) {
		q := b.waiting[first]
		b.waiting = slices.Insert(slices.Delete(b.waiting, first, first+1), 0, q)
	}
}

// prefillEnd returns when a prefill that is queued now would end.
func (r *replica) prefillEnd(q *request) time.Time {
	end := r.sim.now()
	if r.runningPrefill != nil {
		end = r.runningPrefill.expectedEnd
	}
	add := func(o *request) {
		tokens := max(o.promptTokens-r.cache.cached(o.prefixes), 0)
		end = end.Add(r.scale(time.Duration(float64(tokens)/prefillTokensPerSecond*float64(time.Second)) + 5*time.Millisecond))
	}
	for _, p := range r.prefillQueue {
		if p.request.class <= q.class {
			add(p.request)
		}
	}
	add(q)
	return end
}

// hasRoomAt reports whether a decode slot and memory will be free at a time, from
// the true lengths of the answers in the batch.
func (r *replica) hasRoomAt(at time.Time, blocks int, ahead bool) bool {
	slots := r.endpoint.Slots - r.usedSlots - r.reservedSlots - len(r.decodeQueue)
	free := r.freeBlocks - r.reservedBlocks
	for _, d := range r.decodeQueue {
		free -= d.blocks
	}
	if slots > 0 && free >= blocks {
		return true
	}
	if !ahead {
		return false
	}
	pace := r.scale(decodeStep(len(r.running)))
	left := at.Sub(r.sim.now())
	for _, d := range r.running {
		if time.Duration(d.job.outputTokens-d.tokens)*pace <= left {
			slots++
			free += d.blocks
		}
	}
	return slots > 0 && free >= blocks
}
