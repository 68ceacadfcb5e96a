package forward_test

import (
	"context"
	"io"
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
)

// Load: requests of accounts with and without a priority, and of callers without an
// account. Guards against a request that goes before a more urgent one because its
// account states no priority, and against a number that makes all others urgent.
func TestPriority(t *testing.T) {
	key := persimmoncart.KeyHash{1}
	for _, c := range []struct {
		name           string
		account, route int // priorities
		accounts       bool
		want           int
	}{
		{name: "no accounts", account: -1, route: 7, want: 7},
		{name: "urgent route of an ordinary account", account: 1, route: 0, accounts: true, want: 3},
		{name: "account before route", account: 0, route: 2, accounts: true, want: 2},
		{name: "priority of the route in place of the account's", account: -1, route: 1, accounts: true, want: 4},
		{name: "least urgent", account: math.MaxInt, route: math.MaxInt, accounts: true, want: 29},
	} {
		f := newFixture(t)
		routes := table(2)
		for _, r := range routes.Routes["h"] {
			r.Priority = c.route
		}
		if c.accounts {
			routes.Accounts = map[persimmoncart.KeyHash]*persimmoncart.Account{key: {Name: "a", Priority: c.account}}
		}
		f.Directory.SetTable(routes)
		f.Upstream.send = func(_ context.Context, _ int, call persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
			assert.Equal(t, call.Priority, c.want, c.name)
			return streamed(events(1, 1), nil), nil
		}
		r := request("/draft/")
		r.Key = key
		_, err := f.Router.Serve(t.Context(), r)
		assert.NilError(t, err)
	}
}

// Load: no room at any engine for a caller with an hour left. Guards against a caller that
// is asked to return when the overload has long been over.
func TestRetryAfterIsBounded(t *testing.T) {
	for _, pressure := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixtureWith(t, directoryOptions{pressure: pressure})
			f.Upstream.reserve = func(int) error { return refused() }
			r := request("/draft/")
			r.Deadline = r.Arrived.Add(time.Hour)
			_, err := f.Router.Serve(t.Context(), r)
			retry := refusal(t, err).RetryAfter
			assert.Assert(t, retry >= 2*time.Second && retry <= 5*time.Second, "%v", retry)
		})
	}
}

// Load: room for one generation while an urgent one waits and another one arrives. Guards
// against an arrival that overtakes those that go before it, as they ask only now and then.
func TestArrivalDoesNotOvertake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixtureWith(t, directoryOptions{pressure: true})
		routes := table(2)
		routes.Routes["h"][0].Priority = 1 // /draft/
		f.Directory.SetTable(routes)
		var room atomic.Int32
		f.Upstream.reserve = func(int) error {
			time.Sleep(20 * time.Millisecond)
			if room.Add(-1) < 0 {
				return refused()
			}
			return nil
		}
		f.Upstream.send = func(_ context.Context, _ int, call persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
			assert.Check(t, call.Priority == 0, "an arrival of priority %d", call.Priority)
			return streamed(events(1, 2), io.EOF), nil
		}
		var callers sync.WaitGroup
		callers.Go(func() {
			_, refusal := f.send(t.Context(), request("/long/"))
			assert.Check(t, refusal == nil)
		})
		time.Sleep(150 * time.Millisecond) // the first engine counts as full for 140 ms, and the next poll is at 160 ms
		room.Store(1)
		_, refusal := f.send(t.Context(), request("/draft/"))
		assert.Check(t, refusal != nil)
		callers.Wait()
	})
}
