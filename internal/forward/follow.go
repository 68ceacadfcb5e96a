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
	// followPause is the mean pause before a failed call to the store is made
	// again, and followPauseLimit what it doubles up to.
	followPause      = 200 * time.Millisecond
	followPauseLimit = time.Second
	// followGather is the pause after a change, in which further ones gather:
	// they come in series, and each call to the store is paid for.
	followGather = 900 * time.Millisecond
	// followBulk is the size from which objects are large, bytes. Large ones that
	// change again within followBurst are read once every followCalm, at random
	// between half and one and a half of it: a watch would pass on each version
	// between, and the links between regions carry a few a second for all instances.
	followBulk  = 64 << 10
	followBurst = 2 * time.Second
	followCalm  = time.Second
	// followVerify is how long after another kind's watch this one's may report
	// the same version.
	followVerify = 250 * time.Millisecond
)

// A Follower keeps what this instance believes current with the store's objects
// under a prefix: it lists them once and then watches, and lists again when the
// store has dropped the history. Its fields are set before Run.
type Follower struct {
	Advanced  func(persimmoncart.Version) // called with the store's newest version; may be nil
	Changed   func(persimmoncart.WatchEvent)
	Compacted func() // called when the store has dropped its history; may be nil
	Listed    func([]persimmoncart.Object)
	Logger    zerolog.Logger
	Prefix    string
	Reached   func(bool) // called when the store is lost or reached again; may be nil
	Store     persimmoncart.Store
	Timer     persimmoncart.Timer

	bulk     time.Time // when a large object last changed
	burst    bool      // large objects change in quick succession
	failures int
	lost     bool
	mutex    sync.Mutex         // guards the fields below
	renew    context.CancelFunc // ends the waiting call of the watch; nil without one
	renewed  bool               // renew was called
	verified persimmoncart.Version
	version  persimmoncart.Version
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
			err = f.listNewest(ctx)
		default:
			err = f.watch(ctx)
		}
		compacted := &persimmoncart.HistoryError{}
		switch {
		case err == nil || ctx.Err() != nil || f.wasRenewed():
			continue
		case errors.As(err, &compacted):
			listed = false
			f.Logger.Info().Str("prefix", f.Prefix).Uint64("version", uint64(f.at())).Msg("history is gone")
			if f.Compacted != nil {
				f.Compacted()
			}
		default:
			f.failed(err)
		}
		_ = f.Timer.Sleep(ctx, f.pause()) // the loop ends with ctx
	}
	return ctx.Err()
}

// Renew ends the call in which the watch waits and makes a new one.
func (f *Follower) Renew() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.renew != nil {
		f.renewed = true
		f.renew()
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
	f.Timer.After(followVerify, func(time.Time) {
		if f.at() < version {
			f.Renew()
		}
	})
}

// failed notes that a call failed.
func (f *Follower) failed(err error) {
	f.failures++
	if !f.lost {
		f.Logger.Warn().Str("prefix", f.Prefix).Uint64("version", uint64(f.at())).Err(err).Msg("store lost")
	}
	f.report(true)
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
	f.reach(newest)
	f.Logger.Info().Str("prefix", f.Prefix).Int("objects", len(objects)).Uint64("version", uint64(newest)).Msg("listed")
	f.succeeded()
	f.Listed(objects)
	return nil
}

// at returns the newest version that has been seen.
func (f *Follower) at() persimmoncart.Version {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.version
}

// reach notes that a version has been seen.
func (f *Follower) reach(version persimmoncart.Version) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.version = max(f.version, version)
}

// wasRenewed reports whether the watch was ended to be renewed.
func (f *Follower) wasRenewed() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	renewed := f.renewed
	f.renewed = false
	return renewed
}

// pause returns the time until the next try. Instances that lost the store at
// the same moment come back at different ones.
func (f *Follower) pause() time.Duration {
	base := min(followPause<<min(max(f.failures-1, 0), 10), followPauseLimit)
	return base/2 + rand.N(base)
}

// report tells whether the store is lost.
func (f *Follower) report(lost bool) {
	if f.lost != lost && f.Reached != nil {
		f.Reached(!lost)
	}
	f.lost = lost
}

// listNewest reads the newest objects after a pause. The burst is over when they have
// not changed.
func (f *Follower) listNewest(ctx context.Context) error {
	if err := f.Timer.Sleep(ctx, followCalm/2+rand.N(followCalm)); err != nil {
		return errors.Wrap(err, "pause")
	}
	before := f.at()
	if err := f.list(ctx); err != nil {
		return err
	}
	f.burst = f.at() > before
	return nil
}

// change takes one change and notes a burst of large ones.
func (f *Follower) change(e persimmoncart.WatchEvent) {
	f.Changed(e)
	if len(e.Object.Value) < followBulk {
		return
	}
	now := f.Timer.Now()
	f.burst = f.burst || now.Sub(f.bulk) < followBurst
	f.bulk = now
}

// succeeded notes that a call was answered.
func (f *Follower) succeeded() {
	if f.lost {
		f.Logger.Info().Str("prefix", f.Prefix).Int("failures", f.failures).Msg("store reached")
	}
	f.failures = 0
	f.report(false)
}

// watch takes changes until the watch breaks.
func (f *Follower) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mutex.Lock()
	f.renew = cancel
	f.mutex.Unlock()
	w, err := f.Store.Watch(ctx, f.Prefix, f.at())
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
		f.succeeded()
		f.reach(e.Object.Version)
		if e.Object.Key == "" && f.Advanced != nil {
			f.Advanced(e.Object.Version)
		}
		if e.Object.Key != "" {
			f.change(e)
			changed = true
			continue
		}
		if f.burst {
			return nil
		}
		if changed {
			changed = false
			_ = f.Timer.Sleep(ctx, followGather) // the next call ends with ctx
		}
	}
}
