package persimmoncart

import (
	"context"
	"fmt"
	"strconv"
	"time"
)

// MaxValueBytes is the largest value that the store accepts, in bytes.
const MaxValueBytes = 1 << 20

// An Object is one value in the store.
type Object struct {
	Key     string
	Value   []byte
	Version Version
}

// A Store is a client of the platform's object API.
//
// Errors are *NotFoundError, *ConflictError, *TooLargeError, *UnavailableError
// and *AmbiguousError. After an *AmbiguousError the write may or may not have
// taken effect; the caller reads the object to find out.
type Store interface {
	// Create writes a new object. It returns a *ConflictError if the key exists.
	Create(ctx context.Context, key string, value []byte) (Version, error)
	// Delete removes the object if its version is still version.
	Delete(ctx context.Context, key string, version Version) error
	// Get returns the newest object.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects whose keys start with prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Update replaces the value if the object's version is still version.
	Update(ctx context.Context, key string, value []byte, version Version) (Version, error)
	// Watch reports changes of the objects whose keys start with prefix and
	// whose versions are higher than from.
	Watch(ctx context.Context, prefix string, from Version) (Watch, error)
}

// versionEpochShift is the number of bits of a Version below its epoch. A store
// with a thousand writes a second uses up 40 bits in 35 years.
const versionEpochShift = 40

// A Version orders the writes to the store; later writes have higher versions. Its
// upper bits hold the epoch, which counts how often the store has been restored
// from an older copy: a restored store gives out its revisions again, in the next
// epoch.
type Version uint64

// NewVersion returns the version of a revision that the store gave out in an epoch.
func NewVersion(epoch, revision uint64) Version {
	return Version(epoch<<versionEpochShift | revision&(1<<versionEpochShift-1))
}

// Epoch returns how often the store had been restored when it gave out the version.
func (v Version) Epoch() uint64 { return uint64(v) >> versionEpochShift }

// EpochStart returns the version below all others of the epoch.
func (v Version) EpochStart() Version { return NewVersion(v.Epoch(), 0) }

// Revision returns the store's own number of the version, without the epoch.
func (v Version) Revision() uint64 { return uint64(v) & (1<<versionEpochShift - 1) }

// A Watch is an open watch on the store.
type Watch interface {
	// Close ends the watch.
	Close() error
	// Next waits for the next event. An event without a key shows only that the
	// store still answers. Next returns an *UnavailableError if the watch breaks;
	// the caller then watches again from the last version that it received.
	Next(ctx context.Context) (WatchEvent, error)
}

// A WatchEvent is one change that a watch reports.
type WatchEvent struct {
	Deleted bool
	Object  Object
}

// An AmbiguousError reports a write whose result is unknown.
type AmbiguousError struct {
	Err error
	Key string
}

// Error implements error.
func (e *AmbiguousError) Error() string {
	return fmt.Sprintf("write of %q may have taken effect: %v", e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *AmbiguousError) Unwrap() error { return e.Err }

// A ConflictError reports that an object does not have the expected version.
type ConflictError struct {
	Have Version // zero if the object does not exist
	Key  string
	Want Version // zero if the object was to be created
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict on %q: have version %d, want %d", e.Key, e.Have, e.Want)
}

// A NotFoundError reports a key without an object.
type NotFoundError struct {
	Epoch uint64 // of the store, which may have lost the object; see Version
	Key   string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return "no object " + strconv.Quote(e.Key)
}

// A TooLargeError reports a value above MaxValueBytes.
type TooLargeError struct {
	Key  string
	Size int // bytes
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("value of %q has %d bytes, more than %d", e.Key, e.Size, MaxValueBytes)
}

// An UnavailableError reports a call to another system that had no effect.
type UnavailableError struct {
	Err        error
	Operation  string
	RetryAfter time.Duration // zero if the system did not state it
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s: unavailable: %v", e.Operation, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }
