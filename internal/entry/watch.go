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
	// cachePause is the pause before a broken stream of cache events is opened again.
	cachePause = time.Second
)

var (
	_ persimmoncart.InstanceList   = (*watchedList)(nil)
	_ persimmoncart.UsableReplicas = (*watch)(nil)
)

// A watch follows the engines that this instance owns. It passes their cache events
// to the slot allocator and adds engines that report that they are leaving to
// Leaving. It removes leaving engines from the usable replicas of the slot
// allocator, which then borrows slots instead. Its exported fields are set before
// Run.
type watch struct {
	Configuration persimmoncart.Configuration
	Engines       persimmoncart.Engines
	Leaving       *route.LeavingEndpoints
	Ledger        *slots.Allocator
	Timer         persimmoncart.Timer

	applied []persimmoncart.UsableReplica // as last passed to the slot allocator; nil before the first
	changed chan struct{}
	mutex   sync.Mutex
	usable  []persimmoncart.UsableReplica
}

// Run follows the engines until ctx is done.
func (w *watch) Run(ctx context.Context) error {
	defer w.Configuration.Subscribe(func(*persimmoncart.Snapshot) { w.wake() })()
	defer w.Timer.Subscribe(loadPeriod, func(time.Time) { w.wake() })()
	followed := make(map[followedEngine]context.CancelFunc)
	var group sync.WaitGroup
	defer group.Wait()
	for {
		w.update(ctx, &group, followed)
		w.mutex.Lock()
		w.apply()
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
func (w *watch) SetUsable(replicas []persimmoncart.UsableReplica) {
	w.mutex.Lock()
	w.usable = slices.Clone(replicas)
	w.apply()
	w.mutex.Unlock()
	w.wake()
}

// apply passes the usable replicas that are not leaving to the slot allocator, if
// they have changed. The mutex is held, so that an older set does not replace a
// newer one.
func (w *watch) apply() {
	leaving := w.Leaving.List()
	staying := slices.DeleteFunc(slices.Clone(w.usable), func(u persimmoncart.UsableReplica) bool {
		return slices.Contains(leaving, u.Endpoint)
	})
	if w.applied == nil || !slices.Equal(staying, w.applied) {
		w.applied = staying
		w.Ledger.SetUsable(staying)
	}
}

// wake lets Run look at the owned engines again.
func (w *watch) wake() {
	select {
	case w.changed <- struct{}{}:
	default: // a change that is not yet handled covers this one
	}
}

// update starts and stops following engines.
func (w *watch) update(ctx context.Context, group *sync.WaitGroup, followed map[followedEngine]context.CancelFunc) {
	owned := w.engines()
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
			group.Go(func() { w.followCache(own, e) })
		}
	}
}

// engines returns the owned engines that are configured.
func (w *watch) engines() map[followedEngine]bool {
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

// followCache passes on the cache events of one engine until ctx is done.
func (w *watch) followCache(ctx context.Context, e followedEngine) {
	var last uint64
	for ctx.Err() == nil {
		err := w.readCache(ctx, e, &last)
		gone := &persimmoncart.UnavailableError{}
		if errors.As(err, &gone) {
			last = 0 // a restarted engine counts from the beginning
		}
		if w.Timer.Sleep(ctx, cachePause) != nil {
			return
		}
	}
}

// readCache passes on cache events after sequence last until the stream breaks.
func (w *watch) readCache(ctx context.Context, e followedEngine, last *uint64) error {
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
		w.Ledger.ApplyCacheEvent(e.id, event)
	}
}

// followLoad passes on the role and models of one engine, and whether it is
// leaving, until ctx is done.
func (w *watch) followLoad(ctx context.Context, e followedEngine) {
	for w.Timer.Sleep(ctx, loadPeriod) == nil {
		bounded, stop := timer.WithTimeout(ctx, w.Timer, loadTimeout, nil)
		report, err := w.Engines.Engine(e.addr).Load(bounded)
		stop()
		if err != nil {
			continue
		}
		if report.Role != 0 {
			w.Ledger.ApplyLoadReport(e.id, report)
		}
		if report.Leaving {
			w.Leaving.AddDirect(e.id)
		}
	}
}

// A watchedList is an instance list that notes leaving endpoints, so that the
// list is not read twice.
type watchedList struct {
	leaving *route.LeavingEndpoints
	list    persimmoncart.InstanceList
}

// List implements persimmoncart.InstanceList.
func (w *watchedList) List(ctx context.Context) ([]persimmoncart.ListEntry, error) {
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
