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
	// followBackoff is the mean pause before a failed call to the store is made
	// again, and followPauseLimit what it doubles up to.
	followBackoff      = 200 * time.Millisecond
	followBackoffLimit = time.Second
	// followCoalesce is the pause after a change, in which further ones gather:
	// they come in series, and each call to the store is paid for.
	followCoalesce = 900 * time.Millisecond
	// followLargeObject is the size from which objects are large, bytes. Large ones that
	// change again within followBurst are read once every followCalm, at random
	// between half and one and a half of it: a watch would pass on each version
	// between, and the links between regions carry a few a second for all instances.
	followLargeObject = 64 << 10
	followBurstWindow = 2 * time.Second
	followBurstPeriod = time.Second
	// followVerifyDelay is how long after another kind's watch this one's may report
	// the same version.
	followVerifyDelay = 250 * time.Millisecond
)

// A Follower keeps what this instance believes current with the store's objects
// under a prefix: it lists them once and then watches, and lists again when the
// store has dropped the history. Its fields are set before Run.
type Follower struct {
	Changed          func(persimmoncart.WatchEvent)
	Compacted        func() // called when the store has dropped its history; may be nil
	Listed           func([]persimmoncart.Object)
	Logger           zerolog.Logger
	Prefix           string
	ReachableChanged func(bool) // called when the store is lost or reached again; may be nil
	Store            persimmoncart.Store
	Timer            persimmoncart.Timer
	VersionReported  func(persimmoncart.Version) // called with the store's newest version; may be nil

	burst       bool // large objects change in quick succession
	failures    int
	lastLarge   time.Time // when a large object last changed
	lost        bool
	mutex       sync.Mutex         // guards the fields below
	cancelWatch context.CancelFunc // ends the waiting call of the watch; nil without one
	restarted   bool               // renew was called
	verified    persimmoncart.Version
	version     persimmoncart.Version
}

// Run follows until ctx is done.
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
		_ = f.Timer.Sleep(ctx, f.backoff()) // the loop ends with ctx
	}
	return ctx.Err()
}

// RestartWatch ends the call in which the watch waits and makes a new one.
func (f *Follower) RestartWatch() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.cancelWatch != nil {
		f.restarted = true
		f.cancelWatch()
	}
}

// Verify makes sure that the watch has not missed a change up to a version that
// the store has reached: a store that drops its history may leave the watches that
// wait without the changes just before. A watch that has not reported the version
// after a moment is renewed, once for each version.
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

// callFailed notes that a call callFailed.
func (f *Follower) callFailed(err error) {
	f.failures++
	if !f.lost {
		f.Logger.Warn().Str("prefix", f.Prefix).Uint64("version", uint64(f.newest())).Err(err).Msg("store lost")
	}
	f.setLost(true)
}

// list reads all objects.
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

// newest returns the newest version that has been seen.
func (f *Follower) newest() persimmoncart.Version {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.version
}

// advance notes that a version has been seen.
func (f *Follower) advance(version persimmoncart.Version) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.version = max(f.version, version)
}

// takeRestarted reports whether the watch was ended to be renewed.
func (f *Follower) takeRestarted() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	renewed := f.restarted
	f.restarted = false
	return renewed
}

// backoff returns the time until the next try. Instances that lost the store at
// the same moment come back at different ones.
func (f *Follower) backoff() time.Duration {
	base := min(followBackoff<<min(max(f.failures-1, 0), 10), followBackoffLimit)
	return base/2 + rand.N(base)
}

// setLost tells whether the store is lost.
func (f *Follower) setLost(lost bool) {
	if f.lost != lost && f.ReachableChanged != nil {
		f.ReachableChanged(!lost)
	}
	f.lost = lost
}

// listAfterPause reads the newest objects after a pause. The burst is over when they have
// not changed.
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

// handleChange takes one handleChange and notes a burst of large ones.
func (f *Follower) handleChange(e persimmoncart.WatchEvent) {
	f.Changed(e)
	if len(e.Object.Value) < followLargeObject {
		return
	}
	now := f.Timer.Now()
	f.burst = f.burst || now.Sub(f.lastLarge) < followBurstWindow
	f.lastLarge = now
}

// callSucceeded notes that a call was answered.
func (f *Follower) callSucceeded() {
	if f.lost {
		f.Logger.Info().Str("prefix", f.Prefix).Int("failures", f.failures).Msg("store reached")
	}
	f.failures = 0
	f.setLost(false)
}

// watch takes changes until the watch breaks.
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
	defer func() { _ = w.Close() }() // nothing depends on it
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
			_ = f.Timer.Sleep(ctx, followCoalesce) // the next call ends with ctx
		}
	}
}
