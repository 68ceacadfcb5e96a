package persimmoncart

import (
	"context"
	"time"
)

// A ConfigChange replaces one configuration object.
type ConfigChange struct {
	After  []byte // canonical JSON; nil deletes the object
	Before []byte // canonical JSON; nil if the object did not exist
	Key    string // "kind/name"
}

// A ConfigChangeSet is one version of the configuration: all of its changes
// become visible together.
type ConfigChangeSet struct {
	Author    string
	Changes   []ConfigChange
	Hash      ConfigHash // of the encoded set without this field
	ID        string     // chosen by the author's client; the same for a retry
	Note      string
	Parent    ConfigHash // hash of the set of the version before
	StateHash ConfigHash // hash of the whole state after the set
	Time      time.Time
	Version   uint64
}

// A ConfigHash is a SHA-256 hash of a configuration object.
type ConfigHash [32]byte

// A ConfigObject is one stored object.
type ConfigObject struct {
	Key   string
	Value []byte // canonical JSON
}

// ConfigVersions asks other instances for the version of the configuration that
// is in force there.
type ConfigVersions interface {
	// Version returns the version in force at an instance. Errors are
	// *UnavailableError; the call may be repeated.
	Version(ctx context.Context, at Instance) (uint64, error)
}
