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

// Guards against a list that shows changes before its lag or loses fields.
func TestList(t *testing.T) {
	addr := netip.MustParseAddrPort("10.0.0.1:80")
	one := []persimmoncart.ListEntry{{Instance: &persimmoncart.Instance{
		Addr: addr, DataCentre: "sfax-hall1", ID: "e1", Incarnation: 3, Leaving: true, Region: "sfax-coast",
	}}}
	two := append(slices.Clone(one), persimmoncart.ListEntry{Endpoint: &persimmoncart.Endpoint{
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
			check := func(want []persimmoncart.ListEntry) {
				t.Helper()
				got, err := l.List(t.Context())
				assert.NilError(t, err)
				assert.Assert(t, len(got) == len(want) && (len(got) == 0 || reflect.DeepEqual(got, want)), "%+v", got)
			}
			check(nil)
			f.Change(func([]persimmoncart.ListEntry) []persimmoncart.ListEntry { return one })
			check(one)
			f.Change(func([]persimmoncart.ListEntry) []persimmoncart.ListEntry { return two })
			check(one)
			v.Advance(9 * time.Second)
			f.Change(func([]persimmoncart.ListEntry) []persimmoncart.ListEntry { return nil })
			check(one)
			v.Advance(time.Second)
			check(two)
			v.Advance(9 * time.Second)
			check(nil)
			f.SetDown(true)
			_, err := l.List(t.Context())
			unavailable := &persimmoncart.UnavailableError{}
			assert.Assert(t, errors.As(err, &unavailable))
		})
	}
}
