package config

import (
	"os"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
)

var _ persimmoncart.Configuration = (*Static)(nil)

// Static is a configuration that never changes.
type Static struct {
	snapshot *persimmoncart.Snapshot
}

// LoadStatic reads a configuration from YAML or JSON files, and sheets from files
// that end in ".csv". If the configuration is invalid, the error is an Issues with
// every fault and its position.
func LoadStatic(paths ...string) (*Static, error) {
	var objects []*Object
	var issues Issues
	for _, p := range paths {
		data, err := os.ReadFile(p)
		if err != nil {
			return nil, errors.Wrap(err, "load configuration")
		}
		parsed, found := ParseFile(p, data)
		objects, issues = append(objects, parsed...), append(issues, found...)
	}
	if err := ValidateParsed(issues, objects); err != nil {
		return nil, err
	}
	return NewStatic(objects)
}

// NewStatic returns a configuration of validated objects, as version 1.
func NewStatic(objects []*Object) (*Static, error) {
	s, err := Apply(EmptySnapshot(), Diff(&State{}, NewState(objects)), 1)
	if err != nil {
		return nil, err
	}
	return &Static{snapshot: s}, nil
}

// Snapshot implements persimmoncart.Configuration.
func (s *Static) Snapshot() *persimmoncart.Snapshot { return s.snapshot }

// Subscribe implements persimmoncart.Configuration. It never calls the listener.
func (s *Static) Subscribe(func(*persimmoncart.Snapshot)) (stop func()) { return func() {} }
