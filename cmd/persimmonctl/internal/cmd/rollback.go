package cmd

import (
	"github.com/persimmoncart/persimmoncart/internal/admin"
	"github.com/persimmoncart/persimmoncart/internal/config"
)

const rollbackHelp = `Makes the content of an earlier version the next version. Versions never go
back: after a rollback from 42 to 40, version 43 has the content of 40, and
the history keeps all of them. --only restores single objects.

    persimmonctl rollback 40 --note "drafts refused since 41" --wait 15s
    persimmonctl rollback 40 --only route/drafts`

// A rollbackCommand makes the content of an earlier version the next version.
type rollbackCommand struct {
	changeOptions
	app       *app
	Only      []string `long:"only" description:"object to restore, as kind/name; repeatable; all if absent"`
	Arguments struct {
		Version uint64 `positional-arg-name:"VERSION" description:"version whose content to restore"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *rollbackCommand) Execute([]string) error {
	service, err := c.app.service()
	if err != nil {
		return err
	}
	author, err := c.app.author()
	if err != nil {
		return err
	}
	reply, err := service.Rollback(c.app.ctx, admin.RollbackRequest{
		Author: author, ID: c.ID, Note: c.Note, Only: c.Only, Version: c.Arguments.Version, Wait: config.Duration(c.Wait),
	})
	if err != nil {
		return err
	}
	return c.app.showApplyReply(reply)
}
