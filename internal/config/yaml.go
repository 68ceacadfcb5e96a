package config

import (
	"bytes"
	"encoding"
	"fmt"
	"math"
	"reflect"
	"slices"
	"sort"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// MaxFileBytes bounds one configuration file or API body, in bytes.
const MaxFileBytes = 16 << 20

const (
	// maxDepth is far above the four levels that the format has. Brackets in
	// texts count too; an unmatched one in a note does no harm.
	maxDepth     = 128
	maxLineBytes = 64 << 10
)

// An Issue is one fault in the configuration.
type Issue struct {
	Column  int    `json:"column,omitempty"` // zero if the fault has no place in a file
	Field   string `json:"field,omitempty"`
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`
	Message string `json:"message"`
	Want    string `json:"want,omitempty"` // what would be right
}

// String returns the issue as "file:line:column: field: message; want …".
func (i Issue) String() string {
	var b strings.Builder
	if i.File != "" {
		b.WriteString(i.File + ":")
	}
	if i.Line > 0 {
		fmt.Fprintf(&b, "%d:%d:", i.Line, i.Column)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if i.Field != "" {
		b.WriteString(i.Field + ": ")
	}
	b.WriteString(i.Message)
	if i.Want != "" {
		b.WriteString("; want " + i.Want)
	}
	return b.String()
}

// Issues is the error that holds all faults of a configuration.
type Issues []Issue

// Error implements error. It has one line for each issue.
func (s Issues) Error() string {
	lines := make([]string, len(s))
	for i, x := range s {
		lines[i] = x.String()
	}
	return strings.Join(lines, "\n")
}

// sorted returns the issues by place, each once, or nil if there are none.
func (s Issues) sorted() error {
	if len(s) == 0 {
		return nil
	}
	sort.SliceStable(s, func(i, j int) bool {
		a, b := s[i], s[j]
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		if a.Column != b.Column {
			return a.Column < b.Column
		}
		return a.Field+a.Message < b.Field+b.Message
	})
	return slices.Compact(s)
}

// A place is a line and column in a file.
type place struct {
	column int
	file   string
	line   int
}

// An Entry is one object read from a file.
type Entry struct {
	Key    Key
	Spec   Spec
	broken bool             // has faults of form; kept so that references to it are found
	fields map[string]place // by field name; "" is the object itself
}

// issue returns an Issue at the place of the entry's field.
func (e *Entry) issue(field, message, want string) Issue {
	p, found := e.fields[field]
	for f := field; !found && strings.Contains(f, "."); {
		f = f[:strings.LastIndex(f, ".")]
		p, found = e.fields[f]
	}
	if !found {
		p = e.fields[""]
	}
	name := e.Key.String()
	if field != "" {
		name += "." + field
	}
	return Issue{Column: p.column, Field: name, File: p.file, Line: p.line, Message: message, Want: want}
}

// ParseYAML reads the objects of one file, which may also be JSON. The second
// result lists every fault of form. Objects with such faults are among the
// entries, so that Check can resolve references to them, and must not be used.
func ParseYAML(file string, data []byte) (entries []*Entry, issues Issues) {
	r := &reader{file: file}
	if len(data) > MaxFileBytes {
		return nil, Issues{{File: file, Message: fmt.Sprintf("file of %d bytes", len(data)), Want: fmt.Sprintf("at most %d bytes", MaxFileBytes)}}
	}
	if i, bad := r.unreadable(data); bad {
		return nil, Issues{i}
	}
	defer func() {
		// The library's parser panics on some malformed input.
		if p := recover(); p != nil {
			entries, issues = nil, Issues{{File: file, Message: fmt.Sprintf("malformed YAML: %v", p), Want: "valid YAML"}}
		}
	}()
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, Issues{r.syntax(err)}
	}
	for _, d := range tree.Docs {
		r.document(d.Body)
	}
	return r.entries, r.issues
}

// A reader turns the nodes of one file into entries.
type reader struct {
	entries []*Entry
	file    string
	issues  Issues
}

// unreadable finds what would cost the library's parser too much: its time grows
// with the square of a line's length, and its stack with the depth of nesting.
func (r *reader) unreadable(data []byte) (Issue, bool) {
	depth, line := 0, 0
	for text := range bytes.Lines(data) {
		line++
		if len(text) > maxLineBytes {
			return Issue{File: r.file, Line: line, Column: 1, Message: fmt.Sprintf("line of %d bytes", len(text)), Want: fmt.Sprintf("lines of at most %d bytes", maxLineBytes)}, true
		}
		markers := 0
		for i, b := range text {
			switch b {
			case '[', '{':
				depth++
			case ']', '}':
				depth = max(0, depth-1)
			case '-', '?', '&', '!':
				markers++
			case ' ':
			default:
				markers = 0
			}
			if depth > maxDepth || markers > maxDepth {
				return Issue{File: r.file, Line: line, Column: i + 1, Message: "content is nested too deeply", Want: fmt.Sprintf("at most %d levels", maxDepth)}, true
			}
		}
	}
	return Issue{}, false
}

// syntax returns the issue of a parser's error.
func (r *reader) syntax(err error) Issue {
	i := Issue{File: r.file, Message: err.Error(), Want: "valid YAML"}
	if e, ok := err.(yaml.Error); ok { //nolint:errorlint // the library returns it unwrapped
		i.Message = e.GetMessage()
		if t := e.GetToken(); t != nil && t.Position != nil {
			i.Line, i.Column = t.Position.Line, t.Position.Column
		}
	}
	return i
}

// at returns the place of a node.
func (r *reader) at(n ast.Node) place {
	p := place{file: r.file}
	if n == nil {
		return p
	}
	if m, ok := n.(*ast.MappingNode); ok && len(m.Values) > 0 {
		n = m.Values[0].Key
	}
	if t := n.GetToken(); t != nil && t.Position != nil {
		p.line, p.column = t.Position.Line, t.Position.Column
	}
	return p
}

// fault records an issue at a node.
func (r *reader) fault(n ast.Node, field, message, want string) {
	p := r.at(n)
	r.issues = append(r.issues, Issue{Column: p.column, Field: field, File: r.file, Line: p.line, Message: message, Want: want})
}

// document reads the sections of one document.
func (r *reader) document(n ast.Node) {
	if n == nil || n.Type() == ast.NullType {
		return
	}
	values, ok := mapping(n)
	if !ok {
		r.fault(n, "", "no mapping of sections", "sections such as routes: or pools:")
		return
	}
	for _, v := range values {
		section := keyText(v)
		kind, err := ParseKind(section)
		if err != nil || section != kind.Section() {
			r.fault(v.Key, section, "unknown section", "one of "+sections())
			continue
		}
		if v.Value.Type() == ast.NullType {
			continue
		}
		list, ok := v.Value.(*ast.SequenceNode)
		if !ok {
			r.fault(v.Value, section, "no list", "a list of objects, each with a name")
			continue
		}
		for i, item := range list.Values {
			r.object(kind, fmt.Sprintf("%s[%d]", section, i), item)
		}
	}
}

// object reads one object of a section.
func (r *reader) object(kind Kind, path string, n ast.Node) {
	before := len(r.issues)
	e := &Entry{Key: Key{Kind: kind}, Spec: newSpec(kind), fields: map[string]place{"": r.at(n)}}
	r.fields(e, path, "", n, reflect.ValueOf(e.Spec).Elem())
	if e.Spec.name() == "" && len(r.issues) == before {
		r.fault(n, path, "no name", "name: of 1 to 64 letters, digits, dots, dashes or underscores")
	}
	e.broken = len(r.issues) > before
	if e.Spec.name() == "" {
		return
	}
	e.Spec.fill()
	e.Key.Name = e.Spec.name()
	r.entries = append(r.entries, e)
}

// fields reads a mapping into the struct v.
func (r *reader) fields(e *Entry, path, prefix string, n ast.Node, v reflect.Value) {
	values, ok := mapping(n)
	if !ok {
		r.fault(n, path, "no mapping", "fields "+strings.Join(fieldNames(v.Type()), ", "))
		return
	}
	seen := map[string]bool{}
	for _, x := range values {
		name := keyText(x)
		f := field(v, name)
		switch {
		case !f.IsValid():
			r.fault(x.Key, path+"."+name, "unknown field", "one of "+strings.Join(fieldNames(v.Type()), ", "))
		case seen[name]:
			r.fault(x.Key, path+"."+name, "field given twice", "one value")
		default:
			seen[name] = true
			e.fields[prefix+name] = r.at(x.Value)
			r.value(e, path+"."+name, prefix+name, x.Value, f)
		}
	}
}

// value reads one field.
func (r *reader) value(e *Entry, path, name string, n ast.Node, v reflect.Value) {
	if list, ok := n.(*ast.SequenceNode); ok && v.Kind() == reflect.Slice {
		v.Set(reflect.MakeSlice(v.Type(), len(list.Values), len(list.Values)))
		for i, x := range list.Values {
			item := fmt.Sprintf("[%d]", i)
			e.fields[name+"."+item] = r.at(x)
			if v.Index(i).Type() == reflect.TypeFor[RowSpec]() {
				r.fields(e, path+item, name+"."+item+".", x, v.Index(i))
			} else {
				r.value(e, path+item, name+"."+item, x, v.Index(i))
			}
		}
		return
	}
	if n.Type() == ast.NullType {
		return
	}
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		if s, ok := n.(ast.ScalarNode); !ok {
			r.fault(n, path, "no single value", wanted(v))
		} else if err := u.UnmarshalText([]byte(strings.Trim(s.GetToken().Value, " "))); err != nil {
			r.fault(n, path, err.Error(), wanted(v))
		}
		return
	}
	err := yaml.NodeToValue(n, v.Addr().Interface())
	if f := v.Kind() == reflect.Float64; f && (math.IsNaN(v.Float()) || math.IsInf(v.Float(), 0)) {
		err = fmt.Errorf("%v is no finite number", v.Float())
		v.SetFloat(0) // such numbers have no JSON form
	}
	if err != nil {
		r.fault(n, path, fmt.Sprintf("cannot read %q", short(n.String())), wanted(v))
	}
}

// mapping returns the pairs of a mapping node.
func mapping(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch m := n.(type) {
	case *ast.MappingNode:
		return m.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{m}, true
	default:
		return nil, false
	}
}

// keyText returns the text of a pair's key.
func keyText(v *ast.MappingValueNode) string { return v.Key.GetToken().Value }

// field returns the field of the struct v with the given name in files.
func field(v reflect.Value, name string) reflect.Value {
	t := v.Type()
	for i := range t.NumField() {
		if fieldName(t.Field(i)) == name {
			return v.Field(i)
		}
	}
	return reflect.Value{}
}

// fieldName returns a field's name in files.
func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

// fieldNames returns the names of a struct's fields in files.
func fieldNames(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = fieldName(t.Field(i))
	}
	sort.Strings(names)
	return names
}

// sections returns the names of all sections.
func sections() string {
	names := make([]string, len(Kinds))
	for i, k := range Kinds {
		names[i] = k.Section()
	}
	return strings.Join(names, ", ")
}

// short cuts text for a message.
func short(s string) string {
	const most = 40
	if r := []rune(s); len(r) > most {
		return string(r[:most]) + "…"
	}
	return s
}

// wanted says what a field of v's type takes.
func wanted(v reflect.Value) string {
	switch v.Type().String() {
	case "config.Duration":
		return "a duration such as 1.5s or 2m"
	case "config.KeyHash":
		return "the SHA-256 of the key as 64 hexadecimal digits"
	case "netip.AddrPort":
		return "an IP address and port such as 10.1.0.7:8000"
	case "persimmoncart.Class":
		return "interactive or batch"
	case "persimmoncart.Role":
		return "prefill, decode or application"
	case "time.Time":
		return "a time such as 2026-12-04T06:00:00Z"
	}
	switch v.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Slice:
		return "a list such as [a, b]"
	default:
		return "text"
	}
}
