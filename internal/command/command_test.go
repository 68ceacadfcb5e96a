package command_test

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/internal/command"
)

// A greetCommand is the command of the test's program.
type greetCommand struct {
	command.Command
	Name string `long:"name" required:"true"`
}

// Guards against a program that ends with the exit code of a success without having
// run a command, and against help in the error output.
func TestRun(t *testing.T) {
	const runCode = 7
	for _, c := range []struct {
		name   string
		args   []string
		code   int
		stderr string
		stdout string
	}{
		{name: "command", args: []string{"greet", "--name=ann"}, code: runCode},
		{name: "help", args: []string{"--help"}, code: command.ExitOK, stdout: "greet"},
		{name: "no command", code: command.ExitUsage, stderr: "command"},
		{name: "required flag missing", args: []string{"greet"}, code: command.ExitUsage, stderr: "name"},
		{name: "unknown command", args: []string{"leave"}, code: command.ExitUsage, stderr: "leave"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			root := &struct {
				Greet greetCommand `command:"greet"`
			}{}
			program := command.Program{Name: "program", Root: root, Stderr: &stderr, Stdout: &stdout}
			code := command.Run(program, c.args, func(g *greetCommand) int {
				assert.Equal(t, g.Name, "ann")
				return runCode
			})
			assert.Equal(t, code, c.code)
			assert.Assert(t, strings.Contains(stdout.String(), c.stdout), stdout.String())
			assert.Assert(t, strings.Contains(stderr.String(), c.stderr), stderr.String())
			assert.Equal(t, stdout.Len() > 0, c.stdout != "")
			assert.Equal(t, stderr.Len() > 0, c.stderr != "")
		})
	}
}
