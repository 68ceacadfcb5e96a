package application_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/application"
	"github.com/persimmoncart/persimmoncart/internal/timer"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

// forEach runs the contract test f on a fake, directly and through Client and
// Handler.
func forEach(t *testing.T, f func(ctx context.Context, t *testing.T, a persimmoncart.Application, fake *application.Fake)) {
	for name, overHTTP := range map[string]bool{"http": true, "memory": false} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			fake := application.NewFake(netip.MustParseAddrPort("127.0.0.1:1"), &application.Records{}, &timer.System{})
			fake.CallTime = 0
			if !overHTTP {
				f(ctx, t, fake, fake)
				return
			}
			server := httptest.NewServer((&application.Handler{Application: fake, Fake: fake}).Handler())
			t.Cleanup(server.Close)
			fake.Addr = netip.MustParseAddrPort(server.Listener.Addr().String())
			clients := &application.Clients{HTTP: transport.NewClient(nil)}
			t.Cleanup(clients.HTTP.CloseIdleConnections)
			f(ctx, t, clients.Application(fake.Addr), fake)
		})
	}
}

// booking returns a call that a fake records under key.
func booking(key string) persimmoncart.CallRequest {
	return persimmoncart.CallRequest{
		Attempt: persimmoncart.AttemptID{Request: "r"}, Body: []byte(`{"lot":7}`), Key: key, Method: http.MethodPost, Path: "/book?x=1",
	}
}

// Guards against responses that are truncated, altered or swapped.
func TestCalls(t *testing.T) {
	forEach(t, func(ctx context.Context, t *testing.T, a persimmoncart.Application, fake *application.Fake) {
		r, err := a.Call(ctx, booking("k"))
		assert.NilError(t, err)
		assert.Equal(t, r.Status, http.StatusOK)
		assert.Equal(t, r.Attempt, booking("k").Attempt)
		assert.Equal(t, r.Header.Get("Content-Type"), "application/json")
		assert.DeepEqual(t, r.Body, application.FakeReceipt("k", booking("k").Body))
		assert.Equal(t, fake.Records.All()["k"].Runs, 1)
		r, err = a.Call(ctx, persimmoncart.CallRequest{
			Attempt: persimmoncart.AttemptID{Request: "r"}, Method: http.MethodGet, Path: "/price/a%2Fb?day=4",
		})
		assert.NilError(t, err)
		assert.DeepEqual(t, r.Body, application.FakeLookup("/price/a%2Fb?day=4"))
		load, err := a.Load(ctx)
		assert.NilError(t, err)
		assert.Equal(t, load.Role, persimmoncart.RoleApplication)
	})
}

// Guards against a call that ran and is reported as not run, and against a
// refusal before the call ran that is reported as an unknown outcome.
func TestOutcomes(t *testing.T) {
	anyError := func(error) bool { return true }
	refused := func(err error) bool {
		e := &persimmoncart.EndpointRefusedError{}
		return errors.As(err, &e)
	}
	cases := []struct {
		name    string
		fault   application.Faults
		matches func(error) bool
		notRun  bool // the error proves that the call has not run
		runs    int
	}{
		{"crossed", application.Faults{Cross: true}, func(err error) bool {
			e := &persimmoncart.AttemptMismatchError{}
			return errors.As(err, &e)
		}, false, 1},
		{"down", application.Faults{Down: true}, anyError, true, 0},
		{"fails after acting", application.Faults{Fail: true}, anyError, false, 1},
		{"garbage", application.Faults{Garbage: true}, func(err error) bool {
			e := &application.HeaderError{}
			return errors.As(err, &e)
		}, false, 1},
		{"leaving", application.Faults{Leaving: true}, refused, true, 0},
		{"refuses", application.Faults{Refuse: true}, refused, true, 0},
		{"truncated", application.Faults{Truncate: true}, func(err error) bool {
			return errors.Is(err, io.ErrUnexpectedEOF)
		}, false, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			forEach(t, func(ctx context.Context, t *testing.T, a persimmoncart.Application, fake *application.Fake) {
				fake.Change(func(f *application.Faults) { *f = c.fault })
				_, err := a.Call(ctx, booking("k"))
				assert.Assert(t, c.matches(err), "%v", err)
				unavailable := &persimmoncart.UnavailableError{}
				assert.Equal(t, refused(err) || errors.As(err, &unavailable), c.notRun, "%v", err)
				assert.Equal(t, fake.Records.All()["k"].Runs, c.runs)
			})
		})
	}
}

// Guards against a call that continues after its context has ended, also on an
// endpoint whose earlier caller has given up.
func TestCallerGivesUp(t *testing.T) {
	forEach(t, func(ctx context.Context, t *testing.T, a persimmoncart.Application, fake *application.Fake) {
		fake.CallTime = time.Hour
		short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		_, err := a.Call(short, booking("k"))
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		_, err = a.Call(short, booking("k2"))
		assert.ErrorIs(t, err, context.DeadlineExceeded)
	})
}

// Guards against a call that runs after one of a later claim, because its
// claimant was paused.
func TestFences(t *testing.T) {
	forEach(t, func(ctx context.Context, t *testing.T, a persimmoncart.Application, fake *application.Fake) {
		fake.Fences, fake.Deduplicates = true, true
		for _, fence := range []uint64{2, 1, 3} {
			r := booking("k")
			r.Fence = fence
			_, err := a.Call(ctx, r)
			assert.Equal(t, err != nil, fence == 1)
		}
		assert.DeepEqual(t, fake.Records.All()["k"].Runs, 1)
	})
}

// Guards against a refused connection that is reported as an unknown outcome.
func TestEndpointGone(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	clients := &application.Clients{HTTP: transport.NewClient(nil)}
	a := clients.Application(netip.MustParseAddrPort(server.Listener.Addr().String()))
	_, err := a.Call(t.Context(), booking("k"))
	unavailable := &persimmoncart.UnavailableError{}
	assert.Assert(t, errors.As(err, &unavailable), "%v", err)
}
