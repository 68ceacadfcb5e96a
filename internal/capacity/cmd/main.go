// Command cmd measures the control plane of simulated fleets; see make capacity.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/persimmoncart/persimmoncart/internal/capacity"
)

// options holds the flags of the command.
type options struct {
	Event []string `long:"event" description:"name of an event to run; may be repeated, default all"`
	Nodes []int    `long:"nodes" description:"number of nodes of a fleet to measure; may be repeated, default all sizes"`
	Plots string   `long:"plots" env:"PLOTS" description:"directory to draw plots into"`
	Seed  uint64   `long:"seed" env:"SEED" default:"1" description:"seed of the run"`
}

// main parses the flags and runs the measurements.
func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var f *flags.Error
		if errors.As(err, &f) && f.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	c := &capacity.Harness{Events: o.Event, Output: os.Stdout, Plots: o.Plots, Seed: o.Seed, Sizes: o.Nodes}
	if err := c.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
