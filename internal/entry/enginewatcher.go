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
	// loadPeriod is how often an owned engine is asked for its load: a third of
	// the few seconds after which a leaving endpoint gets no new work.
	loadPeriod  = time.Second
	loadTimeout = time.Second
	// cacheRetryDelay is the pause before a broken stream of cache events is opened again.
	cacheRetryDelay = time.Second
)

var (
	_ persimmoncart.InstanceList   = (*leavingRecorder)(nil)
	_ persimmoncart.UsableReplicas = (*engineWatcher)(nil)
)

// A engineWatcher follows the engines that this instance owns: cache events go to the
// places, and engines that say that they are leaving to Leaving. It takes those
// that are leaving out of the places, so that these borrow instead. Its exported
// fields are set before Run.
type engineWatcher struct {
	Allocator     *slots.Allocator
	Configuration persimmoncart.Configuration
	Engines       persimmoncart.Engines
	Leaving       *route.LeavingEndpoints
	Timer         persimmoncart.Timer

	applied []persimmoncart.UsableReplica // as last passed to the slot allocator; nil before the first
	changed chan struct{}
	mutex   sync.Mutex
	usable  []persimmoncart.UsableReplica
}

// Run follows the engines until ctx is done.
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

// A followedEngine is an engine at an address in a role, each of which may change.
type followedEngine struct {
	addr netip.AddrPort
	id   persimmoncart.EndpointID
	role persimmoncart.Role
}

// SetUsable implements persimmoncart.UsableReplicas. It does not wait, because its
// callers hold locks.
func (w *engineWatcher) SetUsable(replicas []persimmoncart.UsableReplica) {
	w.mutex.Lock()
	w.usable = slices.Clone(replicas)
	w.updateAllocator()
	w.mutex.Unlock()
	w.wake()
}

// updateAllocator gives the places the usable replicas that are not leaving, if they have
// changed. The mutex is held, so that an older set does not replace a newer one.
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

// wake lets Run look at the owned engines again.
func (w *engineWatcher) wake() {
	select {
	case w.changed <- struct{}{}:
	default: // a change that is not yet handled covers this one
	}
}

// updateFollowed starts and stops following engines.
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
		own, stop := context.WithCancel(ctx)
		followed[e] = stop
		group.Go(func() { w.followLoad(own, e) })
		if e.role == persimmoncart.RolePrefill {
			group.Go(func() { w.followCacheEvents(own, e) })
		}
	}
}

// ownedEngines returns the owned ownedEngines that are configured.
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

// followCacheEvents passes on the cache events of one engine until ctx is done.
func (w *engineWatcher) followCacheEvents(ctx context.Context, e followedEngine) {
	var last uint64
	for ctx.Err() == nil {
		err := w.readCacheEvents(ctx, e, &last)
		gone := &persimmoncart.UnavailableError{}
		if errors.As(err, &gone) {
			last = 0 // a restarted engine counts from the beginning
		}
		if w.Timer.Sleep(ctx, cacheRetryDelay) != nil {
			return
		}
	}
}

// readCacheEvents passes on cache events after sequence last until the stream breaks.
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

// followLoad passes on the role and models of one engine, and whether it is
// leaving, until ctx is done.
func (w *engineWatcher) followLoad(ctx context.Context, e followedEngine) {
	for w.Timer.Sleep(ctx, loadPeriod) == nil {
		bounded, stop := timer.WithTimeout(ctx, w.Timer, loadTimeout, nil)
		report, err := w.Engines.Engine(e.addr).Load(bounded)
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

// A leavingRecorder is an instance list that notes leaving endpoints, so that the
// list is not read twice.
type leavingRecorder struct {
	leaving *route.LeavingEndpoints
	list    persimmoncart.InstanceList
}

// List implements persimmoncart.InstanceList.
func (w *leavingRecorder) List(ctx context.Context) ([]persimmoncart.ListEntry, error) {
	listed, err := w.list.List(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read instance list")
	}
	for _, l := range listed {
		if l.Endpoint != nil && l.Endpoint.Leaving {
			w.leaving.AddDirect(l.Endpoint.ID)
		}
	}
	return listed, nil
}
