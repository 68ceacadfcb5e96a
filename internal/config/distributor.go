package config

import (
	"context"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/persimmoncart/persimmoncart"
)

var (
	_ persimmoncart.Configuration = (*Distributor)(nil)
	_ persimmoncart.ConfigServer  = (*Distributor)(nil)
)

const (
	// logBytes and logSets bound the change sets kept for peers that lag.
	logBytes = 2 << 20
	logSets  = 256
	// pageBytes bounds one page of a full copy.
	pageBytes = 64 << 10

	callTimeout = 2 * time.Second
	// copyTimeout covers a full copy from a store that takes 0.8 s a call, shard
	// by shard.
	copyTimeout = 5 * time.Minute
	// pullTimeout covers a set of 3 MB, compressed, over a shared region link.
	pullTimeout = 4 * time.Second
	// gossipPeriod is the mean time between digests to members of other data
	// centres. With 11 instances a data centre hears from outside every 0.4 s.
	gossipPeriod = 4 * time.Second
	// remoteShare is the share of these digests that leave the region, where
	// traffic is billed by volume.
	remoteShare = 0.25
	// regionPause keeps digests away from a region that did not answer.
	regionPause = 10 * time.Second
)

// A Distributor keeps the configuration of one instance current.
//
// It watches the store if it is one of its data centre's watchers, takes change
// sets from peers and gives them on. The version in force only goes forward.
type Distributor struct {
	Archive    *Archive
	Go         func(func()) // starts a goroutine; nil uses the go statement and makes Run wait for them
	Log        zerolog.Logger
	Members    persimmoncart.Members
	Peers      persimmoncart.ConfigPeers // nil for an instance on its own
	Random     *rand.Rand                // guarded by the Distributor; nil takes a random seed
	Registerer prometheus.Registerer
	Timer      persimmoncart.Timer

	applying sync.Mutex // serialises installation and the calls of subscribers
	current  atomic.Pointer[held]
	group    sync.WaitGroup // of spawned goroutines, without Go
	metrics  *metrics
	once     sync.Once
	ready    atomic.Bool

	mutex     sync.Mutex
	failed    map[persimmoncart.Region]time.Time // when a region last did not answer
	head      *Head                              // newest head read from the store
	highest   uint64                             // highest version seen
	lagging   time.Time                          // since when a newer version is known; zero if none is
	listeners map[int]func(*persimmoncart.Snapshot)
	log       []loggedSet
	logged    int             // bytes
	next      int             // key of the next listener
	running   context.Context // of Run; nil before and after it
	sources   map[persimmoncart.InstanceID]source
	storeAt   time.Time // no use of the store before
	syncing   bool
}

// A held is one version with everything derived from it. It is immutable.
type held struct {
	copied   *Copy
	keys     func() []string // keys of the state, sorted once when needed
	snapshot *persimmoncart.Snapshot
}

// A loggedSet is a change set with its size.
type loggedSet struct {
	set  persimmoncart.ConfigChangeSet
	size int // bytes
}

// A source is a peer that was heard to have a newer version.
type source struct {
	instance persimmoncart.Instance
	version  uint64
}

// Run keeps the configuration current until ctx is done.
func (d *Distributor) Run(ctx context.Context) error {
	d.init()
	d.mutex.Lock()
	d.running = ctx
	d.mutex.Unlock()
	d.spawn(d.bootstrap)
	d.spawn(d.watch)
	d.gossip(ctx)
	d.mutex.Lock()
	d.running = nil // nothing is spawned from here on
	d.mutex.Unlock()
	if d.Go == nil {
		d.group.Wait()
	}
	return ctx.Err()
}

// Copy returns the full configuration in force.
func (d *Distributor) Copy() *Copy { return d.held().copied }

// Digest implements persimmoncart.ConfigDigests.
func (d *Distributor) Digest() persimmoncart.ConfigDigest {
	c := d.held().copied
	return digestOf(c.Version, c.Hash)
}

// Highest returns the highest version that the instance has seen.
func (d *Distributor) Highest() uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return max(d.highest, d.held().copied.Version)
}

// Ready reports whether the first configuration is in force. It is true once
// the instance has held the highest version that it had seen.
func (d *Distributor) Ready() bool { return d.ready.Load() }

// Snapshot implements persimmoncart.Configuration.
func (d *Distributor) Snapshot() *persimmoncart.Snapshot { return d.held().snapshot }

// Subscribe implements persimmoncart.Configuration. Calls of f follow the order
// of versions.
func (d *Distributor) Subscribe(f func(*persimmoncart.Snapshot)) (stop func()) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.listeners == nil {
		d.listeners = map[int]func(*persimmoncart.Snapshot){}
	}
	key := d.next
	d.next++
	d.listeners[key] = f
	return func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		delete(d.listeners, key)
	}
}

// Accept implements persimmoncart.ConfigServer.
func (d *Distributor) Accept(from persimmoncart.Instance, sets []persimmoncart.ConfigChangeSet) persimmoncart.ConfigDigest {
	if len(sets) > 0 {
		d.install(sets)
		last := sets[len(sets)-1]
		d.Heard(from, digestOf(last.Version, last.Hash))
	}
	return d.Digest()
}

// Answer implements persimmoncart.ConfigServer.
func (d *Distributor) Answer(request persimmoncart.ConfigPull) persimmoncart.ConfigPulled {
	h := d.held()
	out := persimmoncart.ConfigPulled{
		Digest: digestOf(h.copied.Version, h.copied.Hash), Hash: h.copied.Hash, State: h.copied.State.Hash(),
	}
	if request.Have == 0 && !request.Full {
		return out // a new instance takes a full copy, whose pages many peers share
	}
	if request.Full {
		out.Objects, out.More = h.page(request.After)
		return out
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	i := sort.Search(len(d.log), func(i int) bool { return d.log[i].set.Version > request.Have })
	if i == len(d.log) || d.log[i].set.Version != request.Have+1 {
		return out
	}
	for size := 0; i < len(d.log); i++ {
		if size += d.log[i].size; size > pageBytes && len(out.Sets) > 0 {
			out.More = true
			break
		}
		out.Sets = append(out.Sets, d.log[i].set)
	}
	return out
}

// Heard implements persimmoncart.ConfigDigests.
func (d *Distributor) Heard(from persimmoncart.Instance, digest persimmoncart.ConfigDigest) {
	own := d.held().copied
	if digest.Version == own.Version && digest != digestOf(own.Version, own.Hash) {
		d.init()
		d.metrics.forks.Inc()
		d.Log.Error().Uint64("version", own.Version).Str("peer", string(from.ID)).Msg("peer holds another content of this version")
	}
	if digest.Version <= own.Version {
		return
	}
	d.mutex.Lock()
	d.saw(digest.Version)
	if d.sources == nil {
		d.sources = map[persimmoncart.InstanceID]source{}
	}
	d.sources[from.ID] = source{instance: from, version: digest.Version}
	d.mutex.Unlock()
	d.startSync()
}

// saw remembers that a version exists; the mutex is held.
func (d *Distributor) saw(version uint64) {
	if version > d.held().copied.Version && d.lagging.IsZero() {
		d.lagging = d.Timer.Now()
	}
	d.highest = max(d.highest, version)
}

// init prepares what the exported fields leave out.
func (d *Distributor) init() {
	d.once.Do(func() {
		if d.Random == nil {
			d.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		}
		d.metrics = newMetrics(d)
		if d.Registerer != nil {
			d.Registerer.MustRegister(d.metrics.collectors()...)
		}
	})
}

// held returns the version in force.
func (d *Distributor) held() *held {
	if h := d.current.Load(); h != nil {
		return h
	}
	return emptyHeld
}

// emptyHeld is what every instance holds before its first version.
var emptyHeld = &held{copied: &Copy{State: &State{}}, keys: func() []string { return nil }, snapshot: EmptySnapshot()}

// newHeld returns a held version.
func newHeld(c *Copy, s *persimmoncart.Snapshot) *held {
	return &held{copied: c, keys: sync.OnceValue(c.State.Keys), snapshot: s}
}

// page returns the objects after a key, up to pageBytes.
func (h *held) page(after string) (objects []persimmoncart.ConfigObject, more bool) {
	keys := h.keys()
	i := 0
	if after != "" {
		i = sort.Search(len(keys), func(i int) bool { return keys[i] > after })
	}
	for size := 0; i < len(keys); i++ {
		value := h.copied.State.Get(keys[i])
		if size += len(keys[i]) + len(value); size > pageBytes && len(objects) > 0 {
			return objects, true
		}
		objects = append(objects, persimmoncart.ConfigObject{Key: keys[i], Value: value})
	}
	return objects, false
}

// install takes consecutive change sets into force and reports whether the
// version went forward. Sets at or below the version in force are skipped.
func (d *Distributor) install(sets []persimmoncart.ConfigChangeSet) bool {
	d.applying.Lock()
	defer d.applying.Unlock()
	old := d.held()
	c, snapshot := old.copied, old.snapshot
	var taken []loggedSet
	for i := range sets {
		s := &sets[i]
		if s.Version <= c.Version {
			continue
		}
		if s.Version != c.Version+1 || s.Parent != c.Hash {
			break
		}
		state := c.State.With(s.Changes)
		next, err := Apply(snapshot, s.Changes, s.Version)
		if err != nil || state.Hash() != s.State {
			d.Log.Error().Err(err).Uint64("version", s.Version).Msg("change set does not lead to its state")
			break
		}
		c, snapshot = &Copy{Hash: s.Hash, State: state, Version: s.Version}, next
		taken = append(taken, loggedSet{set: *s, size: setSize(s)})
	}
	if c == old.copied {
		return false
	}
	d.publish(c, snapshot, taken)
	return true
}

// replace takes a full copy into force if it is newer.
func (d *Distributor) replace(c *Copy) bool {
	d.applying.Lock()
	defer d.applying.Unlock()
	if c.Version <= d.held().copied.Version {
		return false
	}
	snapshot, err := Apply(EmptySnapshot(), Diff(&State{}, c.State), c.Version)
	if err != nil {
		d.Log.Error().Err(err).Uint64("version", c.Version).Msg("full copy cannot be read")
		return false
	}
	d.publish(c, snapshot, nil)
	return true
}

// publish makes a version visible; applying is held. Without change sets the
// log starts anew, because its sets would no longer be consecutive.
func (d *Distributor) publish(c *Copy, snapshot *persimmoncart.Snapshot, taken []loggedSet) {
	d.current.Store(newHeld(c, snapshot))
	d.mutex.Lock()
	if d.highest <= c.Version {
		d.lagging = time.Time{}
	}
	if taken == nil {
		d.log, d.logged = nil, 0
	}
	for _, s := range taken {
		d.log = append(d.log, s)
		d.logged += s.size
	}
	drop := 0
	for ; drop < len(d.log)-1 && (len(d.log)-drop > logSets || d.logged > logBytes); drop++ {
		d.logged -= d.log[drop].size
	}
	d.log = slices.Clone(d.log[drop:])
	listeners := make([]func(*persimmoncart.Snapshot), 0, len(d.listeners))
	for _, k := range sortedInts(d.listeners) {
		listeners = append(listeners, d.listeners[k])
	}
	for id, s := range d.sources {
		if s.version <= c.Version {
			delete(d.sources, id)
		}
	}
	d.mutex.Unlock()
	for _, f := range listeners {
		f(snapshot)
	}
}

// spawn starts a goroutine that Run waits for. It does nothing before and after Run.
func (d *Distributor) spawn(f func(context.Context)) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	ctx := d.running
	switch {
	case ctx == nil:
	case d.Go != nil:
		d.Go(func() { f(ctx) })
	default:
		d.group.Go(func() { f(ctx) })
	}
}

// random returns a number from 0 to 1.
func (d *Distributor) random() float64 {
	d.init()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.Random.Float64()
}

// between returns a random time between low and high.
func (d *Distributor) between(low, high time.Duration) time.Duration {
	return low + time.Duration(d.random()*float64(high-low))
}

// call runs f with a timeout of the timer service.
func (d *Distributor) call(ctx context.Context, timeout time.Duration, f func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer d.Timer.After(timeout, func(time.Time) { cancel() })()
	return f(ctx)
}

// setSize returns the approximate size of a change set, in bytes.
func setSize(s *persimmoncart.ConfigChangeSet) int {
	const header = 200
	n := header + len(s.Note)
	for _, c := range s.Changes {
		n += len(c.Key) + len(c.Before) + len(c.After)
	}
	return n
}

// sortedInts returns the keys of m, sorted.
func sortedInts[V any](m map[int]V) []int {
	keys := make([]int, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
