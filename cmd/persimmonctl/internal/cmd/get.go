package cmd

import "fmt"

const getHelp = `Shows objects of the version in force: all, those of a kind, or one.

    persimmonctl get
    persimmonctl get pools
    persimmonctl get route drafts -o json

Kinds: account, drain, endpoint, link, override, pin, pool, route, sheet.`

// A getCommand is the command that shows objects.
type getCommand struct {
	app       *app
	Arguments struct {
		Kind string `positional-arg-name:"KIND" description:"kind of objects, in singular or plural"`
		Name string `positional-arg-name:"NAME" description:"name of one object"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	s, err := c.app.service()
	if err != nil {
		return err
	}
	r, err := s.Objects(c.app.ctx, c.Arguments.Kind, c.Arguments.Name)
	if err != nil {
		return err
	}
	return c.app.show(r, func(row func(...any)) {
		row(fmt.Sprintf("version %d", r.Version))
		for _, o := range r.Objects {
			row(o.Key, string(o.Value))
		}
	})
}
