package forward_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
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
// while the store cannot be written, streams begin at the version that needs no record.
func TestStreamBeginsRecordedWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.readPause = 30 * time.Millisecond // engines that take no time are always preferred
		time.Sleep(time.Second)
		f.Store.SetDown(true)
		f.setSoftware("v2", "d2")
		sent := make(map[persimmoncart.EndpointID]int)
		f.Upstream.send = func(ctx context.Context, n int, call persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
			sent[call.Endpoint.ID]++
			return sendWhole(ctx, n, call)
		}
		for range 20 {
			for range 10 {
				f.Directory.RecordRequest(llm) // leaves a retry in the budget
			}
			_, body, err := f.serve(t.Context(), "/long/")
			assert.NilError(t, err)
			assert.Equal(t, body, events(1, 5))
		}
		assert.Assert(t, sent["d1"] >= 20, "%v", sent)
		assert.Assert(t, sent["d2"] <= 1, "%v", sent)
		f.Store.SetDown(false)
		time.Sleep(2 * time.Second)
		for range 20 {
			_, _, err := f.serve(t.Context(), "/long/")
			assert.NilError(t, err)
		}
		assert.Assert(t, sent["d2"] > 2, "%v", sent)
	})
}
