package config

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

var _ persimmoncart.Configuration = (*Follower)(nil)

const (
	callTimeout = 2 * time.Second
	// copyTimeout covers a full copy from a store that takes 0.8 s a call, shard
	// by shard.
	copyTimeout = 5 * time.Minute
	// headPoll is the period in which the head is read besides the watch, which
	// ends a watch that hangs without an error.
	headPoll = 5 * time.Second
	// storePauseLow and storePauseHigh bound the pause after a failed call of
	// the store, so that instances do not return together. The longest pause
	// leaves 3 s of the 11 s bound for the rest of the way.
	storePauseLow  = time.Second
	storePauseHigh = 8 * time.Second
	// watchPause is the shortest time between two watches.
	watchPause = time.Second
)

// A Follower keeps the configuration of one instance current from the store.
// The version in force only goes forward; while the store is away it stays.
type Follower struct {
	Archive    *Archive
	Log        zerolog.Logger
	Random     *rand.Rand // used by Run only; nil takes a random seed
	Registerer prometheus.Registerer
	Timer      persimmoncart.Timer

	applying sync.Mutex // serialises installation and the calls of subscribers
	current  atomic.Pointer[held]
	highest  atomic.Uint64 // highest version seen
	metrics  *metrics
	ready    atomic.Bool
	setup    sync.Once

	mutex     sync.Mutex
	listeners map[int]func(*persimmoncart.Snapshot)
	next      int // key of the next listener
}

// A held is one version with what is derived from it. It is immutable.
type held struct {
	copied   *Copy
	snapshot *persimmoncart.Snapshot
}

// emptyHeld is what every instance holds before its first version.
var emptyHeld = &held{copied: &Copy{State: &State{}}, snapshot: EmptySnapshot()}

// Run keeps the configuration current until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	f.prepare()
	for ctx.Err() == nil {
		pause := watchPause
		if err := f.follow(ctx); err != nil {
			pause = f.between(storePauseLow, storePauseHigh)
			if ctx.Err() == nil {
				f.Log.Warn().Err(err).Uint64("version", f.Version()).Dur("pause", pause).Msg("configuration not followed")
			}
		}
		if f.Timer.Sleep(ctx, pause) != nil {
			break
		}
	}
	return ctx.Err()
}

// Copy returns the full configuration in force.
func (f *Follower) Copy() *Copy { return f.held().copied }

// Highest returns the highest version that the instance has seen.
func (f *Follower) Highest() uint64 { return max(f.highest.Load(), f.Version()) }

// Ready reports whether the first configuration is in force. It is true once
// the instance has held the highest version that it had seen.
func (f *Follower) Ready() bool { return f.ready.Load() }

// Snapshot implements persimmoncart.Configuration.
func (f *Follower) Snapshot() *persimmoncart.Snapshot { return f.held().snapshot }

// Subscribe implements persimmoncart.Configuration. Calls of listener follow the
// order of versions.
func (f *Follower) Subscribe(listener func(*persimmoncart.Snapshot)) (stop func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.listeners == nil {
		f.listeners = map[int]func(*persimmoncart.Snapshot){}
	}
	key := f.next
	f.next++
	f.listeners[key] = listener
	return func() {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		delete(f.listeners, key)
	}
}

// Version returns the version in force.
func (f *Follower) Version() uint64 { return f.held().copied.Version }

// prepare sets what the exported fields leave out.
func (f *Follower) prepare() {
	f.setup.Do(func() {
		if f.Random == nil {
			f.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		}
		f.metrics = newMetrics(f)
		if f.Registerer != nil {
			f.Registerer.MustRegister(f.metrics.collectors()...)
		}
	})
}

// held returns the version in force.
func (f *Follower) held() *held {
	if h := f.current.Load(); h != nil {
		return h
	}
	return emptyHeld
}

// follow takes the newest version into force, and each later one that a watch
// reports, until the watch breaks.
func (f *Follower) follow(ctx context.Context) error {
	h, err := f.update(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(context.Canceled)
	late := f.Timer.After(callTimeout, func(time.Time) { cancel(errLate) })
	w, err := f.Archive.Store.Watch(ctx, headKey, h.store)
	late()
	if err != nil {
		return errors.Wrap(err, "watch head")
	}
	f.metrics.watches.Inc()
	defer f.metrics.watches.Dec()
	defer f.close(w)

	var reader sync.WaitGroup
	defer reader.Wait()
	defer cancel(context.Canceled)
	heads := make(chan *Head)
	reader.Go(func() { cancel(f.read(ctx, w, heads)) })
	polls := make(chan struct{}, 1)
	defer f.Timer.Subscribe(f.between(headPoll*3/4, headPoll*5/4), func(time.Time) {
		select {
		case polls <- struct{}{}:
		default: // one read is due already
		}
	})()
	for {
		select {
		case <-ctx.Done():
			return errors.Wrap(context.Cause(ctx), "watch head")
		case head := <-heads:
			err = f.take(ctx, head)
		case <-polls:
			_, err = f.update(ctx)
		}
		if err != nil {
			return err
		}
	}
}

// read sends the heads that a watch reports until it breaks.
func (f *Follower) read(ctx context.Context, w persimmoncart.Watch, heads chan<- *Head) error {
	for {
		event, err := w.Next(ctx)
		if err != nil {
			return err
		}
		if event.Deleted || event.Object.Key != headKey {
			continue
		}
		head, err := decodeHead(event.Object)
		if err != nil {
			return err
		}
		select {
		case heads <- head:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// close ends a watch.
func (f *Follower) close(w persimmoncart.Watch) {
	if err := w.Close(); err != nil {
		f.Log.Debug().Err(err).Msg("close watch of the head")
	}
}

// update reads the head and takes its version into force.
func (f *Follower) update(ctx context.Context) (*Head, error) {
	var h *Head
	err := f.call(ctx, callTimeout, func(ctx context.Context) (err error) {
		h, err = f.Archive.Head(ctx)
		return err
	})
	if err != nil {
		return nil, err
	}
	return h, f.take(ctx, h)
}

// take takes the version that a head names into force.
func (f *Follower) take(ctx context.Context, h *Head) error {
	f.highest.Store(max(f.highest.Load(), h.Version))
	for f.Version() < h.Version {
		next := f.takeCopy
		if have := f.Version(); have > 0 && h.names(have+1) {
			next = f.takeSet
		}
		if err := next(ctx, h); err != nil {
			return err
		}
	}
	if f.Version() >= f.Highest() && !f.ready.Swap(true) {
		f.Log.Info().Uint64("version", f.Version()).Msg("first configuration in force")
	}
	return nil
}

// takeCopy takes the full configuration that a head names into force.
func (f *Follower) takeCopy(ctx context.Context, h *Head) error {
	var c *Copy
	err := f.call(ctx, copyTimeout, func(ctx context.Context) (err error) {
		c, err = f.Archive.Copy(ctx, h, f.Copy())
		return err
	})
	if err != nil {
		return errors.Wrapf(err, "read version %d", h.Version)
	}
	if err := f.replace(c); err != nil {
		return err
	}
	f.metrics.updates.WithLabelValues(updateCopy).Inc()
	return nil
}

// takeSet takes the change set after the version in force, which the head
// names. Each set comes into force as it arrives.
func (f *Follower) takeSet(ctx context.Context, h *Head) error {
	have := f.Version()
	var s persimmoncart.ConfigChangeSet
	err := f.call(ctx, callTimeout, func(ctx context.Context) (err error) {
		s, err = f.Archive.next(ctx, h, have)
		return err
	})
	if err != nil {
		return err
	}
	if err := f.install(&s); err != nil {
		return err
	}
	f.metrics.updates.WithLabelValues(updateSet).Inc()
	return nil
}

// install takes a change set into force. A set at or below the version in force
// is skipped.
func (f *Follower) install(s *persimmoncart.ConfigChangeSet) error {
	f.applying.Lock()
	defer f.applying.Unlock()
	old := f.held()
	if s.Version <= old.copied.Version {
		return nil
	}
	if s.Version != old.copied.Version+1 || s.Parent != old.copied.Hash {
		return errors.Wrapf(&CorruptError{Key: setKey(s.Version, s.Hash)}, "version %d does not follow %d", s.Version, old.copied.Version)
	}
	state := old.copied.State.With(s.Changes)
	if state.Hash() != s.StateHash {
		return errors.Wrapf(&CorruptError{Key: setKey(s.Version, s.Hash)}, "version %d does not lead to its state", s.Version)
	}
	snapshot, err := Apply(old.snapshot, s.Changes, s.Version)
	if err != nil {
		return errors.Wrapf(err, "version %d", s.Version)
	}
	f.publish(&held{copied: &Copy{Hash: s.Hash, State: state, Version: s.Version}, snapshot: snapshot})
	return nil
}

// replace takes a full copy into force if it is newer.
func (f *Follower) replace(c *Copy) error {
	f.applying.Lock()
	defer f.applying.Unlock()
	if c.Version <= f.Version() {
		return nil
	}
	snapshot, err := Apply(EmptySnapshot(), Diff(&State{}, c.State), c.Version)
	if err != nil {
		return errors.Wrapf(err, "full copy of version %d", c.Version)
	}
	f.publish(&held{copied: c, snapshot: snapshot})
	return nil
}

// publish makes a version visible; applying is held.
func (f *Follower) publish(h *held) {
	f.current.Store(h)
	f.mutex.Lock()
	listeners := make([]func(*persimmoncart.Snapshot), 0, len(f.listeners))
	for _, k := range slices.Sorted(maps.Keys(f.listeners)) {
		listeners = append(listeners, f.listeners[k])
	}
	f.mutex.Unlock()
	f.Log.Info().Uint64("version", h.copied.Version).Msg("configuration in force")
	for _, listener := range listeners {
		listener(h.snapshot)
	}
}

// between returns a random time between low and high.
func (f *Follower) between(low, high time.Duration) time.Duration {
	return low + time.Duration(f.Random.Float64()*float64(high-low))
}

// call runs do with a timeout of the timer service.
func (f *Follower) call(ctx context.Context, timeout time.Duration, do func(context.Context) error) error {
	ctx, stop := timer.WithTimeout(ctx, f.Timer, timeout, errLate)
	defer stop()
	return do(ctx)
}

// errLate ends a call of the store that takes too long.
var errLate = errors.New("the store did not answer in time")
