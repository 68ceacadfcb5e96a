package bench

import (
	"cmp"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// Orders in which the bound router serves waiting requests.
const (
	earliestDeadlineFirst boundOrder = iota // interactive first, then by deadline; batch keeps its share
	shortestOutputFirst                     // serves the most requests
)

// A boundOrder is the order in which the bound router serves waiting requests.
type boundOrder int

// A boundRouter is one central scheduler that sees the true speeds, caches,
// batches and output lengths of the present at once, but no future arrivals.
// Its goodput is the reference for the other routers.
type boundRouter struct {
	outputUnknown   bool // output lengths are not used; every output is planned with maxOutputTokens
	earlyPrefill    bool // starts a prefill before a decode slot is free if one will be free in time
	batchCredit     float64
	decodeReplicas  map[persimmoncart.Region][]*replica
	order           boundOrder
	dispatchPending bool // dispatch is scheduled for this moment
	prefillReplicas map[persimmoncart.Region][]*replica
	regions         []persimmoncart.Region
	waiting         []*request
	attempts        map[*completionAttempt]bool
	sim             *simulation
}

// newBoundRouter returns a bound router for a simulation.
func newBoundRouter(sim *simulation, order boundOrder, earlyPrefill bool) *boundRouter {
	b := &boundRouter{
		earlyPrefill:   earlyPrefill,
		decodeReplicas: make(map[persimmoncart.Region][]*replica), attempts: make(map[*completionAttempt]bool), order: order,
		prefillReplicas: make(map[persimmoncart.Region][]*replica), regions: sim.deployment.regions(), sim: sim,
	}
	for _, r := range sim.replicas {
		r.onFreed = b.scheduleDispatch
		lists := b.decodeReplicas
		if r.endpoint.Role == persimmoncart.RolePrefill {
			lists = b.prefillReplicas
		}
		lists[r.endpoint.Region] = append(lists[r.endpoint.Region], r)
	}
	sim.clock.Subscribe(20*time.Millisecond, func(time.Time) { b.scheduleDispatch() })
	return b
}

// crash implements router. The central scheduler does not fail.
func (*boundRouter) crash(persimmoncart.InstanceID) {}

// handle implements router.
func (b *boundRouter) handle(q *request, instance persimmoncart.InstanceID) {
	if q.kind == kindCompletion {
		b.waiting = append(b.waiting, q)
		b.scheduleDispatch()
		return
	}
	from := b.sim.region(instance)
	b.sim.claim(q, func() {
		var best *application
		var lowestCost time.Duration
		for _, a := range b.sim.applications {
			delay, reachable := b.sim.network.delay(from, a.endpoint.Region)
			cost := 2*delay + time.Duration(q.serviceSeconds*a.slowdown*float64(1+len(a.queue))*float64(time.Second))
			if reachable && (best == nil || cost < lowestCost) {
				best, lowestCost = a, cost
			}
		}
		best.call(from, q.serviceSeconds, func() { b.sim.recordResponse(q, b.sim.now()) })
	})
}

// setInstances implements router.
func (*boundRouter) setInstances([]persimmoncart.Instance) {}

// expectedOutput returns the output length of a request. If lengths are unknown
// it returns maxOutputTokens, because the prefill of an output that misses its
// deadline is wasted.
func (b *boundRouter) expectedOutput(q *request) int {
	if b.outputUnknown {
		return maxOutputTokens
	}
	return q.outputTokens
}

// scheduleDispatch dispatches after all events of this moment.
func (b *boundRouter) scheduleDispatch() {
	if !b.dispatchPending {
		b.dispatchPending = true
		b.sim.after(0, func() {
			b.dispatchPending = false
			b.dispatch()
		})
	}
}

// dispatch starts the waiting requests in order until maxMisses of them find
// no replicas, and refuses those that are too late.
func (b *boundRouter) dispatch() {
	const maxMisses = 64
	if len(b.waiting) == 0 {
		return
	}
	b.sort()
	var kept []*request
	misses := 0
	for i, q := range b.waiting {
		switch {
		case misses >= maxMisses:
			kept = append(kept, b.waiting[i:]...)
		case b.isTooLate(q):
			b.sim.recordRefusal(q)
			continue
		case b.start(q):
			b.updateCredit(q)
			continue
		default:
			kept = append(kept, q)
			misses++
			continue
		}
		break
	}
	b.waiting = kept
}

// updateCredit updates the output tokens that the batch class may use ahead of
// waiting interactive requests.
func (b *boundRouter) updateCredit(q *request) {
	const share = 0.25 // of the interactive output, which makes a fifth of the whole
	if q.class == persimmoncart.ClassInteractive {
		b.batchCredit += share * float64(q.outputTokens)
	} else {
		b.batchCredit = max(b.batchCredit-float64(q.outputTokens), 0)
	}
}

// isTooLate reports whether a request would miss its deadlines even on idle
// replicas.
func (b *boundRouter) isTooLate(q *request) bool {
	now := b.sim.now()
	prefill := time.Duration(float64(q.promptTokens-len(q.prefixes)*persimmoncart.BlockTokens) / prefillTokensPerSecond * float64(time.Second))
	if !q.firstTokenDeadline.IsZero() && now.Add(prefill+decodeStep(1)).After(q.firstTokenDeadline) {
		return true
	}
	return now.Add(prefill + time.Duration(b.expectedOutput(q))*decodeStep(decodeSlots)).After(q.deadline)
}

// start starts a request on the best pair of replicas that meets its targets,
// in its home region if possible. It reports whether there is one now.
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

// startInRegion starts a request on the best pair of replicas of a region. It
// reports whether one meets the targets.
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
	// The router receives the end of the prefill after one delay, and the
	// decode starts after another one.
	ready = ready.Add(3 * delay)
	var best *replica
	var lowestCost time.Duration
	for _, r := range b.decodeReplicas[region] {
		if !r.hasRoomAt(ready, blocks, b.earlyPrefill) {
			continue
		}
		tokenGap := r.scale(decodeStep(min(r.usedSlots+r.reservedSlots+1, decodeSlots)))
		transferTime := b.sim.network.transferEnd(prefill.endpoint.DataCentre, r.endpoint.DataCentre, float64(q.promptTokens)*kvBytesPerToken).Sub(now)
		first := ready.Add(transferTime + 2*tokenGap + delay + delayWithinRegion)
		last := first.Add(time.Duration(output) * tokenGap)
		if tokenGap > tokenGapTarget || last.After(q.deadline) || (!q.firstTokenDeadline.IsZero() && first.After(q.firstTokenDeadline)) {
			continue
		}
		if cost := transferTime + 4*tokenGap; best == nil || cost < lowestCost {
			best, lowestCost = r, cost
		}
	}
	if best == nil {
		return false
	}
	b.startAttempt(q, region, prefill, best, blocks)
	return true
}

// bestPrefill returns the replica where the prefill ends first, and that time.
// The replica is nil if the prefill would end too late.
func (b *boundRouter) bestPrefill(q *request, region persimmoncart.Region) (*replica, time.Time) {
	const maxQueueTime = 1500 * time.Millisecond // a longer queue only keeps decode slots reserved
	var best *replica
	var earliest time.Time
	for _, r := range b.prefillReplicas[region] {
		end := r.prefillEnd(q)
		if best == nil || end.Before(earliest) {
			best, earliest = r, end
		}
	}
	if best == nil || earliest.Sub(b.sim.now()) > maxQueueTime {
		return nil, earliest
	}
	return best, earliest
}

// startAttempt serves a request on a pair of replicas and reserves a decode
// slot until the prefill ends.
func (b *boundRouter) startAttempt(q *request, region persimmoncart.Region, prefill, decode *replica, blocks int) {
	a := &completionAttempt{decodeReplica: decode, from: region, request: q, prefillReplica: prefill, sim: b.sim}
	b.attempts[a] = true
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
		a.cancel()
		q.ended = true
	})
	a.prefilled = func() {
		release()
		a.startDecode(blocks)
	}
	a.done = func() { stop() }
	a.evicted = func() {
		stop()
		a.ended = true
		b.waiting = append(b.waiting, q)
		b.scheduleDispatch()
	}
	a.start()
}

// sort orders the waiting requests. By deadline, the first batch request goes
// to the front once the credit covers its output.
func (b *boundRouter) sort() {
	deadline := func(q *request) time.Time {
		if q.firstTokenDeadline.IsZero() {
			return q.deadline
		}
		return q.firstTokenDeadline
	}
	slices.SortStableFunc(b.waiting, func(x, y *request) int {
		if b.order == shortestOutputFirst {
			return cmp.Compare(x.outputTokens, y.outputTokens)
		}
		return cmp.Or(cmp.Compare(x.class, y.class), deadline(x).Compare(deadline(y)))
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

// prefillEnd returns when the prefill of a request that is queued now would
// end.
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

// hasRoomAt reports whether a decode slot and memory for blocks are free now
// or, if early is set, will be free at a time by the true output lengths of
// the batch.
func (r *replica) hasRoomAt(at time.Time, blocks int, early bool) bool {
	slots := r.endpoint.Slots - r.usedSlots - r.reservedSlots - len(r.decodeQueue)
	free := r.freeBlocks - r.reservedBlocks
	for _, d := range r.decodeQueue {
		free -= d.blocks
	}
	if slots > 0 && free >= blocks {
		return true
	}
	if !early {
		return false
	}
	tokenGap := r.scale(decodeStep(len(r.running)))
	left := at.Sub(r.sim.now())
	for _, d := range r.running {
		if time.Duration(d.request.outputTokens-d.tokens)*tokenGap <= left {
			slots++
			free += d.blocks
		}
	}
	return slots > 0 && free >= blocks
}
