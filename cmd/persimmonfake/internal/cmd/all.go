package cmd

import (
	"context"

	"github.com/persimmoncart/persimmoncart/internal/command"
	"github.com/persimmoncart/persimmoncart/internal/fakes"
	"github.com/persimmoncart/persimmoncart/internal/flagtype"
)

// An allCommand runs the fakes of a whole deployment in one process.
type allCommand struct {
	command.Command
	Addr       flagtype.Address `long:"addr" env:"PERSIMMONFAKE_ADDR" default:"127.0.0.1:7100" description:"Address of the store; weight store, instance list, summary of counters and records, and endpoints take the ports after it"`
	Deployment string           `long:"deployment" env:"PERSIMMONFAKE_DEPLOYMENT" default:"dar-jaouz" choice:"dar-jaouz" choice:"peachthread" description:"Deployment at today's sizes"`
}

// run implements runner.
func (a *allCommand) run(ctx context.Context, env environment) error {
	deployment, err := fakes.DeploymentByName(a.Deployment)
	if err != nil {
		return err
	}
	platform := &fakes.Platform{Addr: a.Addr.AddrPort, Deployment: deployment, Log: env.log, Timer: env.timer}
	if err := platform.Listen(ctx); err != nil {
		return err
	}
	return platform.Run(ctx)
}
