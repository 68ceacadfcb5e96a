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
	Self    persimmoncart.Instance
	Store   persimmoncart.Store
	Timer   persimmoncart.Timer

	count   uint64 // heartbeats written
	listed  bool
	lost    bool // the store is unreachable
	members map[persimmoncart.InstanceID]heartbeat
	mutex   sync.Mutex // guards the fields above but count
	version persimmoncart.Version
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
		if err := h.Timer.Sleep(ctx, pause/2+rand.N(pause)); err != nil {
			return ctx.Err()
		}
	}
}

// HandleChange handles a change of a record.
func (h *Heartbeats) HandleChange(e persimmoncart.WatchEvent) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	id := heartbeatInstance(e.Object.Key)
	_, known := h.members[id]
	if e.Deleted {
		delete(h.members, id)
	} else {
		h.add(id, e.Object.Version)
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
	for _, o := range objects {
		h.add(heartbeatInstance(o.Key), o.Version)
	}
	h.report()
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
func (h *Heartbeats) add(id persimmoncart.InstanceID, version persimmoncart.Version) {
	if h.members == nil {
		h.members = make(map[persimmoncart.InstanceID]heartbeat)
	}
	if version > h.members[id].version {
		h.members[id] = heartbeat{seen: h.Timer.Now(), version: version}
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
	value, err := json.Marshal(storedHeartbeat{Count: h.count, Incarnation: h.Self.Incarnation})
	if err != nil {
		return errors.Wrap(err, "encode heartbeat")
	}
	key := HeartbeatsPrefix + string(h.Self.ID)
	for range heartbeatAttempts {
		if h.version == 0 {
			h.version, err = h.Store.Create(ctx, key, value)
		} else {
			h.version, err = h.Store.Update(ctx, key, value, h.version)
		}
		if err == nil {
			return nil
		}
		if !mustReread(err) {
			break
		}
		object, readErr := h.Store.Get(ctx, key)
		if readErr != nil && !isNotFound(readErr) {
			return errors.Wrap(readErr, "read heartbeat")
		}
		h.version = object.Version // zero if there is none
	}
	return errors.Wrap(err, "write heartbeat")
}

// removeExpired removes the records of instances that are gone.
func (h *Heartbeats) removeExpired(ctx context.Context) {
	for id, m := range h.takeExpired() {
		err := h.Store.Delete(ctx, HeartbeatsPrefix+string(id), m.version)
		h.Logger.Info().Str("member", string(id)).AnErr("cause", err).Msg("instance without heartbeats removed")
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

// heartbeatInstance returns the instance of a record's key.
func heartbeatInstance(key string) persimmoncart.InstanceID {
	return persimmoncart.InstanceID(strings.TrimPrefix(key, HeartbeatsPrefix))
}
