package forward_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
)

// sendWhole responds to a generation with a complete stream.
func sendWhole(context.Context, int, persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
	return streamed(events(1, 5), io.EOF), nil
}

// Guards against prefilling a prompt before a decode engine is reserved, and
// against a decode that does not use the reservation and the exported KV cache.
func TestGenerateOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.Upstream.send = sendWhole
		status, body, err := f.serve(t.Context(), "/draft/")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, events(1, 5))
		f.assertOps(t, "hold", "prefill", "send")
		reserve, prefill, send := f.Upstream.calls[0], f.Upstream.calls[1], f.Upstream.calls[2]
		assert.Equal(t, reserve.Endpoint, send.Endpoint)
		assert.Equal(t, send.Call.Reservation, "hold-"+string(send.Endpoint))
		assert.Equal(t, send.Call.Cache.Addr, prefill.Call.Endpoint.Addr)
	})
}

// Guards against prefilling prompts in vain during an overload: while no decode
// engine has capacity, nothing is prefilled, and the request is refused as not run
// once it can no longer be in time.
func TestGenerateNoCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.Upstream.reserve = func(int) error { return refused() }
		started := time.Now()
		_, _, err := f.serve(t.Context(), "/draft/")
		r := refusal(t, err)
		assert.Equal(t, r.Code, persimmoncart.RefusalCapacity)
		assert.Equal(t, r.Outcome, persimmoncart.OutcomeNotRun)
		assert.Assert(t, r.RetryAfter > 0)
		assert.Equal(t, f.Upstream.count("prefill"), 0)
		assert.Assert(t, time.Since(started) < 900*time.Millisecond, "refused after %s, beyond the latency target", time.Since(started))
		// A busy loop of reservations would load the full engines further.
		assert.Assert(t, f.Upstream.count("hold") < 120, "%d", f.Upstream.count("hold"))
	})
}

// Guards against requests that wait long after the time from which they are refused,
// because the waiting requests are woken one after the other.
func TestGenerateRefusesAllInTime(t *testing.T) {
	const (
		requests = 40
		within   = 800 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.Upstream.reserve = func(int) error { return refused() }
		var waiting sync.WaitGroup
		for range requests {
			waiting.Go(func() {
				began := time.Now()
				_, _, err := f.serve(t.Context(), "/draft/")
				assert.Check(t, refusal(t, err).Outcome == persimmoncart.OutcomeNotRun)
				assert.Check(t, time.Since(began) <= within, "refused after %s", time.Since(began))
			})
		}
		waiting.Wait()
	})
}

// Guards against a request that keeps waiting after a decode engine has become
// free.
func TestGenerateWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.Upstream.send = sendWhole
		f.Upstream.reserve = func(n int) error {
			if n < 6 {
				return refused()
			}
			return nil
		}
		started := time.Now()
		status, _, err := f.serve(t.Context(), "/draft/")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Assert(t, time.Since(started) < time.Second)
	})
}

// Guards against memory of an engine that stays reserved or occupied after the end
// of its request, for each way in which a generation can end.
func TestGenerateReleases(t *testing.T) {
	for _, c := range []struct {
		name string
		path string
		send func(context.Context, int, persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error)
		want map[string]int // number of calls by operation
	}{
		{
			name: "decode refused, then taken elsewhere", path: "/draft/",
			send: func(ctx context.Context, n int, call persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
				if n == 0 {
					return nil, refused()
				}
				return sendWhole(ctx, n, call)
			},
			want: map[string]int{"prefill": 1, "release-hold": 1}, // the second engine fetches the same cache
		},
		{
			name: "decode refused twice, then taken elsewhere", path: "/long/",
			send: func(ctx context.Context, n int, call persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
				if n < 2 {
					return nil, refused()
				}
				return sendWhole(ctx, n, call)
			},
			want: map[string]int{"prefill": 2, "release": 2, "release-hold": 3},
		},
		{
			name: "decode refused twice, then read by the third", path: "/draft/",
			send: func(ctx context.Context, n int, call persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
				if n < 2 {
					return nil, refused()
				}
				return sendWhole(ctx, n, call)
			},
			want: map[string]int{"prefill": 1, "release": 1, "release-hold": 2},
		},
		{
			name: "decode broke before its answer", path: "/draft/",
			send: func(context.Context, int, persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
				return nil, errReset
			},
			want: map[string]int{"prefill": 1, "release": 1, "release-hold": 1},
		},
		{name: "whole", path: "/draft/", send: sendWhole, want: map[string]int{"prefill": 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.Upstream.send = c.send
				_, _, _ = f.serve(t.Context(), c.path)
				synctest.Wait()
				for _, op := range []string{"prefill", "release", "release-hold"} {
					assert.Equal(t, f.Upstream.count(op), c.want[op], op)
				}
			})
		})
	}
}

// Guards against sending a generation again on a route that forbids it, after a
// decode that may have started.
func TestGenerateRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.Upstream.send = func(context.Context, int, persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
			return nil, errReset
		}
		_, _, err := f.serve(t.Context(), "/draft/")
		assert.Equal(t, refusal(t, err).Outcome, persimmoncart.OutcomeUnknown)
		assert.Equal(t, f.Upstream.count("send"), 1)
	})
}

// Guards against a refusal as not run although an earlier send of the same request
// may have run: a stream that may resume is sent again and then finds no decode
// engine with capacity.
func TestGenerateRefusalAfterRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.Upstream.reserve = func(n int) error {
			if n > 0 {
				return refused()
			}
			return nil
		}
		f.Upstream.send = func(context.Context, int, persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
			return nil, errReset
		}
		_, _, err := f.serve(t.Context(), "/long/")
		r := refusal(t, err)
		assert.Equal(t, r.Code, persimmoncart.RefusalCapacity)
		assert.Equal(t, r.Outcome, persimmoncart.OutcomeUnknown)
	})
}

// Guards against exceeding the shared retry budget under a load that once did:
// there are too few prefill engines for a burst, every prefill fails, and both the
// second prefill and the decode after it count as further arrivals.
func TestGenerateBudgetCountsFailedPrefills(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.Upstream.send = sendWhole
		f.Upstream.prefill = func(int) error { return errReset }
		const requests = 100
		for range requests {
			_, _, _ = f.serve(t.Context(), "/draft/")
		}
		arrivals := f.Upstream.count("prefill") + f.Upstream.count("send")
		extra := arrivals - requests
		allowed := int(0.2*requests) + 2
		assert.Assert(t, extra <= allowed, "%d arrivals beyond the first, %d allowed", extra, allowed)
	})
}

// Guards against more attempts than the route allows: every prefill after the first
// that an engine may have accepted is an attempt.
func TestGeneratePrefillsLimited(t *testing.T) {
	for _, c := range []struct {
		name     string
		path     string
		prefill  func(n int) error
		refused  int // sends to decode engines that are refused after the cache has expired
		prefills int
	}{
		{name: "one attempt, no response", path: "/draft/", prefill: failFirst(errReset), prefills: 1},
		{name: "one attempt, refused", path: "/draft/", prefill: failFirst(refused()), prefills: 2},
		{name: "one attempt, cache expired", path: "/draft/", refused: 1, prefills: 1},
		{name: "two attempts, no response", path: "/long/", prefill: failFirst(errReset), prefills: 2},
		{name: "two attempts, cache expired", path: "/long/", refused: 1, prefills: 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.Upstream.prefill = c.prefill
				f.Upstream.send = func(ctx context.Context, n int, call persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
					if n < c.refused {
						time.Sleep(400 * time.Millisecond)
						return nil, refused()
					}
					return sendWhole(ctx, n, call)
				}
				_, body, err := f.serve(t.Context(), c.path)
				assert.NilError(t, err)
				assert.Equal(t, body, events(1, 5))
				assert.Equal(t, f.Upstream.count("prefill"), c.prefills)
			})
		})
	}
}

// failFirst returns a function that fails the first call of an operation.
func failFirst(err error) func(n int) error {
	return func(n int) error {
		if n == 0 {
			return err
		}
		return nil
	}
}

// Guards against refusing a request because its prefill failed: the decode engine
// reads the prompt itself.
func TestGenerateWithoutPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.Upstream.send = sendWhole
		f.Upstream.prefill = func(int) error { return refused() }
		status, body, err := f.serve(t.Context(), "/draft/")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, strings.Count(body, "token"), 5)
		last := f.Upstream.calls[len(f.Upstream.calls)-1]
		assert.Equal(t, last.Op, "send")
		assert.Assert(t, last.Call.Cache == nil)
	})
}

// Guards against spending the retry budget on engines that were replaced: after a
// crash another process has the address, reserves memory and then refuses each
// request, at every instance for itself.
func TestGenerateEngineReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		replaced := func(id persimmoncart.EndpointID) error {
			if id == "d1" || id == "p1" {
				return &persimmoncart.EndpointReplacedError{Want: id}
			}
			return nil
		}
		crashed := true
		f.Upstream.reserve = func(int) error {
			if crashed {
				return errReset
			}
			return nil
		}
		_, _, err := f.serve(t.Context(), "/draft/") // fails at both decode engines
		assert.Equal(t, refusal(t, err).Outcome, persimmoncart.OutcomeNotRun)
		crashed, f.Upstream.identify = false, replaced
		before := f.Upstream.count("identify")
		f.Upstream.send = func(ctx context.Context, n int, call persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
			if err := replaced(call.Endpoint.ID); err != nil {
				return nil, err
			}
			return sendWhole(ctx, n, call)
		}
		for range 20 {
			_, _, err := f.serve(t.Context(), "/draft/")
			assert.NilError(t, err)
		}
		assert.Equal(t, f.Upstream.count("send"), 20)
		assert.Assert(t, f.Upstream.count("identify")-before <= 2, "%d", f.Upstream.count("identify")-before)
	})
}

// Guards against a prompt that is sent to a process which has taken the address of a
// prefill engine, in a pool whose engines make no reservations.
func TestGeneratePrefillEngineReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		unreserved := table(2)
		unreserved.Pools[llm].Engine.MaxReservation = 0
		f.Directory.SetTable(unreserved)
		for _, e := range f.Directory.Engines()[llm] {
			if e.ID == "p2" {
				f.Directory.DropReplaced(&e) // p1 is the only prefill engine
			}
		}
		f.Upstream.send = sendWhole
		f.Upstream.prefill = func(int) error { return errReset }
		f.Upstream.identify = func(persimmoncart.EndpointID) error { return errReset }
		_, _, err := f.serve(t.Context(), "/draft/") // the prefill fails
		assert.NilError(t, err)
		time.Sleep(time.Second)
		synctest.Wait() // the crash checks have ended
		f.Upstream.prefill = nil
		f.Upstream.identify = func(id persimmoncart.EndpointID) error { return &persimmoncart.EndpointReplacedError{Want: id} }
		before := f.Upstream.count("prefill")
		_, _, err = f.serve(t.Context(), "/draft/")
		assert.NilError(t, err)
		assert.Equal(t, f.Upstream.count("prefill"), before)
	})
}

// Guards against a queue at the prefill engines that uses up the latency target:
// the decode engines read the remaining prompts of a burst.
func TestGenerateLongPrefillQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.Upstream.send = sendWhole
		f.Upstream.prefill = func(int) error {
			time.Sleep(300 * time.Millisecond)
			return nil
		}
		done := make(chan error)
		const burst = 14
		for range burst {
			go func() {
				_, _, err := f.serve(t.Context(), "/draft/")
				done <- err
			}()
		}
		for range burst {
			assert.NilError(t, <-done)
		}
		assert.Assert(t, f.Upstream.count("prefill") < burst)
		assert.Equal(t, f.Upstream.count("send"), burst)
	})
}

// Guards against losing, repeating or joining events when an engine breaks off,
// and against ending such a stream as complete.
func TestStreamBreaks(t *testing.T) {
	for _, c := range []struct {
		name string
		path string
		cut  string // what the first engine sends before it breaks off
		next string // what the second engine sends
		want string
		ok   bool
	}{
		{name: "resumes", path: "/long/", cut: events(1, 3), next: events(4, 6), want: events(1, 6), ok: true},
		{name: "cut inside an event", path: "/long/", cut: events(1, 3) + "id: 4\nda", next: events(4, 6), want: events(1, 6), ok: true},
		{name: "second repeats events", path: "/long/", cut: events(1, 3), next: events(2, 6), want: events(1, 6), ok: true},
		{name: "may not resume", path: "/draft/", cut: events(1, 3), next: events(4, 6), want: events(1, 3)},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.Upstream.send = func(_ context.Context, n int, call persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
					if n == 0 {
						return streamed(c.cut, errReset), nil
					}
					assert.Equal(t, call.Position, persimmoncart.AfterEvent(3))
					return streamed(c.next, io.EOF), nil
				}
				_, body, err := f.serve(t.Context(), c.path)
				assert.Equal(t, body, c.want)
				assert.Equal(t, err == nil, c.ok, fmt.Sprint(err))
			})
		})
	}
}

// Guards against running a stream on more engines than its route allows: every
// engine breaks off after some events, and a resumed stream was not counted as a
// run.
func TestStreamRunsLimited(t *testing.T) {
	for _, c := range []struct {
		name    string
		refused int // resumptions that are refused before one is accepted
		sends   int
	}{
		{name: "each engine breaks off", sends: 2},
		{name: "a refused resumption is no run", refused: 1, sends: 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.Upstream.send = func(_ context.Context, n int, call persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
					if n > 0 && n <= c.refused {
						return nil, refused()
					}
					first := nextEvent(&call)
					return streamed(events(first, first+2), errReset), nil
				}
				_, body, err := f.serve(t.Context(), "/long/")
				assert.Equal(t, refusal(t, err).Outcome, persimmoncart.OutcomeUnknown)
				assert.Equal(t, body, events(1, 6))
				assert.Equal(t, f.Upstream.count("send"), c.sends)
			})
		})
	}
}

// Guards against a stream that waits forever for an engine that stopped sending,
// one that is resumed elsewhere while its events arrive, and one that is resumed
// elsewhere because its caller reads slowly.
func TestStreamSilent(t *testing.T) {
	for _, c := range []struct {
		name   string
		pause  time.Duration // of the engine before each of two events; then it sends nothing
		reads  time.Duration // pause of the caller before each read
		within time.Duration // limit from the last event to the send to the other engine
		sends  int
	}{
		{name: "silent", within: 1400 * time.Millisecond, sends: 2},
		{name: "slow events", pause: 1100 * time.Millisecond, within: 1400 * time.Millisecond, sends: 2},
		{name: "slow caller", reads: 5 * time.Second, sends: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				var resumed time.Time
				silent := make(chan time.Time, 1)
				f.Upstream.send = func(_ context.Context, n int, _ persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
					if n > 0 {
						resumed = time.Now()
						return streamed(events(3, 4), io.EOF), nil
					}
					response := streamed("", nil)
					body, engine := io.Pipe()
					response.Body = body
					go func() {
						for id := range 2 {
							time.Sleep(c.pause)
							_, _ = io.WriteString(engine, events(id+1, id+1))
						}
						silent <- time.Now()
						if c.sends == 1 {
							_, _ = io.WriteString(engine, events(3, 4))
							_ = engine.Close()
						}
					}()
					return response, nil
				}
				f.readPause = c.reads
				_, body, err := f.serve(t.Context(), "/long/")
				assert.NilError(t, err)
				assert.Equal(t, body, events(1, 4))
				assert.Equal(t, f.Upstream.count("send"), c.sends)
				if c.sends > 1 {
					waited := resumed.Sub(<-silent)
					assert.Assert(t, waited <= c.within, "%s", waited)
				}
			})
		})
	}
}

// Guards against a stream that ends within an event and looks complete.
func TestStreamTruncated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.Upstream.send = func(context.Context, int, persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
			return streamed(events(1, 2)+"id: 3\nda", io.EOF), nil
		}
		_, body, err := f.serve(t.Context(), "/draft/")
		assert.Equal(t, refusal(t, err).Code, persimmoncart.RefusalStreamBroken)
		assert.Equal(t, body, events(1, 2))
	})
}
