// Package cmd holds the commands of persimmonload.
package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// errFaultyResponses ends a command whose answers were not all whole and right.
var errFaultyResponses = errors.New("not every answer was whole and right")

// A runner is one command.
type runner interface {
	run(ctx context.Context, stdout, stderr io.Writer) error
}

// A rootCommand holds the commands.
type rootCommand struct {
	Configure configureCommand `command:"configure" description:"Write the configuration of a deployment to the store"`
	Demo      demoCommand      `command:"demo" description:"Run both deployments with two entry instances in one process and check every answer"`
	Run       runCommand       `command:"run" description:"Send load to entry instances and check every answer"`
}

// Run runs the command line until ctx is done and returns the exit code: 0 when
// every answer was whole and right, 1 otherwise, 2 for wrong settings.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	parser := flags.NewNamedParser("persimmonload", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Settings", "", &rootCommand{}); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitFailed
	}
	var chosen runner
	parser.CommandHandler = func(command flags.Commander, _ []string) error {
		chosen, _ = command.(runner)
		return nil
	}
	if _, err := parser.ParseArgs(args); err != nil {
		if e := (*flags.Error)(nil); errors.As(err, &e) && e.Type == flags.ErrHelp {
			// The help text has nowhere else to go if stdout is closed.
			_, _ = fmt.Fprintln(stdout, e.Message)
			return exitOK
		}
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	}
	if err := chosen.run(ctx, stdout, stderr); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return exitOK
}

// writeJSON writes v as one line of JSON.
func writeJSON(w io.Writer, v any) error {
	return json.NewEncoder(w).Encode(v)
}
