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
	storeCallTimeout = 2 * time.Second
	// loadTimeout covers a full copy from a store that takes 0.8 s a call, shard
	// by shard.
	loadTimeout = 5 * time.Minute
	// headPollInterval is the period in which the head is read besides the watch, which
	// ends a watch that hangs without an error.
	headPollInterval = 5 * time.Second
	// minFailurePause and storePauseHigh bound the pause after a failed call of
	// the store, so that instances do not return together. The longest pause
	// leaves 3 s of the 11 s bound for the rest of the way.
	minFailurePause = time.Second
	maxFailurePause = 8 * time.Second
	// watchRestartPause is the shortest time between two watches.
	watchRestartPause = time.Second
)

// A Follower keeps the configuration of one instance current from the store.
// The version in force only goes forward; while the store is away it stays.
type Follower struct {
	Log        zerolog.Logger
	Random     *rand.Rand // used by Run only; nil takes a random seed
	Registerer prometheus.Registerer
	Repository *Repository
	Timer      persimmoncart.Timer

	current        atomic.Pointer[installedVersion]
	highestVersion atomic.Uint64 // highest version seen
	installMutex   sync.Mutex    // serialises installation and the calls of subscribers
	metrics        *metrics
	prepareOnce    sync.Once
	ready          atomic.Bool

	listenersMutex sync.Mutex
	listeners      map[int]func(*persimmoncart.Snapshot)
	nextListener   int // key of the next listener
}

// A installedVersion is one version with what is derived from it. It is immutable.
type installedVersion struct {
	configuration *VersionedState
	snapshot      *persimmoncart.Snapshot
}

// emptyVersion is what every instance holds before its first version.
var emptyVersion = &installedVersion{configuration: &VersionedState{State: &State{}}, snapshot: EmptySnapshot()}

// Run keeps the configuration current until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	f.prepare()
	for ctx.Err() == nil {
		pause := watchRestartPause
		if err := f.follow(ctx); err != nil {
			pause = f.randomDuration(minFailurePause, maxFailurePause)
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

// Current returns the full configuration in force.
func (f *Follower) Current() *VersionedState { return f.installed().configuration }

// HighestVersion returns the highest version that the instance has seen.
func (f *Follower) HighestVersion() uint64 { return max(f.highestVersion.Load(), f.Version()) }

// Ready reports whether the first configuration is in force. It is true once
// the instance has held the highest version that it had seen.
func (f *Follower) Ready() bool { return f.ready.Load() }

// Snapshot implements persimmoncart.Configuration.
func (f *Follower) Snapshot() *persimmoncart.Snapshot { return f.installed().snapshot }

// Subscribe implements persimmoncart.Configuration. Calls of listener follow the
// order of versions.
func (f *Follower) Subscribe(listener func(*persimmoncart.Snapshot)) (stop func()) {
	f.listenersMutex.Lock()
	defer f.listenersMutex.Unlock()
	if f.listeners == nil {
		f.listeners = map[int]func(*persimmoncart.Snapshot){}
	}
	key := f.nextListener
	f.nextListener++
	f.listeners[key] = listener
	return func() {
		f.listenersMutex.Lock()
		defer f.listenersMutex.Unlock()
		delete(f.listeners, key)
	}
}

// Version returns the version in force.
func (f *Follower) Version() uint64 { return f.installed().configuration.Version }

// prepare sets what the exported fields leave out.
func (f *Follower) prepare() {
	f.prepareOnce.Do(func() {
		if f.Random == nil {
			f.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		}
		f.metrics = newMetrics(f)
		if f.Registerer != nil {
			f.Registerer.MustRegister(f.metrics.collectors()...)
		}
	})
}

// installed returns the version in force.
func (f *Follower) installed() *installedVersion {
	if h := f.current.Load(); h != nil {
		return h
	}
	return emptyVersion
}

// follow takes the newest version into force, and each later one that a watch
// reports, until the watch breaks.
func (f *Follower) follow(ctx context.Context) error {
	h, err := f.refresh(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(context.Canceled)
	late := f.Timer.After(storeCallTimeout, func(time.Time) { cancel(errStoreTimeout) })
	w, err := f.Repository.Store.Watch(ctx, headKey, h.storeVersion)
	late()
	if err != nil {
		return errors.Wrap(err, "watch head")
	}
	f.metrics.watches.Inc()
	defer f.metrics.watches.Dec()
	defer f.closeWatch(w)

	var reader sync.WaitGroup
	defer reader.Wait()
	defer cancel(context.Canceled)
	heads := make(chan *Head)
	reader.Go(func() { cancel(f.readWatch(ctx, w, heads)) })
	polls := make(chan struct{}, 1)
	defer f.Timer.Subscribe(f.randomDuration(headPollInterval*3/4, headPollInterval*5/4), func(time.Time) {
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
			err = f.catchUp(ctx, head)
		case <-polls:
			_, err = f.refresh(ctx)
		}
		if err != nil {
			return err
		}
	}
}

// readWatch sends the heads that a watch reports until it breaks.
func (f *Follower) readWatch(ctx context.Context, w persimmoncart.Watch, heads chan<- *Head) error {
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

// closeWatch ends a watch.
func (f *Follower) closeWatch(w persimmoncart.Watch) {
	if err := w.Close(); err != nil {
		f.Log.Debug().Err(err).Msg("close watch of the head")
	}
}

// refresh reads the head and takes its version into force.
func (f *Follower) refresh(ctx context.Context) (*Head, error) {
	var h *Head
	err := f.withTimeout(ctx, storeCallTimeout, func(ctx context.Context) (err error) {
		h, err = f.Repository.Head(ctx)
		return err
	})
	if err != nil {
		return nil, err
	}
	return h, f.catchUp(ctx, h)
}

// catchUp takes the version that a head names into force.
func (f *Follower) catchUp(ctx context.Context, h *Head) error {
	f.highestVersion.Store(max(f.highestVersion.Load(), h.Version))
	for f.Version() < h.Version {
		next := f.loadVersion
		if have := f.Version(); have > 0 && h.includes(have+1) {
			next = f.applyNext
		}
		if err := next(ctx, h); err != nil {
			return err
		}
	}
	if f.Version() >= f.HighestVersion() && !f.ready.Swap(true) {
		f.Log.Info().Uint64("version", f.Version()).Msg("first configuration in force")
	}
	return nil
}

// loadVersion takes the full configuration that a head names into force.
func (f *Follower) loadVersion(ctx context.Context, h *Head) error {
	var c *VersionedState
	err := f.withTimeout(ctx, loadTimeout, func(ctx context.Context) (err error) {
		c, err = f.Repository.Load(ctx, h, f.Current())
		return err
	})
	if err != nil {
		return errors.Wrapf(err, "read version %d", h.Version)
	}
	if err := f.installState(c); err != nil {
		return err
	}
	f.metrics.updates.WithLabelValues(updateCopy).Inc()
	return nil
}

// applyNext takes the change set after the version in force, which the head
// names. Each set comes into force as it arrives.
func (f *Follower) applyNext(ctx context.Context, h *Head) error {
	have := f.Version()
	var s persimmoncart.ConfigChangeSet
	err := f.withTimeout(ctx, storeCallTimeout, func(ctx context.Context) (err error) {
		s, err = f.Repository.nextChangeSet(ctx, h, have)
		return err
	})
	if err != nil {
		return err
	}
	if err := f.installChangeSet(&s); err != nil {
		return err
	}
	f.metrics.updates.WithLabelValues(updateSet).Inc()
	return nil
}

// installChangeSet takes a change set into force. A set at or below the version in force
// is skipped.
func (f *Follower) installChangeSet(s *persimmoncart.ConfigChangeSet) error {
	f.installMutex.Lock()
	defer f.installMutex.Unlock()
	old := f.installed()
	if s.Version <= old.configuration.Version {
		return nil
	}
	if s.Version != old.configuration.Version+1 || s.Parent != old.configuration.Hash {
		return errors.Wrapf(&CorruptError{Key: changeSetKey(s.Version, s.Hash)}, "version %d does not follow %d", s.Version, old.configuration.Version)
	}
	state := old.configuration.State.With(s.Changes)
	if state.Hash() != s.StateHash {
		return errors.Wrapf(&CorruptError{Key: changeSetKey(s.Version, s.Hash)}, "version %d does not lead to its state", s.Version)
	}
	snapshot, err := Apply(old.snapshot, s.Changes, s.Version)
	if err != nil {
		return errors.Wrapf(err, "version %d", s.Version)
	}
	f.publish(&installedVersion{configuration: &VersionedState{Hash: s.Hash, State: state, Version: s.Version}, snapshot: snapshot})
	return nil
}

// installState takes a full copy into force if it is newer.
func (f *Follower) installState(c *VersionedState) error {
	f.installMutex.Lock()
	defer f.installMutex.Unlock()
	if c.Version <= f.Version() {
		return nil
	}
	snapshot, err := Apply(EmptySnapshot(), Diff(&State{}, c.State), c.Version)
	if err != nil {
		return errors.Wrapf(err, "full copy of version %d", c.Version)
	}
	f.publish(&installedVersion{configuration: c, snapshot: snapshot})
	return nil
}

// publish makes a version visible; applying is held.
func (f *Follower) publish(h *installedVersion) {
	f.current.Store(h)
	f.listenersMutex.Lock()
	listeners := make([]func(*persimmoncart.Snapshot), 0, len(f.listeners))
	for _, k := range slices.Sorted(maps.Keys(f.listeners)) {
		listeners = append(listeners, f.listeners[k])
	}
	f.listenersMutex.Unlock()
	f.Log.Info().Uint64("version", h.configuration.Version).Msg("configuration in force")
	for _, listener := range listeners {
		listener(h.snapshot)
	}
}

// randomDuration returns a random time randomDuration low and high.
func (f *Follower) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(f.Random.Float64()*float64(high-low))
}

// withTimeout runs do with a timeout of the timer service.
func (f *Follower) withTimeout(ctx context.Context, timeout time.Duration, do func(context.Context) error) error {
	ctx, stop := timer.WithTimeout(ctx, f.Timer, timeout, errStoreTimeout)
	defer stop()
	return do(ctx)
}

// errStoreTimeout ends a call of the store that takes too long.
var errStoreTimeout = errors.New("the store did not answer in time")
