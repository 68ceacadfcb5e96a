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

const outputJSON = "json"

// show writes v as JSON, or as the table that rows writes.
func (a *app) show(v any, rows func(row func(cells ...any))) error {
	if a.options.Output == outputJSON {
		return a.writeJSON(v)
	}
	w := tabwriter.NewWriter(a.stdout, 0, 0, 2, ' ', 0)
	rows(func(cells ...any) {
		text := make([]string, len(cells))
		for i, c := range cells {
			text[i] = fmt.Sprint(c)
		}
		_, _ = fmt.Fprintln(w, strings.TrimRight(strings.Join(text, "\t"), "\t ")) // Flush reports the error
	})
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "write output")
	}
	return nil
}

// writeJSON writes one JSON value.
func (a *app) writeJSON(v any) error {
	e := json.NewEncoder(a.stdout)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return errors.Wrap(err, "write output")
	}
	return nil
}

// showChanges writes one row for each field that changes.
func showChanges(row func(...any), changes []admin.Change) {
	signs := map[string]string{"create": "+", "delete": "-", "update": "~"}
	for _, c := range changes {
		row(signs[c.Action]+" "+c.Key, "", "")
		if c.Action == "update" {
			for _, f := range c.Fields {
				row("    "+f.Field, orNone(f.Before), "->", orNone(f.After))
			}
		}
	}
}

// showApplyReply writes the reply to a change and sets the exit code.
func (a *app) showApplyReply(r admin.ApplyReply) error {
	if len(r.Lagging) > 0 {
		a.code = exitLagging
	}
	return a.show(r, func(row func(...any)) {
		if len(r.Changes) == 0 {
			row(fmt.Sprintf("version %d already has this content", r.Version))
		} else {
			row(fmt.Sprintf("version %d", r.Version))
		}
		showChanges(row, r.Changes)
		switch {
		case len(r.Lagging) > 0:
			row("not yet in force on " + strings.Join(r.Lagging, ", "))
		case r.Waited:
			row("in force on all live instances")
		}
	})
}

// orNone returns the text, or a sign for its absence.
func orNone(text string) string {
	if text == "" {
		return "(none)"
	}
	return text
}

// sheetDays returns the names of the sheets among objects.
func sheetDays(objects []admin.Object) []string {
	var out []string
	for _, o := range objects {
		if day, ok := strings.CutPrefix(o.Key, string(config.KindSheet)+"/"); ok {
			out = append(out, day)
		}
	}
	return out
}
