package instancelist_test

import (
	"net/http/httptest"
	"net/netip"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/instancelist"
	"github.com/persimmoncart/persimmoncart/internal/timer"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

// Guards against a list that shows changes before its lag has passed, and against
// fields that are lost in transmission.
func TestList(t *testing.T) {
	addr := netip.MustParseAddrPort("10.0.0.1:80")
	first := []persimmoncart.ListEntry{{Instance: &persimmoncart.Instance{
		Addr: addr, DataCentre: "sfax-hall1", ID: "e1", Incarnation: 3, Leaving: true, Region: "sfax-coast",
	}}}
	second := append(slices.Clone(first), persimmoncart.ListEntry{Endpoint: &persimmoncart.Endpoint{
		Addr: addr, Blocks: 160, Capabilities: persimmoncart.Capabilities{Authenticates: true, Fences: true, Deduplicates: true},
		DataCentre: "sfax-hall1", ID: "d1", Leaving: true, Models: []persimmoncart.ModelName{"hull-llm"},
		Pool: "hull-llm", Region: "sfax-coast", Role: persimmoncart.RoleDecode, Slots: 20,
	}})
	for name, served := range map[string]bool{"http": true, "memory": false} {
		t.Run(name, func(t *testing.T) {
			v := timer.NewVirtual(time.Unix(0, 0))
			f := &instancelist.Fake{Lag: 10 * time.Second, Timer: v}
			var l persimmoncart.InstanceList = f
			if served {
				server := httptest.NewServer((&instancelist.Handler{List: f}).Handler())
				defer server.Close()
				l = &instancelist.Client{Addr: netip.MustParseAddrPort(server.Listener.Addr().String()), HTTP: transport.NewClient(nil)}
			}
			assertList := func(want []persimmoncart.ListEntry) {
				t.Helper()
				got, err := l.List(t.Context())
				assert.NilError(t, err)
				assert.Assert(t, len(got) == len(want) && (len(got) == 0 || reflect.DeepEqual(got, want)), "%+v", got)
			}
			assertList(nil)
			f.Change(func([]persimmoncart.ListEntry) []persimmoncart.ListEntry { return first })
			assertList(first)
			f.Change(func([]persimmoncart.ListEntry) []persimmoncart.ListEntry { return second })
			assertList(first)
			v.Advance(9 * time.Second)
			f.Change(func([]persimmoncart.ListEntry) []persimmoncart.ListEntry { return nil })
			assertList(first)
			v.Advance(time.Second)
			assertList(second)
			v.Advance(9 * time.Second)
			assertList(nil)
			f.SetDown(true)
			_, err := l.List(t.Context())
			unavailable := &persimmoncart.UnavailableError{}
			assert.Assert(t, errors.As(err, &unavailable))
		})
	}
}
