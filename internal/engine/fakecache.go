package engine

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// maxCacheEvents bounds the events that a stream can still read.
const maxCacheEvents = 4096

// CacheEvents implements persimmoncart.Engine.
func (f *Fake) CacheEvents(_ context.Context, from uint64) (persimmoncart.CacheEventStream, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err := f.checkUp("cache events"); err != nil {
		return nil, err
	}
	return &fakeCacheEvents{closed: make(chan struct{}), cursor: from, fake: f, life: f.life}, nil
}

// sweepLater evicts unused blocks when their time has come; the mutex is held.
func (f *Fake) sweepLater() {
	life := f.life
	f.Timer.After(f.CacheLife, func(now time.Time) {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		if life == f.life {
			f.cache.sweep(now.Add(-f.CacheLife), now)
		}
	})
}

// A cachedBlock is one block in the prefix cache.
type cachedBlock struct {
	prefix uint64
	used   time.Time
}

// A prefixCache holds the blocks of recent prompts, least recently used last.
type prefixCache struct {
	blocks   map[uint64]*list.Element // of cachedBlock
	changed  chan struct{}            // closed at the next event
	events   []timedEvent
	order    list.List
	sequence uint64
}

// A timedEvent is a cache event with its time.
type timedEvent struct {
	at    time.Time
	event persimmoncart.CacheEvent
}

// add puts the blocks of a prompt into the cache, which holds at most limit.
func (c *prefixCache) add(prefixes []uint64, now time.Time, limit int) {
	if c.blocks == nil {
		c.blocks = map[uint64]*list.Element{}
	}
	for _, p := range prefixes {
		if e := c.blocks[p]; e != nil {
			e.Value = cachedBlock{prefix: p, used: now}
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[p] = c.order.PushFront(cachedBlock{prefix: p, used: now})
		c.record(p, false, now)
	}
	for len(c.blocks) > limit {
		c.drop(now)
	}
}

// drop evicts the least recently used block.
func (c *prefixCache) drop(now time.Time) {
	b := c.order.Remove(c.order.Back()).(cachedBlock)
	delete(c.blocks, b.prefix)
	c.record(b.prefix, true, now)
}

// find returns how many leading blocks of a prompt are cached and marks them used.
func (c *prefixCache) find(prefixes []uint64, now time.Time) int {
	for i, p := range prefixes {
		e := c.blocks[p]
		if e == nil {
			return i
		}
		e.Value = cachedBlock{prefix: p, used: now}
		c.order.MoveToFront(e)
	}
	return len(prefixes)
}

// record appends an event.
func (c *prefixCache) record(prefix uint64, evicted bool, now time.Time) {
	c.sequence++
	c.events = append(c.events, timedEvent{at: now, event: persimmoncart.CacheEvent{
		Evicted: evicted, Prefix: prefix, Sequence: c.sequence,
	}})
	if len(c.events) >= 2*maxCacheEvents {
		c.events = append([]timedEvent(nil), c.events[maxCacheEvents:]...)
	}
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// sweep evicts the blocks that were last used at or before limit.
func (c *prefixCache) sweep(limit, now time.Time) {
	for c.order.Len() > 0 && !c.order.Back().Value.(cachedBlock).used.After(limit) {
		c.drop(now)
	}
}

// A fakeCacheEvents reads the cache events of a Fake.
type fakeCacheEvents struct {
	closed chan struct{}
	cursor uint64
	fake   *Fake
	life   uint64
	once   sync.Once
}

// Close implements persimmoncart.CacheEventStream.
func (s *fakeCacheEvents) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

// Next implements persimmoncart.CacheEventStream.
func (s *fakeCacheEvents) Next(ctx context.Context) (persimmoncart.CacheEvent, error) {
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

// poll returns the next event, how long it is still held back, or a channel to
// wait on if there is none.
func (s *fakeCacheEvents) poll() (persimmoncart.CacheEvent, time.Duration, <-chan struct{}, error) {
	f := s.fake
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var none persimmoncart.CacheEvent
	select {
	case <-s.closed:
		return none, 0, nil, &persimmoncart.UnavailableError{Err: errCancelled, Operation: "cache events"}
	default:
	}
	if f.faults.Down || s.life != f.life {
		return none, 0, nil, &persimmoncart.UnavailableError{Err: errDied, Operation: "cache events"}
	}
	for _, e := range f.cache.events {
		lost := f.EventGap > 0 && e.event.Sequence%uint64(f.EventGap) == 0
		if e.event.Sequence <= s.cursor || lost {
			continue
		}
		if wait := e.at.Add(f.EventLag).Sub(f.Timer.Now()); wait > 0 {
			return none, wait, nil, nil
		}
		s.cursor = e.event.Sequence
		return e.event, 0, nil, nil
	}
	if f.cache.changed == nil {
		f.cache.changed = make(chan struct{})
	}
	return none, 0, f.cache.changed, nil
}
