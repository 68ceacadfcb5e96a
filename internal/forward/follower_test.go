package forward_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/forward"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// A scriptStore is a store whose results a test sets.
type scriptStore struct {
	persimmoncart.Store

	list  func() ([]persimmoncart.Object, error)
	lists int
	watch func(from persimmoncart.Version) (persimmoncart.WatchEvent, error)
}

func (s *scriptStore) List(context.Context, string) ([]persimmoncart.Object, error) {
	s.lists++
	return s.list()
}

func (s *scriptStore) Watch(_ context.Context, _ string, from persimmoncart.Version) (persimmoncart.Watch, error) {
	return &scriptWatch{from: from, store: s}, nil
}

// A scriptWatch is a watch on a scriptStore.
type scriptWatch struct {
	from  persimmoncart.Version
	store *scriptStore
}

func (*scriptWatch) Close() error { return nil }

func (w *scriptWatch) Next(ctx context.Context) (persimmoncart.WatchEvent, error) {
	select {
	case <-ctx.Done():
		return persimmoncart.WatchEvent{}, ctx.Err()
	case <-time.After(100 * time.Millisecond):
		return w.store.watch(w.from)
	}
}

// Guards against a follower that misses changes when the store has dropped its
// history, or that lists again after every failed watch.
func TestFollowerHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		compacted := false
		s := &scriptStore{}
		s.list = func() ([]persimmoncart.Object, error) {
			return []persimmoncart.Object{{Key: "k/a", Version: persimmoncart.Version(10 * s.lists)}}, nil
		}
		s.watch = func(from persimmoncart.Version) (persimmoncart.WatchEvent, error) {
			if !compacted {
				compacted = true
				return persimmoncart.WatchEvent{}, &persimmoncart.UnavailableError{Err: &persimmoncart.HistoryError{From: from}, Operation: "watch"}
			}
			return persimmoncart.WatchEvent{}, &persimmoncart.UnavailableError{Err: errors.New("cut"), Operation: "watch"}
		}
		run(t, s, 5*time.Second, nil)
		assert.Equal(t, s.lists, 2)
	})
}

// Guards against reading every version of a large configuration that changes in
// quick succession: all instances together would fill the link to their region.
func TestFollowerBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			gap    = 330 * time.Millisecond
			length = 20 * time.Second
		)
		start := time.Now()
		large := make([]byte, 200<<10)
		object := func(n int) persimmoncart.Object {
			return persimmoncart.Object{Key: "k/a", Value: large, Version: persimmoncart.Version(n)}
		}
		newest := func() int { return 1 + int(min(time.Since(start), length)/gap) }
		read := 0
		s := &scriptStore{}
		s.list = func() ([]persimmoncart.Object, error) {
			read++
			return []persimmoncart.Object{object(newest())}, nil
		}
		seen := 0
		s.watch = func(from persimmoncart.Version) (persimmoncart.WatchEvent, error) {
			seen = max(seen, int(from))
			if seen < newest() {
				seen++
				read++
				return persimmoncart.WatchEvent{Object: object(seen)}, nil
			}
			return persimmoncart.WatchEvent{Object: persimmoncart.Object{Version: persimmoncart.Version(seen)}}, nil
		}
		f := &forward.Follower{
			Changed: func(persimmoncart.WatchEvent) {}, Listed: func([]persimmoncart.Object) {},
			Logger: zerolog.Nop(), Prefix: "k/", Store: s, Timer: &timer.System{},
		}
		ctx, cancel := context.WithTimeout(t.Context(), length+5*time.Second)
		defer cancel()
		assert.ErrorIs(t, f.Run(ctx), context.DeadlineExceeded)
		assert.Assert(t, read < int(length/gap)/2, "%d reads of %d versions", read, newest())
	})
}

// Guards against calling a store that is down too often, and against not detecting
// that it is reachable again.
func TestFollowerOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		down := time.Now().Add(10 * time.Second)
		s := &scriptStore{}
		s.list = func() ([]persimmoncart.Object, error) {
			if time.Now().Before(down) {
				return nil, &persimmoncart.UnavailableError{Err: errors.New("down"), Operation: "list"}
			}
			return nil, nil
		}
		s.watch = func(from persimmoncart.Version) (persimmoncart.WatchEvent, error) {
			return persimmoncart.WatchEvent{Object: persimmoncart.Object{Version: from}}, nil
		}
		var reached []bool
		run(t, s, 13*time.Second, func(r bool) { reached = append(reached, r) })
		assert.Assert(t, s.lists > 8 && s.lists < 30, "%d", s.lists)
		assert.DeepEqual(t, reached, []bool{false, true})
	})
}

// run runs a follower of the store for the given time.
func run(t *testing.T, s *scriptStore, length time.Duration, reached func(bool)) {
	t.Helper()
	f := &forward.Follower{
		Changed: func(persimmoncart.WatchEvent) {}, Listed: func([]persimmoncart.Object) {},
		Logger: zerolog.Nop(), Prefix: "k/", ReachableChanged: reached, Store: s, Timer: &timer.System{},
	}
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	assert.ErrorIs(t, f.Run(ctx), context.DeadlineExceeded)
}
