// Package claim guards calls that must not run twice. Each call is recorded in the
// store before it is dispatched, so that at most one instance dispatches it, and
// only once.
//
// All records of a key are in one bucket. A bucket consists of a head object, which
// every change rewrites by conditional update, and sealed objects that never
// change. Any instance may write any bucket, but normally one instance writes each
// bucket: it commits in batches, which needs fewer writes.
package claim

import (
	"context"
	"encoding/binary"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/persimmoncart/persimmoncart"
	claimv1 "github.com/persimmoncart/persimmoncart/proto/claim/v1"
)

const (
	// DefaultBuckets suits a deployment of 8 instances; docs/CAPACITY.md derives
	// the number from the rate of claims. It must be the same on all instances and
	// must not change while records are kept.
	DefaultBuckets = 16
	// DefaultRetention is the time for which the record of a key is kept.
	DefaultRetention = 24 * time.Hour
	// MinRetention is far above the time for which a grant allows a dispatch, so
	// that a paused claimant cannot dispatch after the record of its key is
	// removed.
	MinRetention = time.Hour

	// maxCachedBuckets bounds the buckets that an instance caches. It writes only
	// a few buckets itself, and others only while their writer is unreachable.
	maxCachedBuckets = 32
	// maxCommitAttempts bounds the attempts of one commit, each of which may meet a
	// conflict.
	maxCommitAttempts = 16
	// sealBytes is the size of a head above which its records move to a sealed
	// object. Each commit rewrites the head, so a small head keeps commits cheap.
	// An object of the store holds up to 1 MB.
	sealBytes = 64 << 10

	keyPrefix = "claims/"
)

// A SettlementError reports the settlement of a call that was never claimed, or
// whose claim another one has replaced.
type SettlementError struct {
	Key   persimmoncart.ClaimKey
	State persimmoncart.ClaimState
}

// Error implements error.
func (e *SettlementError) Error() string {
	return fmt.Sprintf("no claim of %x to settle as %s", e.Key[:], e.State)
}

// A bucketStore reads buckets from the store and commits operations on them.
// Commits to one bucket must not run concurrently.
type bucketStore struct {
	retention     time.Duration
	sealThreshold int // bytes
	self          persimmoncart.Tag
	sequence      atomic.Uint64 // of the last sealed object
	store         persimmoncart.Store
	timer         persimmoncart.Timer

	buckets      map[int]*bucket
	mutex        sync.Mutex // guards buckets, recentlyUsed
	recentlyUsed []int      // numbers of buckets, most recently used last
}

// bucketOf returns the number of the key's bucket.
func bucketOf(key persimmoncart.ClaimKey, buckets int) int {
	return int(binary.BigEndian.Uint64(key[:8]) % uint64(buckets)) //nolint:gosec // Below buckets.
}

// commit evaluates the operations in order and writes the changes with one
// conditional update. It returns an *UnavailableError if the changes may not have
// been written.
func (bs *bucketStore) commit(ctx context.Context, number int, operations []operation) ([]operationResult, error) {
	fresh := false
	for range maxCommitAttempts {
		b, err := bs.load(ctx, number, &fresh)
		if err != nil {
			return nil, err
		}
		results, changed := bs.evaluate(b, operations)
		switch {
		case !changed && (fresh || allFinal(results)):
			return results, nil
		case !changed:
			// A cached copy may be out of date, so results that may still change
			// must come from a fresh one.
			bs.invalidate(number)
			continue
		}
		err = bs.write(ctx, number, b)
		if err == nil {
			return results, nil
		}
		bs.invalidate(number)
		var ambiguous *persimmoncart.AmbiguousError
		var conflict *persimmoncart.ConflictError
		// In both cases the next attempt reads the bucket again: a record with the
		// operation's nonce shows that the write took place.
		if !errors.As(err, &ambiguous) && !errors.As(err, &conflict) {
			return nil, unavailable(err)
		}
	}
	return nil, unavailable(&ContentionError{Bucket: number})
}

// evaluate applies the operations to b and reports whether its head changed.
func (bs *bucketStore) evaluate(b *bucket, operations []operation) ([]operationResult, bool) {
	now := bs.timer.Now()
	results := make([]operationResult, len(operations))
	changed := false
	for i, o := range operations {
		r, headChanged := b.apply(o, now)
		results[i] = r
		changed = changed || headChanged
	}
	return results, changed
}

// allFinal reports whether later writes cannot change the results.
func allFinal(results []operationResult) bool {
	for _, r := range results {
		if r.err != nil || r.record.GetState() != claimv1.State_ANSWERED {
			return false
		}
	}
	return true
}

// invalidate drops the cached head of the bucket and keeps its sealed objects.
func (bs *bucketStore) invalidate(number int) {
	bs.mutex.Lock()
	defer bs.mutex.Unlock()
	if b := bs.buckets[number]; b != nil {
		b.head = nil
	}
}

// load returns the bucket from the cache, or from the store if it isn't cached.
// It sets fresh if it read the store.
func (bs *bucketStore) load(ctx context.Context, number int, fresh *bool) (*bucket, error) {
	cached := bs.cachedBucket(number)
	if cached != nil && cached.head != nil {
		return cached, nil
	}
	var segments map[string]map[persimmoncart.ClaimKey]*claimv1.Record
	if cached != nil {
		segments = cached.segments
	}
	b, err := bs.read(ctx, number, segments)
	if err != nil {
		return nil, unavailable(err)
	}
	*fresh = true
	bs.mutex.Lock()
	defer bs.mutex.Unlock()
	if bs.buckets == nil {
		bs.buckets = make(map[int]*bucket)
	}
	bs.buckets[number] = b
	return b, nil
}

// cachedBucket returns the cached bucket, or nil if there is none. It marks the
// bucket as used and evicts the least recently used one above maxCachedBuckets.
func (bs *bucketStore) cachedBucket(number int) *bucket {
	bs.mutex.Lock()
	defer bs.mutex.Unlock()
	bs.recentlyUsed = append(slices.DeleteFunc(bs.recentlyUsed, func(n int) bool { return n == number }), number)
	if len(bs.recentlyUsed) > maxCachedBuckets {
		delete(bs.buckets, bs.recentlyUsed[0])
		bs.recentlyUsed = bs.recentlyUsed[1:]
	}
	return bs.buckets[number]
}

// read reads the head of the bucket and the sealed objects that are not in cached.
func (bs *bucketStore) read(ctx context.Context, number int, cached map[string]map[persimmoncart.ClaimKey]*claimv1.Record) (*bucket, error) {
	head := &claimv1.Head{}
	object, err := bs.store.Get(ctx, headKey(number))
	if missing := (*persimmoncart.NotFoundError)(nil); err != nil && !errors.As(err, &missing) {
		return nil, err
	}
	if err := proto.Unmarshal(object.Value, head); err != nil {
		return nil, errors.Wrapf(err, "decode head of bucket %d", number)
	}
	segments := make(map[string]map[persimmoncart.ClaimKey]*claimv1.Record, len(head.GetSegments()))
	oldest := bs.timer.Now().Add(-bs.retention)
	for _, s := range head.GetSegments() {
		if time.Unix(s.GetNewest(), 0).Before(oldest) {
			continue // the next write drops it; it may be deleted already
		}
		if records, ok := cached[s.GetName()]; ok {
			segments[s.GetName()] = records
			continue
		}
		object, err := bs.store.Get(ctx, segmentKey(number, s.GetName()))
		if err != nil {
			return nil, err
		}
		sealed := &claimv1.Sealed{}
		if err := proto.Unmarshal(object.Value, sealed); err != nil {
			return nil, errors.Wrapf(err, "decode segment %q of bucket %d", s.GetName(), number)
		}
		segments[s.GetName()] = indexRecords(sealed.GetRecords())
	}
	return newBucket(head, object.Version, segments), nil
}

// sealHead moves the records of the head into a new sealed object.
func (bs *bucketStore) sealHead(ctx context.Context, number int, b *bucket) error {
	name := fmt.Sprintf("%s-%d-%d", bs.self.Instance, bs.self.Incarnation, bs.sequence.Add(1))
	segment := &claimv1.Sealed{Records: slices.Clone(b.head.GetRecords())}
	value, err := proto.Marshal(segment)
	if err != nil {
		return errors.Wrap(err, "encode segment")
	}
	if _, err := bs.store.Create(ctx, segmentKey(number, name), value); err != nil {
		return err
	}
	newest := int64(0)
	for _, r := range segment.GetRecords() {
		newest = max(newest, r.GetAt())
	}
	b.head.Segments = append(b.head.Segments, &claimv1.Segment{
		Name:    name,
		Newest:  newest,
		Records: int32(len(segment.GetRecords())), //nolint:gosec // Bounded by the size of the head.
	})
	b.segments[name] = b.headIndex
	b.head.Records = nil
	b.headIndex = make(map[persimmoncart.ClaimKey]*claimv1.Record)
	return nil
}

// write stores the head of b and deletes the sealed objects that are older than
// the retention. If the head is larger than sealThreshold, it first seals its
// records.
func (bs *bucketStore) write(ctx context.Context, number int, b *bucket) error {
	dropped := b.prune(bs.timer.Now().Add(-bs.retention))
	if proto.Size(b.head) > bs.sealThreshold {
		if err := bs.sealHead(ctx, number, b); err != nil {
			return err
		}
	}
	value, err := proto.Marshal(b.head)
	if err != nil {
		return errors.Wrapf(err, "encode head of bucket %d", number)
	}
	version := b.version
	if version == 0 {
		version, err = bs.store.Create(ctx, headKey(number), value)
	} else {
		version, err = bs.store.Update(ctx, headKey(number), value, version)
	}
	if err != nil {
		return err
	}
	b.version = version
	for _, name := range dropped {
		delete(b.segments, name)
		bs.remove(ctx, segmentKey(number, name))
	}
	return nil
}

// remove deletes an object to which no head refers. It ignores errors, because an
// object that is left over only takes space.
func (bs *bucketStore) remove(ctx context.Context, key string) {
	object, err := bs.store.Get(ctx, key)
	if err != nil {
		return
	}
	_ = bs.store.Delete(ctx, key, object.Version)
}

// headKey returns the key of a bucket's head.
func headKey(number int) string { return fmt.Sprintf("%s%d/head", keyPrefix, number) }

// segmentKey returns the key of a sealed object.
func segmentKey(number int, name string) string {
	return fmt.Sprintf("%s%d/sealed/%s", keyPrefix, number, name)
}

// unavailable returns err, wrapped in an *UnavailableError unless it is one.
func unavailable(err error) error {
	var unavailableError *persimmoncart.UnavailableError
	if errors.As(err, &unavailableError) {
		return err
	}
	return &persimmoncart.UnavailableError{Err: err, Operation: "commit claims"}
}

// A ContentionError reports that other instances changed a bucket during each
// attempt of a commit.
type ContentionError struct {
	Bucket int
}

// Error implements error.
func (e *ContentionError) Error() string {
	return fmt.Sprintf("bucket %d changed %d times during one commit", e.Bucket, maxCommitAttempts)
}
