// Package cmd holds the commands of persimmonfake.
package cmd

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/fakes"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// A runner is one command.
type runner interface {
	run(ctx context.Context, env environment) error
}

// An environment holds what all commands share.
type environment struct {
	log   zerolog.Logger
	timer persimmoncart.Timer
}

// serve serves handler at addr until ctx is done.
func (e environment) serve(ctx context.Context, name string, addr netip.AddrPort, handler http.Handler) error {
	return (&fakes.Server{Addr: addr, Handler: handler, Log: e.log, Name: name}).Run(ctx)
}

// A rootCommand holds the settings of all commands.
type rootCommand struct {
	All         allCommand         `command:"all" description:"Run a whole deployment in one process"`
	Application applicationCommand `command:"application" description:"Run an application endpoint"`
	Engine      engineCommand      `command:"engine" description:"Run a model engine"`
	Level       string             `long:"log-level" env:"PERSIMMONFAKE_LOG_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"Lowest level that is logged"`
	List        listCommand        `command:"list" description:"Run an instance list"`
	Store       storeCommand       `command:"store" description:"Run an object API"`
	Weights     weightsCommand     `command:"weights" description:"Run a weight store"`
}

// Run runs the command line until ctx is done and returns the exit code: 0 after
// a clean stop, 1 after a failure, 2 for wrong settings.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	r := &rootCommand{}
	parser := flags.NewNamedParser("persimmonfake", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Settings", "", r); err != nil {
		return fail(stderr, err)
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
	level, err := zerolog.ParseLevel(r.Level)
	if err != nil || chosen == nil {
		_, _ = fmt.Fprintln(stderr, "no command to run:", err)
		return exitUsage
	}
	env := environment{
		log:   zerolog.New(zerolog.SyncWriter(stderr)).Level(level).With().Timestamp().Logger(),
		timer: &timer.System{},
	}
	if err := chosen.run(ctx, env); err != nil {
		env.log.Error().Err(err).Msg("failed")
		return exitFailed
	}
	return exitOK
}

// fail reports a fault of the program itself.
func fail(stderr io.Writer, err error) int {
	_, _ = fmt.Fprintln(stderr, err)
	return exitFailed
}
