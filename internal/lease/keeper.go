// Package lease grants named leases with fencing tokens that are recorded in
// the store.
//
// A holder measures the term of its lease from before it sends the write, on its
// own monotonic clock, and stops using the lease a margin before the term ends.
// The next holder takes over only after the record has stayed unchanged for the
// term plus a margin on its own clock. Clocks of different instances are never
// compared. So the lease of a paused holder has always expired before the next
// holder starts, and requests that it sent before the pause carry the older
// fencing token.
package lease

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// DefaultMargin covers the drift between two monotonic clocks over one term,
	// and the time between checking a lease and sending a request under it.
	DefaultMargin = time.Second
	// DefaultTerm is the time for which a lease is valid without renewal.
	DefaultTerm = 15 * time.Second

	keyPrefix = "leases/"
)

var _ persimmoncart.Leases = (*Keeper)(nil)

// A Keeper implements persimmoncart.Leases for one instance. Its exported
// fields are set before the first call; it is safe for concurrent use.
type Keeper struct {
	Logger zerolog.Logger
	Margin time.Duration // DefaultMargin if zero
	Self   persimmoncart.Tag
	Store  persimmoncart.Store
	// Suspended returns how long the machine has been suspended in all; nil means
	// never. A holder that was suspended has lost its lease when it wakes up.
	Suspended func() time.Duration
	Term      time.Duration // DefaultTerm if zero
	Timer     persimmoncart.Timer

	mutex      sync.Mutex
	observed   map[string]observation // by lease name
	writeCount uint64                 // writes by this instance
}

// Acquire implements persimmoncart.Leases. It also renews a lease that this
// instance holds, with the same fencing token. While another instance may hold
// the lease, it returns a *persimmoncart.LeaseHeldError.
func (k *Keeper) Acquire(ctx context.Context, name string) (persimmoncart.Lease, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	current, version, err := k.read(ctx, name)
	if lost := (*lostRecordError)(nil); errors.As(err, &lost) {
		current, version, err = k.replaceLost(ctx, name)
	}
	if err != nil {
		return persimmoncart.Lease{}, errors.Wrapf(err, "acquire lease %q", name)
	}
	if !k.available(current, version) {
		if wait := k.remainingWait(name, current, version); wait > 0 {
			return persimmoncart.Lease{}, &persimmoncart.LeaseHeldError{Holder: current.Holder, Name: name, RetryAfter: wait}
		}
	}
	next := k.nextRecord(current, version)
	start, suspended := k.Timer.Now(), time.Duration(0)
	if k.Suspended != nil {
		suspended = k.Suspended()
	}
	if err := k.write(ctx, name, next, version); err != nil {
		return persimmoncart.Lease{}, errors.Wrapf(err, "acquire lease %q", name)
	}
	return persimmoncart.Lease{
		Expires:   start.Add(k.term() - k.margin()),
		Fence:     next.Fence,
		Name:      name,
		Suspended: suspended,
	}, nil
}

// Release implements persimmoncart.Leases. It returns nil if another instance
// holds the lease by now.
func (k *Keeper) Release(ctx context.Context, lease persimmoncart.Lease) error {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	current, version, err := k.read(ctx, lease.Name)
	if err != nil {
		return errors.Wrapf(err, "release lease %q", lease.Name)
	}
	if version == 0 || !current.knownAt(version) || !current.heldBy(k.Self) || current.Fence != lease.Fence {
		return nil
	}
	k.writeCount++
	current.Free = true
	current.WriteCount = k.writeCount
	if err := k.write(ctx, lease.Name, current, version); err != nil {
		var held *persimmoncart.LeaseHeldError
		if errors.As(err, &held) {
			return nil
		}
		return errors.Wrapf(err, "release lease %q", lease.Name)
	}
	return nil
}

// available reports whether this instance may write the record at once: there is
// none, or the lease is free or its own.
func (k *Keeper) available(current record, version persimmoncart.Version) bool {
	return version == 0 || current.knownAt(version) && (current.Free || current.heldBy(k.Self))
}

// margin returns the configured margin.
func (k *Keeper) margin() time.Duration {
	if k.Margin == 0 {
		return DefaultMargin
	}
	return k.Margin
}

// nextRecord returns the record with which this instance acquires or renews the
// lease. A new holder raises the fencing token.
func (k *Keeper) nextRecord(current record, version persimmoncart.Version) record {
	k.writeCount++
	next := record{
		Fence:       max(current.Fence, uint64(version.EpochStart())),
		Holder:      k.Self.Instance,
		Incarnation: k.Self.Incarnation,
		Term:        k.term(),
		WriteCount:  k.writeCount,
	}
	switch {
	case current.Fence == 0 && version != 0:
		next.Fence = uint64(version) // above all tokens of earlier records
	case !current.knownAt(version) || !current.heldBy(k.Self):
		next.Fence++
	}
	return next
}

// replaceLost creates a record without a holder or a fencing token in place of one
// that a restored store may have lost, and returns it. It is waited for like one of
// an unknown holder, and the next fencing token follows from its version.
func (k *Keeper) replaceLost(ctx context.Context, name string) (record, persimmoncart.Version, error) {
	created := record{Term: k.term()}
	value, err := created.encode()
	if err != nil {
		return record{}, 0, err
	}
	version, err := k.Store.Create(ctx, keyPrefix+name, value)
	if err == nil {
		return created, version, nil
	}
	var ambiguous *persimmoncart.AmbiguousError
	var conflict *persimmoncart.ConflictError
	if errors.As(err, &ambiguous) || errors.As(err, &conflict) {
		return k.read(ctx, name)
	}
	return record{}, 0, err
}

// read returns the record of the lease; the version is zero if there is none. A
// record that cannot be read is returned without a holder or a fencing token. If
// there is none and the store has been restored, it returns a *lostRecordError.
func (k *Keeper) read(ctx context.Context, name string) (record, persimmoncart.Version, error) {
	object, err := k.Store.Get(ctx, keyPrefix+name)
	if missing := (*persimmoncart.NotFoundError)(nil); errors.As(err, &missing) {
		if missing.Epoch > 0 {
			return record{}, 0, &lostRecordError{name: name}
		}
		return record{}, 0, nil
	}
	if err != nil {
		return record{}, 0, err
	}
	current, err := decodeRecord(object.Value, object.Version)
	if err != nil {
		k.Logger.Warn().Str("lease", name).Uint64("version", uint64(object.Version)).Err(err).Msg("lease record is unreadable")
		return record{Term: k.term()}, object.Version, nil
	}
	return current, object.Version, nil
}

// remainingWait returns how long the record must still stay unchanged before this
// instance may take over the lease.
func (k *Keeper) remainingWait(name string, current record, version persimmoncart.Version) time.Duration {
	now := k.Timer.Now()
	last, ok := k.observed[name]
	if !ok || last.version != version {
		if k.observed == nil {
			k.observed = make(map[string]observation)
		}
		last = observation{since: now, version: version}
		k.observed[name] = last
	}
	return last.since.Add(current.Term + k.margin()).Sub(now)
}

// term returns the configured term.
func (k *Keeper) term() time.Duration {
	if k.Term == 0 {
		return DefaultTerm
	}
	return k.Term
}

// write stores next if the stored record still has the version. After an ambiguous
// result or a conflict it reads the record back. It returns a
// *persimmoncart.LeaseHeldError if another write came first.
func (k *Keeper) write(ctx context.Context, name string, next record, version persimmoncart.Version) error {
	value, err := next.encode()
	if err != nil {
		return err
	}
	key := keyPrefix + name
	if version == 0 {
		_, err = k.Store.Create(ctx, key, value)
	} else {
		_, err = k.Store.Update(ctx, key, value, version)
	}
	var ambiguous *persimmoncart.AmbiguousError
	var conflict *persimmoncart.ConflictError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &ambiguous), errors.As(err, &conflict):
		// A store client that retries a write may report a conflict with its own
		// first attempt, so in both cases the stored record decides.
		return k.confirmWrite(ctx, name, next)
	default:
		return err
	}
}

// confirmWrite reads the record back. It returns nil if it is next, otherwise a
// *persimmoncart.LeaseHeldError.
func (k *Keeper) confirmWrite(ctx context.Context, name string, next record) error {
	current, version, err := k.read(ctx, name)
	if err != nil {
		return err
	}
	if current != next || !current.knownAt(version) {
		return &persimmoncart.LeaseHeldError{Holder: current.Holder, Name: name, RetryAfter: current.Term}
	}
	return nil
}

// An observation is the version of a lease record and the time at which this
// instance first read that version.
type observation struct {
	since   time.Time
	version persimmoncart.Version
}

// A lostRecordError reports that there is no record of a lease in a store that has
// been restored from an older copy, which may have lost it.
type lostRecordError struct {
	name string
}

// Error implements error.
func (e *lostRecordError) Error() string {
	return "record of lease " + e.name + " may have been lost"
}
