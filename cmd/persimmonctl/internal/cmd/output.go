package cmd

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart/internal/admin"
	"github.com/persimmoncart/persimmoncart/internal/config"
)

// outputJSON is the value of --output that selects JSON.
const outputJSON = "json"

// show writes v as JSON if --output selects it, otherwise the table that rows
// writes by calling row for each row.
func (a *app) show(v any, rows func(row func(cells ...any))) error {
	if a.options.Output == outputJSON {
		return a.writeJSON(v)
	}
	table := tabwriter.NewWriter(a.stdout, 0, 0, 2, ' ', 0)
	rows(func(cells ...any) {
		text := make([]string, len(cells))
		for i, c := range cells {
			text[i] = fmt.Sprint(c)
		}
		_, _ = fmt.Fprintln(table, strings.TrimRight(strings.Join(text, "\t"), "\t ")) // Flush reports the error
	})
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write output")
	}
	return nil
}

// writeJSON writes v to stdout as indented JSON.
func (a *app) writeJSON(v any) error {
	encoder := json.NewEncoder(a.stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(v); err != nil {
		return errors.Wrap(err, "write output")
	}
	return nil
}

// showChanges writes a row for each changed object, and one for each changed field
// of an updated object.
func showChanges(row func(...any), changes []admin.Change) {
	signs := map[string]string{"create": "+", "delete": "-", "update": "~"}
	for _, change := range changes {
		row(signs[change.Action]+" "+change.Key, "", "")
		if change.Action == "update" {
			for _, field := range change.Fields {
				row("    "+field.Field, orNone(field.Before), "->", orNone(field.After))
			}
		}
	}
}

// showApplyReply writes the reply to a change. It sets the exit code to exitLagging
// if the change is not yet in force on all instances.
func (a *app) showApplyReply(reply admin.ApplyReply) error {
	if len(reply.Lagging) > 0 {
		a.code = exitLagging
	}
	return a.show(reply, func(row func(...any)) {
		if len(reply.Changes) == 0 {
			row(fmt.Sprintf("version %d already has this content", reply.Version))
		} else {
			row(fmt.Sprintf("version %d", reply.Version))
		}
		showChanges(row, reply.Changes)
		switch {
		case len(reply.Lagging) > 0:
			row("not yet in force on " + strings.Join(reply.Lagging, ", "))
		case reply.Waited:
			row("in force on all live instances")
		}
	})
}

// orNone returns text, or "(none)" if it is empty.
func orNone(text string) string {
	if text == "" {
		return "(none)"
	}
	return text
}

// sheetDays returns the days of the sheets in objects, as YYYY-MM-DD.
func sheetDays(objects []admin.Object) []string {
	var days []string
	for _, object := range objects {
		if day, ok := strings.CutPrefix(object.Key, string(config.KindSheet)+"/"); ok {
			days = append(days, day)
		}
	}
	return days
}
