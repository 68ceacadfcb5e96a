package cmd

import "fmt"

const getHelp = `Shows objects of the version in force: all, those of a kind, or one.

    persimmonctl get
    persimmonctl get pools
    persimmonctl get route drafts -o json

Kinds: account, drain, endpoint, link, override, pin, pool, route, sheet.`

// A getCommand shows objects of the version in force.
type getCommand struct {
	app       *app
	Arguments struct {
		Kind string `positional-arg-name:"KIND" description:"kind of objects, in singular or plural"`
		Name string `positional-arg-name:"NAME" description:"name of one object"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	service, err := c.app.service()
	if err != nil {
		return err
	}
	reply, err := service.Objects(c.app.ctx, c.Arguments.Kind, c.Arguments.Name)
	if err != nil {
		return err
	}
	return c.app.show(reply, func(row func(...any)) {
		row(fmt.Sprintf("version %d", reply.Version))
		for _, object := range reply.Objects {
			row(object.Key, string(object.Value))
		}
	})
}
