package cmd

import "fmt"

const statusHelp = `Shows the newest version, whether the store answers, and the version in force
on each live instance. Instances that lag are marked; the exit code is 9 if
there are any.

    persimmonctl status`

// A statusCommand is the command that shows the versions in force.
type statusCommand struct {
	app *app
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	s, err := c.app.service()
	if err != nil {
		return err
	}
	r, err := s.Status(c.app.ctx)
	if err != nil {
		return err
	}
	if len(r.Lagging) > 0 {
		c.app.code = exitLagging
	}
	return c.app.show(r, func(row func(...any)) {
		row("version", r.Version)
		row("store", r.Store)
		row("newest sheet", orNone(r.Sheet))
		for _, w := range r.Warnings {
			row("WARNING", w)
		}
		if len(r.Instances) == 0 {
			return
		}
		row("")
		row("INSTANCE", "REGION", "DATA CENTRE", "VERSION", "")
		for _, i := range r.Instances {
			mark := ""
			if i.Version < r.Version {
				mark = fmt.Sprintf("lags by %d", r.Version-i.Version)
			}
			if i.Error != "" {
				mark = "no answer: " + i.Error
			}
			row(i.ID, i.Region, i.DataCentre, i.Version, mark)
		}
	})
}
