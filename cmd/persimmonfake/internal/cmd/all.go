package cmd

import (
	"context"

	"github.com/persimmoncart/persimmoncart/internal/fakes"
	"github.com/persimmoncart/persimmoncart/internal/flagtype"
)

// An allCommand runs a whole deployment.
type allCommand struct {
	flagtype.Command
	Addr       flagtype.Address `long:"addr" env:"PERSIMMONFAKE_ADDR" default:"127.0.0.1:7100" description:"Address of the store; weight store, instance list, summary of counters and records, and endpoints take the ports after it"`
	Deployment string           `long:"deployment" env:"PERSIMMONFAKE_DEPLOYMENT" default:"dar-jaouz" choice:"dar-jaouz" choice:"peachthread" description:"Deployment at today's sizes"`
}

// run implements runner.
func (a *allCommand) run(ctx context.Context, env environment) error {
	d, err := fakes.DeploymentByName(a.Deployment)
	if err != nil {
		return err
	}
	p := &fakes.Platform{Addr: a.Addr.AddrPort, Deployment: d, Log: env.log, Timer: env.timer}
	if err := p.Listen(ctx); err != nil {
		return err
	}
	return p.Run(ctx)
}
