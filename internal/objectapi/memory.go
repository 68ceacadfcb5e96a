package objectapi

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"github.com/persimmoncart/persimmoncart"
)

var _ persimmoncart.Store = (*Memory)(nil)

// Limits of the platform's object API (docs/design.md, section 3).
const (
	DefaultHistory   = 16384 // events that are kept for watches
	DefaultReadRate  = 2000  // calls a second
	DefaultWriteRate = 400   // calls a second
	burstShare       = 10    // the burst is this fraction, a tenth, of the calls of a second
)

// watchOperation is the name of the operation in errors of watches.
const watchOperation = "watch"

// errRate is the cause of the *UnavailableError of a call above a rate limit.
var errRate = errors.New("rate limit")

// Counters count the calls to a Memory by kind.
type Counters struct {
	Limited uint64 `json:"limited"` // calls refused by a rate limit; also counted under their kind
	Opened  uint64 `json:"opened"`  // calls of Watch
	Reads   uint64 `json:"reads"`   // Get and List
	Watches uint64 `json:"watches"` // open watches
	Writes  uint64 `json:"writes"`  // Create, Delete and Update
}

// A Memory is an in-memory store. Set the exported fields before the first call.
//
// Calls take no time. Rate limits take the time from Timer and so work in virtual
// time too. A call above a limit returns an *UnavailableError with RetryAfter set.
type Memory struct {
	History   int     // events kept for watches; zero means DefaultHistory
	ReadRate  float64 // calls a second; zero means unlimited
	Timer     persimmoncart.Timer
	WriteRate float64 // calls a second; zero means unlimited

	changed     chan struct{} // closed at the next write; nil if no watch waits
	counters    Counters
	events      []persimmoncart.WatchEvent // oldest first, with consecutive versions
	lastVersion persimmoncart.Version
	mutex       sync.Mutex
	objects     map[string]persimmoncart.Object
	openWatches uint64
	reads       *rate.Limiter
	writes      *rate.Limiter
}

// Counters returns the current counters.
func (m *Memory) Counters() Counters {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	c := m.counters
	c.Watches = m.openWatches
	return c
}

// Create implements persimmoncart.Store.
func (m *Memory) Create(ctx context.Context, key string, value []byte) (persimmoncart.Version, error) {
	return m.write(ctx, key, value, 0, false)
}

// Delete implements persimmoncart.Store.
func (m *Memory) Delete(ctx context.Context, key string, version persimmoncart.Version) error {
	if version == 0 {
		return &persimmoncart.ConflictError{Have: m.versionOf(key), Key: key}
	}
	_, err := m.write(ctx, key, nil, version, true)
	return err
}

// Get implements persimmoncart.Store.
func (m *Memory) Get(ctx context.Context, key string) (persimmoncart.Object, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err := m.read(ctx, "get"); err != nil {
		return persimmoncart.Object{}, err
	}
	o, ok := m.objects[key]
	if !ok {
		return persimmoncart.Object{}, &persimmoncart.NotFoundError{Key: key}
	}
	o.Value = slices.Clone(o.Value)
	return o, nil
}

// List implements persimmoncart.Store.
func (m *Memory) List(ctx context.Context, prefix string) ([]persimmoncart.Object, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err := m.read(ctx, "list"); err != nil {
		return nil, err
	}
	var list []persimmoncart.Object
	for k, o := range m.objects {
		if strings.HasPrefix(k, prefix) {
			o.Value = slices.Clone(o.Value)
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b persimmoncart.Object) int { return strings.Compare(a.Key, b.Key) })
	return list, nil
}

// Update implements persimmoncart.Store.
func (m *Memory) Update(ctx context.Context, key string, value []byte, version persimmoncart.Version) (persimmoncart.Version, error) {
	if version == 0 {
		return 0, &persimmoncart.ConflictError{Have: m.versionOf(key), Key: key}
	}
	return m.write(ctx, key, value, version, false)
}

// Version returns the version of the last write.
func (m *Memory) Version() persimmoncart.Version {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.lastVersion
}

// Watch implements persimmoncart.Store. If the events after from are no longer
// kept, it returns an *UnavailableError that wraps a *HistoryError.
func (m *Memory) Watch(ctx context.Context, prefix string, from persimmoncart.Version) (persimmoncart.Watch, error) {
	if err := ctx.Err(); err != nil {
		return nil, &persimmoncart.UnavailableError{Err: err, Operation: watchOperation}
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.counters.Opened++
	if err := m.checkHistory(from); err != nil {
		return nil, err
	}
	m.openWatches++
	return &memoryWatch{closed: make(chan struct{}), cursor: from, memory: m, prefix: prefix}, nil
}

// checkHistory returns an error if the events after from are no longer kept. The
// mutex must be held.
func (m *Memory) checkHistory(from persimmoncart.Version) error {
	if oldest := m.lastVersion - persimmoncart.Version(len(m.events)); from < oldest {
		return &persimmoncart.UnavailableError{
			Err:       &persimmoncart.HistoryError{From: from, Oldest: oldest},
			Operation: watchOperation,
		}
	}
	return nil
}

// allow applies a rate limit to one call. The mutex must be held.
func (m *Memory) allow(ctx context.Context, operation string, limiter **rate.Limiter, limit float64) error {
	if err := ctx.Err(); err != nil {
		return &persimmoncart.UnavailableError{Err: err, Operation: operation}
	}
	if limit <= 0 {
		return nil
	}
	if *limiter == nil {
		*limiter = rate.NewLimiter(rate.Limit(limit), max(int(limit/burstShare), 1))
	}
	now := m.Timer.Now()
	r := (*limiter).ReserveN(now, 1)
	if d := r.DelayFrom(now); d > 0 {
		r.CancelAt(now)
		m.counters.Limited++
		return &persimmoncart.UnavailableError{Err: errRate, Operation: operation, RetryAfter: d}
	}
	return nil
}

// read counts one read and applies the rate limit. The mutex must be held.
func (m *Memory) read(ctx context.Context, operation string) error {
	m.counters.Reads++
	return m.allow(ctx, operation, &m.reads, m.ReadRate)
}

// write applies one write if the object has version; zero means that the key must
// not exist.
func (m *Memory) write(ctx context.Context, key string, value []byte, version persimmoncart.Version, remove bool) (persimmoncart.Version, error) {
	if len(value) > persimmoncart.MaxValueBytes {
		return 0, &persimmoncart.TooLargeError{Key: key, Size: len(value)}
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.counters.Writes++
	if err := m.allow(ctx, "write", &m.writes, m.WriteRate); err != nil {
		return 0, err
	}
	have := m.objects[key]
	if have.Version != version {
		return 0, &persimmoncart.ConflictError{Have: have.Version, Key: key, Want: version}
	}
	m.lastVersion++
	o := persimmoncart.Object{Key: key, Value: slices.Clone(value), Version: m.lastVersion}
	if m.objects == nil {
		m.objects = map[string]persimmoncart.Object{}
	}
	if remove {
		delete(m.objects, key)
	} else {
		m.objects[key] = o
	}
	m.record(persimmoncart.WatchEvent{Deleted: remove, Object: o})
	return o.Version, nil
}

// record adds an event to the history and wakes up the watches. The mutex must be
// held.
func (m *Memory) record(e persimmoncart.WatchEvent) {
	limit := m.History
	if limit == 0 {
		limit = DefaultHistory
	}
	m.events = append(m.events, e)
	// Trimming only at twice the limit keeps the amortised cost of a write
	// constant.
	if len(m.events) >= 2*limit {
		m.events = slices.Clone(m.events[len(m.events)-limit:])
	}
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

// versionOf returns the version of an object, or zero if it does not exist.
func (m *Memory) versionOf(key string) persimmoncart.Version {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.objects[key].Version
}

// nextChange returns a channel that is closed at the next write. The mutex must be
// held.
func (m *Memory) nextChange() <-chan struct{} {
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return m.changed
}

// A memoryWatch is an open watch on a Memory.
type memoryWatch struct {
	closed chan struct{}
	cursor persimmoncart.Version // version of the last event examined
	memory *Memory
	once   sync.Once
	prefix string
}

// Close implements persimmoncart.Watch.
func (w *memoryWatch) Close() error {
	w.once.Do(func() {
		close(w.closed)
		w.memory.mutex.Lock()
		defer w.memory.mutex.Unlock()
		w.memory.openWatches--
	})
	return nil
}

// Next implements persimmoncart.Watch.
func (w *memoryWatch) Next(ctx context.Context) (persimmoncart.WatchEvent, error) {
	for {
		e, changed, err := w.poll()
		if err != nil || changed == nil {
			return e, err
		}
		select {
		case <-ctx.Done():
			return persimmoncart.WatchEvent{}, ctx.Err()
		case <-w.closed:
			return persimmoncart.WatchEvent{}, &persimmoncart.UnavailableError{Err: errWatchClosed, Operation: watchOperation}
		case <-changed:
		}
	}
}

// errWatchClosed is the cause of the *UnavailableError of Next after Close.
var errWatchClosed = errors.New("watch is closed")

// poll returns the next event, or a channel that is closed at the next write if
// there is none.
func (w *memoryWatch) poll() (persimmoncart.WatchEvent, <-chan struct{}, error) {
	m := w.memory
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err := m.checkHistory(w.cursor); err != nil {
		return persimmoncart.WatchEvent{}, nil, err
	}
	next := len(m.events) - int(m.lastVersion-w.cursor)
	if w.cursor > m.lastVersion {
		next = len(m.events)
	}
	for _, e := range m.events[next:] {
		w.cursor = e.Object.Version
		if strings.HasPrefix(e.Object.Key, w.prefix) {
			e.Object.Value = slices.Clone(e.Object.Value)
			return e, nil, nil
		}
	}
	return persimmoncart.WatchEvent{}, m.nextChange(), nil
}
