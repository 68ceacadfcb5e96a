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

// MaxFileBytes is the maximum size of a configuration file or a request body of the
// administration API, in bytes.
const MaxFileBytes = 16 << 20

const (
	// maxDepth is the maximum depth of nesting. Valid files have four levels, but
	// brackets inside strings count as levels too, so the maximum is far above
	// that.
	maxDepth     = 128
	maxLineBytes = 64 << 10
)

// Issue is one fault in the configuration.
type Issue struct {
	Column  int    `json:"column,omitempty"` // zero if the fault has no position in a file
	Field   string `json:"field,omitempty"`
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`
	Message string `json:"message"`
	Want    string `json:"want,omitempty"` // description of a valid value
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

// Issues is the error that lists all faults of a configuration.
type Issues []Issue

// Error implements error. It returns one line for each issue.
func (s Issues) Error() string {
	lines := make([]string, len(s))
	for i, x := range s {
		lines[i] = x.String()
	}
	return strings.Join(lines, "\n")
}

// sorted sorts the issues by position and removes duplicates. It returns nil if
// there are none.
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

// position is a line and column in a file, both counted from 1.
type position struct {
	column int
	file   string
	line   int
}

// Object is one configuration object, parsed from a file or decoded from a State.
type Object struct {
	Key       Key
	Spec      Spec
	malformed bool                // has faults of form; kept so that references to it resolve
	fields    map[string]position // positions of fields by name; "" is the object itself
}

// issue returns an Issue at the position of a field, or of the closest enclosing
// field or object whose position is recorded.
func (o *Object) issue(field, message, want string) Issue {
	p, found := o.fields[field]
	for f := field; !found && strings.Contains(f, "."); {
		f = f[:strings.LastIndex(f, ".")]
		p, found = o.fields[f]
	}
	if !found {
		p = o.fields[""]
	}
	name := o.Key.String()
	if field != "" {
		name += "." + field
	}
	return Issue{Column: p.column, Field: name, File: p.file, Line: p.line, Message: message, Want: want}
}

// ParseYAML parses the objects of one YAML or JSON file and returns every fault of
// form as an Issue. Objects with such faults are returned too, so that Validate can
// resolve references to them, but must not be used.
func ParseYAML(file string, data []byte) (objects []*Object, issues Issues) {
	r := &yamlReader{file: file}
	if len(data) > MaxFileBytes {
		return nil, Issues{{File: file, Message: fmt.Sprintf("file of %d bytes", len(data)), Want: fmt.Sprintf("at most %d bytes", MaxFileBytes)}}
	}
	if issue, tooComplex := r.checkComplexity(data); tooComplex {
		return nil, Issues{issue}
	}
	defer func() {
		// The YAML library's parser panics on some malformed input.
		if p := recover(); p != nil {
			objects, issues = nil, Issues{{File: file, Message: fmt.Sprintf("malformed YAML: %v", p), Want: "valid YAML"}}
		}
	}()
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, Issues{r.syntaxIssue(err)}
	}
	for _, d := range tree.Docs {
		r.document(d.Body)
	}
	return r.objects, r.issues
}

// yamlReader converts the YAML nodes of one file to objects.
type yamlReader struct {
	objects []*Object
	file    string
	issues  Issues
}

// checkComplexity returns an issue, and true, if the file has too long lines or too
// deep nesting. The time that the YAML library's parser takes grows with the square
// of a line's length, and its stack with the depth of nesting.
func (r *yamlReader) checkComplexity(data []byte) (Issue, bool) {
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

// syntaxIssue converts an error of the YAML library's parser to an issue.
func (r *yamlReader) syntaxIssue(err error) Issue {
	i := Issue{File: r.file, Message: err.Error(), Want: "valid YAML"}
	if e, ok := err.(yaml.Error); ok { //nolint:errorlint // the library returns it unwrapped
		i.Message = e.GetMessage()
		if t := e.GetToken(); t != nil && t.Position != nil {
			i.Line, i.Column = t.Position.Line, t.Position.Column
		}
	}
	return i
}

// position returns the position of a node; of a mapping, that of its first key.
func (r *yamlReader) position(n ast.Node) position {
	p := position{file: r.file}
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

// addIssue records an issue at the position of a node.
func (r *yamlReader) addIssue(n ast.Node, field, message, want string) {
	p := r.position(n)
	r.issues = append(r.issues, Issue{Column: p.column, Field: field, File: r.file, Line: p.line, Message: message, Want: want})
}

// document reads the sections of one YAML document.
func (r *yamlReader) document(n ast.Node) {
	if n == nil || n.Type() == ast.NullType {
		return
	}
	values, ok := mappingValues(n)
	if !ok {
		r.addIssue(n, "", "no mapping of sections", "sections such as routes: or pools:")
		return
	}
	for _, v := range values {
		section := keyText(v)
		kind, err := ParseKind(section)
		if err != nil || section != kind.Section() {
			r.addIssue(v.Key, section, "unknown section", "one of "+sectionNames())
			continue
		}
		if v.Value.Type() == ast.NullType {
			continue
		}
		list, ok := v.Value.(*ast.SequenceNode)
		if !ok {
			r.addIssue(v.Value, section, "no list", "a list of objects, each with a name")
			continue
		}
		for i, item := range list.Values {
			r.object(kind, fmt.Sprintf("%s[%d]", section, i), item)
		}
	}
}

// object reads one object of a section.
func (r *yamlReader) object(kind Kind, path string, n ast.Node) {
	before := len(r.issues)
	o := &Object{Key: Key{Kind: kind}, Spec: newSpec(kind), fields: map[string]position{"": r.position(n)}}
	r.fields(o, path, "", n, reflect.ValueOf(o.Spec).Elem())
	if o.Spec.name() == "" && len(r.issues) == before {
		r.addIssue(n, path, "no name", "name: of 1 to 64 letters, digits, dots, dashes or underscores")
	}
	o.malformed = len(r.issues) > before
	if o.Spec.name() == "" {
		return
	}
	o.Spec.setDefaults()
	o.Key.Name = o.Spec.name()
	r.objects = append(r.objects, o)
}

// fields reads a mapping node into the struct v. Path names v in issues, and prefix
// is that of the keys in o.fields.
func (r *yamlReader) fields(o *Object, path, prefix string, n ast.Node, v reflect.Value) {
	values, ok := mappingValues(n)
	if !ok {
		r.addIssue(n, path, "no mapping", "fields "+strings.Join(fieldNames(v.Type()), ", "))
		return
	}
	present := map[string]bool{}
	for _, x := range values {
		name := keyText(x)
		f := fieldByName(v, name)
		switch {
		case !f.IsValid():
			r.addIssue(x.Key, path+"."+name, "unknown field", "one of "+strings.Join(fieldNames(v.Type()), ", "))
		case present[name]:
			r.addIssue(x.Key, path+"."+name, "field given twice", "one value")
		default:
			present[name] = true
			o.fields[prefix+name] = r.position(x.Value)
			r.value(o, path+"."+name, prefix+name, x.Value, f)
		}
	}
}

// value reads a node into v, which is a field or a list item.
func (r *yamlReader) value(o *Object, path, name string, n ast.Node, v reflect.Value) {
	if list, ok := n.(*ast.SequenceNode); ok && v.Kind() == reflect.Slice {
		v.Set(reflect.MakeSlice(v.Type(), len(list.Values), len(list.Values)))
		for i, x := range list.Values {
			item := fmt.Sprintf("[%d]", i)
			o.fields[name+"."+item] = r.position(x)
			if v.Index(i).Type() == reflect.TypeFor[RowSpec]() {
				r.fields(o, path+item, name+"."+item+".", x, v.Index(i))
			} else {
				r.value(o, path+item, name+"."+item, x, v.Index(i))
			}
		}
		return
	}
	if n.Type() == ast.NullType {
		return
	}
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		if s, ok := n.(ast.ScalarNode); !ok {
			r.addIssue(n, path, "no single value", expectedFormat(v))
		} else if err := u.UnmarshalText([]byte(strings.Trim(s.GetToken().Value, " "))); err != nil {
			r.addIssue(n, path, err.Error(), expectedFormat(v))
		}
		return
	}
	err := yaml.NodeToValue(n, v.Addr().Interface())
	if f := v.Kind() == reflect.Float64; f && (math.IsNaN(v.Float()) || math.IsInf(v.Float(), 0)) {
		err = fmt.Errorf("%v is no finite number", v.Float())
		v.SetFloat(0) // such numbers have no JSON form
	}
	if err != nil {
		r.addIssue(n, path, fmt.Sprintf("cannot read %q", truncate(n.String())), expectedFormat(v))
	}
}

// mappingValues returns the pairs of a mapping node, and false for other nodes.
func mappingValues(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch m := n.(type) {
	case *ast.MappingNode:
		return m.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{m}, true
	default:
		return nil, false
	}
}

// keyText returns the key of a pair as text.
func keyText(v *ast.MappingValueNode) string { return v.Key.GetToken().Value }

// fieldByName returns the field of the struct v with the given name in files. It
// returns the zero Value if there is none.
func fieldByName(v reflect.Value, name string) reflect.Value {
	t := v.Type()
	for i := range t.NumField() {
		if fieldName(t.Field(i)) == name {
			return v.Field(i)
		}
	}
	return reflect.Value{}
}

// fieldName returns the name of a field in files, which is its JSON name.
func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

// fieldNames returns the sorted names of a struct's fields in files.
func fieldNames(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = fieldName(t.Field(i))
	}
	sort.Strings(names)
	return names
}

// sectionNames returns the names of all sections, separated by commas.
func sectionNames() string {
	names := make([]string, len(Kinds))
	for i, k := range Kinds {
		names[i] = k.Section()
	}
	return strings.Join(names, ", ")
}

// truncate shortens text to 40 characters for a message.
func truncate(s string) string {
	const maxRunes = 40
	if r := []rune(s); len(r) > maxRunes {
		return string(r[:maxRunes]) + "…"
	}
	return s
}

// expectedFormat describes the valid values of a field of v's type, for Issue.Want.
func expectedFormat(v reflect.Value) string {
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
