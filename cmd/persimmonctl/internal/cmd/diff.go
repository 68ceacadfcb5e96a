package cmd

import (
	"fmt"

	"github.com/persimmoncart/persimmoncart/internal/admin"
)

const diffHelp = `Shows what apply would change, field by field, and checks the whole result.
Nothing is changed.

    persimmonctl diff -f pools.yaml -f routes.yaml

With --check the exit code is 10 if there are differences, for scripts that
watch over a directory of files.`

// A diffCommand compares the content of files with the version in force.
type diffCommand struct {
	app    *app
	Check  bool     `long:"check" description:"exit with code 10 if there are differences"`
	Delete []string `long:"delete" description:"object to delete, as kind/name; repeatable"`
	Files  []string `short:"f" long:"file" description:"YAML file, sheet in CSV, or - for YAML on the standard input; repeatable"`
	Zone   string   `long:"zone" env:"ZONE" description:"time zone of sheets, such as Africa/Tunis; UTC if absent"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	if len(c.Files)+len(c.Delete) == 0 {
		return &settingError{"-f or --delete is needed"}
	}
	files, err := c.app.readFiles(c.Files, c.Zone)
	if err != nil {
		return err
	}
	service, err := c.app.service()
	if err != nil {
		return err
	}
	reply, err := service.Diff(c.app.ctx, admin.ApplyRequest{Delete: c.Delete, Files: files})
	if err != nil {
		return err
	}
	if c.Check && len(reply.Changes) > 0 {
		c.app.code = exitDiffers
	}
	return c.app.show(reply, func(row func(...any)) {
		row(fmt.Sprintf("%d changes against version %d", len(reply.Changes), reply.Version))
		showChanges(row, reply.Changes)
	})
}
