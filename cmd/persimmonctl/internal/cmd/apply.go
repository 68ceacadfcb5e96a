package cmd

import (
	"time"

	"github.com/persimmoncart/persimmoncart/internal/admin"
	"github.com/persimmoncart/persimmoncart/internal/config"
)

const applyHelp = `Makes the content of files the next version. Objects that the files do not
name stay as they are; --delete removes objects. The whole result is checked
first, and either all of it comes into force or nothing.

Changes of other operators to other objects are kept. If another operator
changed one of the same objects since --base, nothing is applied and the
message names who it was and what changed (exit code 4).

    persimmonctl get -o json > now.json        # shows the version, say 41
    persimmonctl apply -f routes.yaml --base 41 --wait 15s

A command whose answer was lost can be repeated safely with the same --id.`

// An applyCommand makes the content of files the next version.
type applyCommand struct {
	changeOptions
	app    *app
	Base   uint64   `long:"base" description:"version that the files were made from; a later change of the same objects is then a conflict"`
	Delete []string `long:"delete" description:"object to delete, as kind/name; repeatable"`
	Files  []string `short:"f" long:"file" description:"YAML file, sheet in CSV, or - for YAML on the standard input; repeatable"`
	Zone   string   `long:"zone" env:"ZONE" description:"time zone of sheets, such as Africa/Tunis; UTC if absent"`
}

// changeOptions are the flags of the commands that change the configuration.
type changeOptions struct {
	ID   string        `long:"id" description:"identity of this change; the same for each retry"`
	Note string        `long:"note" description:"reason, kept in the history"`
	Wait time.Duration `long:"wait" description:"wait until the change is in force on all live instances, at most this long"`
}

// wait returns how long the command waits for the change to be in force.
func (c *changeOptions) wait() time.Duration { return c.Wait }

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	if len(c.Files)+len(c.Delete) == 0 {
		return &settingError{"-f or --delete is needed"}
	}
	files, err := c.app.readFiles(c.Files, c.Zone)
	if err != nil {
		return err
	}
	return c.app.submit(admin.ApplyRequest{
		Base: c.Base, Delete: c.Delete, Files: files, ID: c.ID, Note: c.Note, Wait: config.Duration(c.Wait),
	})
}

// submit applies a change and shows the reply.
func (a *app) submit(request admin.ApplyRequest) error {
	service, err := a.service()
	if err != nil {
		return err
	}
	if request.Author, err = a.author(); err != nil {
		return err
	}
	// With --store everything is allowed; an instance takes the role from the token.
	request.Role = admin.RoleAdmin
	reply, err := service.Apply(a.ctx, request)
	if err != nil {
		return err
	}
	return a.showApplyReply(reply)
}
