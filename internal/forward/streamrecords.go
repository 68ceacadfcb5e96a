package forward

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

const (
	// StreamsPrefix is the prefix of the store's records of streams. The identifier and
	// the incarnation of an instance follow it.
	StreamsPrefix = "streams/"
	// streamWriteSpacing is the shortest mean time between two writes of all instances
	// together.
	streamWriteSpacing = 2500 * time.Microsecond
	// streamWriteRetry is the mean pause after a failed write.
	streamWriteRetry = 300 * time.Millisecond
	// streamWriteLate is the time after which a write is expected to fail: the store
	// usually responds within milliseconds.
	streamWriteLate = 150 * time.Millisecond
	// streamWriteWait is the longest time for which the first event of a stream waits
	// for its record.
	streamWriteWait = 300 * time.Millisecond
	// streamCheckPeriod is the time between two checks whether streams of an old version
	// have ended, and records of departed processes are no longer needed.
	streamCheckPeriod = 5 * time.Second
	// maxStreamKey is the length in bytes up to which identifiers of attempts are kept
	// in records.
	maxStreamKey = 64
)

// errRestoredDuringWrite reports a write during which the store was restored from an older
// copy.
var errRestoredDuringWrite = errors.New("store was restored during the write")

// StreamRecords is the owner of where streams began: at which version of the software
// of their engines. Every path that places a stream asks it. What it knows outlives the
// loss of all instances, as each process has a record in the store. Its exported fields
// are set before Run.
type StreamRecords struct {
	Directory *Directory // versions in service
	Logger    zerolog.Logger
	Self      persimmoncart.Instance
	Store     persimmoncart.Store
	Timer     persimmoncart.Timer

	mutex      sync.Mutex // guards the fields below
	failing    bool       // the last write failed
	listed     time.Time  // when the last successful list began; zero before
	listing    chan struct{}
	origins    policy.StreamOrigins
	restores   uint64                // calls of StoreRestored
	seen       map[string]seenRecord // records of other processes, by key
	version    persimmoncart.Version // of this process's record; zero without one
	writeBegan time.Time             // of the write in progress; zero without one
	written    chan struct{}         // closed after the next write

	signal     chan struct{} // has a value if the record may have to be written
	signalOnce sync.Once     // creates signal
}

// Run writes the record of this process until ctx is done and returns its error.
func (r *StreamRecords) Run(ctx context.Context) error {
	defer r.Timer.Subscribe(streamCheckPeriod, func(time.Time) { r.Signal() })()
	if err := r.list(ctx, r.Timer.Now()); err != nil && ctx.Err() == nil {
		r.Logger.Info().Err(err).Msg("records of streams not read")
	}
	listed := r.Timer.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.signalled():
		}
		pause := streamWriteSpacing * time.Duration(max(1, len(r.Directory.Instances())))
		if !r.write(ctx) {
			pause = streamWriteRetry/2 + rand.N(streamWriteRetry)
			r.Signal()
		}
		if now := r.Timer.Now(); now.Sub(listed) >= r.listPeriod() {
			listed = now
			if err := r.list(ctx, now); err != nil {
				r.Logger.Info().Err(err).Msg("records of streams not read, trying again later")
			}
		}
		r.removeDeparted(ctx)
		_ = r.Timer.Sleep(ctx, pause) // an end of ctx ends the loop
	}
}

// Signal has Run write the record if the versions in service or the streams require
// it. It does not block.
func (r *StreamRecords) Signal() {
	select {
	case r.signalled() <- struct{}{}:
	default: // Run has not handled the last signal yet
	}
}

// signalled returns the channel that Signal sends to.
func (r *StreamRecords) signalled() chan struct{} {
	r.signalOnce.Do(func() { r.signal = make(chan struct{}, 1) })
	return r.signal
}

// StoreRestored records that the store was restored from an older copy, which may have
// lost the record.
func (r *StreamRecords) StoreRestored() {
	r.mutex.Lock()
	r.origins.Lost()
	r.version = 0
	r.restores++
	r.mutex.Unlock()
	r.Signal()
}

// Begin records that a stream begins at an engine, before it is sent there. Deadline is
// that of its caller.
func (r *StreamRecords) Begin(attempt persimmoncart.RequestID, origin persimmoncart.StreamOrigin, deadline time.Time) {
	key := streamKey(attempt)
	r.mutex.Lock()
	remembered := r.origins.Begin(r.Timer.Now(), key, origin, deadline)
	mustWrite := !r.origins.Recorded(key) || r.origins.Lists(origin.Pool)
	r.mutex.Unlock()
	if !remembered {
		r.Logger.Warn().Str("request", string(attempt)).Msg("origin of the stream not recorded: too many streams")
		return
	}
	if mustWrite {
		r.Signal()
	}
}

// AwaitRecord waits until the store has the origin of a stream, so that no event reaches
// a caller before, and reports whether it has. It waits no longer than streamWriteWait.
func (r *StreamRecords) AwaitRecord(ctx context.Context, attempt persimmoncart.RequestID) bool {
	key := streamKey(attempt)
	recorded, written := r.recorded(key)
	if recorded {
		return true
	}
	expired := make(chan time.Time, 1)
	defer r.Timer.After(streamWriteWait, func(now time.Time) { expired <- now })()
	for !recorded {
		select {
		case <-written:
			recorded, written = r.recorded(key)
		case <-ctx.Done():
			return false
		case <-expired:
			return false
		}
	}
	return true
}

// Default returns the version at which streams of a pool begin without a write; empty if
// there is none.
func (r *StreamRecords) Default(pool persimmoncart.PoolName) persimmoncart.SoftwareVersion {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.origins.Default(pool)
}

// Writable reports whether the store is expected to take a write in time: the last one
// has not failed, and none has been under way for longer than streamWriteLate.
func (r *StreamRecords) Writable() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !r.failing && (r.writeBegan.IsZero() || r.Timer.Now().Sub(r.writeBegan) < streamWriteLate)
}

// recorded reports whether the store has the origin of a stream, and returns a channel
// that is closed after the next write.
func (r *StreamRecords) recorded(key persimmoncart.RequestID) (bool, <-chan struct{}) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.written == nil {
		r.written = make(chan struct{})
	}
	return r.origins.Recorded(key), r.written
}

// key returns the key of this process's record.
func (r *StreamRecords) key() string {
	return StreamsPrefix + string(r.Self.ID) + "-" + strconv.FormatUint(uint64(r.Self.Incarnation), 10)
}

// write writes the record of this process if the store's lacks something. It reports
// false if the write failed.
func (r *StreamRecords) write(ctx context.Context) bool {
	if !r.Directory.Ready() {
		return true // no stream has begun
	}
	inService := r.Directory.SoftwareInService()
	r.mutex.Lock()
	next := r.origins.Record(r.Timer.Now(), inService)
	must, version, restores := r.origins.MustWrite(next), r.version, r.restores
	if must {
		r.origins.SetWriting(next)
		r.writeBegan = r.Timer.Now()
	}
	r.mutex.Unlock()
	if !must {
		return true
	}
	err := r.save(ctx, next, version, restores)
	r.endWrite(next, err)
	return err == nil
}

// save writes a record in place of the given version; zero means that there is none. It
// returns an error if the store was restored since the given number of restores, as it may
// have lost the record.
func (r *StreamRecords) save(ctx context.Context, record policy.StreamRecord, version persimmoncart.Version, restores uint64) error {
	value, err := json.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode record of streams")
	}
	if version == 0 {
		version, err = r.Store.Create(ctx, r.key(), value)
	} else {
		version, err = r.Store.Update(ctx, r.key(), value, version)
	}
	if mustReread(err) {
		r.reread(ctx)
	}
	if err != nil {
		return errors.Wrap(err, "write record of streams")
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.restores != restores {
		return errors.Wrap(errRestoredDuringWrite, "write record of streams")
	}
	r.version = version
	r.origins.SetWritten(record, version.Epoch())
	if r.written != nil {
		close(r.written)
		r.written = nil
	}
	if record.Epoch != version.Epoch() {
		defer r.Signal() // the record has to state the epoch
	}
	return nil
}

// reread reads the version of this process's record after a write that may have taken
// effect, so that the next one replaces it.
func (r *StreamRecords) reread(ctx context.Context) {
	object, err := r.Store.Get(ctx, r.key())
	if err != nil && !isNotFound(err) {
		r.Logger.Info().Err(err).Msg("record of streams not read after a write of unknown result")
		return // the next write finds out
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.version = object.Version
}

// endWrite records the end of a write, and logs it unless it is a further failure in a
// row.
func (r *StreamRecords) endWrite(record policy.StreamRecord, err error) {
	r.mutex.Lock()
	failed := r.failing
	r.failing, r.writeBegan = err != nil, time.Time{}
	r.mutex.Unlock()
	if err != nil {
		if !failed {
			r.Logger.Warn().Err(err).Msg("record of streams not written, trying again")
		}
		return
	}
	for pool, streams := range record.Pools {
		r.Logger.Info().Str("pool", string(pool)).Str("default", string(streams.Default)).Int("listed", len(streams.Listed)).Msg("record of streams written")
	}
}

// streamKey returns the identifier of an attempt in records: the identifier itself, or
// a hash of one that is too long.
func streamKey(attempt persimmoncart.RequestID) persimmoncart.RequestID {
	if len(attempt) <= maxStreamKey {
		return attempt
	}
	return persimmoncart.RequestID((&persimmoncart.ForwardRequest{Target: string(attempt)}).Fingerprint())
}
