package forward

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/quota"
)

const (
	// HeartbeatsPrefix is the prefix of the store's records of instances. The identifier
	// of the instance follows it.
	HeartbeatsPrefix = "instances/"
	// heartbeatPeriod is the shortest mean time between two heartbeats of an instance.
	heartbeatPeriod = time.Minute
	// heartbeatSpacing is the shortest mean time between two heartbeats of all instances
	// together. Each of them reaches all instances.
	heartbeatSpacing = 250 * time.Millisecond
	// heartbeatExpiry is the number of periods without a heartbeat after which an instance
	// is taken to be gone.
	heartbeatExpiry = 4
	// heartbeatRetryPause is the mean pause after a failed heartbeat.
	heartbeatRetryPause = 2 * time.Second
	// minHeartbeatPause is the shortest pause between two heartbeats.
	minHeartbeatPause = 100 * time.Millisecond
	// restoredHeartbeatSpread is the time over which all instances write their heartbeats
	// anew after the store was restored.
	restoredHeartbeatSpread = 2 * time.Second
	// heartbeatAttempts is the number of writes of a heartbeat whose record has another
	// version than expected.
	heartbeatAttempts = 3
)

// Heartbeats finds the instances that are in service by their heartbeats: each instance
// has a record in the store that it writes again and again, and that all follow. A
// record that is not written any more is removed by whichever instance notices it first.
//
// An instance that has gone counts for some minutes more. Its exported fields are set
// before Run.
type Heartbeats struct {
	Changed func([]persimmoncart.InstanceID) // called with all instances, this one included, in ascending order; must not block
	Logger  zerolog.Logger
	Ring    HeartbeatRing // learns of all records; nil if they state nothing for it
	Self    persimmoncart.Instance
	Store   persimmoncart.Store
	Timer   persimmoncart.Timer

	count   uint64 // heartbeats written
	found   bool   // it is known whether an earlier process has written the record
	listed  bool
	lost    bool // the store is unreachable
	members map[persimmoncart.InstanceID]heartbeat
	mutex   sync.Mutex // guards the fields above but count and found
	version persimmoncart.Version
	wake    chan struct{} // asks Run for a heartbeat
}

// A HeartbeatRing chooses instances by their records. Its methods must not block.
type HeartbeatRing interface {
	// Confirmed is called after Listed if Written asked for it.
	Confirmed()
	// Contact is called after each response of the store, when all records up to a
	// version have been observed.
	Contact(version persimmoncart.Version)
	// Due returns the time until the next heartbeat has to be written; false if it may
	// be written at any time.
	Due() (time.Duration, bool)
	// Found is called if the instance's record, with what it states for the ring, was
	// written by an earlier process.
	Found(r *quota.Record, epoch uint64)
	// Gone is called when the record of an instance was removed.
	Gone(id persimmoncart.InstanceID)
	// Listed is called when all records have been observed.
	Listed()
	// Observe is called with the record of an instance; nil if it states nothing.
	Observe(id persimmoncart.InstanceID, incarnation persimmoncart.Incarnation, r *quota.Record)
	// Record returns what the next heartbeat of this instance states.
	Record() quota.Record
	// Written is called when a heartbeat was written that began at a time, with its new
	// version. It reports whether all records have to be listed now.
	Written(began time.Time, r quota.Record, created bool, version persimmoncart.Version) (mustList bool)
}

// A heartbeat is the last known heartbeat of an instance.
type heartbeat struct {
	seen    time.Time
	version persimmoncart.Version
}

// A storedHeartbeat is the value of a record.
type storedHeartbeat struct {
	Count       uint64                    `json:"count"` // of the process; makes each value differ from the last
	Incarnation persimmoncart.Incarnation `json:"incarnation"`
	Quota       *quota.Record             `json:"quota,omitempty"`
}

// Run writes heartbeats until ctx is done and returns its error.
func (h *Heartbeats) Run(ctx context.Context) error {
	for {
		pause := h.period()
		if err := h.beat(ctx); err != nil && ctx.Err() == nil {
			h.Logger.Info().Err(err).Msg("heartbeat not written, trying again")
			pause = heartbeatRetryPause
		}
		h.removeExpired(ctx)
		if err := h.pause(ctx, pause/2+rand.N(pause)); err != nil {
			return ctx.Err()
		}
	}
}

// StoreRestored handles that the store was restored from an older copy, which may lack the
// record: it is written anew.
func (h *Heartbeats) StoreRestored() {
	if h.Ring == nil {
		return
	}
	select {
	case h.wakeSignal() <- struct{}{}:
	default: // a heartbeat is due already
	}
}

// wakeSignal returns the channel that asks Run for a heartbeat.
func (h *Heartbeats) wakeSignal() chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.wake == nil {
		h.wake = make(chan struct{}, 1)
	}
	return h.wake
}

// pause waits until the next heartbeat.
func (h *Heartbeats) pause(ctx context.Context, d time.Duration) error {
	if h.Ring == nil {
		return h.Timer.Sleep(ctx, d)
	}
	if due, found := h.Ring.Due(); found {
		d = min(d, max(due, minHeartbeatPause))
	}
	over := make(chan struct{})
	stop := h.Timer.After(d, func(time.Time) { close(over) })
	defer stop()
	select {
	case <-over:
	case <-h.wakeSignal():
		// All instances notice the restore at the same time.
		return h.Timer.Sleep(ctx, rand.N(restoredHeartbeatSpread))
	case <-ctx.Done():
	}
	return ctx.Err()
}

// HandleChange handles a change of a record.
func (h *Heartbeats) HandleChange(e persimmoncart.WatchEvent) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	id := heartbeatInstance(e.Object.Key)
	_, known := h.members[id]
	if e.Deleted {
		delete(h.members, id)
		if h.Ring != nil {
			h.Ring.Gone(id)
		}
	} else {
		h.add(&e.Object)
	}
	if known == e.Deleted {
		h.report()
	}
}

// HandleList handles a list of all records. Instances that are not listed are kept until
// they expire: a store that was restored from an older copy has lost their records.
func (h *Heartbeats) HandleList(objects []persimmoncart.Object) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.listed = true
	for n := range objects {
		h.add(&objects[n])
	}
	if h.Ring != nil {
		h.Ring.Listed()
	}
	h.report()
}

// HandleContact handles a response of the store after which all changes up to a version
// are known.
func (h *Heartbeats) HandleContact(version persimmoncart.Version) {
	if h.Ring != nil {
		h.Ring.Contact(version)
	}
}

// SetStoreReachable records whether the store is reachable. While it is not, no heartbeats
// are seen, which says nothing of the instances.
func (h *Heartbeats) SetStoreReachable(reachable bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.lost = !reachable
	for id, m := range h.members {
		m.seen = h.Timer.Now()
		h.members[id] = m
	}
}

// add records a heartbeat. The caller holds the mutex.
func (h *Heartbeats) add(o *persimmoncart.Object) {
	if h.members == nil {
		h.members = make(map[persimmoncart.InstanceID]heartbeat)
	}
	id := heartbeatInstance(o.Key)
	if o.Version <= h.members[id].version {
		return
	}
	h.members[id] = heartbeat{seen: h.Timer.Now(), version: o.Version}
	if h.Ring != nil {
		stored := h.decode(o.Value)
		h.Ring.Observe(id, stored.Incarnation, stored.Quota)
	}
}

// report calls Changed with all instances. The caller holds the mutex.
func (h *Heartbeats) report() {
	if !h.listed {
		return
	}
	instances := slices.Collect(maps.Keys(h.members))
	if _, found := h.members[h.Self.ID]; !found {
		instances = append(instances, h.Self.ID)
	}
	slices.Sort(instances)
	h.Logger.Info().Int("instances", len(instances)).Msg("instances in service")
	h.Changed(instances)
}

// period returns the mean time between two heartbeats of this instance.
func (h *Heartbeats) period() time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return max(heartbeatPeriod, time.Duration(len(h.members))*heartbeatSpacing)
}

// beat writes one heartbeat.
func (h *Heartbeats) beat(ctx context.Context) error {
	h.count++
	key := HeartbeatsPrefix + string(h.Self.ID)
	var err error
	for range heartbeatAttempts {
		began, stored := h.Timer.Now(), h.next()
		value, encodeErr := json.Marshal(stored)
		if encodeErr != nil {
			return errors.Wrap(encodeErr, "encode heartbeat")
		}
		created := h.version == 0
		if created {
			h.version, err = h.Store.Create(ctx, key, value)
		} else {
			h.version, err = h.Store.Update(ctx, key, value, h.version)
		}
		if err == nil {
			return h.written(ctx, began, stored.Quota, created)
		}
		if !mustReread(err) {
			break
		}
		object, readErr := h.Store.Get(ctx, key)
		if readErr != nil && !isNotFound(readErr) {
			return errors.Wrap(readErr, "read heartbeat")
		}
		h.version = object.Version // zero if there is none
		if readErr == nil && h.Ring != nil && !h.found {
			h.found = true
			if earlier := h.decode(object.Value); earlier.Incarnation != h.Self.Incarnation {
				h.Ring.Found(earlier.Quota, object.Version.Epoch())
			}
		}
	}
	return errors.Wrap(err, "write heartbeat")
}

// next returns the next heartbeat of this instance.
func (h *Heartbeats) next() storedHeartbeat {
	stored := storedHeartbeat{Count: h.count, Incarnation: h.Self.Incarnation}
	if h.Ring != nil {
		r := h.Ring.Record()
		r.Epoch = h.version.Epoch()
		stored.Quota = &r
	}
	return stored
}

// written tells the ring of a heartbeat, and of all records if it asks for them.
func (h *Heartbeats) written(ctx context.Context, began time.Time, r *quota.Record, created bool) error {
	if h.Ring == nil {
		return nil
	}
	h.found = true // a record that is read from now on is that of this process
	if !h.Ring.Written(began, *r, created, h.version) {
		return nil
	}
	objects, err := h.Store.List(ctx, HeartbeatsPrefix)
	if err != nil {
		return errors.Wrap(err, "list heartbeats")
	}
	h.HandleList(objects)
	h.Ring.Confirmed()
	return nil
}

// removeExpired removes the records of instances that are gone.
func (h *Heartbeats) removeExpired(ctx context.Context) {
	for id, m := range h.takeExpired() {
		err := h.Store.Delete(ctx, HeartbeatsPrefix+string(id), m.version)
		h.Logger.Info().Str("member", string(id)).AnErr("cause", err).Msg("instance without heartbeats removed")
		if h.Ring != nil && (err == nil || isNotFound(err)) {
			h.Ring.Gone(id) // not before: it may just have returned
		}
	}
}

// takeExpired forgets the instances that are gone and returns their last heartbeats.
func (h *Heartbeats) takeExpired() map[persimmoncart.InstanceID]heartbeat {
	expiry := heartbeatExpiry * h.period()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	expired := make(map[persimmoncart.InstanceID]heartbeat)
	for id, m := range h.members {
		if !h.lost && id != h.Self.ID && h.Timer.Now().Sub(m.seen) >= expiry {
			expired[id] = m
			delete(h.members, id)
		}
	}
	if len(expired) > 0 {
		h.report()
	}
	return expired
}

// decode decodes the value of a record. One that is not valid is logged and counts as
// missing.
func (h *Heartbeats) decode(value []byte) storedHeartbeat {
	var stored storedHeartbeat
	if err := json.Unmarshal(value, &stored); err != nil {
		h.Logger.Warn().Err(err).Msg("heartbeat ignored")
		return storedHeartbeat{}
	}
	return stored
}

// heartbeatInstance returns the instance of a record's key.
func heartbeatInstance(key string) persimmoncart.InstanceID {
	return persimmoncart.InstanceID(strings.TrimPrefix(key, HeartbeatsPrefix))
}
