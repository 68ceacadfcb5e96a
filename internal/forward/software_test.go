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
	"github.com/persimmoncart/persimmoncart/internal/objectapi"
)

// setSoftware replaces the processes of engines by ones with another version of the
// software.
func (f *fixture) setSoftware(version persimmoncart.SoftwareVersion, ids ...string) {
	for _, e := range f.Directory.Engines()[llm] {
		for _, id := range ids {
			if string(e.ID) == id {
				e.Software = version
				f.Directory.Put(e)
			}
		}
	}
}

// Guards against KV cache of one version of the software that an engine with another
// one fetches, without checking that it fits.
func TestPrefillAtSoftwareOfDecode(t *testing.T) {
	for _, c := range []struct {
		name     string
		v2       []string // engines with the second version
		refuse   int      // decodes that are refused
		prefills int
	}{
		{name: "prefill engine of the other version", v2: []string{"d1", "d2"}, prefills: 0},
		{name: "one prefill engine of each", v2: []string{"p1", "d1"}, prefills: 1},
		{name: "refused, then at the other version", v2: []string{"p1", "d1"}, refuse: 1, prefills: 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.setSoftware("v2", c.v2...)
				software := make(map[persimmoncart.EndpointID]persimmoncart.SoftwareVersion)
				sources := make(map[string]persimmoncart.SoftwareVersion)
				for _, e := range f.Directory.Engines()[llm] {
					software[e.ID] = e.Software
					sources[e.Addr.String()] = e.Software
				}
				f.Upstream.send = func(ctx context.Context, n int, call persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
					if call.Cache != nil {
						assert.Check(t, sources[call.Cache.Addr.String()] == software[call.Endpoint.ID], "%s fetches from %s", call.Endpoint.ID, call.Cache.Addr)
					}
					if n < c.refuse {
						return nil, refused()
					}
					return sendWhole(ctx, n, call)
				}
				_, body, err := f.serve(t.Context(), "/long/")
				assert.NilError(t, err)
				assert.Equal(t, body, events(1, 5))
				assert.Equal(t, f.Upstream.count("prefill"), c.prefills)
			})
		})
	}
}

// Guards against a stream whose origin nobody can tell after its instance was killed:
// while the store cannot be written, or is slow, streams begin at the version that needs
// no record.
func TestStreamBeginsRecordedWithoutStore(t *testing.T) {
	for name, fail := range map[string]func(*objectapi.Faulty, bool){
		"down": func(s *objectapi.Faulty, failing bool) { s.SetDown(failing) },
		"slow": func(s *objectapi.Faulty, failing bool) {
			s.SetDelay(0)
			if failing {
				s.SetDelay(10 * time.Second)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.readPause = 30 * time.Millisecond // engines that take no time are always preferred
				time.Sleep(time.Second)
				fail(f.Store, true)
				f.setSoftware("v2", "d2")
				whole := map[persimmoncart.EndpointID]string{"d1": events(1, 5), "d2": events(1, 6)}
				f.Upstream.send = func(_ context.Context, _ int, call persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
					return streamed(whole[call.Endpoint.ID], io.EOF), nil
				}
				serve := func() string {
					for range 10 {
						f.Directory.RecordRequest(llm) // leaves a retry in the budget
					}
					_, body, err := f.serve(t.Context(), "/long/")
					assert.NilError(t, err)
					return body
				}
				for range 20 {
					assert.Equal(t, serve(), whole["d1"])
				}
				fail(f.Store, false)
				time.Sleep(20 * time.Second)
				atSecond := 0
				for range 20 {
					if serve() == whole["d2"] {
						atSecond++
					}
				}
				assert.Assert(t, atSecond > 2, "%d of 20 streams", atSecond)
			})
		})
	}
}

// Guards against a stream on a split route that continues in another pool, since the pool
// of an attempt follows from its identifier, and against one that continues where its
// route no longer leads.
func TestResumedStreamKeepsPool(t *testing.T) {
	const other = persimmoncart.PoolName("llm2")
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		split := table(2)
		split.Pools[other] = &persimmoncart.ForwardPool{Engine: split.Pools[llm].Engine, Name: other}
		for _, r := range split.Routes["h"] {
			if r.Prefix == "/long/" {
				r.Pools = append(r.Pools, persimmoncart.WeightedPool{Pool: other, Weight: 1})
			}
		}
		f.Directory.SetTable(split)
		e := newEngine("o1", "v1")
		e.Pool = other
		f.Directory.Put(e)
		f.Upstream.send = func(_ context.Context, _ int, call persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
			assert.Check(t, call.Endpoint.Pool == other, "%s continues in %s", call.Request.ID, call.Endpoint.Pool)
			return streamed(events(2, 5), io.EOF), nil
		}
		f.Router.Streams.Begin("first", persimmoncart.StreamOrigin{Pool: other, Software: "v1"}, time.Now().Add(time.Minute))
		resume := func(n int) *persimmoncart.Refusal {
			r := request("/long/")
			r.ID, r.Position, r.Resumes = persimmoncart.RequestID(fmt.Sprintf("q%d", n)), persimmoncart.AfterEvent(1), "first"
			_, refusal := f.send(t.Context(), r)
			return refusal
		}
		for n := range 8 {
			assert.Assert(t, resume(n) == nil)
		}
		f.Directory.SetTable(table(3))
		refusal := resume(8)
		assert.Assert(t, refusal != nil)
		assert.Equal(t, refusal.Code, persimmoncart.RefusalSoftwareGone)
		assert.Equal(t, refusal.Outcome, persimmoncart.OutcomeNotRun)
	})
}

// Guards against a caller that is told that an engine failed when a run was given up for
// want of its record. The engine with the default version is in another region, so that
// the other one is preferred.
func TestStreamUnrecordedRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		time.Sleep(time.Second)
		once := table(2)
		for _, r := range once.Routes["h"] {
			r.MaxAttempts = 1
		}
		f.Directory.SetTable(once)
		f.Store.SetDelay(10 * time.Second)
		f.setSoftware("v2", "d2")
		for _, e := range f.Directory.Engines()[llm] {
			if e.ID == "d1" {
				e.Region = "r2"
				f.Directory.Put(e)
			}
		}
		f.Upstream.send = sendWhole
		_, refused := f.send(t.Context(), request("/long/"))
		assert.Assert(t, refused != nil)
		assert.Equal(t, refused.Code, persimmoncart.RefusalStoreDown)
		assert.Equal(t, refused.Outcome, persimmoncart.OutcomeUnknown)
	})
}
