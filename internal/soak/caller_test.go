package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/internal/pipe"
	"github.com/persimmoncart/persimmoncart/internal/timer"
	"github.com/persimmoncart/persimmoncart/platform/standin"
)

// Guards against a violation that is the replica's: a caller that sends its request to a
// replica itself, with neither a proxy nor an instance between, must not be told that
// the endless body which the replica sends is another one's. The bytes of another
// request are still found.
func TestCallerOfEndlessBody(t *testing.T) {
	for _, c := range []struct {
		fault      standin.Fault
		other      bool // the response is that to another request
		violations int
	}{
		{fault: standin.FaultNone},
		{fault: standin.FaultTruncate},
		{fault: standin.FaultEndlessBody},
		{fault: standin.FaultEndlessBody, other: true, violations: 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			replica := &standin.Endpoint{
				Fault: func(string) standin.Fault { return c.fault }, ID: "i-1", Slots: 1, Timer: &timer.System{},
			}
			listener := pipe.NewListener()
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if c.other {
					other, err := (&standin.Request{Addr: netip.MustParseAddrPort("127.0.0.1:1"), ID: "other", Timeout: time.Second}).HTTP(r.Context())
					assert.Check(t, err == nil, "%v", err)
					r.Header = other.Header
				}
				replica.ServeHTTP(w, r)
			}), ReadHeaderTimeout: time.Minute}
			go func() { _ = server.Serve(listener) }()
			transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) { return listener.Dial(ctx, "", "") }}
			recorder := &recorder{started: time.Now()}
			caller := &caller{
				accounts: &accountLog{recorder: recorder}, key: keyNorth,
				client: &http.Client{Transport: transport}, process: &process{Instance: standin.Instance{Callers: netip.MustParseAddrPort("127.0.0.1:1")}},
				random: rand.New(rand.NewPCG(1, 1)), recorder: recorder, requestCrashes: &crashLog{}, sentEndless: replica.SentEndless,
			}
			caller.send(t.Context(), "q1", kindNonIdempotent)
			assert.Check(t, len(recorder.outcomes) == 1)
			assert.Check(t, len(recorder.violations) == c.violations, "%v: %v", c.fault, recorder.violations)
			time.Sleep(time.Minute) // handlers end
			transport.CloseIdleConnections()
			assert.NilError(t, server.Close())
		})
	}
}
