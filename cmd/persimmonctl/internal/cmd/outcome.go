package cmd

import "time"

const outcomeHelp = `Shows what the store knows of a call that may not be repeated, such as a
payment, by its Idempotency-Key.

    persimmonctl outcome pay-2026-12-04-0017 --account gate-clerks --route payments

  answered   the call ran, and its answer is known
  not_run    the call provably did not run; it may be sent again
  unknown    the call was sent and no answer is known: look into the
             application's own books before anything is sent again`

// An outcomeCommand shows the recorded outcome of a call by its Idempotency-Key.
type outcomeCommand struct {
	Account   string `long:"account" env:"ACCOUNT" required:"yes" description:"account that sent the call"`
	app       *app
	Route     string `long:"route" required:"yes" description:"route of the call"`
	Arguments struct {
		Key string `positional-arg-name:"KEY" description:"Idempotency-Key of the call"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *outcomeCommand) Execute([]string) error {
	service, err := c.app.service()
	if err != nil {
		return err
	}
	reply, err := service.Outcome(c.app.ctx, c.Account, c.Route, c.Arguments.Key)
	if err != nil {
		return err
	}
	return c.app.show(reply, func(row func(...any)) {
		row("outcome", reply.Outcome)
		row("state", reply.State)
		row("time", reply.Time.Format(time.RFC3339))
		if reply.Status != 0 {
			row("status", reply.Status)
		}
	})
}
