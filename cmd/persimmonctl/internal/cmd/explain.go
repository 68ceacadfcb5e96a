package cmd

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const explainHelp = `Prints the life of one request from the log lines of the instances, in the
order of time: what each decision knew, how old that was, and what came of it.

    persimmonctl explain --id 9c41d07be2a35f68 edge-*.log
    journalctl -u persimmoncart -o cat | persimmonctl explain --id 9c41d07be2a35f68

Lines may have a prefix before their JSON. Durations are in milliseconds. Lines
that are no JSON are counted and left out.`

// maxLine bounds one log line, bytes.
const maxLine = 1 << 20

// An explainCommand is the command that prints the life of one request.
type explainCommand struct {
	app       *app
	ID        string `long:"id" required:"yes" description:"identifier of the request"`
	Arguments struct {
		Files []string `positional-arg-name:"FILE" description:"files with log lines; none reads the standard input"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	var l requestLog
	if len(c.Arguments.Files) == 0 {
		if err := l.read(c.app.stdin, c.ID); err != nil {
			return errors.Wrap(err, "standard input")
		}
	}
	for _, name := range c.Arguments.Files {
		if err := l.readFile(name, c.ID); err != nil {
			return err
		}
	}
	if l.skipped > 0 {
		_, _ = fmt.Fprintf(c.app.stderr, "persimmonctl: %d lines are no JSON\n", l.skipped)
	}
	if len(l.matches) == 0 {
		c.app.code = exitNotFound
		_, _ = fmt.Fprintf(c.app.stderr, "persimmonctl: no line of %d is about request %q\n", l.total, c.ID)
		return nil
	}
	slices.SortStableFunc(l.matches, func(a, b logLine) int { return a.time.Compare(b.time) })
	return c.app.show(l.values(), func(row func(...any)) {
		row("TIME", "INSTANCE", "WHAT", "DETAILS")
		for _, f := range l.matches {
			row(f.time.Format("15:04:05.000"), f.instance, f.message, f.details())
		}
	})
}

// A requestLog collects the log lines about one request.
type requestLog struct {
	matches []logLine
	skipped int // no JSON
	total   int
}

// read takes the lines of r about the request.
func (l *requestLog) read(r io.Reader, id string) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		l.add(s.Bytes(), id)
	}
	if err := s.Err(); err != nil {
		return errors.Wrap(err, "read")
	}
	return nil
}

// readFile takes the lines of a file about the request.
func (l *requestLog) readFile(name, id string) error {
	f, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() { _ = f.Close() }() // it was only read
	if err := l.read(f, id); err != nil {
		return errors.Wrap(err, name)
	}
	return nil
}

// add adds one line.
func (l *requestLog) add(line []byte, id string) {
	if len(bytes.TrimSpace(line)) == 0 {
		return
	}
	l.total++
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		l.skipped++
		return
	}
	fields := make(map[string]any)
	if err := json.Unmarshal(line[start:], &fields); err != nil {
		l.skipped++
		return
	}
	if fields["request"] != id {
		return
	}
	match := logLine{fields: fields, instance: fmt.Sprint(cmp.Or(fields["instance"], any("?"))), message: fmt.Sprint(fields["message"])}
	if text, ok := fields["time"].(string); ok {
		// A line without a usable time comes first.
		match.time, _ = time.Parse(time.RFC3339Nano, text)
	}
	l.matches = append(l.matches, match)
}

// values returns the lines for JSON output.
func (l *requestLog) values() []map[string]any {
	values := make([]map[string]any, 0, len(l.matches))
	for _, f := range l.matches {
		values = append(values, f.fields)
	}
	return values
}

// A logLine is one line about the request.
type logLine struct {
	fields   map[string]any
	instance string
	message  string
	time     time.Time
}

// details returns the fields that differ from line to line, sorted.
func (f *logLine) details() string {
	var parts []string
	for name, value := range f.fields {
		switch name {
		case "instance", "level", "message", "request", "time":
			continue
		}
		parts = append(parts, fmt.Sprintf("%s=%v", name, value))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}
