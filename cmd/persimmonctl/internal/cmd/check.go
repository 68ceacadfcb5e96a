package cmd

import (
	"cmp"
	"fmt"

	"github.com/persimmoncart/persimmoncart/internal/admin"
	"github.com/persimmoncart/persimmoncart/internal/config"
	"github.com/persimmoncart/persimmoncart/platform"
)

const checkHelp = `Checks a version of the users' platform's configuration before it is sent. The
file has the platform's field names, in JSON or YAML. Nothing is sent, and no
instance or store is needed. With --against it also shows what differs from the
version in force. Keys of accounts are only counted.

    persimmonctl check routes.yaml
    persimmonctl check routes.yaml --against in-force.yaml --json

The exit code is 0 without errors, 1 with errors and 2 if the check could not run.`

// A checkCommand checks a version of the platform's configuration.
type checkCommand struct {
	Against   string `long:"against" description:"file with the version in force"`
	Arguments struct {
		File string `positional-arg-name:"FILE" description:"JSON or YAML file, or - for the standard input"`
	} `positional-args:"yes" required:"yes"`
	JSON bool `long:"json" description:"write JSON, like --output=json"`
	app  *app
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	if c.JSON {
		c.app.options.Output = outputJSON
	}
	names := []string{c.Arguments.File}
	if c.Against != "" {
		names = append(names, c.Against)
	}
	files, err := c.app.readFiles(names, "")
	if err != nil {
		return err
	}
	var against []byte
	if len(files) > 1 {
		against = []byte(files[1].Data)
	}
	result, err := platform.CheckConfiguration([]byte(files[0].Data), against)
	if err != nil {
		return &settingError{err.Error()}
	}
	errorCount, warningCount := result.Count(platform.SeverityError), result.Count(platform.SeverityWarning)
	if errorCount > 0 {
		c.app.code = exitFailed
	}
	return c.app.show(result, func(row func(...any)) {
		for _, f := range result.Findings {
			row(f.Severity, cmp.Or(f.Field, "-"), cmp.Or(f.Name, "-"), f.Message)
		}
		version := "unreadable version"
		if result.Version > 0 {
			version = fmt.Sprintf("version %d", result.Version)
		}
		row(fmt.Sprintf("%s: %d errors, %d warnings", version, errorCount, warningCount))
		if result.Against > 0 {
			row(fmt.Sprintf("%d changes against version %d", len(result.Changes), result.Against))
			showChanges(row, adminChanges(result.Changes))
		}
	})
}

// adminChanges returns changes in the form that showChanges takes.
func adminChanges(changes []platform.ConfigurationChange) []admin.Change {
	out := make([]admin.Change, len(changes))
	for n, change := range changes {
		out[n] = admin.Change{Action: change.Action, Key: change.Key}
		for _, f := range change.Fields {
			out[n].Fields = append(out[n].Fields, config.FieldChange{After: f.After, Before: f.Before, Field: f.Field})
		}
	}
	return out
}
