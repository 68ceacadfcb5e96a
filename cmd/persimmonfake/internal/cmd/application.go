package cmd

import (
	"context"
	"time"

	"github.com/persimmoncart/persimmoncart/internal/application"
	"github.com/persimmoncart/persimmoncart/internal/command"
	"github.com/persimmoncart/persimmoncart/internal/flagtype"
)

// An applicationCommand runs a fake application endpoint.
type applicationCommand struct {
	command.Command
	Addr         flagtype.Address `long:"addr" env:"PERSIMMONFAKE_ADDR" default:"127.0.0.1:7300" description:"Address to listen on"`
	Fences       bool             `long:"fences" env:"PERSIMMONFAKE_FENCES" description:"Refuse calls with an old fencing token"`
	CallTime     time.Duration    `long:"pace" env:"PERSIMMONFAKE_PACE" default:"4ms" description:"Time of one call"`
	Deduplicates bool             `long:"repeats" env:"PERSIMMONFAKE_REPEATS" description:"Run each idempotency key once"`
	Slots        int              `long:"slots" env:"PERSIMMONFAKE_SLOTS" default:"256" description:"Calls that run at the same time"`
}

// run implements runner.
func (a *applicationCommand) run(ctx context.Context, env environment) error {
	fake := application.NewFake(a.Addr.AddrPort, &application.Records{}, env.timer)
	fake.Fences, fake.CallTime, fake.Deduplicates, fake.Slots = a.Fences, a.CallTime, a.Deduplicates, a.Slots
	return env.serve(ctx, "application", a.Addr.AddrPort, (&application.Handler{Application: fake, Fake: fake}).Handler())
}
