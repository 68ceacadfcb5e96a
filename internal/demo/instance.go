package demo

import (
	"context"
	"net"
	"net/netip"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/application"
	"github.com/persimmoncart/persimmoncart/internal/claim"
	"github.com/persimmoncart/persimmoncart/internal/config"
	"github.com/persimmoncart/persimmoncart/internal/control"
	"github.com/persimmoncart/persimmoncart/internal/engine"
	"github.com/persimmoncart/persimmoncart/internal/entry"
	"github.com/persimmoncart/persimmoncart/internal/metrics"
	"github.com/persimmoncart/persimmoncart/internal/objectapi"
	"github.com/persimmoncart/persimmoncart/internal/places"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

// An instance is one entry instance with an open listener.
type instance struct {
	*entry.Instance
	addr netip.AddrPort
}

// newInstance returns an instance that takes its configuration from the store.
//
// It owns the replicas of its region. Instances of one demo are in different
// regions, so that they need no agreement on who owns which replica.
func newInstance(ctx context.Context, self persimmoncart.Instance, store netip.AddrPort, log zerolog.Logger, timer persimmoncart.Timer) (*instance, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", self.Addr.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s", self.ID)
	}
	self.Addr = l.Addr().(*net.TCPAddr).AddrPort()
	client := transport.NewClient(nil)
	alone := &entry.Alone{Instance: self}
	i := &entry.Instance{
		Applications: &application.Clients{HTTP: client},
		Engines:      &engine.Clients{HTTP: client},
		Listener:     l,
		Logger:       log,
		Members:      alone,
		Metrics:      metrics.New(),
		Self:         self,
		Store:        &objectapi.Client{Addr: store, HTTP: client, Timer: timer},
		Timer:        timer,
	}
	claims := &claim.Claims{Logger: log, Registerer: i.Metrics.Registry, Self: self.Tag(), Store: i.Store, Timer: timer}
	d := &config.Distributor{
		Archive:    &config.Archive{Store: i.Store},
		Log:        log,
		Members:    alone,
		Registerer: i.Metrics.Registry,
		Timer:      timer,
	}
	p := &places.Places{Configuration: d, Self: self, Timer: timer}
	owner := &entry.SoleOwner{Configuration: d, Region: self.Region, Usables: p}
	i.Balancer, i.Claims, i.Configuration, i.Places, i.Ready = p, claims, d, p, d.Ready
	i.Services = []control.Service{
		{Name: "claims", Run: claims.Run},
		{Name: "configuration", Run: d.Run},
		{Name: "owner", Run: owner.Run},
		{Name: "places", Run: p.Run},
	}
	return &instance{Instance: i, addr: self.Addr}, nil
}
