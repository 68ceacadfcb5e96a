// Package cmd implements the command line of persimmoncart, the entry instance.
package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
)

// envPrefix is the prefix of all environment variables of the program.
const envPrefix = "PERSIMMONCART"

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1 // the instance could not start or failed while serving
	exitUsage  = 2 // the settings are invalid
)

// Main runs the program and returns its exit code.
func Main(arguments []string, stdout, stderr io.Writer) int {
	var s Settings
	parser := flags.NewNamedParser("persimmoncart", flags.HelpFlag|flags.PassDoubleDash)
	parser.EnvNamespace = envPrefix
	parser.NamespaceDelimiter = "-"
	if _, err := parser.AddGroup("settings", "", &s); err != nil {
		return report(stderr, exitFailed, err)
	}
	var platformSettings PlatformSettings
	if _, err := parser.AddCommand(platformCommand, "serve on the platform", "Serves on the platform, with its settings file.", &platformSettings); err != nil {
		return report(stderr, exitFailed, err)
	}
	parser.SubcommandsOptional = true
	rest, err := parser.ParseArgs(arguments)
	if help := (*flags.Error)(nil); errors.As(err, &help) && help.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(stdout, help.Message)
		return exitOK
	}
	if err != nil {
		return report(stderr, exitUsage, err)
	}
	if len(rest) > 0 {
		return report(stderr, exitUsage, errors.Errorf("unexpected argument %q", rest[0]))
	}
	if parser.Active != nil {
		return mainPlatform(&s, &platformSettings, stdout, stderr)
	}
	parsed, fieldErrors := s.Parse()
	for n := range fieldErrors {
		report(stderr, exitUsage, &fieldErrors[n])
	}
	if len(fieldErrors) > 0 {
		return exitUsage
	}
	if s.Check {
		_, _ = fmt.Fprintln(stdout, "the settings are valid")
		return exitOK
	}
	ctx, stop := signalContext()
	defer stop()
	if err := run(ctx, &s, parsed, stderr); err != nil {
		return report(stderr, exitFailed, err)
	}
	return exitOK
}

// report writes err to w and returns code.
func report(w io.Writer, code int, err error) int {
	_, _ = fmt.Fprintf(w, "persimmoncart: %v\n", err)
	return code
}

// signalContext returns a context that is cancelled by the first SIGINT or
// SIGTERM, and a function that releases it. Later signals are ignored, so that
// they do not abort requests in flight.
func signalContext() (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		for range signals {
			cancel()
		}
	}()
	return ctx, func() {
		signal.Stop(signals)
		close(signals)
		cancel()
	}
}
