package fakes_test

import (
	"context"
	"net/netip"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/engine"
	"github.com/persimmoncart/persimmoncart/internal/fakes"
	"github.com/persimmoncart/persimmoncart/internal/objectapi"
	"github.com/persimmoncart/persimmoncart/internal/timer"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

// Guards against a deployment with the wrong number of engines, application
// endpoints or instances, and against fakes that cannot be reached.
func TestPlatform(t *testing.T) {
	for name, engines := range map[string]int{fakes.NameDarJaouz: 20, fakes.NamePeachthread: 12} {
		t.Run(name, func(t *testing.T) {
			d, err := fakes.DeploymentByName(name)
			assert.NilError(t, err)
			p := &fakes.Platform{
				Addr: netip.MustParseAddrPort("127.0.0.1:0"), Deployment: d, Log: zerolog.Nop(), Timer: &timer.System{},
			}
			ctx, cancel := context.WithCancel(t.Context())
			assert.NilError(t, p.Listen(ctx))
			done := make(chan error, 1)
			go func() { done <- p.Run(ctx) }()
			assert.Equal(t, len(p.Engines), engines)
			assert.Equal(t, len(p.Applications), 3)
			instances := 0
			for _, c := range d.DataCentres {
				instances += c.EntryInstances
			}
			assert.Equal(t, instances, 8)
			client := transport.NewClient(nil)
			defer client.CloseIdleConnections()
			store := &objectapi.Client{Addr: p.StoreAddr, HTTP: client, Timer: p.Timer}
			_, err = store.Create(ctx, "k", []byte("v"))
			assert.NilError(t, err)
			for _, e := range p.Endpoints {
				if e.Role == persimmoncart.RoleApplication {
					continue
				}
				load, err := (&engine.Clients{HTTP: client}).Engine(e.Addr).Load(ctx)
				assert.NilError(t, err)
				assert.Equal(t, load.Role, e.Role)
				assert.Equal(t, load.FreeBlocks, e.Blocks)
			}
			cancel()
			assert.NilError(t, <-done)
		})
	}
	_, err := fakes.DeploymentByName("x")
	assert.ErrorContains(t, err, `unknown deployment "x"`)
}
