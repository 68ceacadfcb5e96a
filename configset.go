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

// A ConfigChangeSet is one version of the configuration. Its changes take effect
// together.
type ConfigChangeSet struct {
	Author    string
	Changes   []ConfigChange
	Hash      ConfigHash // hash of the encoded set without this field
	ID        string     // chosen by the author's client; a retry has the same
	Note      string
	Parent    ConfigHash // Hash of the preceding version's set
	StateHash ConfigHash // hash of the whole configuration after the set
	Time      time.Time
	Version   uint64
}

// A ConfigHash is the SHA-256 hash of a change set or of a whole configuration.
type ConfigHash [32]byte

// A ConfigObject is one stored configuration object.
type ConfigObject struct {
	Key   string // "kind/name"
	Value []byte // canonical JSON
}

// ConfigVersions requests from other instances the version of their configuration in
// force.
type ConfigVersions interface {
	// Version returns the version in force on the instance. Errors are
	// *UnavailableError; the call may be repeated.
	Version(ctx context.Context, instance Instance) (uint64, error)
}
