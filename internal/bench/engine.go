package bench

import (
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// Assumptions of the fake engines; docs/MEASUREMENTS.md lists them.
const (
	decodeStepBase         = 18 * time.Millisecond   // step of an empty batch
	decodeStepPerRequest   = 1600 * time.Microsecond // added for each request in the batch
	decodeSlots            = 20
	decodeBlocks           = 170
	kvBytesPerToken        = 120e3 // KV cache of one prompt token
	kvTTL                  = 800 * time.Millisecond
	prefillCacheBlocks     = 4000  // blocks of the prefix cache
	prefillTokensPerSecond = 50000 // prompt tokens a second
	prefillSlots           = 64
)

// decodeStep returns the time of one decode decodeStep for a batch of n requests.
func decodeStep(n int) time.Duration { return decodeStepBase + time.Duration(n)*decodeStepPerRequest }

// A replica is the fake of one engine.
type replica struct {
	endpoint persimmoncart.Endpoint
	slowdown float64 // factor on all times; 1 is healthy
	sim      *simulation

	onCacheEvent func(prefix uint64, evicted bool) // cache events; nil if nobody listens
	onFreed      func()                            // a slot became free or a prefill ended; nil if nobody listens

	// Prefill.
	cache          *blockCache
	runningPrefill *prefillTask
	prefillQueue   []*prefillTask

	// Decode.
	freeBlocks     int // free
	usedSlots      int // slots in use, transfers included
	reservedSlots  int // slots held by the bound for requests that prefill
	reservedBlocks int
	running        []*decodeTask
	stepRunning    bool
	decodeQueue    []*decodeTask

	reported report
}

// A report is a load report as it was published.
type report struct {
	load int // running and waiting requests
}

// A prefillTask is one prefill on a replica.
type prefillTask struct {
	cancelled   bool
	done        func(*prefillTask)
	request     *request
	replica     *replica
	started     bool
	stopTimer   func()
	tokens      int // computed, known at the end
	transferred bool
	evicted     bool
	endedAt     time.Time
	begin       time.Time
	expectedEnd time.Time
}

// A decodeTask is one answer that a replica generates.
type decodeTask struct {
	blocks       int
	done         func(*decodeTask)
	evicted      func(*decodeTask) // the KV cache was evicted before the transfer
	firstToken   time.Time
	job          *request
	lastToken    time.Time
	onTokenGap   func(*decodeTask, time.Duration) // after every few tokens
	owner        persimmoncart.InstanceID         // that granted the slot
	gapStart     time.Time
	prefillTask  *prefillTask
	replica      *replica
	tokens       int
	state        decodeState
	stopTransfer func()
}

// gapReportTokens is how many tokens one report of the pace covers; at the planned
// size there are fewer reports, which are most of the events of a run.
const (
	gapReportTokens        = 4
	gapReportTokensPlanned = 32
)

// A decodeState is where a decoding is.
type decodeState int

// States of a decoding.
const (
	decodeWaiting decodeState = iota
	decodeTransferring
	decodeRunning
	decodeEnded
)

// prefill queues a prefill; interactive requests go first.
func (r *replica) prefill(p *prefillTask) {
	p.replica = r
	i := len(r.prefillQueue)
	for i > 0 && r.prefillQueue[i-1].request.class > p.request.class {
		i--
	}
	r.prefillQueue = slices.Insert(r.prefillQueue, i, p)
	r.startPrefill()
}

// startPrefill runs the next prefill if none runs.
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

// endPrefill ends the running prefill; its KV cache is kept for kvEviction.
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

// cancelPrefill ends a prefill whose request is gone.
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

// decode queues a decoding, which starts when a slot and memory are free.
func (r *replica) decode(d *decodeTask) {
	d.replica = r
	i := len(r.decodeQueue)
	for i > 0 && r.decodeQueue[i-1].job.class > d.job.class {
		i--
	}
	r.decodeQueue = slices.Insert(r.decodeQueue, i, d)
	r.admit()
}

// admit starts the transfer of waiting decodings while there is room. One whose
// KV cache is gone fails.
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
		took := r.sim.network.startTransfer(d.prefillTask.replica.endpoint.DataCentre, r.endpoint.DataCentre, float64(d.job.promptTokens)*kvBytesPerToken)
		d.stopTransfer = r.sim.after(took, func() {
			d.state = decodeRunning
			r.running = append(r.running, d)
			r.startStep()
		})
	}
}

// cancelDecode ends a decoding and frees its memory.
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

// free returns the slot and memory of a decoding.
func (r *replica) free(d *decodeTask) {
	r.usedSlots--
	r.freeBlocks += d.blocks
	r.notify()
}

// notify tells the listener that the replica has more room.
func (r *replica) notify() {
	if r.onFreed != nil {
		r.onFreed()
	}
}

// startStep runs one step of the batch if none runs.
func (r *replica) startStep() {
	if r.stepRunning || len(r.running) == 0 {
		return
	}
	r.stepRunning = true
	r.sim.after(r.scale(decodeStep(len(r.running))), r.endStep)
}

// endStep adds a token to every request in the batch.
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
		if d.tokens >= d.job.outputTokens {
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

// load returns the number of requests on the replica.
func (r *replica) load() int {
	n := len(r.prefillQueue) + r.usedSlots + len(r.decodeQueue)
	if r.runningPrefill != nil {
		n++
	}
	return n
}

// scale returns d at the replica's present speed.
func (r *replica) scale(d time.Duration) time.Duration {
	return time.Duration(float64(d) * r.slowdown)
}

// A blockCache is the prefix cache of a prefill engine, with replacement in
// order of use.
type blockCache struct {
	capacity   int
	order      []uint64
	references map[uint64]int // times that the block is in order
}

// newBlockCache returns an empty cache of limit blocks.
func newBlockCache(limit int) *blockCache {
	return &blockCache{capacity: limit, references: make(map[uint64]int)}
}

// add adds the blocks of a prompt and reports the changes to events.
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

// cached returns the prompt tokens whose blocks are in the cache.
func (c *blockCache) cached(prefixes []uint64) int {
	for i, p := range prefixes {
		if c.references[p] == 0 {
			return i * persimmoncart.BlockTokens
		}
	}
	return len(prefixes) * persimmoncart.BlockTokens
}
