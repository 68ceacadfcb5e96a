package forward

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

const (
	// streamLookupTimeout bounds the search for the origin of a stream.
	streamLookupTimeout = 500 * time.Millisecond
	// streamListSpacing is the shortest mean time between two lists of all instances
	// together, however many streams of unknown origin are resumed.
	streamListSpacing = time.Millisecond
	// streamListPeriod is the mean time between two lists that search for records of
	// departed instances. It varies, so that mostly one instance finds them. It is
	// disagreedListPeriod while other processes have other default versions.
	streamListPeriod    = 5 * time.Minute
	disagreedListPeriod = 10 * time.Second
	// streamRetention is the time for which the record of a departed process is kept:
	// callers do not resume streams later.
	streamRetention = time.Minute
)

// errOriginUnknown reports a stream that no record tells the origin of.
var errOriginUnknown = errors.New("no record of where the stream began")

// A seenRecord is a version of a record and when it was first seen.
type seenRecord struct {
	since   time.Time
	version persimmoncart.Version
}

// Origin returns where the stream began whose first event the given attempt brought.
// Pools are those that it may have begun in. It returns an error that wraps
// errOriginUnknown if the records do not tell, and another one if they cannot be read.
func (r *StreamRecords) Origin(ctx context.Context, attempt persimmoncart.RequestID, pools []persimmoncart.PoolName) (persimmoncart.StreamOrigin, error) {
	key := streamKey(attempt)
	if origin, found := r.lookUp(key, nil); found {
		return origin, nil
	}
	ctx, stop := timer.WithTimeout(ctx, r.Timer, streamLookupTimeout, nil)
	defer stop()
	// The caller has an event, so that its stream was recorded before now.
	if err := r.list(ctx, r.Timer.Now()); err != nil {
		return persimmoncart.StreamOrigin{}, err
	}
	if origin, found := r.lookUp(key, pools); found {
		return origin, nil
	}
	return persimmoncart.StreamOrigin{}, errors.Wrapf(errOriginUnknown, "attempt %s", attempt)
}

// lookUp returns the origin of a stream that is listed or, if pools are given, of one
// that began in one of them and is not listed.
func (r *StreamRecords) lookUp(key persimmoncart.RequestID, pools []persimmoncart.PoolName) (persimmoncart.StreamOrigin, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.origins.Origin(key, pools)
}

// list reads the records of all other processes, unless a list that began after the
// given time has done so. One list at a time serves all that wait for it.
func (r *StreamRecords) list(ctx context.Context, after time.Time) error {
	busy := r.busy()
	select {
	case busy <- struct{}{}:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for records of streams")
	}
	defer func() { <-busy }()
	r.mutex.Lock()
	listed := r.listed
	r.mutex.Unlock()
	if listed.After(after) {
		return nil
	}
	spacing := streamListSpacing * time.Duration(max(1, len(r.Directory.Instances())))
	if err := r.Timer.Sleep(ctx, listed.Add(spacing).Sub(r.Timer.Now())); err != nil {
		return errors.Wrap(err, "wait for records of streams")
	}
	began := r.Timer.Now()
	objects, err := r.Store.List(ctx, StreamsPrefix)
	if err != nil {
		return errors.Wrap(err, "list records of streams")
	}
	r.setOthers(objects, began)
	return nil
}

// busy returns the channel that has a value during a list.
func (r *StreamRecords) busy() chan struct{} {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.listing == nil {
		r.listing = make(chan struct{}, 1)
	}
	return r.listing
}

// setOthers takes over the records that a list returned. One that cannot be read is
// logged and left out.
func (r *StreamRecords) setOthers(objects []persimmoncart.Object, began time.Time) {
	records, epoch := make(map[string]policy.StreamRecord), uint64(0)
	seen := make(map[string]seenRecord)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, o := range objects {
		epoch = max(epoch, o.Version.Epoch())
		if o.Key == r.key() {
			continue
		}
		var record policy.StreamRecord
		if err := json.Unmarshal(o.Value, &record); err != nil {
			r.Logger.Warn().Str("key", o.Key).Uint64("version", uint64(o.Version)).Err(err).Msg("unreadable record of streams ignored")
			continue
		}
		records[o.Key] = record
		seen[o.Key] = seenRecord{since: began, version: o.Version}
		if old, found := r.seen[o.Key]; found && old.version == o.Version {
			seen[o.Key] = old
		}
	}
	r.origins.SetOthers(records, epoch)
	r.seen, r.listed = seen, began
}

// listPeriod returns the time between two lists, at random between 0.5 and 1.5 times of
// the mean.
func (r *StreamRecords) listPeriod() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	period := streamListPeriod
	if r.origins.Disagrees() {
		period = disagreedListPeriod
	}
	return period/2 + rand.N(period)
}

// recordInstance returns the instance of a record's key.
func recordInstance(key string) persimmoncart.InstanceID {
	name := strings.TrimPrefix(key, StreamsPrefix)
	return persimmoncart.InstanceID(name[:max(0, strings.LastIndexByte(name, '-'))])
}

// removeDeparted removes the records of processes that have been gone for
// streamRetention: earlier ones of this instance, and those of instances that are no
// longer in service.
func (r *StreamRecords) removeDeparted(ctx context.Context) {
	for key, version := range r.departed() {
		if err := r.Store.Delete(ctx, key, version); err != nil && !isNotFound(err) {
			r.Logger.Info().Str("key", key).Err(err).Msg("record of a departed process not removed")
		}
	}
}

// departed returns the records that are no longer needed, and forgets them.
func (r *StreamRecords) departed() map[string]persimmoncart.Version {
	departed := make(map[string]persimmoncart.Version)
	now, instances := r.Timer.Now(), r.Directory.Instances()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for key, record := range r.seen {
		if now.Sub(record.since) < streamRetention {
			continue
		}
		id := recordInstance(key)
		gone := len(instances) > 0 && !slices.Contains(instances, id) // without any, they are not known yet
		if gone || id == r.Self.ID {
			departed[key] = record.version
			delete(r.seen, key)
		}
	}
	return departed
}
