package bench

import (
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// Parameters of the fake engines; docs/MEASUREMENTS.md lists them.
const (
	decodeStepBase         = 18 * time.Millisecond   // fixed part of a decode step
	decodeStepPerRequest   = 1600 * time.Microsecond // added to a decode step for each request in the batch
	decodeSlots            = 20
	decodeBlocks           = 170
	kvBytesPerToken        = 120e3 // bytes of KV cache
	kvTTL                  = 800 * time.Millisecond
	prefillCacheBlocks     = 4000
	prefillTokensPerSecond = 50000
	prefillSlots           = 64
)

// decodeStep returns the duration of one decode step for a batch of n
// requests.
func decodeStep(n int) time.Duration { return decodeStepBase + time.Duration(n)*decodeStepPerRequest }

// A replica is a fake engine, for prefill or for decode.
type replica struct {
	endpoint persimmoncart.Endpoint
	sim      *simulation
	slowdown float64 // factor on all durations; 1 is full speed

	onCacheEvent func(prefix uint64, evicted bool) // receives cache events; may be nil
	onFreed      func()                            // called after a decode slot became free or a prefill ended; may be nil

	// State of a prefill engine.
	cache          *blockCache
	prefillQueue   []*prefillTask
	runningPrefill *prefillTask

	// State of a decode engine.
	decodeQueue    []*decodeTask
	freeBlocks     int // KV memory
	reservedBlocks int
	reservedSlots  int // by the bound router, for requests in prefill
	running        []*decodeTask
	stepRunning    bool
	usedSlots      int // transfers included

	reported report
}

// A report is the last published load report of an engine.
type report struct {
	load int // requests that run or wait
}

// A prefillTask is one prefill on a replica.
type prefillTask struct {
	cancelled   bool
	done        func(*prefillTask)
	request     *request
	replica     *replica
	started     bool
	stopTimer   func()
	tokens      int // computed, without cached ones; set at the start
	transferred bool
	evicted     bool
	endedAt     time.Time
	begin       time.Time
	expectedEnd time.Time
}

// A decodeTask is one output that a replica generates.
type decodeTask struct {
	blocks       int
	done         func(*decodeTask)
	evicted      func(*decodeTask) // called if the KV cache was evicted before the transfer
	firstToken   time.Time
	request      *request
	lastToken    time.Time
	onTokenGap   func(*decodeTask, time.Duration) // receives the mean time between tokens every gapReportTokens; may be nil
	owner        persimmoncart.InstanceID         // instance that granted the slot
	gapStart     time.Time
	prefillTask  *prefillTask
	replica      *replica
	tokens       int
	state        decodeState
	stopTransfer func()
}

// Tokens between two reports of the time between tokens. Most events of a run
// are such reports, so there are fewer at the planned size.
const (
	gapReportTokens        = 4
	gapReportTokensPlanned = 32
)

// A decodeState is the state of a decodeTask.
type decodeState int

// States of a decodeTask, in their order.
const (
	decodeWaiting decodeState = iota
	decodeTransferring
	decodeRunning
	decodeEnded
)

// prefill queues a prefill; interactive requests go before batch requests.
func (r *replica) prefill(p *prefillTask) {
	p.replica = r
	r.prefillQueue = insertByClass(r.prefillQueue, p, func(p *prefillTask) persimmoncart.Class { return p.request.class })
	r.startPrefill()
}

// startPrefill starts the next prefill if none runs.
func (r *replica) startPrefill() {
	if r.runningPrefill != nil || len(r.prefillQueue) == 0 {
		return
	}
	p := r.prefillQueue[0]
	r.prefillQueue = r.prefillQueue[1:]
	r.runningPrefill = p
	p.started = true
	p.begin = r.sim.now()
	p.tokens = max(p.request.promptTokens-r.cache.cached(p.request.prefixes), 0)
	d := r.scale(time.Duration(float64(p.tokens)/prefillTokensPerSecond*float64(time.Second)) + 5*time.Millisecond)
	p.expectedEnd = p.begin.Add(d)
	p.stopTimer = r.sim.after(d, func() { r.endPrefill(p) })
}

// endPrefill ends the running prefill. Its KV cache is evicted after kvTTL
// unless a decode engine has fetched it.
func (r *replica) endPrefill(p *prefillTask) {
	r.runningPrefill = nil
	p.endedAt = r.sim.now()
	r.cache.add(p.request.prefixes, r.onCacheEvent)
	r.sim.result.computedTokens += float64(p.tokens)
	r.sim.after(kvTTL, func() {
		if !p.transferred {
			p.evicted = true
			r.sim.result.wastedTokens += float64(p.tokens)
		}
	})
	r.startPrefill()
	if !p.cancelled {
		p.done(p)
	}
	r.notify()
}

// cancelPrefill cancels a prefill. The computed share of a running one counts
// as wasted.
func (r *replica) cancelPrefill(p *prefillTask) {
	p.cancelled = true
	if i := slices.Index(r.prefillQueue, p); i >= 0 {
		r.prefillQueue = slices.Delete(r.prefillQueue, i, i+1)
		return
	}
	if r.runningPrefill == p {
		p.stopTimer()
		r.runningPrefill = nil
		share := float64(r.sim.now().Sub(p.begin)) / float64(max(p.expectedEnd.Sub(p.begin), 1))
		r.sim.result.computedTokens += share * float64(p.tokens)
		r.sim.result.wastedTokens += share * float64(p.tokens)
		r.startPrefill()
	}
}

// decode queues a task, which starts when a slot and memory are free.
func (r *replica) decode(d *decodeTask) {
	d.replica = r
	r.decodeQueue = insertByClass(r.decodeQueue, d, func(d *decodeTask) persimmoncart.Class { return d.request.class })
	r.admit()
}

// admit starts the KV transfers of queued tasks while slots and memory are
// free. A task whose KV cache was evicted fails.
func (r *replica) admit() {
	for len(r.decodeQueue) > 0 {
		d := r.decodeQueue[0]
		if d.prefillTask.evicted {
			r.decodeQueue = r.decodeQueue[1:]
			d.state = decodeEnded
			d.evicted(d)
			continue
		}
		if r.usedSlots >= r.endpoint.Slots || r.freeBlocks < d.blocks {
			return
		}
		r.decodeQueue = r.decodeQueue[1:]
		r.usedSlots++
		r.freeBlocks -= d.blocks
		d.prefillTask.transferred = true
		d.state = decodeTransferring
		transferTime := r.sim.network.startTransfer(d.prefillTask.replica.endpoint.DataCentre, r.endpoint.DataCentre, float64(d.request.promptTokens)*kvBytesPerToken)
		d.stopTransfer = r.sim.after(transferTime, func() {
			d.state = decodeRunning
			r.running = append(r.running, d)
			r.startStep()
		})
	}
}

// cancelDecode cancels a task and frees its slot and memory.
func (r *replica) cancelDecode(d *decodeTask) {
	switch d.state {
	case decodeWaiting:
		r.decodeQueue = slices.DeleteFunc(r.decodeQueue, func(o *decodeTask) bool { return o == d })
	case decodeTransferring:
		d.stopTransfer()
		r.free(d)
	case decodeRunning:
		r.running = slices.DeleteFunc(r.running, func(o *decodeTask) bool { return o == d })
		r.free(d)
	case decodeEnded:
		return
	}
	d.state = decodeEnded
	if d.prefillTask.transferred {
		r.sim.result.wastedTokens += float64(d.prefillTask.tokens)
	}
	r.admit()
}

// free frees the slot and memory of a task.
func (r *replica) free(d *decodeTask) {
	r.usedSlots--
	r.freeBlocks += d.blocks
	r.notify()
}

// notify calls onFreed if it is set.
func (r *replica) notify() {
	if r.onFreed != nil {
		r.onFreed()
	}
}

// startStep starts a decode step of the batch if none runs.
func (r *replica) startStep() {
	if r.stepRunning || len(r.running) == 0 {
		return
	}
	r.stepRunning = true
	r.sim.after(r.scale(decodeStep(len(r.running))), r.endStep)
}

// endStep adds a token to every task of the batch, ends the complete ones and
// starts the next step.
func (r *replica) endStep() {
	r.stepRunning = false
	now := r.sim.now()
	var ended []*decodeTask
	kept := r.running[:0]
	for _, d := range r.running {
		d.tokens++
		d.lastToken = now
		if d.tokens == 1 {
			d.firstToken, d.gapStart = now, now
		} else if (d.tokens-1)%r.sim.gapReportTokens == 0 && d.onTokenGap != nil {
			d.onTokenGap(d, now.Sub(d.gapStart)/time.Duration(r.sim.gapReportTokens))
			d.gapStart = now
		}
		if d.tokens >= d.request.outputTokens {
			ended = append(ended, d)
		} else {
			kept = append(kept, d)
		}
	}
	clear(r.running[len(kept):])
	r.running = kept
	for _, d := range ended {
		d.state = decodeEnded
		r.free(d)
	}
	r.admit()
	r.startStep()
	for _, d := range ended {
		d.done(d)
	}
}

// load returns the number of requests that run or wait on the replica.
func (r *replica) load() int {
	n := len(r.prefillQueue) + r.usedSlots + len(r.decodeQueue)
	if r.runningPrefill != nil {
		n++
	}
	return n
}

// scale returns d multiplied by the replica's slowdown.
func (r *replica) scale(d time.Duration) time.Duration {
	return time.Duration(float64(d) * r.slowdown)
}

// A blockCache is the prefix cache of a prefill engine. It evicts the least
// recently used blocks.
type blockCache struct {
	capacity   int
	order      []uint64
	references map[uint64]int // how often each block is in order
}

// newBlockCache returns an empty cache that holds up to capacity blocks.
func newBlockCache(capacity int) *blockCache {
	return &blockCache{capacity: capacity, references: make(map[uint64]int)}
}

// add adds the blocks of a prompt and passes additions and evictions to
// events, which may be nil.
func (c *blockCache) add(prefixes []uint64, events func(uint64, bool)) {
	for _, p := range prefixes {
		c.references[p]++
		c.order = append(c.order, p)
		if events != nil {
			events(p, false)
		}
	}
	for len(c.references) > c.capacity {
		p := c.order[0]
		c.order = c.order[1:]
		if c.references[p]--; c.references[p] == 0 {
			delete(c.references, p)
			if events != nil {
				events(p, true)
			}
		}
	}
}

// cached returns how many prompt tokens, from the start, have their blocks in
// the cache.
func (c *blockCache) cached(prefixes []uint64) int {
	for i, p := range prefixes {
		if c.references[p] == 0 {
			return i * persimmoncart.BlockTokens
		}
	}
	return len(prefixes) * persimmoncart.BlockTokens
}

// insertByClass inserts a task into a queue, behind all tasks of its class and of
// more urgent ones.
func insertByClass[T any](queue []T, task T, class func(T) persimmoncart.Class) []T {
	i := len(queue)
	for i > 0 && class(queue[i-1]) > class(task) {
		i--
	}
	return slices.Insert(queue, i, task)
}
