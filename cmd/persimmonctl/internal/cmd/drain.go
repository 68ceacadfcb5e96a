package cmd

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart/internal/admin"
	"github.com/persimmoncart/persimmoncart/internal/config"
)

const drainHelp = `Gives endpoints no new work; work in flight ends as usual. --undo takes the
endpoints back into service.

    persimmonctl drain hull-d07 --note "fan broken" --wait 15s
    persimmonctl drain hull-d07 --undo`

// A drainCommand takes endpoints out of service, or back into service with --undo.
type drainCommand struct {
	changeOptions
	app       *app
	Undo      bool `long:"undo" description:"take the endpoints back into service"`
	Arguments struct {
		Endpoints []string `positional-arg-name:"ENDPOINT" required:"1" description:"name of an endpoint"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	request := admin.ApplyRequest{ID: c.ID, Note: c.Note, Wait: config.Duration(c.Wait)}
	if c.Undo {
		for _, endpoint := range c.Arguments.Endpoints {
			request.Delete = append(request.Delete, config.Key{Kind: config.KindDrain, Name: endpoint}.String())
		}
		return c.app.submit(request)
	}
	specs := make([]config.DrainSpec, len(c.Arguments.Endpoints))
	for i, endpoint := range c.Arguments.Endpoints {
		specs[i] = config.DrainSpec{Name: endpoint}
	}
	data, err := json.Marshal(map[string]any{config.KindDrain.Section(): specs})
	if err != nil {
		return errors.Wrap(err, "encode drains")
	}
	request.Files = []admin.File{{Data: string(data), Name: "drain"}}
	return c.app.submit(request)
}
