package config

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// MaxSheetRows is the maximum number of rows in a sheet. It keeps a sheet within
// the size limit of one stored object.
const MaxSheetRows = 4000

// sheetColumns are the columns of the planners' CSV export. A file may have them in
// any order.
var sheetColumns = []string{"day", "pool", "model", "from", "to", "rate", "prefill", "decode"}

// ParseFile parses a sheet with times in UTC if the file name ends in ".csv", and
// YAML or JSON otherwise.
func ParseFile(file string, data []byte) ([]*Object, Issues) {
	if strings.EqualFold(filepath.Ext(file), ".csv") {
		return ParseSheet(file, data, time.UTC)
	}
	return ParseYAML(file, data)
}

// ParseSheet parses the planners' CSV export of the sheet of one day. Times of day
// such as 06:30 are in the given zone; 24:00 is the end of the day. Fields are
// separated by commas, or by semicolons with decimal commas, as some spreadsheet
// programs write them.
func ParseSheet(file string, data []byte, zone *time.Location) ([]*Object, Issues) {
	if len(data) > MaxFileBytes {
		return nil, Issues{{File: file, Message: fmt.Sprintf("file of %d bytes", len(data)), Want: fmt.Sprintf("at most %d bytes", MaxFileBytes)}}
	}
	data = bytes.TrimPrefix(data, []byte("\ufeff"))
	p := &sheetParser{columns: map[string]int{}, csv: csv.NewReader(bytes.NewReader(data)), file: file, zone: zone}
	p.csv.TrimLeadingSpace = true
	if head, _, _ := bytes.Cut(data, []byte("\n")); bytes.ContainsRune(head, ';') {
		p.csv.Comma, p.decimalSign = ';', ","
	}
	if !p.readHeader() {
		return nil, p.issues
	}
	for p.readRow() {
	}
	if p.day == "" && len(p.issues) == 0 {
		p.issues = append(p.issues, Issue{File: file, Line: 1, Column: 1, Message: "sheet without rows", Want: "at least one row"})
	}
	if len(p.issues) > 0 {
		return nil, p.issues
	}
	o := &Object{Key: Key{Kind: KindSheet, Name: p.day}, Spec: &SheetSpec{Name: p.day, Rows: p.rows}, fields: map[string]position{"": {column: 1, file: file, line: 1}}}
	for k, v := range p.fields {
		o.fields[k] = v
	}
	return []*Object{o}, nil
}

// sheetParser parses one sheet.
type sheetParser struct {
	columns     map[string]int // index of each column in a record
	csv         *csv.Reader
	day         string              // date in the rows read so far; empty before the first
	decimalSign string              // decimal separator; empty if it is a dot
	fields      map[string]position // positions of the rows' fields, as in Object
	file        string
	issues      Issues
	record      []string // current record; nil if it is unusable
	rows        []RowSpec
	zone        *time.Location
}

// readRecord reads the next CSV record and reports whether there is one. After a
// record with a wrong number of fields, record is nil.
func (p *sheetParser) readRecord() bool {
	record, err := p.csv.Read()
	if errors.Is(err, io.EOF) {
		return false
	}
	if err != nil {
		i := Issue{File: p.file, Message: err.Error(), Want: "rows with the same number of fields as the header"}
		if e := (&csv.ParseError{}); errors.As(err, &e) {
			i.Line, i.Column, i.Message = e.Line, max(e.Column, 1), e.Err.Error()
		}
		p.issues = append(p.issues, i)
		return errors.Is(err, csv.ErrFieldCount) && p.skipRecord()
	}
	p.record = record
	return true
}

// skipRecord marks a record with a wrong number of fields as unusable and returns
// true, so that parsing goes on with the next one.
func (p *sheetParser) skipRecord() bool {
	p.record = nil
	return true
}

// readHeader reads the column names and reports whether they are valid.
func (p *sheetParser) readHeader() bool {
	if !p.readRecord() {
		if len(p.issues) == 0 {
			p.issues = append(p.issues, Issue{File: p.file, Line: 1, Column: 1, Message: "empty sheet", Want: "a header with " + strings.Join(sheetColumns, ", ")})
		}
		return false
	}
	for i, name := range p.record {
		name = strings.ToLower(strings.TrimSpace(name))
		if _, twice := p.columns[name]; twice || !slices.Contains(sheetColumns, name) {
			p.addIssue(i, "", fmt.Sprintf("column %q is unknown or given twice", truncate(name)), strings.Join(sheetColumns, ", "))
		}
		p.columns[name] = i
	}
	for _, name := range sheetColumns {
		if _, found := p.columns[name]; !found {
			p.addIssue(0, "", fmt.Sprintf("no column %q", name), strings.Join(sheetColumns, ", "))
		}
	}
	return len(p.issues) == 0
}

// readRow reads one row and reports whether more may follow.
func (p *sheetParser) readRow() bool {
	if !p.readRecord() {
		return false
	}
	if p.record == nil {
		return true
	}
	if len(p.rows) >= MaxSheetRows {
		p.addIssue(0, "", "sheet is too long", fmt.Sprintf("at most %d rows", MaxSheetRows))
		return false
	}
	day := p.date()
	r := RowSpec{
		Decode: p.count("decode"), From: p.timeOfDay("from", day), Model: p.text("model"), Pool: p.text("pool"),
		Prefill: p.count("prefill"), Rate: p.rate(), To: p.timeOfDay("to", day),
	}
	if p.fields == nil {
		p.fields = map[string]position{}
	}
	path := fmt.Sprintf("rows.[%d]", len(p.rows))
	for name, i := range p.columns {
		p.fields[path+"."+name] = p.position(i)
	}
	p.rows = append(p.rows, r)
	return true
}

// date parses the day, which has to be the same in all rows.
func (p *sheetParser) date() time.Time {
	text := p.text("day")
	day, err := time.ParseInLocation(time.DateOnly, text, p.zone)
	switch {
	case err != nil || day.Year() < 2000 || day.Year() > 2999:
		p.addIssue(p.columns["day"], "day", fmt.Sprintf("cannot read %q", truncate(text)), "a date such as 2026-12-04")
	case p.day == "":
		p.day = text
	case p.day != text:
		p.addIssue(p.columns["day"], "day", fmt.Sprintf("second day %s", text), "one day in a sheet, here "+p.day)
	}
	return day
}

// timeOfDay parses a time of day. It is local wall-clock time, so that rows after a
// change to or from summer time shift in UTC.
func (p *sheetParser) timeOfDay(name string, day time.Time) time.Time {
	text := p.text(name)
	if text == "24:00" {
		return day.AddDate(0, 0, 1).UTC()
	}
	t, err := time.Parse("15:04", text)
	if err != nil {
		p.addIssue(p.columns[name], name, fmt.Sprintf("cannot read %q", truncate(text)), "a time of day such as 06:30")
		return day
	}
	return time.Date(day.Year(), day.Month(), day.Day(), t.Hour(), t.Minute(), 0, 0, p.zone).UTC()
}

// count parses a whole number.
func (p *sheetParser) count(name string) int {
	text := p.text(name)
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n > maxCount {
		p.addIssue(p.columns[name], name, fmt.Sprintf("cannot use %q", truncate(text)), fmt.Sprintf("a whole number from 0 to %d", maxCount))
	}
	return n
}

// rate parses the expected requests per second.
func (p *sheetParser) rate() float64 {
	text := p.text("rate")
	if p.decimalSign != "" {
		text = strings.Replace(text, p.decimalSign, ".", 1)
	}
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(x) || x < 0 || x > maxRate {
		p.addIssue(p.columns["rate"], "rate", fmt.Sprintf("cannot use %q", truncate(text)), fmt.Sprintf("a number from 0 to %v", maxRate))
		return 0
	}
	return x
}

// text returns a column of the current record without surrounding space.
func (p *sheetParser) text(name string) string { return strings.TrimSpace(p.record[p.columns[name]]) }

// position returns the position of a field of the current record.
func (p *sheetParser) position(i int) position {
	line, column := p.csv.FieldPos(i)
	return position{column: column, file: p.file, line: line}
}

// addIssue records an issue at a field of the current record, or at the start of
// the file if the record has no such field.
func (p *sheetParser) addIssue(i int, field, message, want string) {
	pos := position{column: 1, file: p.file, line: 1}
	if i < len(p.record) {
		pos = p.position(i)
	}
	p.issues = append(p.issues, Issue{Column: pos.column, Field: field, File: p.file, Line: pos.line, Message: message, Want: want})
}
