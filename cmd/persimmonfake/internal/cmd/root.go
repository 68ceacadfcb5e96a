// Package cmd implements the command line of persimmonfake.
package cmd

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/command"
	"github.com/persimmoncart/persimmoncart/internal/fakes"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// A runner is a command of the program.
type runner interface {
	flags.Commander
	// run serves until ctx is done.
	run(ctx context.Context, env environment) error
}

// An environment holds the dependencies of the commands.
type environment struct {
	log   zerolog.Logger
	timer persimmoncart.Timer
}

// serve serves handler at addr until ctx is done. The name appears in the log.
func (e environment) serve(ctx context.Context, name string, addr netip.AddrPort, handler http.Handler) error {
	return (&fakes.Server{Addr: addr, Handler: handler, Log: e.log, Name: name}).Run(ctx)
}

// A rootCommand holds the commands and the settings that they share.
type rootCommand struct {
	All         allCommand         `command:"all" description:"Run a whole deployment in one process"`
	Application applicationCommand `command:"application" description:"Run an application endpoint"`
	Engine      engineCommand      `command:"engine" description:"Run a model engine"`
	LogLevel    string             `long:"log-level" env:"PERSIMMONFAKE_LOG_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"Lowest level that is logged"`
	List        listCommand        `command:"list" description:"Run an instance list"`
	Store       storeCommand       `command:"store" description:"Run an object API"`
	Weights     weightsCommand     `command:"weights" description:"Run a weight store"`
}

// Run runs the command that args name until ctx is done and returns the exit code:
// 0 after a clean stop, 1 after a failure, 2 for wrong settings.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := &rootCommand{}
	program := command.Program{Name: "persimmonfake", Root: root, Stderr: stderr, Stdout: stdout}
	return command.Run(program, args, func(chosen runner) int {
		level, err := zerolog.ParseLevel(root.LogLevel)
		if err != nil {
			_, _ = fmt.Fprintln(stderr, "invalid log level:", err)
			return command.ExitUsage
		}
		env := environment{
			log:   zerolog.New(zerolog.SyncWriter(stderr)).Level(level).With().Timestamp().Logger(),
			timer: &timer.System{},
		}
		if err := chosen.run(ctx, env); err != nil {
			env.log.Error().Err(err).Msg("failed")
			return command.ExitFailed
		}
		return command.ExitOK
	})
}
