package forward

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// followBackoff is the mean pause after a first failed call to the store. It
	// doubles with each further failure, up to followBackoffLimit.
	followBackoff      = 200 * time.Millisecond
	followBackoffLimit = time.Second
	// followCoalesce is the pause after a change before the next call to the store:
	// changes come in series, and each call costs, so one call fetches several.
	followCoalesce = 900 * time.Millisecond
	// followLargeObject is the size in bytes from which an object counts as large.
	// When large objects change again within followBurstWindow, they are listed once
	// every followBurstPeriod on average, at random between 0.5 and 1.5 times of it:
	// a watch would deliver each version in between, and the links between regions
	// carry only a few per second for all instances together.
	followLargeObject = 64 << 10
	followBurstWindow = 2 * time.Second
	followBurstPeriod = time.Second
	// followVerifyDelay is how much later than the watch on another prefix this
	// watch may report the same store version before it is restarted.
	followVerifyDelay = 250 * time.Millisecond
)

// A Follower reports the store's objects under a prefix and their changes: it
// lists them once and then watches, and lists again when the store has dropped
// the history that the watch needs. Its fields are set before Run.
type Follower struct {
	Changed          func(persimmoncart.WatchEvent) // called for each changed object
	Compacted        func()                         // called when the store has dropped its history; may be nil
	Listed           func([]persimmoncart.Object)   // called with all objects after each list
	Logger           zerolog.Logger
	Prefix           string
	ReachableChanged func(bool) // called when the store becomes unreachable or reachable again; may be nil
	Store            persimmoncart.Store
	Timer            persimmoncart.Timer
	VersionReported  func(persimmoncart.Version) // called with each store version that the watch reports without a change; may be nil

	burst       bool                  // large objects change in quick succession
	failures    int                   // failed calls in a row
	lastLarge   time.Time             // when a large object last changed
	lost        bool                  // the store is unreachable
	mutex       sync.Mutex            // guards the fields below
	cancelWatch context.CancelFunc    // ends the pending call of the watch; nil before the first watch
	restarted   bool                  // RestartWatch was called since the last takeRestarted
	verified    persimmoncart.Version // newest version passed to Verify
	version     persimmoncart.Version // newest version received
}

// Run lists and watches until ctx is done and returns its error.
func (f *Follower) Run(ctx context.Context) error {
	listed := false
	for ctx.Err() == nil {
		var err error
		switch {
		case !listed:
			err = f.list(ctx)
			listed = err == nil
		case f.burst:
			err = f.listAfterPause(ctx)
		default:
			err = f.watch(ctx)
		}
		compacted := &persimmoncart.HistoryError{}
		switch {
		case err == nil || ctx.Err() != nil || f.takeRestarted():
			continue
		case errors.As(err, &compacted):
			listed = false
			f.Logger.Info().Str("prefix", f.Prefix).Uint64("version", uint64(f.newest())).Msg("history is gone")
			if f.Compacted != nil {
				f.Compacted()
			}
		default:
			f.callFailed(err)
		}
		_ = f.Timer.Sleep(ctx, f.backoff()) // an end of ctx ends the loop
	}
	return ctx.Err()
}

// RestartWatch ends the pending call of the watch, so that Run starts a new one.
func (f *Follower) RestartWatch() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.cancelWatch != nil {
		f.restarted = true
		f.cancelWatch()
	}
}

// Verify checks that the watch has received all changes up to a version that the
// store has reached: a store that drops its history may leave pending watches
// without the changes just before. A watch that has not reported the version
// within followVerifyDelay is restarted, once for each version.
func (f *Follower) Verify(version persimmoncart.Version) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if version <= f.version || version <= f.verified {
		return
	}
	f.verified = version
	f.Timer.After(followVerifyDelay, func(time.Time) {
		if f.newest() < version {
			f.RestartWatch()
		}
	})
}

// callFailed records a failed call to the store.
func (f *Follower) callFailed(err error) {
	f.failures++
	if !f.lost {
		f.Logger.Warn().Str("prefix", f.Prefix).Uint64("version", uint64(f.newest())).Err(err).Msg("store lost")
	}
	f.setLost(true)
}

// list reads all objects under the prefix and passes them to Listed.
func (f *Follower) list(ctx context.Context) error {
	objects, err := f.Store.List(ctx, f.Prefix)
	if err != nil {
		return errors.Wrapf(err, "list %s", f.Prefix)
	}
	var newest persimmoncart.Version
	for _, o := range objects {
		newest = max(newest, o.Version)
	}
	f.advance(newest)
	f.Logger.Info().Str("prefix", f.Prefix).Int("objects", len(objects)).Uint64("version", uint64(newest)).Msg("listed")
	f.callSucceeded()
	f.Listed(objects)
	return nil
}

// newest returns the newest version received.
func (f *Follower) newest() persimmoncart.Version {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.version
}

// advance records a received version.
func (f *Follower) advance(version persimmoncart.Version) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.version = max(f.version, version)
}

// takeRestarted reports whether RestartWatch ended the last call, and resets this.
func (f *Follower) takeRestarted() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	renewed := f.restarted
	f.restarted = false
	return renewed
}

// backoff returns the pause before the next call, at random between 0.5 and 1.5
// times of the backoff, so that instances that lost the store at the same moment
// do not call it again at the same moment.
func (f *Follower) backoff() time.Duration {
	base := min(followBackoff<<min(max(f.failures-1, 0), 10), followBackoffLimit)
	return base/2 + rand.N(base)
}

// setLost records whether the store is unreachable, and reports a change of this
// to ReachableChanged.
func (f *Follower) setLost(lost bool) {
	if f.lost != lost && f.ReachableChanged != nil {
		f.ReachableChanged(!lost)
	}
	f.lost = lost
}

// listAfterPause lists the objects after a pause. The burst is over when none has
// changed.
func (f *Follower) listAfterPause(ctx context.Context) error {
	if err := f.Timer.Sleep(ctx, followBurstPeriod/2+rand.N(followBurstPeriod)); err != nil {
		return errors.Wrap(err, "pause")
	}
	before := f.newest()
	if err := f.list(ctx); err != nil {
		return err
	}
	f.burst = f.newest() > before
	return nil
}

// handleChange passes on one change and detects a burst of large ones.
func (f *Follower) handleChange(e persimmoncart.WatchEvent) {
	f.Changed(e)
	if len(e.Object.Value) < followLargeObject {
		return
	}
	now := f.Timer.Now()
	f.burst = f.burst || now.Sub(f.lastLarge) < followBurstWindow
	f.lastLarge = now
}

// callSucceeded records a successful call to the store.
func (f *Follower) callSucceeded() {
	if f.lost {
		f.Logger.Info().Str("prefix", f.Prefix).Int("failures", f.failures).Msg("store reached")
	}
	f.failures = 0
	f.setLost(false)
}

// watch passes on changes until the watch fails. It returns nil once a burst of
// large changes has begun.
func (f *Follower) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mutex.Lock()
	f.cancelWatch = cancel
	f.mutex.Unlock()
	w, err := f.Store.Watch(ctx, f.Prefix, f.newest())
	if err != nil {
		return errors.Wrapf(err, "watch %s", f.Prefix)
	}
	defer func() { _ = w.Close() }() // the watch is no longer used
	changed := false
	for {
		e, err := w.Next(ctx)
		if err != nil {
			return errors.Wrapf(err, "watch %s", f.Prefix)
		}
		f.callSucceeded()
		f.advance(e.Object.Version)
		if e.Object.Key == "" && f.VersionReported != nil {
			f.VersionReported(e.Object.Version)
		}
		if e.Object.Key != "" {
			f.handleChange(e)
			changed = true
			continue
		}
		if f.burst {
			return nil
		}
		if changed {
			changed = false
			_ = f.Timer.Sleep(ctx, followCoalesce) // after an end of ctx, Next fails
		}
	}
}
