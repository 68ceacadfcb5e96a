package weightstore_test

import (
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/timer"
	"github.com/persimmoncart/persimmoncart/internal/transport"
	"github.com/persimmoncart/persimmoncart/internal/weightstore"
)

// Guards against fetch times and rate limits that differ from the weight store's.
// The planner would assume that models load faster than they can.
func TestModels(t *testing.T) {
	for name, served := range map[string]bool{"http": true, "memory": false} {
		t.Run(name, func(t *testing.T) {
			v := timer.NewVirtual(time.Unix(0, 0))
			f := &weightstore.Fake{CallRate: 1, FetchRate: 1e9, Sizes: map[persimmoncart.ModelName]int64{"hull-llm": 4e9}, Timer: v}
			var s persimmoncart.WeightStore = f
			if served {
				server := httptest.NewServer((&weightstore.Handler{Store: f}).Handler())
				defer server.Close()
				s = &weightstore.Client{Addr: netip.MustParseAddrPort(server.Listener.Addr().String()), HTTP: transport.NewClient(nil)}
			}
			models, err := s.Models(t.Context())
			assert.NilError(t, err)
			assert.DeepEqual(t, models, map[persimmoncart.ModelName]persimmoncart.Weights{
				"hull-llm": {FetchTime: 4 * time.Second, Size: 4e9},
			})
			unavailable := &persimmoncart.UnavailableError{}
			_, err = s.Models(t.Context())
			assert.Assert(t, errors.As(err, &unavailable))
			assert.Equal(t, unavailable.RetryAfter, time.Second)
			v.Advance(time.Second)
			_, err = s.Models(t.Context())
			assert.NilError(t, err)
			f.SetDown(true)
			_, err = s.Models(t.Context())
			assert.Assert(t, errors.As(err, &unavailable))
		})
	}
}
