package forward_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
)

// Guards against a stream that loses its first event, or gets an event twice, when it goes
// on at another engine: the first event may have any number, zero too, and the first
// engine may break off before it or right after it.
func TestStreamGoesOnFromAnyEvent(t *testing.T) {
	for _, first := range []int{0, 1, 7} {
		for received := range 3 {
			for _, again := range []bool{false, true} { // the next engine sends all events again
				t.Run(fmt.Sprintf("from %d after %d, again %v", first, received, again), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := newFixture(t)
						f.Upstream.send = func(_ context.Context, n int, call persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
							if n == 0 {
								return streamed(events(first, first+received-1), errReset), nil
							}
							want := persimmoncart.StreamPosition{}
							if received > 0 {
								want = persimmoncart.AfterEvent(uint64(first + received - 1))
							}
							assert.Check(t, call.Position == want, "%q", call.Position)
							if again {
								return streamed(events(first, first+5), io.EOF), nil
							}
							return streamed(events(first+received, first+5), io.EOF), nil
						}
						_, body, err := f.serve(t.Context(), "/long/")
						assert.NilError(t, err)
						assert.Equal(t, body, events(first, first+5))
					})
				})
			}
		}
	}
}

// Guards against an event that is sent twice because it has no identifier from which
// another engine could go on.
func TestStreamEndsAfterEventWithoutID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		text := events(0, 1) + "data: token without number\n\n"
		f.Upstream.send = func(context.Context, int, persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
			return streamed(text, errReset), nil
		}
		_, body, err := f.serve(t.Context(), "/long/")
		assert.Equal(t, refusal(t, err).Code, persimmoncart.RefusalStreamBroken)
		assert.Equal(t, body, text)
		assert.Equal(t, f.Upstream.count("send"), 1)
	})
}

// Guards against a stream that its caller resumes after event 0 and that is taken for a
// new one, which may begin at any version of the software.
func TestCallerResumesAfterEventZero(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.Directory.Put(newEngine("n1", "v2"))
		f.Directory.Put(newEngine("n2", "v2"))
		f.Router.Streams.Begin("first", persimmoncart.StreamOrigin{Pool: llm, Software: "v2"}, time.Now().Add(time.Minute))
		f.Upstream.send = func(_ context.Context, _ int, call persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
			assert.Check(t, call.Endpoint.Software == "v2", "%s goes on at %s", call.Request.ID, call.Endpoint.Software)
			return streamed(events(1, 5), io.EOF), nil
		}
		for n := range 12 {
			r := request("/long/")
			r.ID, r.Position, r.Resumes = persimmoncart.RequestID(fmt.Sprintf("q%d", n)), persimmoncart.AfterEvent(0), "first"
			_, refused := f.send(t.Context(), r)
			assert.Assert(t, refused == nil, "%v", refused)
		}
	})
}
