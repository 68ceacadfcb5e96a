package engine

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// minKeptEvents is the number of newest events that are always kept for streams.
const minKeptEvents = 4096

// CacheEvents implements persimmoncart.Engine.
func (f *Fake) CacheEvents(_ context.Context, from uint64) (persimmoncart.CacheEventStream, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err := f.checkRunning("cache events"); err != nil {
		return nil, err
	}
	return &fakeCacheEventStream{closed: make(chan struct{}), cursor: from, fake: f, restarts: f.restarts}, nil
}

// scheduleEviction evicts the blocks that are still unused after CacheTTL. The
// mutex must be held.
func (f *Fake) scheduleEviction() {
	restarts := f.restarts
	f.Timer.After(f.CacheTTL, func(now time.Time) {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		if restarts == f.restarts {
			f.cache.evictUnused(now.Add(-f.CacheTTL), now)
		}
	})
}

// A cachedBlock is one block of the prefix cache.
type cachedBlock struct {
	lastUsed time.Time
	prefix   uint64
}

// A prefixCache is an LRU cache of the blocks of prompts.
type prefixCache struct {
	blocks   map[uint64]*list.Element // elements of recent
	changed  chan struct{}            // closed at the next event; nil if no stream waits
	events   []timedEvent
	recent   list.List // of cachedBlock, most recently used first
	sequence uint64
}

// A timedEvent is a cache event and its time.
type timedEvent struct {
	event persimmoncart.CacheEvent
	time  time.Time
}

// add adds the blocks of a prompt and evicts blocks until at most limit are left.
func (c *prefixCache) add(prefixes []uint64, now time.Time, limit int) {
	if c.blocks == nil {
		c.blocks = map[uint64]*list.Element{}
	}
	for _, p := range prefixes {
		if e := c.blocks[p]; e != nil {
			e.Value = cachedBlock{prefix: p, lastUsed: now}
			c.recent.MoveToFront(e)
			continue
		}
		c.blocks[p] = c.recent.PushFront(cachedBlock{prefix: p, lastUsed: now})
		c.recordEvent(p, false, now)
	}
	for len(c.blocks) > limit {
		c.evictOldest(now)
	}
}

// evictOldest evicts the least recently used block.
func (c *prefixCache) evictOldest(now time.Time) {
	b := c.recent.Remove(c.recent.Back()).(cachedBlock)
	delete(c.blocks, b.prefix)
	c.recordEvent(b.prefix, true, now)
}

// evictUnused evicts the blocks that were last used at or before deadline.
func (c *prefixCache) evictUnused(deadline, now time.Time) {
	for c.recent.Len() > 0 && !c.recent.Back().Value.(cachedBlock).lastUsed.After(deadline) {
		c.evictOldest(now)
	}
}

// lookup returns the number of leading blocks of a prompt that are cached, and
// marks them as used.
func (c *prefixCache) lookup(prefixes []uint64, now time.Time) int {
	for i, p := range prefixes {
		e := c.blocks[p]
		if e == nil {
			return i
		}
		e.Value = cachedBlock{prefix: p, lastUsed: now}
		c.recent.MoveToFront(e)
	}
	return len(prefixes)
}

// recordEvent appends an event and wakes the waiting streams.
func (c *prefixCache) recordEvent(prefix uint64, evicted bool, now time.Time) {
	c.sequence++
	c.events = append(c.events, timedEvent{time: now, event: persimmoncart.CacheEvent{
		Evicted: evicted, Prefix: prefix, Sequence: c.sequence,
	}})
	if len(c.events) >= 2*minKeptEvents {
		c.events = append([]timedEvent(nil), c.events[minKeptEvents:]...)
	}
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// A fakeCacheEventStream streams the cache events of a Fake.
type fakeCacheEventStream struct {
	closed   chan struct{}
	cursor   uint64 // sequence number of the last event read
	fake     *Fake
	once     sync.Once
	restarts uint64
}

// Close implements persimmoncart.CacheEventStream.
func (s *fakeCacheEventStream) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

// Next implements persimmoncart.CacheEventStream.
func (s *fakeCacheEventStream) Next(ctx context.Context) (persimmoncart.CacheEvent, error) {
	for {
		e, wait, changed, err := s.poll()
		if err != nil || (changed == nil && wait <= 0) {
			return e, err
		}
		if wait > 0 {
			if err := s.fake.Timer.Sleep(ctx, wait); err != nil {
				return persimmoncart.CacheEvent{}, err
			}
			continue
		}
		select {
		case <-ctx.Done():
			return persimmoncart.CacheEvent{}, ctx.Err()
		case <-s.closed:
		case <-changed:
		}
	}
}

// poll returns the next event, the remaining delay of an event that EventLag holds
// back, or, without an event, a channel that is closed at the next one.
func (s *fakeCacheEventStream) poll() (persimmoncart.CacheEvent, time.Duration, <-chan struct{}, error) {
	f := s.fake
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var empty persimmoncart.CacheEvent
	select {
	case <-s.closed:
		return empty, 0, nil, &persimmoncart.UnavailableError{Err: errCancelled, Operation: "cache events"}
	default:
	}
	if f.faults.Down || s.restarts != f.restarts {
		return empty, 0, nil, &persimmoncart.UnavailableError{Err: errCrashed, Operation: "cache events"}
	}
	for _, e := range f.cache.events {
		lost := f.EventDropInterval > 0 && e.event.Sequence%uint64(f.EventDropInterval) == 0
		if e.event.Sequence <= s.cursor || lost {
			continue
		}
		if wait := e.time.Add(f.EventLag).Sub(f.Timer.Now()); wait > 0 {
			return empty, wait, nil, nil
		}
		s.cursor = e.event.Sequence
		return e.event, 0, nil, nil
	}
	if f.cache.changed == nil {
		f.cache.changed = make(chan struct{})
	}
	return empty, 0, f.cache.changed, nil
}
