// Package command runs the command of a program that its arguments name.
package command

import (
	"fmt"
	"io"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	ExitOK     = 0
	ExitFailed = 1 // the command failed
	ExitUsage  = 2 // the arguments or settings are invalid
)

var _ flags.Commander = Command{}

// A Command is embedded in commands that the program runs itself once the flags
// are parsed, with a context. go-flags requires commands to implement
// flags.Commander.
type Command struct{}

// Execute implements flags.Commander. It does nothing.
func (Command) Execute([]string) error { return nil }

// A Program is a program with commands.
type Program struct {
	Name   string
	Root   any // pointer to a struct whose fields are the settings and commands
	Stderr io.Writer
	Stdout io.Writer
}

// Run parses args into the program's root and passes the command that args name to
// run. It returns the exit code: that of run, ExitOK after a request for help,
// ExitUsage for wrong settings.
func Run[C flags.Commander](p Program, args []string, run func(C) int) int {
	parser := flags.NewNamedParser(p.Name, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Settings", "", p.Root); err != nil {
		_, _ = fmt.Fprintln(p.Stderr, err)
		return ExitFailed
	}
	var chosen C
	parser.CommandHandler = func(command flags.Commander, _ []string) error {
		var ok bool
		if chosen, ok = command.(C); !ok {
			return errors.Errorf("%T cannot run", command)
		}
		return nil
	}
	if _, err := parser.ParseArgs(args); err != nil {
		if e := (*flags.Error)(nil); errors.As(err, &e) && e.Type == flags.ErrHelp {
			// There is nowhere to report a failed write to stdout.
			_, _ = fmt.Fprintln(p.Stdout, e.Message)
			return ExitOK
		}
		_, _ = fmt.Fprintln(p.Stderr, err)
		return ExitUsage
	}
	return run(chosen)
}
