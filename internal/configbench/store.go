package configbench

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/objectapi"
)

const (
	headKey = "config/head"
	// lostShare is the share of writes whose answer is lost.
	lostShare    = 0.02
	storeLatency = 3 * time.Millisecond
	slowLatency  = 800 * time.Millisecond
)

var errUnreachable = errors.New("unreachable")

// A platform is the store with its faults, shared by all instances.
type platform struct {
	commits map[uint64]time.Time // when each version came into force
	down    bool
	memory  *objectapi.Memory
	random  *rand.Rand
	slow    bool
	version uint64
	watches map[*watch]bool
	world   *world
}

// A store is the platform's store as reached from one region.
type store struct {
	*platform
	region persimmoncart.Region
}

// trip passes one way of a call; it fails after a timeout if there is no path.
func (s *store) trip(ctx context.Context, op string) error {
	d := s.world.latency(s.region, s.world.storeRegion)
	if s.slow {
		d += slowLatency / 2
	}
	if err := s.world.scheduler.Sleep(ctx, d+storeLatency/2); err != nil {
		return &persimmoncart.UnavailableError{Err: err, Op: op}
	}
	if s.down || !s.world.reachable(s.region, s.world.storeRegion) {
		if err := s.world.scheduler.Sleep(ctx, callTimeout); err != nil {
			return &persimmoncart.UnavailableError{Err: err, Op: op}
		}
		return &persimmoncart.UnavailableError{Err: errUnreachable, Op: op}
	}
	return nil
}

// write passes both ways of a write; a loss on the way back leaves it open
// whether the write took effect.
func (s *store) write(ctx context.Context, key string, do func() (persimmoncart.Version, error)) (persimmoncart.Version, error) {
	if err := s.trip(ctx, "write"); err != nil {
		return 0, err
	}
	if s.random.Float64() < lostShare/2 {
		return 0, &persimmoncart.AmbiguousError{Err: errUnreachable, Key: key}
	}
	v, err := do()
	if err == nil && key == headKey {
		s.committed()
	}
	if s.random.Float64() < lostShare/2 || s.trip(ctx, "write") != nil {
		return 0, &persimmoncart.AmbiguousError{Err: errUnreachable, Key: key}
	}
	return v, err
}

// committed notes the time of a new version and wakes the watches.
func (s *store) committed() {
	s.version++
	s.commits[s.version] = s.world.scheduler.Now()
	for _, w := range s.open() {
		if w.wake != nil {
			w.wake()
		}
	}
}

// Create implements persimmoncart.Store.
func (s *store) Create(ctx context.Context, key string, value []byte) (persimmoncart.Version, error) {
	return s.write(ctx, key, func() (persimmoncart.Version, error) { return s.memory.Create(ctx, key, value) })
}

// Delete implements persimmoncart.Store.
func (s *store) Delete(ctx context.Context, key string, version persimmoncart.Version) error {
	_, err := s.write(ctx, key, func() (persimmoncart.Version, error) { return 0, s.memory.Delete(ctx, key, version) })
	return err
}

// Get implements persimmoncart.Store.
func (s *store) Get(ctx context.Context, key string) (persimmoncart.Object, error) {
	if err := s.trip(ctx, "get"); err != nil {
		return persimmoncart.Object{}, err
	}
	o, err := s.memory.Get(ctx, key)
	if lost := s.trip(ctx, "get"); lost != nil {
		return persimmoncart.Object{}, lost
	}
	return o, err
}

// List implements persimmoncart.Store.
func (s *store) List(ctx context.Context, prefix string) ([]persimmoncart.Object, error) {
	if err := s.trip(ctx, "list"); err != nil {
		return nil, err
	}
	o, err := s.memory.List(ctx, prefix)
	if lost := s.trip(ctx, "list"); lost != nil {
		return nil, lost
	}
	return o, err
}

// Update implements persimmoncart.Store.
func (s *store) Update(ctx context.Context, key string, value []byte, version persimmoncart.Version) (persimmoncart.Version, error) {
	return s.write(ctx, key, func() (persimmoncart.Version, error) { return s.memory.Update(ctx, key, value, version) })
}

// Watch implements persimmoncart.Store for the head.
func (s *store) Watch(ctx context.Context, _ string, from persimmoncart.Version) (persimmoncart.Watch, error) {
	if err := s.trip(ctx, "watch"); err != nil {
		return nil, err
	}
	s.world.order++
	w := &watch{number: s.world.order, seen: from, store: s}
	s.watches[w] = true
	s.world.noteWatches()
	return w, nil
}

// open returns the open watches in the order of their start.
func (p *platform) open() []*watch {
	return sortedBy(p.watches, func(w *watch) int { return w.number })
}

// breakWatches ends the watches from a region, or all if it is empty. Half of
// them hang without an error, as connections do behind a cut path.
func (p *platform) breakWatches(region persimmoncart.Region) {
	for _, w := range p.open() {
		if region != "" && w.store.region != region {
			continue
		}
		if p.random.Float64() < 0.5 {
			w.hung = true
		} else {
			w.end()
		}
	}
}

// A watch is an open watch of the head.
type watch struct {
	ended  bool
	hung   bool
	number int
	seen   persimmoncart.Version
	store  *store
	wake   func()
}

// Close implements persimmoncart.Watch.
func (w *watch) Close() error {
	w.end()
	return nil
}

func (w *watch) end() {
	w.ended = true
	delete(w.store.watches, w)
	if w.wake != nil {
		w.wake()
	}
}

// Next implements persimmoncart.Watch.
func (w *watch) Next(ctx context.Context) (persimmoncart.WatchEvent, error) {
	for {
		if w.ended || ctx.Err() != nil {
			return persimmoncart.WatchEvent{}, &persimmoncart.UnavailableError{Err: errUnreachable, Op: "watch"}
		}
		o, err := w.store.memory.Get(ctx, headKey)
		w.store.world.watchReads++
		if err == nil && o.Version > w.seen && !w.hung {
			w.seen = o.Version
			if w.store.trip(ctx, "watch") != nil {
				w.end()
				continue
			}
			return persimmoncart.WatchEvent{Object: o}, nil
		}
		w.store.world.scheduler.Park(func(wake func()) { w.wake = wake })
	}
}
