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

// A sheetOptions holds the settings of the commands for sheets.
type sheetOptions struct {
	app       *app
	Zone      string `long:"zone" env:"ZONE" description:"time zone of the sheet, such as Africa/Tunis; UTC if absent"`
	Arguments struct {
		File string `positional-arg-name:"FILE" description:"CSV file"`
	} `positional-args:"yes" required:"yes"`
}

// addSheet adds the commands for sheets.
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

// read returns the sheet's file and content.
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
	files[0].Name = c.Arguments.File + ".csv" // the service tells a sheet by this ending
	if n := c.Arguments.File; len(n) > 4 && n[len(n)-4:] == ".csv" {
		files[0].Name = n
	}
	return files, entries[0].Spec.(*config.SheetSpec), nil
}

// A sheetApplyCommand is the command that takes a sheet into force.
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

// A sheetCheckCommand is the command that checks a sheet.
type sheetCheckCommand struct {
	sheetOptions
}

// Execute implements flags.Commander.
func (c *sheetCheckCommand) Execute([]string) error {
	files, spec, err := c.read()
	if err != nil {
		return err
	}
	s, err := c.app.service()
	if err != nil {
		return err
	}
	r, err := s.Diff(c.app.ctx, admin.ApplyRequest{Files: files})
	if err != nil {
		return err
	}
	objects, err := s.Objects(c.app.ctx, string(config.KindSheet), "")
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
	}{r, warning}
	return c.app.show(reply, func(row func(...any)) {
		if warning != "" {
			defer row("WARNING: it will not be used: " + warning)
		}
		row(fmt.Sprintf("sheet of %s is valid: %d rows, %d changes against version %d", spec.Name, len(spec.Rows), len(r.Changes), r.Version))
	})
}

// implausibleReason says why a sheet will not be used once it is applied, if so.
func implausibleReason(objects []admin.Object, spec *config.SheetSpec) (string, error) {
	key := config.Key{Kind: config.KindSheet, Name: spec.Name}.String()
	changes := []persimmoncart.ConfigChange{{After: config.Encode(spec), Key: key}}
	for _, o := range objects {
		if o.Key != key {
			changes = append(changes, persimmoncart.ConfigChange{After: o.Value, Key: o.Key})
		}
	}
	view, err := config.Apply(config.EmptySnapshot(), changes, 1)
	if err != nil {
		return "", errors.Wrap(err, "read sheets")
	}
	i := slices.IndexFunc(view.Sheets, func(x *persimmoncart.Sheet) bool { return x.Day.Format(time.DateOnly) == spec.Name })
	if i < 1 {
		return "", nil
	}
	return order.Implausible(view.Sheets[i], view.Sheets[i-1]), nil
}

// A sheetPlanCommand is the command that shows what a sheet asks for, or the plan in force.
type sheetPlanCommand struct {
	app       *app
	Zone      string `long:"zone" env:"ZONE" description:"time zone of the sheet, such as Africa/Tunis; UTC if absent"`
	Arguments struct {
		File string `positional-arg-name:"FILE" description:"CSV file; without it, the plan in force"`
	} `positional-args:"yes"`
}

// showCurrentPlan shows the recorded plan.
func (c *sheetPlanCommand) showCurrentPlan() error {
	s, err := c.app.service()
	if err != nil {
		return err
	}
	r, err := s.Plan(c.app.ctx)
	if err != nil {
		return err
	}
	return c.app.show(r, func(row func(...any)) {
		row("POOL", "MODEL", "PREFILL", "DECODE", "SINCE")
		for _, p := range r.Pools {
			for _, x := range p.Shares {
				row(p.Pool, x.Model, x.Prefill, x.Decode, p.CreatedAt.Format(time.RFC3339))
			}
			if p.Warning != "" {
				row("WARNING", p.Warning)
			}
		}
	})
}

// A sheetPlanRow is one row of the output.
type sheetPlanRow struct {
	Before *config.RowSpec `json:"before,omitempty"` // row of the sheet before, at the same time of day
	Row    config.RowSpec  `json:"row"`
}

// Execute implements flags.Commander.
func (c *sheetPlanCommand) Execute([]string) error {
	if c.Arguments.File == "" {
		return c.showCurrentPlan()
	}
	x := sheetOptions{app: c.app, Zone: c.Zone}
	x.Arguments.File = c.Arguments.File
	_, spec, err := x.read()
	if err != nil {
		return err
	}
	s, err := c.app.service()
	if err != nil {
		return err
	}
	r, err := s.Objects(c.app.ctx, string(config.KindSheet), "")
	if err != nil {
		return err
	}
	before, err := sheetBefore(r.Objects, spec.Name)
	if err != nil {
		return err
	}
	rows := make([]sheetPlanRow, len(spec.Rows))
	for i, x := range spec.Rows {
		rows[i] = sheetPlanRow{Before: rowAtSameTime(before, spec, x), Row: x}
	}
	return c.app.show(rows, func(row func(...any)) {
		row("FROM", "TO", "POOL", "MODEL", "RATE", "PREFILL", "DECODE", "BEFORE")
		for _, x := range rows {
			old := "(none)"
			if x.Before != nil {
				old = fmt.Sprintf("%v/s, %d prefill, %d decode", x.Before.Rate, x.Before.Prefill, x.Before.Decode)
			}
			row(x.Row.From.Format(time.RFC3339), x.Row.To.Format(time.RFC3339), x.Row.Pool, x.Row.Model, x.Row.Rate, x.Row.Prefill, x.Row.Decode, old)
		}
	})
}

// sheetBefore returns the newest sheet before a day, or nil.
func sheetBefore(objects []admin.Object, day string) (*config.SheetSpec, error) {
	found := slices.DeleteFunc(sheetDays(objects), func(d string) bool { return d >= day })
	if len(found) == 0 {
		return nil, nil //nolint:nilnil // there is none
	}
	newest := slices.Max(found)
	for _, o := range objects {
		if o.Key == (config.Key{Kind: config.KindSheet, Name: newest}).String() {
			s := &config.SheetSpec{}
			if err := json.Unmarshal(o.Value, s); err != nil {
				return nil, errors.Wrap(err, "decode sheet")
			}
			return s, nil
		}
	}
	return nil, nil //nolint:nilnil // there is none
}

// rowAtSameTime returns the row of an earlier sheet for the same pool, model and
// time of day, or nil.
func rowAtSameTime(before, now *config.SheetSpec, x config.RowSpec) *config.RowSpec {
	if before == nil {
		return nil
	}
	a, errA := time.Parse(time.DateOnly, before.Name)
	b, errB := time.Parse(time.DateOnly, now.Name)
	if errA != nil || errB != nil {
		return nil // names of sheets are checked dates
	}
	at := x.From.Add(a.Sub(b))
	for i, y := range before.Rows {
		if y.Pool == x.Pool && y.Model == x.Model && !at.Before(y.From) && at.Before(y.To) {
			return &before.Rows[i]
		}
	}
	return nil
}
