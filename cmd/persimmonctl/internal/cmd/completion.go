package cmd

import (
	"fmt"

	"github.com/go-faster/errors"
)

const completionHelp = `Prints the completion script of a shell.

    source <(persimmonctl completion bash)
    persimmonctl completion zsh > "${fpath[1]}/_persimmonctl"`

// completionScripts holds the completion script of each shell. The scripts call
// persimmonctl with GO_FLAGS_COMPLETION set, which makes go-flags print the
// possible completions.
var completionScripts = map[string]string{
	"bash": `_persimmonctl() {
  local IFS=$'\n'
  COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
}
complete -o default -F _persimmonctl persimmonctl
`,
	"fish": `complete -c persimmonctl -f -a '(GO_FLAGS_COMPLETION=1 persimmonctl (commandline -opc)[2..] (commandline -ct))'
`,
	"zsh": `#compdef persimmonctl
_persimmonctl() {
  local -a words_found
  words_found=(${(f)"$(GO_FLAGS_COMPLETION=1 persimmonctl "${(@)words[2,$CURRENT]}")"})
  compadd -a words_found
}
compdef _persimmonctl persimmonctl
`,
}

// A completionCommand prints the completion script of a shell.
type completionCommand struct {
	app       *app
	Arguments struct {
		Shell string `positional-arg-name:"SHELL" description:"bash, fish or zsh"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *completionCommand) Execute([]string) error {
	script, found := completionScripts[c.Arguments.Shell]
	if !found {
		return &settingError{fmt.Sprintf("no completion for shell %q; want bash, fish or zsh", c.Arguments.Shell)}
	}
	if _, err := fmt.Fprint(c.app.stdout, script); err != nil {
		return errors.Wrap(err, "write output")
	}
	return nil
}
