// Command run measures the distribution of configuration; make config-bench
// starts it.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/jessevdk/go-flags"

	"github.com/persimmoncart/persimmoncart/internal/configbench"
)

const gcPercent = 400

// options are the settings of the command.
type options struct {
	Changes int    `default:"200" description:"number of edits, at the plan's rate of 10,000 a day" env:"CHANGES" long:"changes"`
	Nodes   int    `default:"400" description:"number of entry instances" env:"NODES" long:"nodes"`
	Objects int    `default:"3000" description:"number of accounts and endpoints" env:"OBJECTS" long:"objects"`
	Seed    uint64 `default:"1" description:"seed of the run" env:"SEED" long:"seed"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2) // the parser has printed the error
	}
	// The run allocates much and keeps little, so collecting less often is faster.
	debug.SetGCPercent(gcPercent)
	b := &configbench.Bench{Changes: o.Changes, Nodes: o.Nodes, Objects: o.Objects, Out: os.Stdout, Seed: o.Seed}
	if err := b.Run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
