// Package cmd implements the command line of persimmonctl, with one file for each
// command.
package cmd

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"github.com/persimmoncart/persimmoncart/internal/admin"
)

// envPrefix is the prefix of all environment variables of the program.
const envPrefix = "PERSIMMONCTL"

// Exit codes. Scripts of operators rely on them, so they must not change.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitInvalid     = 3 // the configuration has faults
	exitConflict    = 4 // another operator changed the same object
	exitUnavailable = 5 // the store or the instance does not answer; nothing was applied
	exitUnknown     = 6 // it is unknown whether the change was applied; repeat with the same --id
	exitNotFound    = 7
	exitRefused     = 8  // the token is unknown or its role is too low
	exitLagging     = 9  // applied, but not yet in force everywhere at the end of --wait
	exitDiffers     = 10 // diff --check found differences
)

const longHelp = `persimmonctl compares, applies, inspects and rolls back the configuration of
a persimmoncart deployment.

It talks to the administration listener of any entry instance (--admin with
--token), or straight to the store (--store) when no instance runs.

  First steps:
    persimmonctl --admin 10.0.0.5:9100 status
    persimmonctl diff -f pools.yaml -f routes.yaml
    persimmonctl apply -f pools.yaml -f routes.yaml --wait 15s
    persimmonctl sheet check monday.csv --zone Africa/Tunis

  Exit codes:
    0 done               4 conflict with another operator   8 refused
    1 failed             5 store or instance down           9 applied, but instances lag
    2 wrong usage        6 unknown whether applied         10 differences (diff --check)
    3 faults in files    7 not found

All settings are also environment variables, such as PERSIMMONCTL_ADMIN.`

// options are the flags that all commands share.
type options struct {
	Admin   string        `long:"admin" env:"ADMIN" description:"address and port of an instance's administration listener"`
	Author  string        `long:"author" env:"AUTHOR" description:"author of changes with --store; with --admin the token names the author"`
	CA      string        `long:"ca" env:"CA" description:"PEM file of the CA of the administration listener or the store; uses TLS"`
	Output  string        `long:"output" short:"o" env:"OUTPUT" default:"table" choice:"table" choice:"json" description:"form of the output"`
	Store   string        `long:"store" env:"STORE" description:"address and port of the store, in place of --admin"`
	Timeout time.Duration `long:"timeout" env:"TIMEOUT" default:"30s" description:"time for the whole command, without --wait"`
	Token   string        `long:"token" env:"TOKEN" description:"operator's token; prefer the environment variable, which other users cannot see"`
}

// An app holds the flags and streams that all commands share.
type app struct {
	code    int             // exit code of a command that ends without an error
	ctx     context.Context // limited by --timeout and --wait
	options options
	stdin   io.Reader
	stderr  io.Writer
	stdout  io.Writer
}

// Main runs the program and returns its exit code.
func Main(arguments []string, stdin io.Reader, stdout, stderr io.Writer) int {
	a := &app{stderr: stderr, stdin: stdin, stdout: stdout}
	parser, err := a.parser()
	if err != nil {
		return a.report(err)
	}
	parser.CommandHandler = func(command flags.Commander, rest []string) error {
		if command == nil {
			return nil
		}
		if len(rest) > 0 {
			return &flags.Error{Message: fmt.Sprintf("unexpected argument %q", rest[0]), Type: flags.ErrUnknown}
		}
		ctx, cancel := context.WithTimeout(context.Background(), a.options.Timeout+waitTime(command))
		defer cancel()
		a.ctx = ctx
		return command.Execute(rest)
	}
	if _, err := parser.ParseArgs(arguments); err != nil {
		return a.report(err)
	}
	return a.code
}

// parser returns the flag parser with all commands.
func (a *app) parser() (*flags.Parser, error) {
	parser := flags.NewNamedParser("persimmonctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.EnvNamespace = envPrefix
	parser.LongDescription = longHelp
	if _, err := parser.AddGroup("settings", "", &a.options); err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	for _, c := range []struct {
		name, short, long string
		data              any
	}{
		{"apply", "make the content of files the next version", applyHelp, &applyCommand{app: a}},
		{"check", "check the platform's configuration before it is sent", checkHelp, &checkCommand{app: a}},
		{"completion", "print the completion script of a shell", completionHelp, &completionCommand{app: a}},
		{"diff", "show what apply would change", diffHelp, &diffCommand{app: a}},
		{"drain", "give endpoints no new work", drainHelp, &drainCommand{app: a}},
		{"explain", "print the life of one request from log lines", explainHelp, &explainCommand{app: a}},
		{"get", "show objects", getHelp, &getCommand{app: a}},
		{"history", "show versions with their authors and changes", historyHelp, &historyCommand{app: a}},
		{"outcome", "show what is known of a call that may not be repeated", outcomeHelp, &outcomeCommand{app: a}},
		{"rollback", "make the content of an earlier version the next version", rollbackHelp, &rollbackCommand{app: a}},
		{"status", "show the version in force on each instance", statusHelp, &statusCommand{app: a}},
	} {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			return nil, errors.Wrap(err, c.name)
		}
	}
	return parser, a.addSheet(parser)
}

// report writes err to stderr, and to stdout as well if the output is JSON, and
// returns its exit code. For a request for help it writes the help to stdout.
func (a *app) report(err error) int {
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(a.stdout, usage.Message)
		return exitOK
	}
	if a.options.Output == outputJSON {
		var e *admin.Error
		if !errors.As(err, &e) {
			e = &admin.Error{Code: "failed", Message: err.Error()}
		}
		_ = a.writeJSON(map[string]any{"error": e}) // a failed write leaves the error on stderr
	}
	_, _ = fmt.Fprintf(a.stderr, "persimmonctl: %v\n", err)
	return exitCode(err)
}

// exitCode returns the exit code of an error.
func exitCode(err error) int {
	var (
		api         *admin.Error
		settings    *settingError
		unreachable *admin.UnreachableError
		usage       *flags.Error
	)
	switch {
	case errors.As(err, &usage), errors.As(err, &settings):
		return exitUsage
	case errors.As(err, &unreachable):
		return exitUnavailable
	case !errors.As(err, &api):
		return exitFailed
	}
	switch api.Code {
	case admin.CodeBadRequest:
		return exitUsage
	case admin.CodeInvalid, admin.CodeTooLarge:
		return exitInvalid
	case admin.CodeConflict:
		return exitConflict
	case admin.CodeStoreDown:
		return exitUnavailable
	case admin.CodeUnsettled:
		return exitUnknown
	case admin.CodeNotFound:
		return exitNotFound
	case admin.CodeForbidden, admin.CodeTokenUnknown:
		return exitRefused
	default:
		return exitFailed
	}
}

// waitTime returns the --wait of a command, or zero if it has none. The time is
// added to the timeout.
func waitTime(command flags.Commander) time.Duration {
	if w, ok := command.(interface{ wait() time.Duration }); ok {
		return w.wait()
	}
	return 0
}

// A settingError reports a wrong or missing setting.
type settingError struct {
	message string
}

// Error implements error.
func (e *settingError) Error() string { return e.message }
