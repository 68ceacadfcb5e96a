package cmd

import "fmt"

const statusHelp = `Shows the newest version, whether the store answers, and the version in force
on each live instance. Instances that lag are marked; the exit code is 9 if
there are any.

    persimmonctl status`

// A statusCommand shows the newest version and the version in force on each
// instance.
type statusCommand struct {
	app *app
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	service, err := c.app.service()
	if err != nil {
		return err
	}
	reply, err := service.Status(c.app.ctx)
	if err != nil {
		return err
	}
	if len(reply.Lagging) > 0 {
		c.app.code = exitLagging
	}
	return c.app.show(reply, func(row func(...any)) {
		row("version", reply.Version)
		row("store", reply.Store)
		row("newest sheet", orNone(reply.Sheet))
		for _, warning := range reply.Warnings {
			row("WARNING", warning)
		}
		if len(reply.Instances) == 0 {
			return
		}
		row("")
		row("INSTANCE", "REGION", "DATA CENTRE", "VERSION", "")
		for _, instance := range reply.Instances {
			note := ""
			if instance.Version < reply.Version {
				note = fmt.Sprintf("lags by %d", reply.Version-instance.Version)
			}
			if instance.Error != "" {
				note = "no answer: " + instance.Error
			}
			row(instance.ID, instance.Region, instance.DataCentre, instance.Version, note)
		}
	})
}
