package cmd

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/admin"
	"github.com/persimmoncart/persimmoncart/internal/config"
	"github.com/persimmoncart/persimmoncart/internal/order"
)

const (
	sheetHelp = `Works with the planners' sheet: the expected demand, pool sizes and models of
one day, exported as CSV with the columns
day, pool, model, from, to, rate, prefill, decode.`

	sheetCheckHelp = `Checks a sheet on its own and against the configuration in force, and names
every fault with its line and column. Nothing is changed.

    persimmonctl sheet check monday.csv --zone Africa/Tunis`

	sheetPlanHelp = `Shows the sizes that a sheet asks for over its day, and how they differ from
those of the sheet before it. Nothing is changed. Without a file it shows the
plan in force: how many engines of each pool have which role and model, and why
today's sheet is not used if it is not.

    persimmonctl sheet plan monday.csv --zone Africa/Tunis
    persimmonctl sheet plan`

	sheetApplyHelp = `Checks a sheet and takes it into force. A sheet of the same day is replaced.

    persimmonctl sheet apply monday.csv --zone Africa/Tunis --wait 15s`
)

// sheetOptions are the flags and arguments of the commands that read a sheet.
type sheetOptions struct {
	app       *app
	Zone      string `long:"zone" env:"ZONE" description:"time zone of the sheet, such as Africa/Tunis; UTC if absent"`
	Arguments struct {
		File string `positional-arg-name:"FILE" description:"CSV file"`
	} `positional-args:"yes" required:"yes"`
}

// addSheet adds the sheet command with its subcommands to the parser.
func (a *app) addSheet(parser *flags.Parser) error {
	group, err := parser.AddCommand("sheet", "check, show or apply the planners' sheet", sheetHelp, &struct{}{})
	if err != nil {
		return errors.Wrap(err, "sheet")
	}
	for _, c := range []struct {
		name, short, long string
		data              any
	}{
		{"apply", "check a sheet and take it into force", sheetApplyHelp, &sheetApplyCommand{sheetOptions: sheetOptions{app: a}}},
		{"check", "check a sheet", sheetCheckHelp, &sheetCheckCommand{sheetOptions: sheetOptions{app: a}}},
		{"plan", "show the sizes that a sheet asks for", sheetPlanHelp, &sheetPlanCommand{app: a}},
	} {
		if _, err := group.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			return errors.Wrap(err, c.name)
		}
	}
	return nil
}

// read returns the file of the sheet, for a request, and its parsed content. The
// error lists all faults in the sheet.
func (c *sheetOptions) read() ([]admin.File, *config.SheetSpec, error) {
	files, err := c.app.readFiles([]string{c.Arguments.File}, c.Zone)
	if err != nil {
		return nil, nil, err
	}
	zone, err := time.LoadLocation(c.Zone)
	if err != nil {
		return nil, nil, &settingError{fmt.Sprintf("--zone: unknown time zone %q", c.Zone)}
	}
	entries, issues := config.ParseSheet(c.Arguments.File, []byte(files[0].Data), zone)
	if len(issues) > 0 {
		return nil, nil, &admin.Error{Code: admin.CodeInvalid, Issues: issues, Message: fmt.Sprintf("%d faults in the sheet", len(issues))}
	}
	files[0].Name = c.Arguments.File + ".csv" // the service recognises sheets by this extension
	if name := c.Arguments.File; len(name) > 4 && name[len(name)-4:] == ".csv" {
		files[0].Name = name
	}
	return files, entries[0].Spec.(*config.SheetSpec), nil
}

// A sheetApplyCommand makes a sheet part of the next version.
type sheetApplyCommand struct {
	changeOptions
	sheetOptions
}

// Execute implements flags.Commander.
func (c *sheetApplyCommand) Execute([]string) error {
	files, spec, err := c.read()
	if err != nil {
		return err
	}
	note := c.Note
	if note == "" {
		note = "sheet of " + spec.Name
	}
	return c.app.submit(admin.ApplyRequest{Files: files, ID: c.ID, Note: note, Wait: config.Duration(c.Wait)})
}

// A sheetCheckCommand validates a sheet on its own and against the configuration
// in force.
type sheetCheckCommand struct {
	sheetOptions
}

// Execute implements flags.Commander.
func (c *sheetCheckCommand) Execute([]string) error {
	files, spec, err := c.read()
	if err != nil {
		return err
	}
	service, err := c.app.service()
	if err != nil {
		return err
	}
	diff, err := service.Diff(c.app.ctx, admin.ApplyRequest{Files: files})
	if err != nil {
		return err
	}
	objects, err := service.Objects(c.app.ctx, string(config.KindSheet), "")
	if err != nil {
		return err
	}
	warning, err := implausibleReason(objects.Objects, spec)
	if err != nil {
		return err
	}
	reply := struct {
		admin.DiffReply
		Warning string `json:"warning,omitempty"`
	}{diff, warning}
	return c.app.show(reply, func(row func(...any)) {
		if warning != "" {
			defer row("WARNING: it will not be used: " + warning)
		}
		row(fmt.Sprintf("sheet of %s is valid: %d rows, %d changes against version %d", spec.Name, len(spec.Rows), len(reply.Changes), reply.Version))
	})
}

// implausibleReason returns why the planner will not use a sheet although it is
// valid, or an empty string.
func implausibleReason(objects []admin.Object, spec *config.SheetSpec) (string, error) {
	key := config.Key{Kind: config.KindSheet, Name: spec.Name}.String()
	changes := []persimmoncart.ConfigChange{{After: config.Encode(spec), Key: key}}
	for _, object := range objects {
		if object.Key != key {
			changes = append(changes, persimmoncart.ConfigChange{After: object.Value, Key: object.Key})
		}
	}
	snapshot, err := config.Apply(config.EmptySnapshot(), changes, 1)
	if err != nil {
		return "", errors.Wrap(err, "read sheets")
	}
	index := slices.IndexFunc(snapshot.Sheets, func(sheet *persimmoncart.Sheet) bool { return sheet.Day.Format(time.DateOnly) == spec.Name })
	if index < 1 { // there is no earlier sheet to compare it with
		return "", nil
	}
	return order.Implausible(snapshot.Sheets[index], snapshot.Sheets[index-1]), nil
}

// A sheetPlanCommand shows the sizes of pools in a sheet, or the plan in force if no
// sheet is given.
type sheetPlanCommand struct {
	app       *app
	Zone      string `long:"zone" env:"ZONE" description:"time zone of the sheet, such as Africa/Tunis; UTC if absent"`
	Arguments struct {
		File string `positional-arg-name:"FILE" description:"CSV file; without it, the plan in force"`
	} `positional-args:"yes"`
}

// showCurrentPlan shows the plan that the planner recorded last.
func (c *sheetPlanCommand) showCurrentPlan() error {
	service, err := c.app.service()
	if err != nil {
		return err
	}
	reply, err := service.Plan(c.app.ctx)
	if err != nil {
		return err
	}
	return c.app.show(reply, func(row func(...any)) {
		row("POOL", "MODEL", "PREFILL", "DECODE", "SINCE")
		for _, pool := range reply.Pools {
			for _, share := range pool.Shares {
				row(pool.Pool, share.Model, share.Prefill, share.Decode, pool.CreatedAt.Format(time.RFC3339))
			}
			if pool.Warning != "" {
				row("WARNING", pool.Warning)
			}
		}
	})
}

// A sheetPlanRow is a row of a sheet, with the row of the previous sheet to compare
// it with.
type sheetPlanRow struct {
	Before *config.RowSpec `json:"before,omitempty"` // for the same pool, model and time of day
	Row    config.RowSpec  `json:"row"`
}

// Execute implements flags.Commander.
func (c *sheetPlanCommand) Execute([]string) error {
	if c.Arguments.File == "" {
		return c.showCurrentPlan()
	}
	options := sheetOptions{app: c.app, Zone: c.Zone}
	options.Arguments.File = c.Arguments.File
	_, spec, err := options.read()
	if err != nil {
		return err
	}
	service, err := c.app.service()
	if err != nil {
		return err
	}
	reply, err := service.Objects(c.app.ctx, string(config.KindSheet), "")
	if err != nil {
		return err
	}
	before, err := sheetBefore(reply.Objects, spec.Name)
	if err != nil {
		return err
	}
	rows := make([]sheetPlanRow, len(spec.Rows))
	for i, row := range spec.Rows {
		rows[i] = sheetPlanRow{Before: rowAtSameTime(before, spec, row), Row: row}
	}
	return c.app.show(rows, func(row func(...any)) {
		row("FROM", "TO", "POOL", "MODEL", "RATE", "PREFILL", "DECODE", "BEFORE")
		for _, planned := range rows {
			previous := "(none)"
			if planned.Before != nil {
				previous = fmt.Sprintf("%v/s, %d prefill, %d decode", planned.Before.Rate, planned.Before.Prefill, planned.Before.Decode)
			}
			row(planned.Row.From.Format(time.RFC3339), planned.Row.To.Format(time.RFC3339), planned.Row.Pool, planned.Row.Model, planned.Row.Rate, planned.Row.Prefill, planned.Row.Decode, previous)
		}
	})
}

// sheetBefore returns the newest sheet of a day before day, or nil if there is none.
func sheetBefore(objects []admin.Object, day string) (*config.SheetSpec, error) {
	earlier := slices.DeleteFunc(sheetDays(objects), func(d string) bool { return d >= day })
	if len(earlier) == 0 {
		return nil, nil //nolint:nilnil // there is no earlier sheet
	}
	newest := slices.Max(earlier)
	for _, object := range objects {
		if object.Key == (config.Key{Kind: config.KindSheet, Name: newest}).String() {
			spec := &config.SheetSpec{}
			if err := json.Unmarshal(object.Value, spec); err != nil {
				return nil, errors.Wrap(err, "decode sheet")
			}
			return spec, nil
		}
	}
	return nil, nil //nolint:nilnil // there is no earlier sheet
}

// rowAtSameTime returns the row of the earlier sheet for the pool, the model and the
// time of day at which row starts, or nil if there is none.
func rowAtSameTime(earlier, current *config.SheetSpec, row config.RowSpec) *config.RowSpec {
	if earlier == nil {
		return nil
	}
	earlierDay, err := time.Parse(time.DateOnly, earlier.Name)
	currentDay, currentErr := time.Parse(time.DateOnly, current.Name)
	if err != nil || currentErr != nil {
		return nil // not reached: names of sheets are valid dates
	}
	start := row.From.Add(earlierDay.Sub(currentDay))
	for i, candidate := range earlier.Rows {
		if candidate.Pool == row.Pool && candidate.Model == row.Model && !start.Before(candidate.From) && start.Before(candidate.To) {
			return &earlier.Rows[i]
		}
	}
	return nil
}
