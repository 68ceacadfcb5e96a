// Package cmd implements the command line of persimmonload.
package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"github.com/persimmoncart/persimmoncart/internal/command"
)

// errFaultyResponses is the error of a command that received incomplete or wrong
// responses.
var errFaultyResponses = errors.New("not every answer was whole and right")

// A runner is a command of the program.
type runner interface {
	flags.Commander
	run(ctx context.Context, stdout, stderr io.Writer) error
}

// A rootCommand holds the commands of the program.
type rootCommand struct {
	Configure configureCommand `command:"configure" description:"Write the configuration of a deployment to the store"`
	Demo      demoCommand      `command:"demo" description:"Run both deployments with two entry instances in one process and check every answer"`
	Run       runCommand       `command:"run" description:"Send load to entry instances and check every answer"`
}

// Run runs the command that args name until ctx is done and returns the exit code:
// 0 when every response was complete and correct, 1 otherwise, 2 for wrong
// settings.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	program := command.Program{Name: "persimmonload", Root: &rootCommand{}, Stderr: stderr, Stdout: stdout}
	return command.Run(program, args, func(chosen runner) int {
		if err := chosen.run(ctx, stdout, stderr); err != nil {
			_, _ = fmt.Fprintln(stderr, err)
			return command.ExitFailed
		}
		return command.ExitOK
	})
}

// writeJSON writes v to w as one line of JSON.
func writeJSON(w io.Writer, v any) error {
	return json.NewEncoder(w).Encode(v)
}
