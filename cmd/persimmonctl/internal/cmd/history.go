package cmd

import "time"

const historyHelp = `Shows versions, newest first, with author, time, reason and changes.

    persimmonctl history
    persimmonctl history --from 120 --count 5`

// A historyCommand shows versions with their authors and changes.
type historyCommand struct {
	app   *app
	Count int    `long:"count" short:"n" default:"20" description:"number of versions, at most 500"`
	From  uint64 `long:"from" description:"newest version to show; zero is the one in force"`
}

// Execute implements flags.Commander.
func (c *historyCommand) Execute([]string) error {
	service, err := c.app.service()
	if err != nil {
		return err
	}
	reply, err := service.History(c.app.ctx, c.From, c.Count)
	if err != nil {
		return err
	}
	return c.app.show(reply, func(row func(...any)) {
		row("VERSION", "TIME", "AUTHOR", "NOTE")
		for _, version := range reply.Versions {
			row(version.Version, version.Time.Format(time.RFC3339), version.Author, version.Note)
			showChanges(func(cells ...any) { row(append([]any{""}, cells...)...) }, version.Changes)
		}
	})
}
