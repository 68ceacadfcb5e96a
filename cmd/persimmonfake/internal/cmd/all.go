package cmd

import (
	"context"

	"github.com/persimmoncart/persimmoncart/internal/flagtype"

	"github.com/persimmoncart/persimmoncart/internal/fakes"
)

// An all runs a whole deployment.
type all struct {
	flagtype.Command
	Addr       flagtype.Address `long:"addr" env:"PERSIMMONFAKE_ADDR" default:"127.0.0.1:7100" description:"Address of the store; weight store, instance list, summary of counters and records, and endpoints take the ports after it"`
	Deployment string           `long:"deployment" env:"PERSIMMONFAKE_DEPLOYMENT" default:"dar-jaouz" choice:"dar-jaouz" choice:"peachthread" description:"Deployment at today's sizes"`
}

// run implements runner.
func (a *all) run(ctx context.Context, c common) error {
	d, err := fakes.DeploymentByName(a.Deployment)
	if err != nil {
		return err
	}
	p := &fakes.Platform{Addr: a.Addr.AddrPort, Deployment: d, Log: c.log, Timer: c.timer}
	if err := p.Listen(ctx); err != nil {
		return err
	}
	return p.Run(ctx)
}
