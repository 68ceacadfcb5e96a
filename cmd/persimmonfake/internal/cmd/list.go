package cmd

import (
	"context"
	"time"

	"github.com/persimmoncart/persimmoncart/internal/command"
	"github.com/persimmoncart/persimmoncart/internal/flagtype"
	"github.com/persimmoncart/persimmoncart/internal/instancelist"
)

// A listCommand runs a fake instance list. It starts empty; PUT /-/list replaces
// its content.
type listCommand struct {
	command.Command
	Addr flagtype.Address `long:"addr" env:"PERSIMMONFAKE_ADDR" default:"127.0.0.1:7102" description:"Address to listen on"`
	Lag  time.Duration    `long:"lag" env:"PERSIMMONFAKE_LAG" default:"20s" description:"Delay of changes"`
}

// run implements runner.
func (l *listCommand) run(ctx context.Context, env environment) error {
	fake := &instancelist.Fake{Lag: l.Lag, Timer: env.timer}
	return env.serve(ctx, "list", l.Addr.AddrPort, (&instancelist.Handler{Fake: fake, List: fake}).Handler())
}
