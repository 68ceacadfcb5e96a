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

// maxLine is the maximum length of a log line, in bytes.
const maxLine = 1 << 20

// An explainCommand prints the log lines about one request, sorted by time.
type explainCommand struct {
	app       *app
	ID        string `long:"id" required:"yes" description:"identifier of the request"`
	Arguments struct {
		Files []string `positional-arg-name:"FILE" description:"files with log lines; none reads the standard input"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	var log requestLog
	if len(c.Arguments.Files) == 0 {
		if err := log.read(c.app.stdin, c.ID); err != nil {
			return errors.Wrap(err, "standard input")
		}
	}
	for _, name := range c.Arguments.Files {
		if err := log.readFile(name, c.ID); err != nil {
			return err
		}
	}
	if log.skipped > 0 {
		_, _ = fmt.Fprintf(c.app.stderr, "persimmonctl: %d lines are no JSON\n", log.skipped)
	}
	if len(log.matches) == 0 {
		c.app.code = exitNotFound
		_, _ = fmt.Fprintf(c.app.stderr, "persimmonctl: no line of %d is about request %q\n", log.total, c.ID)
		return nil
	}
	slices.SortStableFunc(log.matches, func(a, b logLine) int { return a.time.Compare(b.time) })
	return c.app.show(log.values(), func(row func(...any)) {
		row("TIME", "INSTANCE", "WHAT", "DETAILS")
		for _, line := range log.matches {
			row(line.time.Format("15:04:05.000"), line.instance, line.message, line.details())
		}
	})
}

// A requestLog collects the log lines about one request.
type requestLog struct {
	matches []logLine // about the request
	skipped int       // lines without JSON
	total   int       // lines read, without empty ones
}

// read adds the lines of r about the request. It returns an error if a line is
// longer than maxLine.
func (l *requestLog) read(r io.Reader, id string) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		l.add(scanner.Bytes(), id)
	}
	if err := scanner.Err(); err != nil {
		return errors.Wrap(err, "read")
	}
	return nil
}

// readFile adds the lines of a file about the request.
func (l *requestLog) readFile(name, id string) error {
	f, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() { _ = f.Close() }() // a file that was only read loses no data
	if err := l.read(f, id); err != nil {
		return errors.Wrap(err, name)
	}
	return nil
}

// add counts a line and keeps it if it is about the request.
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
		// Lines without a valid time are sorted before all others.
		match.time, _ = time.Parse(time.RFC3339Nano, text)
	}
	l.matches = append(l.matches, match)
}

// values returns the fields of the lines, for JSON output.
func (l *requestLog) values() []map[string]any {
	values := make([]map[string]any, 0, len(l.matches))
	for _, line := range l.matches {
		values = append(values, line.fields)
	}
	return values
}

// A logLine is a log line about the request.
type logLine struct {
	fields   map[string]any // all fields of the JSON object
	instance string
	message  string
	time     time.Time // zero if the line has no valid time
}

// details returns the fields that have no column of their own in the table, as
// name=value, sorted.
func (l *logLine) details() string {
	var pairs []string
	for name, value := range l.fields {
		switch name {
		case "instance", "level", "message", "request", "time":
			continue
		}
		pairs = append(pairs, fmt.Sprintf("%s=%v", name, value))
	}
	slices.Sort(pairs)
	return strings.Join(pairs, " ")
}
