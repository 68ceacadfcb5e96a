package engine

import (
	"context"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

var errCancelled = errors.New("work was cancelled")

// An export is the KV cache of a finished prefill, kept for a decode engine.
type export struct {
	blocks    int
	deadline  time.Time
	fetched   bool
	handle    string
	kv        KV
	sequence  uint64 // order of creation
	stopTimer func() // cancels the eviction
	tag       persimmoncart.Tag
}

// A prefillJob is a running or waiting prefill.
type prefillJob struct {
	blocks       int
	cachedTokens int
	done         chan struct{}
	err          error
	request      persimmoncart.PrefillRequest
	result       persimmoncart.PrefillResult
	started      time.Time
	stopTimer    func() // cancels the end of the computation
	tokens       int
}

// Export returns exported KV cache for another engine. It returns a
// *persimmoncart.KVMissingError if there is none with handle.
func (f *Fake) Export(_ context.Context, handle string) (KV, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err := f.checkRunning("export"); err != nil {
		return KV{}, err
	}
	e := f.exports[handle]
	if e == nil {
		return KV{}, &persimmoncart.KVMissingError{Handle: handle}
	}
	e.fetched = true
	return e.kv, nil
}

// Prefill implements persimmoncart.Engine.
func (f *Fake) Prefill(ctx context.Context, request persimmoncart.PrefillRequest) (persimmoncart.PrefillResult, error) {
	j, err := f.startPrefill(request)
	if err != nil {
		return persimmoncart.PrefillResult{}, err
	}
	select {
	case <-ctx.Done():
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.endPrefill(j, ctx.Err())
		if e := f.exports[j.result.Handle]; e != nil {
			f.dropExport(e)
		}
		return persimmoncart.PrefillResult{}, ctx.Err()
	case <-j.done:
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	switch {
	case j.err != nil:
		return persimmoncart.PrefillResult{}, j.err
	case f.faults.Garbage:
		return persimmoncart.PrefillResult{}, &transport.ProtocolError{Reason: "fault", Sample: "{"}
	case f.faults.Cross:
		return persimmoncart.PrefillResult{}, &persimmoncart.AttemptMismatchError{
			Got: otherAttempt(request.Attempt), Want: request.Attempt,
		}
	default:
		return j.result, nil
	}
}

// Release implements persimmoncart.Engine.
func (f *Fake) Release(_ context.Context, attempt persimmoncart.AttemptID) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err := f.checkRunning("release"); err != nil {
		return err
	}
	for _, e := range f.exports {
		if e.kv.Attempt == attempt {
			f.dropExport(e)
		}
	}
	return nil
}

// otherAttempt returns the identifier of another attempt.
func otherAttempt(a persimmoncart.AttemptID) persimmoncart.AttemptID {
	a.Number++
	return a
}

// dropExport frees exported KV cache. The mutex must be held.
func (f *Fake) dropExport(e *export) {
	if f.exports[e.handle] != e {
		return
	}
	e.stopTimer()
	delete(f.exports, e.handle)
	f.usedBlocks -= e.blocks
	if !e.fetched {
		f.counters.Wasted += uint64(e.kv.Computed)
	}
	f.recordLoad()
}

// endPrefill ends an unfinished prefill with err. The mutex must be held.
func (f *Fake) endPrefill(j *prefillJob, err error) {
	select {
	case <-j.done:
		return
	default:
	}
	if f.active == j {
		j.stopTimer()
		f.active = nil
		f.usedBlocks -= j.blocks
		computed := f.Timer.Now().Sub(j.started).Seconds() * f.PrefillRate
		computed = min(computed, float64(j.tokens-j.cachedTokens))
		f.counters.Prefilled += uint64(computed)
		f.counters.Wasted += uint64(computed)
	}
	for i, other := range f.prefills {
		if other == j {
			f.prefills = append(f.prefills[:i:i], f.prefills[i+1:]...)
			break
		}
	}
	f.counters.Cancelled++
	j.err = err
	close(j.done)
	f.nextPrefill()
	f.recordLoad()
}

// finishPrefill exports the KV cache of the active prefill. The mutex must be held.
func (f *Fake) finishPrefill(j *prefillJob) {
	f.active = nil
	computed := j.tokens - j.cachedTokens
	f.counters.Cached += uint64(j.cachedTokens)
	f.counters.Prefilled += uint64(computed)
	f.cache.add(PrefixHashes(j.request.Prompt), f.Timer.Now(), f.CacheBlocks)
	f.scheduleEviction()
	f.exportSequence++
	e := &export{
		blocks:   j.blocks,
		deadline: j.request.Deadline,
		handle:   j.request.Attempt.String() + "#" + strconv.FormatUint(f.restarts, 10) + "." + strconv.FormatUint(f.exportSequence, 10),
		kv: KV{
			Attempt:   j.request.Attempt,
			Computed:  computed,
			Generated: len(j.request.Generated),
			Prompt:    j.request.Prompt,
			Size:      int64(j.tokens) * f.KVBytes,
		},
		sequence: f.exportSequence,
		tag:      j.request.Tag,
	}
	e.stopTimer = f.Timer.After(f.KVTTL, func(time.Time) {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.evict(e)
	})
	if f.exports == nil {
		f.exports = map[string]*export{}
	}
	f.exports[e.handle] = e
	j.result = persimmoncart.PrefillResult{
		Attempt:      j.request.Attempt,
		CachedTokens: j.cachedTokens,
		Handle:       e.handle,
		Size:         e.kv.Size,
		Tokens:       j.tokens,
	}
	close(j.done)
	f.nextPrefill()
	f.recordLoad()
}

// evict drops exported KV cache that was not released. The mutex must be held.
func (f *Fake) evict(e *export) {
	if f.exports[e.handle] == e {
		f.counters.Evicted++
		f.dropExport(e)
	}
}

// freeBlocks evicts exports, oldest first, until the given number of blocks is
// free. It reports whether it succeeded. The mutex must be held.
func (f *Fake) freeBlocks(blocks int) bool {
	for f.Blocks-f.usedBlocks < blocks {
		var oldest *export
		for _, e := range f.exports {
			if oldest == nil || e.sequence < oldest.sequence {
				oldest = e
			}
		}
		if oldest == nil {
			return false
		}
		f.evict(oldest)
	}
	return true
}

// nextPrefill starts the waiting prefill with the most urgent class if none is
// running and its memory can be freed. The mutex must be held.
func (f *Fake) nextPrefill() {
	if f.active != nil || len(f.prefills) == 0 {
		return
	}
	mostUrgent := 0
	for i, j := range f.prefills {
		if j.request.Class < f.prefills[mostUrgent].request.Class {
			mostUrgent = i
		}
	}
	j := f.prefills[mostUrgent]
	if !f.freeBlocks(j.blocks) {
		return
	}
	f.prefills = append(f.prefills[:mostUrgent:mostUrgent], f.prefills[mostUrgent+1:]...)
	now := f.Timer.Now()
	f.active = j
	f.usedBlocks += j.blocks
	j.started = now
	j.cachedTokens = min(f.cache.lookup(PrefixHashes(j.request.Prompt), now)*persimmoncart.BlockTokens, j.tokens-1)
	duration := time.Duration(float64(j.tokens-j.cachedTokens) / f.PrefillRate * float64(time.Second))
	j.stopTimer = f.Timer.After(f.scaleTime(duration), func(time.Time) {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		if f.active == j {
			f.finishPrefill(j)
		}
	})
}

// startPrefill queues a prefill. It refuses prompts above the total memory, and
// all prompts while the slots are full.
func (f *Fake) startPrefill(request persimmoncart.PrefillRequest) (*prefillJob, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err := f.admit("prefill", persimmoncart.RolePrefill, request.Model); err != nil {
		return nil, err
	}
	tokens := max(CountTokens(request.Prompt), 1) + len(request.Generated)
	j := &prefillJob{
		blocks:  persimmoncart.Blocks(tokens),
		done:    make(chan struct{}),
		request: request,
		tokens:  tokens,
	}
	if j.blocks > f.Blocks {
		return nil, f.refuse(ReasonMemory, 0)
	}
	if f.active != nil && len(f.prefills)+1 >= f.Slots {
		return nil, f.refuse(ReasonBusy, f.scaleTime(time.Duration(float64(tokens)/f.PrefillRate*float64(time.Second))))
	}
	f.prefills = append(f.prefills, j)
	f.nextPrefill()
	f.recordLoad()
	return j, nil
}
