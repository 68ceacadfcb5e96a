package entry

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/route"
	"github.com/persimmoncart/persimmoncart/internal/slots"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

const (
	// loadPeriod is the interval between load requests to an owned engine: a third
	// of the few seconds within which a leaving endpoint must stop getting new work.
	loadPeriod  = time.Second
	loadTimeout = time.Second // for one load request
	// cacheRetryDelay is the pause before a stream of cache events is opened again.
	cacheRetryDelay = time.Second
)

var (
	_ persimmoncart.InstanceList   = (*leavingRecorder)(nil)
	_ persimmoncart.UsableReplicas = (*engineWatcher)(nil)
)

// An engineWatcher reads the cache events and load reports of the engines that this
// instance owns. It passes them to the slot allocator and adds engines that report
// that they are leaving to Leaving. It removes leaving engines from the usable
// replicas of the slot allocator, which then borrows slots instead. Its exported
// fields are set before Run.
type engineWatcher struct {
	Allocator     *slots.Allocator
	Configuration persimmoncart.Configuration
	Engines       persimmoncart.Engines
	Leaving       *route.LeavingEndpoints
	Timer         persimmoncart.Timer

	applied []persimmoncart.UsableReplica // as last passed to the slot allocator; nil before the first
	changed chan struct{}                 // has a capacity of one; wakes Run
	mutex   sync.Mutex
	usable  []persimmoncart.UsableReplica // from the last SetUsable
}

// Run watches the engines until ctx is done.
func (w *engineWatcher) Run(ctx context.Context) error {
	defer w.Configuration.Subscribe(func(*persimmoncart.Snapshot) { w.wake() })()
	defer w.Timer.Subscribe(loadPeriod, func(time.Time) { w.wake() })()
	followed := make(map[followedEngine]context.CancelFunc)
	var group sync.WaitGroup
	defer group.Wait()
	for {
		w.updateFollowed(ctx, &group, followed)
		w.mutex.Lock()
		w.updateAllocator()
		w.mutex.Unlock()
		select {
		case <-ctx.Done():
			for _, stop := range followed {
				stop()
			}
			return ctx.Err()
		case <-w.changed:
		}
	}
}

// A followedEngine identifies an engine that is watched. A change of its address or
// role starts a new watch.
type followedEngine struct {
	addr netip.AddrPort
	id   persimmoncart.EndpointID
	role persimmoncart.Role
}

// SetUsable implements persimmoncart.UsableReplicas. It does not block, because its
// callers hold locks.
func (w *engineWatcher) SetUsable(replicas []persimmoncart.UsableReplica) {
	w.mutex.Lock()
	w.usable = slices.Clone(replicas)
	w.updateAllocator()
	w.mutex.Unlock()
	w.wake()
}

// updateAllocator passes the usable replicas that are not leaving to the slot
// allocator, if they have changed. The caller holds the mutex, so that an older set
// cannot replace a newer one.
func (w *engineWatcher) updateAllocator() {
	leaving := w.Leaving.List()
	staying := slices.DeleteFunc(slices.Clone(w.usable), func(u persimmoncart.UsableReplica) bool {
		return slices.Contains(leaving, u.Endpoint)
	})
	if w.applied == nil || !slices.Equal(staying, w.applied) {
		w.applied = staying
		w.Allocator.SetUsable(staying)
	}
}

// wake makes Run check the owned engines again.
func (w *engineWatcher) wake() {
	select {
	case w.changed <- struct{}{}:
	default: // Run is due to check already
	}
}

// updateFollowed starts watching newly owned engines and stops watching others.
func (w *engineWatcher) updateFollowed(ctx context.Context, group *sync.WaitGroup, followed map[followedEngine]context.CancelFunc) {
	owned := w.ownedEngines()
	for e, stop := range followed {
		if !owned[e] {
			stop()
			delete(followed, e)
		}
	}
	for e := range owned {
		if followed[e] != nil {
			continue
		}
		engineCtx, stop := context.WithCancel(ctx)
		followed[e] = stop
		group.Go(func() { w.followLoad(engineCtx, e) })
		if e.role == persimmoncart.RolePrefill {
			group.Go(func() { w.followCacheEvents(engineCtx, e) })
		}
	}
}

// ownedEngines returns the engines that this instance owns and that are configured.
func (w *engineWatcher) ownedEngines() map[followedEngine]bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	s := w.Configuration.Snapshot()
	out := make(map[followedEngine]bool, len(w.usable))
	for _, u := range w.usable {
		if e := s.Endpoints[u.Endpoint]; e != nil && u.Owned {
			out[followedEngine{addr: e.Addr, id: u.Endpoint, role: e.Role}] = true
		}
	}
	return out
}

// followCacheEvents passes the cache events of one engine to the slot allocator
// until ctx is done.
func (w *engineWatcher) followCacheEvents(ctx context.Context, e followedEngine) {
	var last uint64
	for ctx.Err() == nil {
		err := w.readCacheEvents(ctx, e, &last)
		unavailable := &persimmoncart.UnavailableError{}
		if errors.As(err, &unavailable) {
			last = 0 // the engine may have restarted, which resets its sequence numbers
		}
		if w.Timer.Sleep(ctx, cacheRetryDelay) != nil {
			return
		}
	}
}

// readCacheEvents passes the cache events after sequence number last to the slot
// allocator and advances last, until the stream breaks. It returns the stream's
// error.
func (w *engineWatcher) readCacheEvents(ctx context.Context, e followedEngine, last *uint64) error {
	stream, err := w.Engines.Engine(e.addr).CacheEvents(ctx, *last)
	if err != nil {
		return errors.Wrap(err, "open cache events")
	}
	defer func() { _ = stream.Close() }()
	for {
		event, err := stream.Next(ctx)
		if err != nil {
			return errors.Wrap(err, "read cache events")
		}
		*last = event.Sequence
		w.Allocator.ApplyCacheEvent(e.id, event)
	}
}

// followLoad passes the load reports of one engine to the slot allocator, and adds
// the engine to Leaving when it reports that it is leaving, until ctx is done.
func (w *engineWatcher) followLoad(ctx context.Context, e followedEngine) {
	for w.Timer.Sleep(ctx, loadPeriod) == nil {
		loadCtx, stop := timer.WithTimeout(ctx, w.Timer, loadTimeout, nil)
		report, err := w.Engines.Engine(e.addr).Load(loadCtx)
		stop()
		if err != nil {
			continue
		}
		if report.Role != 0 {
			w.Allocator.ApplyLoadReport(e.id, report)
		}
		if report.Leaving {
			w.Leaving.AddDirect(e.id)
		}
	}
}

// A leavingRecorder is an instance list that records leaving endpoints as it is read,
// which saves reading the list a second time for them.
type leavingRecorder struct {
	leaving *route.LeavingEndpoints
	list    persimmoncart.InstanceList
}

// List implements persimmoncart.InstanceList.
func (r *leavingRecorder) List(ctx context.Context) ([]persimmoncart.ListEntry, error) {
	entries, err := r.list.List(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read instance list")
	}
	for _, e := range entries {
		if e.Endpoint != nil && e.Endpoint.Leaving {
			r.leaving.AddDirect(e.Endpoint.ID)
		}
	}
	return entries, nil
}
