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
	// loadTimeout is enough to read the full configuration, shard by shard, from a
	// store that takes 0.8 s a call.
	loadTimeout = 5 * time.Minute
	// headPollInterval is the mean interval between reads of the head while a watch
	// is open. The reads find versions that a hanging watch does not report.
	headPollInterval = 5 * time.Second
	// minFailurePause and maxFailurePause bound the random pause after a failed
	// call to the store, so that instances do not reconnect at the same time. The
	// longest pause leaves 3 s of the 11 s within which a change has to be in
	// force.
	minFailurePause = time.Second
	maxFailurePause = 8 * time.Second
	// watchRestartPause is the pause before the next watch after one ends without
	// an error.
	watchRestartPause = time.Second
)

// Follower keeps the configuration of one instance up to date with the store. The
// version in force never decreases, and stays in force while the store is
// unavailable.
type Follower struct {
	Logger     zerolog.Logger
	Random     *rand.Rand // used by Run only; randomly seeded if nil
	Registerer prometheus.Registerer
	Repository *Repository
	Timer      persimmoncart.Timer

	current        atomic.Pointer[installedVersion]
	highestVersion atomic.Uint64 // highest version read from the store
	installMutex   sync.Mutex    // serialises installation and the calls of listeners
	metrics        *metrics
	prepareOnce    sync.Once
	ready          atomic.Bool

	listenersMutex sync.Mutex
	listeners      map[int]func(*persimmoncart.Snapshot)
	nextListener   int // key in listeners of the next subscription
}

// installedVersion is a version in force with the Snapshot built from it. It is
// immutable.
type installedVersion struct {
	configuration *VersionedState
	snapshot      *persimmoncart.Snapshot
}

// emptyVersion is in force before the first version is installed.
var emptyVersion = &installedVersion{configuration: &VersionedState{State: &State{}}, snapshot: EmptySnapshot()}

// Run follows the store until ctx is done and returns the error of ctx.
func (f *Follower) Run(ctx context.Context) error {
	f.prepare()
	for ctx.Err() == nil {
		pause := watchRestartPause
		if err := f.follow(ctx); err != nil {
			pause = f.randomDuration(minFailurePause, maxFailurePause)
			if ctx.Err() == nil {
				f.Logger.Warn().Err(err).Uint64("version", f.Version()).Dur("pause", pause).Msg("configuration not followed")
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

// HighestVersion returns the highest version that was read from the store, which may
// not be in force yet.
func (f *Follower) HighestVersion() uint64 { return max(f.highestVersion.Load(), f.Version()) }

// Ready reports whether the first configuration is in force. It becomes true once
// the highest version read so far is in force, and stays true.
func (f *Follower) Ready() bool { return f.ready.Load() }

// Snapshot implements persimmoncart.Configuration.
func (f *Follower) Snapshot() *persimmoncart.Snapshot { return f.installed().snapshot }

// Subscribe implements persimmoncart.Configuration. The listener is called in the
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

// prepare sets the defaults of exported fields and registers the metrics, once.
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

// installed returns the version in force with its Snapshot.
func (f *Follower) installed() *installedVersion {
	if current := f.current.Load(); current != nil {
		return current
	}
	return emptyVersion
}

// follow installs the newest version, and each later one that a watch or a periodic
// read of the head reports, until one of them fails.
func (f *Follower) follow(ctx context.Context) error {
	h, err := f.refresh(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(context.Canceled)
	cancelTimeout := f.Timer.After(storeCallTimeout, func(time.Time) { cancel(errStoreTimeout) })
	w, err := f.Repository.Store.Watch(ctx, headKey, h.storeVersion)
	cancelTimeout()
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
		default: // a read is pending already
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

// readWatch sends the heads that a watch reports to heads until the watch fails,
// and returns its error.
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

// closeWatch closes a watch and logs a failure.
func (f *Follower) closeWatch(w persimmoncart.Watch) {
	if err := w.Close(); err != nil {
		f.Logger.Debug().Err(err).Msg("close watch of the head")
	}
}

// refresh reads the head and installs its version.
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

// catchUp installs versions until the head's version is in force: change set by
// change set if the head lists the next one, otherwise as a full configuration.
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
		f.Logger.Info().Uint64("version", f.Version()).Msg("first configuration in force")
	}
	return nil
}

// loadVersion reads and installs the full configuration of the head's version.
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

// applyNext reads and installs the change set after the version in force, which the
// head has to list.
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

// installChangeSet puts the result of a change set into force. It skips change sets
// at or below the version in force, and returns a *CorruptError if the change set
// does not follow the version in force or does not produce the state hash that it
// records.
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
		return errors.Wrapf(&CorruptError{Key: changeSetKey(s.Version, s.Hash)}, "version %d does not produce the state hash that it records", s.Version)
	}
	snapshot, err := Apply(old.snapshot, s.Changes, s.Version)
	if err != nil {
		return errors.Wrapf(err, "version %d", s.Version)
	}
	f.publish(&installedVersion{configuration: &VersionedState{Hash: s.Hash, State: state, Version: s.Version}, snapshot: snapshot})
	return nil
}

// installState puts a full configuration into force if it is newer than the version
// in force.
func (f *Follower) installState(c *VersionedState) error {
	f.installMutex.Lock()
	defer f.installMutex.Unlock()
	if c.Version <= f.Version() {
		return nil
	}
	snapshot, err := Apply(EmptySnapshot(), Diff(&State{}, c.State), c.Version)
	if err != nil {
		return errors.Wrapf(err, "full configuration of version %d", c.Version)
	}
	f.publish(&installedVersion{configuration: c, snapshot: snapshot})
	return nil
}

// publish puts a version into force and calls the listeners. The caller holds
// installMutex.
func (f *Follower) publish(next *installedVersion) {
	f.current.Store(next)
	f.listenersMutex.Lock()
	listeners := make([]func(*persimmoncart.Snapshot), 0, len(f.listeners))
	for _, k := range slices.Sorted(maps.Keys(f.listeners)) {
		listeners = append(listeners, f.listeners[k])
	}
	f.listenersMutex.Unlock()
	f.Logger.Info().Uint64("version", next.configuration.Version).Msg("configuration in force")
	for _, listener := range listeners {
		listener(next.snapshot)
	}
}

// randomDuration returns a uniformly distributed duration between low and high.
func (f *Follower) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(f.Random.Float64()*float64(high-low))
}

// withTimeout calls do with a context that is cancelled after the timeout, as
// measured by f.Timer.
func (f *Follower) withTimeout(ctx context.Context, timeout time.Duration, do func(context.Context) error) error {
	ctx, stop := timer.WithTimeout(ctx, f.Timer, timeout, errStoreTimeout)
	defer stop()
	return do(ctx)
}

// errStoreTimeout is the cancellation cause of store calls that time out.
var errStoreTimeout = errors.New("the store did not answer in time")
