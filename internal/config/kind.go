// Package config holds the configuration: its kinds and formats, the checks on
// it, change sets in the store, and their distribution to every instance.
package config

import (
	"fmt"
	"slices"
	"strings"
)

// Kinds of configuration objects.
const (
	KindAccount  Kind = "account"
	KindDrain    Kind = "drain" // an endpoint that gets no new work
	KindEndpoint Kind = "endpoint"
	KindLink     Kind = "link"
	KindOverride Kind = "override" // sizes of a pool against the sheet
	KindPin      Kind = "pin"      // role and models of an endpoint against the plan
	KindPool     Kind = "pool"
	KindRoute    Kind = "route"
	KindSheet    Kind = "sheet"
)

// Kinds are all kinds, sorted.
var Kinds = []Kind{
	KindAccount, KindDrain, KindEndpoint, KindLink, KindOverride, KindPin, KindPool, KindRoute, KindSheet,
}

// A Kind is a kind of configuration object.
type Kind string

// ParseKind returns the Kind of the given name, in singular or plural. It
// returns a *KindError for other names.
func ParseKind(name string) (Kind, error) {
	k := Kind(strings.TrimSuffix(name, "s"))
	if !slices.Contains(Kinds, k) {
		return "", &KindError{Value: name}
	}
	return k, nil
}

// Section returns the key of the kind's list in configuration files.
func (k Kind) Section() string { return string(k) + "s" }

// A KindError reports the name of no kind.
type KindError struct {
	Value string
}

// Error implements error.
func (e *KindError) Error() string {
	names := make([]string, len(Kinds))
	for i, k := range Kinds {
		names[i] = string(k)
	}
	return fmt.Sprintf("unknown kind %q; want one of %s", e.Value, strings.Join(names, ", "))
}

// A Key names one configuration object.
type Key struct {
	Kind Kind
	Name string
}

// ParseKey returns the Key written as "kind/name". It returns a *KeyError or a
// *KindError for other text.
func ParseKey(s string) (Key, error) {
	kind, name, found := strings.Cut(s, "/")
	if !found || name == "" {
		return Key{}, &KeyError{Value: s}
	}
	k, err := ParseKind(kind)
	if err != nil {
		return Key{}, err
	}
	return Key{Kind: k, Name: name}, nil
}

// String returns the key as "kind/name".
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// A KeyError reports text that is no key.
type KeyError struct {
	Value string
}

// Error implements error.
func (e *KeyError) Error() string {
	return fmt.Sprintf("invalid key %q; want \"kind/name\"", e.Value)
}
