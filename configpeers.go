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
	At      time.Time
	Author  string
	Changes []ConfigChange
	Hash    ConfigHash // of the encoded set without this field
	ID      string     // chosen by the author's client; the same for a retry
	Note    string
	Parent  ConfigHash // hash of the set of the version before
	State   ConfigHash // hash of the whole state after the set
	Version uint64
}

// A ConfigDigest names the version that an instance holds. It takes 16 bytes on
// the wire and travels with membership probes.
type ConfigDigest struct {
	Hash    uint64 // first 8 bytes of the change set's hash
	Version uint64
}

// ConfigDigests is what membership needs from the configuration: the digest to
// send with each probe and its answer, and where to report received ones.
type ConfigDigests interface {
	// Digest returns the digest of the version in force here.
	Digest() ConfigDigest
	// Heard reports the digest of another instance. It does not block.
	Heard(from Instance, digest ConfigDigest)
}

// A ConfigHash is a SHA-256 hash of a configuration object.
type ConfigHash [32]byte

// A ConfigObject is one object of a full copy.
type ConfigObject struct {
	Key   string // "kind/name"
	Value []byte // canonical JSON
}

// ConfigPeers exchanges configuration with other instances.
//
// Errors are *UnavailableError; every call is idempotent and may be repeated.
type ConfigPeers interface {
	// Digest exchanges digests with the peer.
	Digest(ctx context.Context, to Instance, own ConfigDigest) (ConfigDigest, error)
	// Pull asks the peer for what it has beyond the request's version.
	Pull(ctx context.Context, to Instance, request ConfigPull) (ConfigPulled, error)
	// Push gives the peer new change sets and returns the peer's digest afterwards.
	Push(ctx context.Context, to Instance, sets []ConfigChangeSet) (ConfigDigest, error)
}

// A ConfigPull asks for change sets, or for the next page of a full copy.
type ConfigPull struct {
	After string // last key of the page before; empty for the first
	Full  bool   // asks for a page of the full copy
	Have  uint64 // version that the asking instance holds
}

// A ConfigPulled answers a ConfigPull.
//
// Sets holds consecutive versions that start after the request's version. It is
// empty if the peer has nothing newer, or no longer has the first of them; then
// Digest shows a higher version and the asking instance needs a full copy.
type ConfigPulled struct {
	Digest  ConfigDigest // version of this answer's content
	Hash    ConfigHash   // hash of that version's change set
	More    bool         // further pages or sets follow
	Objects []ConfigObject
	Sets    []ConfigChangeSet
	State   ConfigHash // hash of that version's state
}

// A ConfigServer answers the calls of ConfigPeers.
type ConfigServer interface {
	ConfigDigests
	// Accept takes pushed change sets and returns the digest afterwards.
	Accept(from Instance, sets []ConfigChangeSet) ConfigDigest
	// Answer answers a pull; it uses only memory and does not block.
	Answer(request ConfigPull) ConfigPulled
}

// A Pin holds one endpoint in a role with models, against the daily plan.
type Pin struct {
	Endpoint EndpointID
	Models   []ModelName // nil leaves the models to the plan
	Role     Role        // zero leaves the role to the plan
}

// An Override replaces the sheet's sizes of one pool.
type Override struct {
	Decode  int
	Pool    PoolName
	Prefill int
	Until   time.Time // zero until it is deleted
}
