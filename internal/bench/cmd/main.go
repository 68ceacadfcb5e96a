// Command cmd runs the simulations of internal/bench and prints their
// measures; see make bench.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/persimmoncart/persimmoncart/internal/bench"
)

// options holds the flags of the command.
type options struct {
	BorrowItems int    `long:"borrow-items" env:"BORROW_ITEMS" description:"most items in one borrow message; 0 is the default"`
	Case        string `long:"case" env:"CASE" description:"case to run; empty runs all"`
	Deployment  string `long:"deployment" env:"DEPLOYMENT" description:"deployment to run; empty runs both"`
	Nodes       int    `long:"nodes" env:"NODES" default:"8" description:"entry instances"`
	Replicas    int    `long:"replicas" env:"REPLICAS" description:"engines; 0 is today's size"`
	Seed        uint64 `long:"seed" env:"SEED" default:"1" description:"seed of the run"`
	Trace       bool   `long:"trace" env:"TRACE" description:"also count the missed requests by reason"`
	Traffic     bool   `long:"traffic" env:"TRAFFIC" description:"also print the control traffic"`
}

// main parses the flags and runs the bench.
func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var f *flags.Error
		if errors.As(err, &f) && f.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	b := &bench.Bench{
		BorrowItems: o.BorrowItems, Case: o.Case, Deployment: o.Deployment, Nodes: o.Nodes,
		Output: os.Stdout, Replicas: o.Replicas, Seed: o.Seed, Trace: o.Trace, Traffic: o.Traffic,
	}
	if err := b.Run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
