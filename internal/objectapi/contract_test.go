package objectapi_test

import (
	"bytes"
	"context"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/objectapi"
	"github.com/persimmoncart/persimmoncart/internal/timer"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

// A testStore is a store under test and the parts that it consists of.
type testStore struct {
	faulty *objectapi.Faulty
	memory *objectapi.Memory
	server *httptest.Server // nil if the store is called directly
	store  persimmoncart.Store
}

// newTestStore returns a Faulty in front of a Memory that keeps history events. If
// served, it is called over loopback HTTP.
func newTestStore(t *testing.T, served bool, history int) *testStore {
	t.Helper()
	clock := &timer.System{}
	s := &testStore{memory: &objectapi.Memory{History: history, Timer: clock}}
	s.faulty = &objectapi.Faulty{Store: s.memory, Timer: clock}
	s.store = s.faulty
	if !served {
		return s
	}
	s.server = httptest.NewServer((&objectapi.Handler{Store: s.faulty, Timer: clock}).Handler())
	t.Cleanup(s.server.Close)
	s.store = &objectapi.Client{
		Addr:  netip.MustParseAddrPort(s.server.Listener.Addr().String()),
		HTTP:  transport.NewClient(nil),
		Timer: clock,
	}
	return s
}

// forEach runs f on a fake in memory and on a fake behind Handler and Client.
func forEach(t *testing.T, f func(t *testing.T, s *testStore)) {
	for name, served := range map[string]bool{"http": true, "memory": false} {
		t.Run(name, func(t *testing.T) { f(t, newTestStore(t, served, 4)) })
	}
}

// Guards against a conditional write that ignores its condition. Two instances could
// then hold the same claim or lease.
func TestConditionalWrites(t *testing.T) {
	forEach(t, func(t *testing.T, s *testStore) {
		ctx := t.Context()
		first, err := s.store.Create(ctx, "claims/a b/%2F?", []byte("1"))
		assert.NilError(t, err)
		conflict := &persimmoncart.ConflictError{}
		_, err = s.store.Create(ctx, "claims/a b/%2F?", []byte("2"))
		assert.Assert(t, errors.As(err, &conflict))
		assert.DeepEqual(t, *conflict, persimmoncart.ConflictError{Have: first, Key: "claims/a b/%2F?"})
		second, err := s.store.Update(ctx, "claims/a b/%2F?", []byte("2"), first)
		assert.NilError(t, err)
		assert.Assert(t, second > first)
		_, err = s.store.Update(ctx, "claims/a b/%2F?", []byte("3"), first)
		assert.Assert(t, errors.As(err, &conflict))
		assert.DeepEqual(t, *conflict, persimmoncart.ConflictError{Have: second, Key: "claims/a b/%2F?", Want: first})
		_, err = s.store.Update(ctx, "missing", nil, first)
		assert.Assert(t, errors.As(err, &conflict))
		assert.Equal(t, conflict.Have, persimmoncart.Version(0))
		o, err := s.store.Get(ctx, "claims/a b/%2F?")
		assert.NilError(t, err)
		assert.DeepEqual(t, o, persimmoncart.Object{Key: "claims/a b/%2F?", Value: []byte("2"), Version: second})
		err = s.store.Delete(ctx, o.Key, first)
		assert.Assert(t, errors.As(err, &conflict))
		assert.NilError(t, s.store.Delete(ctx, o.Key, second))
		missing := &persimmoncart.NotFoundError{}
		_, err = s.store.Get(ctx, o.Key)
		assert.Assert(t, errors.As(err, &missing))
		large := &persimmoncart.TooLargeError{}
		_, err = s.store.Create(ctx, "large", bytes.Repeat([]byte("x"), persimmoncart.MaxValueBytes+1))
		assert.Assert(t, errors.As(err, &large))
		_, err = s.store.Create(ctx, "full", bytes.Repeat([]byte("x"), persimmoncart.MaxValueBytes))
		assert.NilError(t, err)
	})
}

// Guards against a list or a watch that omits, repeats or reorders changes.
func TestListAndWatch(t *testing.T) {
	forEach(t, func(t *testing.T, s *testStore) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		a, err := s.store.Create(ctx, "config/b", []byte("1"))
		assert.NilError(t, err)
		_, err = s.store.Create(ctx, "other", nil)
		assert.NilError(t, err)
		b, err := s.store.Create(ctx, "config/a", []byte("2"))
		assert.NilError(t, err)
		list, err := s.store.List(ctx, "config/")
		assert.NilError(t, err)
		assert.Equal(t, len(list), 2)
		assert.Equal(t, list[0].Key, "config/a")
		w, err := s.store.Watch(ctx, "config/", a)
		assert.NilError(t, err)
		e, err := w.Next(ctx)
		assert.NilError(t, err)
		assert.Equal(t, e.Object.Version, b)
		assert.Equal(t, s.memory.Counters().Watches, uint64(1))
		assert.NilError(t, s.store.Delete(ctx, "config/a", b))
		e, err = w.Next(ctx)
		assert.NilError(t, err)
		assert.Assert(t, e.Deleted)
		assert.Equal(t, e.Object.Key, "config/a")
		short, stop := context.WithTimeout(ctx, time.Millisecond)
		defer stop()
		_, err = w.Next(short)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		s.faulty.SetDown(true)
		unavailable := &persimmoncart.UnavailableError{}
		_, err = w.Next(ctx)
		assert.Assert(t, errors.As(err, &unavailable))
		assert.NilError(t, w.Close())
		assert.NilError(t, w.Close())
	})
}

// Guards against a watch that omits events that are no longer kept without
// returning an error.
func TestWatchHistory(t *testing.T) {
	forEach(t, func(t *testing.T, s *testStore) {
		version, err := s.store.Create(t.Context(), "k", nil)
		assert.NilError(t, err)
		first := version
		for range 8 {
			version, err = s.store.Update(t.Context(), "k", nil, version)
			assert.NilError(t, err)
		}
		history := &persimmoncart.HistoryError{}
		_, err = s.store.Watch(t.Context(), "k", first)
		assert.Assert(t, errors.As(err, &history), "%v", err)
		w, err := s.store.Watch(t.Context(), "k", history.Oldest)
		assert.NilError(t, err)
		assert.NilError(t, w.Close())
	})
}

// Guards against an *UnavailableError for a write that took effect, and against an
// *AmbiguousError for one that cannot have, which would delay calls without need.
func TestWriteErrors(t *testing.T) {
	cases := []struct {
		name      string
		ambiguous bool
		written   bool
		fail      func(ctx context.Context, s *testStore) context.Context
	}{
		{"answer lost", true, true, func(ctx context.Context, s *testStore) context.Context {
			s.faulty.LoseResponses(1)
			return ctx
		}},
		{"request lost", true, false, func(ctx context.Context, s *testStore) context.Context {
			s.faulty.DropRequests(1)
			return ctx
		}},
		{"outage", false, false, func(ctx context.Context, s *testStore) context.Context {
			s.faulty.SetDown(true)
			return ctx
		}},
		{"cancelled before", false, false, func(ctx context.Context, _ *testStore) context.Context {
			ctx, cancel := context.WithCancel(ctx)
			cancel()
			return ctx
		}},
		{"caller gives up", true, false, func(ctx context.Context, s *testStore) context.Context {
			ctx, cancel := context.WithCancel(ctx)
			s.faulty.Decide = func(objectapi.CallKind, string) objectapi.Fault {
				cancel() // once the write has arrived
				return objectapi.Fault{Delay: time.Hour}
			}
			return ctx
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			forEach(t, func(t *testing.T, s *testStore) {
				_, err := s.store.Create(c.fail(t.Context(), s), "k", []byte("v"))
				ambiguous, unavailable := &persimmoncart.AmbiguousError{}, &persimmoncart.UnavailableError{}
				assert.Equal(t, errors.As(err, &ambiguous), c.ambiguous, "%v", err)
				assert.Equal(t, errors.As(err, &unavailable), !c.ambiguous, "%v", err)
				_, err = s.memory.Get(t.Context(), "k")
				assert.Equal(t, err == nil, c.written)
			})
		})
	}
}

// Guards against an *AmbiguousError for a refused connection.
func TestServerGone(t *testing.T) {
	s := newTestStore(t, true, 0)
	version, err := s.store.Create(t.Context(), "k", nil)
	assert.NilError(t, err)
	s.server.Close()
	// A write on an idle connection that is closed by the server is ambiguous.
	s.store.(*objectapi.Client).HTTP.CloseIdleConnections()
	unavailable := &persimmoncart.UnavailableError{}
	_, err = s.store.Create(t.Context(), "k2", nil)
	assert.Assert(t, errors.As(err, &unavailable), "%v", err)
	_, err = s.store.Update(t.Context(), "k", nil, version)
	assert.Assert(t, errors.As(err, &unavailable), "%v", err)
}

// Guards against rate limits that differ from the platform's.
func TestRateLimits(t *testing.T) {
	v := timer.NewVirtual(time.Unix(0, 0))
	m := &objectapi.Memory{ReadRate: objectapi.DefaultReadRate, Timer: v, WriteRate: objectapi.DefaultWriteRate}
	version, err := m.Create(t.Context(), "k", nil)
	assert.NilError(t, err)
	for range 10_000 {
		if next, err := m.Update(t.Context(), "k", nil, version); err == nil {
			version = next
		}
		v.Advance(100 * time.Microsecond)
	}
	done := m.Counters().Writes - m.Counters().Limited
	assert.Assert(t, done >= 400 && done <= 441, "%d writes in a second", done)
	unavailable := &persimmoncart.UnavailableError{}
	_, err = m.Update(t.Context(), "k", nil, version)
	assert.Assert(t, err == nil || errors.As(err, &unavailable) && unavailable.RetryAfter > 0)
}
