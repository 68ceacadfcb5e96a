package config_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/config"
	"github.com/persimmoncart/persimmoncart/internal/objectapi"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// newFollower returns a follower of the store on the system timer.
func newFollower(s persimmoncart.Store) *config.Follower {
	return &config.Follower{
		Repository: &config.Repository{ForEach: config.ForEachConcurrently, Store: s}, Logger: zerolog.Nop(), Timer: &timer.System{},
	}
}

// applyRate sets the rate of account a.
func applyRate(t *testing.T, e *config.Editor, rate int) {
	t.Helper()
	_, err := e.Apply(t.Context(), config.Edit{Author: "ann", Changes: []persimmoncart.ConfigChange{{After: account("a", rate), Key: "account/a"}}, Force: true})
	assert.NilError(t, err)
}

// TestFollower guards against a follower that reports ready without the newest
// version, loses its version while the store is unavailable, misses versions written
// during an outage, or leaves goroutines behind after Run.
func TestFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		memory := &objectapi.Memory{Timer: &timer.System{}}
		s := &objectapi.Faulty{Store: memory, Timer: &timer.System{}}
		ended := make(chan error)
		run := func() *config.Follower {
			f := newFollower(s)
			go func() { ended <- f.Run(ctx) }()
			return f
		}
		a, b := run(), run()
		time.Sleep(time.Second)
		assert.Assert(t, a.Ready() && b.Ready())
		var versions []uint64
		b.Subscribe(func(x *persimmoncart.Snapshot) { versions = append(versions, x.Version) })
		e := &config.Editor{Repository: &config.Repository{Store: memory}, Timer: &timer.System{}}
		for i := range 3 {
			applyRate(t, e, i+1)
			time.Sleep(time.Second)
		}
		synctest.Wait()
		assert.Equal(t, a.Snapshot().Accounts["a"].Rate, 3.0)
		assert.Equal(t, b.Snapshot().Version, uint64(3))
		assert.DeepEqual(t, versions, []uint64{1, 2, 3})
		s.SetDown(true)
		c := run()
		applyRate(t, e, 4)
		time.Sleep(time.Minute)
		assert.Assert(t, !c.Ready())
		assert.Equal(t, b.Snapshot().Version, uint64(3))
		s.SetDown(false)
		time.Sleep(11 * time.Second)
		synctest.Wait()
		assert.Assert(t, c.Ready())
		assert.Equal(t, c.Current().Hash, b.Current().Hash)
		assert.DeepEqual(t, versions, []uint64{1, 2, 3, 4})
		cancel()
		for range 3 {
			assert.ErrorIs(t, <-ended, context.Canceled)
		}
	})
}

// TestFollowerSilentWatch guards against a watch that hangs without an error and
// keeps an instance on an old version.
func TestFollowerSilentWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		memory := &objectapi.Memory{Timer: &timer.System{}}
		f := newFollower(silentStore{Store: memory})
		ended := make(chan error)
		go func() { ended <- f.Run(ctx) }()
		time.Sleep(time.Second)
		assert.Assert(t, f.Ready())
		applyRate(t, &config.Editor{Repository: &config.Repository{Store: memory}, Timer: &timer.System{}}, 1)
		time.Sleep(11 * time.Second)
		assert.Equal(t, f.Snapshot().Version, uint64(1))
		cancel()
		assert.ErrorIs(t, <-ended, context.Canceled)
	})
}

// silentStore is a store whose watches never report anything.
type silentStore struct{ persimmoncart.Store }

func (silentStore) Watch(context.Context, string, persimmoncart.Version) (persimmoncart.Watch, error) {
	return silentWatch{}, nil
}

type silentWatch struct{}

func (silentWatch) Close() error { return nil }

func (silentWatch) Next(ctx context.Context) (persimmoncart.WatchEvent, error) {
	<-ctx.Done()
	return persimmoncart.WatchEvent{}, ctx.Err()
}

// TestInstall guards against versions that decrease or skip a change set, and against
// the installation of a change set whose content does not produce its state hash.
func TestInstall(t *testing.T) {
	e, s := newEditor()
	for i := range 4 {
		applyRate(t, e, i+1)
	}
	h, err := e.Repository.Head(t.Context())
	assert.NilError(t, err)
	sets, err := e.Repository.History(t.Context(), h, 0, 10)
	assert.NilError(t, err)
	slices.Reverse(sets)
	bad := sets[2]
	bad.Changes = []persimmoncart.ConfigChange{{After: account("a", 99), Key: "account/a"}}
	fork := persimmoncart.ConfigChangeSet{Version: 2, Changes: sets[1].Changes, StateHash: sets[1].StateHash}
	for _, c := range []struct {
		name string
		sets []persimmoncart.ConfigChangeSet
		fail bool // for the last set
		want uint64
	}{
		{"in order", sets, false, 4},
		{"twice and late", slices.Concat(sets[:3], sets[:1], sets[1:3]), false, 3},
		{"gap", slices.Concat(sets[:1], sets[3:]), true, 1},
		{"overlap", slices.Concat(sets[:3], sets[1:]), false, 4},
		{"wrong content", append(slices.Clone(sets[:2]), bad), true, 2},
		{"fork", append(slices.Clone(sets[:1]), fork), true, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFollower(s)
			var err error
			for i := range c.sets {
				err = f.InstallChangeSet(&c.sets[i])
			}
			assert.Equal(t, err != nil, c.fail, "%v", err)
			assert.Equal(t, f.Snapshot().Version, c.want)
			assert.Equal(t, f.Version(), c.want)
			assert.Assert(t, !f.Ready())
		})
	}
}
