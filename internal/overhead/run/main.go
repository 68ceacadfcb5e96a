// Command run measures the overhead of an entry instance. It is started by make
// bench-overhead.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/persimmoncart/persimmoncart/internal/overhead"
)

// options are the command-line flags.
type options struct {
	Rounds int           `default:"2" description:"rounds with and without the instance" env:"ROUNDS" long:"rounds"`
	Seed   uint64        `default:"1" description:"seed of the request times" env:"SEED" long:"seed"`
	Window time.Duration `default:"10s" description:"measured part of each round" env:"WINDOW" long:"window"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2) // the parser has printed the error
	}
	b := &overhead.Bench{Out: os.Stdout, Rounds: o.Rounds, Seed: o.Seed, Window: o.Window}
	if err := b.Run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
