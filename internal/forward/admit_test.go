package forward_test

import (
	"context"
	"math"
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
