// Package config implements the configuration: the kinds of objects and their file
// formats, validation, versions in the store, and their distribution to every
// instance.
package config

import (
	"fmt"
	"slices"
	"strings"
)

// Kinds of configuration objects, as they appear in keys.
const (
	KindAccount  Kind = "account"
	KindDrain    Kind = "drain" // an endpoint that receives no new requests
	KindEndpoint Kind = "endpoint"
	KindLink     Kind = "link"
	KindOverride Kind = "override" // numbers of replicas of a pool that replace the sheet's
	KindPin      Kind = "pin"      // role and models of an endpoint that replace the plan's
	KindPool     Kind = "pool"
	KindRoute    Kind = "route"
	KindSheet    Kind = "sheet"
)

// Kinds lists all kinds, sorted.
var Kinds = []Kind{
	KindAccount, KindDrain, KindEndpoint, KindLink, KindOverride, KindPin, KindPool, KindRoute, KindSheet,
}

// Kind is the type of a configuration object.
type Kind string

// ParseKind parses the name of a kind, in singular or plural. It returns a
// *KindError for other names.
func ParseKind(name string) (Kind, error) {
	k := Kind(strings.TrimSuffix(name, "s"))
	if !slices.Contains(Kinds, k) {
		return "", &KindError{Value: name}
	}
	return k, nil
}

// Section returns the key of the kind's list in configuration files.
func (k Kind) Section() string { return string(k) + "s" }

// KindError reports a name that is not a Kind.
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

// Key identifies one configuration object.
type Key struct {
	Kind Kind
	Name string
}

// ParseKey parses a key of the form "kind/name". It returns a *KeyError if the
// form is wrong, and a *KindError if the kind is unknown.
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

// KeyError reports text that does not have the form "kind/name".
type KeyError struct {
	Value string
}

// Error implements error.
func (e *KeyError) Error() string {
	return fmt.Sprintf("invalid key %q; want \"kind/name\"", e.Value)
}
