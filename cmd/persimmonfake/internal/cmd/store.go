package cmd

import (
	"context"
	"time"

	"github.com/persimmoncart/persimmoncart/internal/command"
	"github.com/persimmoncart/persimmoncart/internal/flagtype"
	"github.com/persimmoncart/persimmoncart/internal/objectapi"
)

// A storeCommand runs a fake store, which serves the object API from memory.
type storeCommand struct {
	command.Command
	Addr      flagtype.Address `long:"addr" env:"PERSIMMONFAKE_ADDR" default:"127.0.0.1:7100" description:"Address to listen on"`
	Delay     time.Duration    `long:"delay" env:"PERSIMMONFAKE_DELAY" default:"2ms" description:"Time of each call"`
	History   int              `long:"history" env:"PERSIMMONFAKE_HISTORY" default:"16384" description:"Changes that a watch can resume from"`
	ReadRate  float64          `long:"reads" env:"PERSIMMONFAKE_READS" default:"2000" description:"Reads a second; zero is unlimited"`
	WriteRate float64          `long:"writes" env:"PERSIMMONFAKE_WRITES" default:"400" description:"Writes a second; zero is unlimited"`
}

// run implements runner.
func (s *storeCommand) run(ctx context.Context, env environment) error {
	memory := &objectapi.Memory{History: s.History, ReadRate: s.ReadRate, Timer: env.timer, WriteRate: s.WriteRate}
	faulty := &objectapi.Faulty{Store: memory, Timer: env.timer}
	faulty.SetDelay(s.Delay)
	handler := &objectapi.Handler{Faulty: faulty, Memory: memory, Store: faulty, Timer: env.timer}
	return env.serve(ctx, "store", s.Addr.AddrPort, handler.Handler())
}
