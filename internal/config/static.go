package config

import (
	"os"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
)

var _ persimmoncart.Configuration = (*Static)(nil)

// A Static is a configuration that never changes.
type Static struct {
	snapshot *persimmoncart.Snapshot
}

// LoadStatic reads a Static from YAML files (and sheets from files that end in
// ".csv"). It returns Issues that name every fault with its file and line.
func LoadStatic(paths ...string) (*Static, error) {
	var entries []*Entry
	var issues Issues
	for _, p := range paths {
		data, err := os.ReadFile(p)
		if err != nil {
			return nil, errors.Wrap(err, "load configuration")
		}
		e, i := ParseFile(p, data)
		entries, issues = append(entries, e...), append(issues, i...)
	}
	if err := Problems(issues, entries); err != nil {
		return nil, err
	}
	return NewStatic(entries)
}

// NewStatic returns a Static of checked entries, as version 1.
func NewStatic(entries []*Entry) (*Static, error) {
	s, err := Apply(EmptySnapshot(), Diff(&State{}, NewState(entries)), 1)
	if err != nil {
		return nil, err
	}
	return &Static{snapshot: s}, nil
}

// Snapshot implements persimmoncart.Configuration.
func (s *Static) Snapshot() *persimmoncart.Snapshot { return s.snapshot }

// Subscribe implements persimmoncart.Configuration; f is never called.
func (s *Static) Subscribe(func(*persimmoncart.Snapshot)) (stop func()) { return func() {} }
