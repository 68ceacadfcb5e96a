package forward_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/forward"
	"github.com/persimmoncart/persimmoncart/internal/objectapi"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// A recordKeeper is the records of streams of one process of an instance.
type recordKeeper struct {
	*forward.StreamRecords

	Faulty    *objectapi.Faulty
	Kill      func()
	Restoring *restoringStore
}

// startRecordKeeper starts the records of a process before a shared store, with one
// engine at v1.
func startRecordKeeper(ctx context.Context, running *sync.WaitGroup, store persimmoncart.Store, id persimmoncart.InstanceID, incarnation persimmoncart.Incarnation) *recordKeeper {
	clock := &timer.System{}
	ctx, cancel := context.WithCancel(ctx)
	d := &forward.Directory{
		Home: persimmoncart.Instance{ID: id}, Logger: zerolog.Nop(), Random: rand.New(rand.NewPCG(1, 1)), Timer: clock,
	}
	d.SetInstances([]persimmoncart.InstanceID{"edge-1", "edge-2"})
	restoring := &restoringStore{Store: store}
	k := &recordKeeper{Faulty: &objectapi.Faulty{Store: restoring, Timer: clock}, Kill: cancel, Restoring: restoring}
	k.StreamRecords = &forward.StreamRecords{
		Directory: d, Logger: zerolog.Nop(), Self: persimmoncart.Instance{ID: id, Incarnation: incarnation}, Store: k.Faulty, Timer: clock,
	}
	d.EndpointsChanged = k.Signal
	running.Go(func() { _ = k.Run(ctx) })
	d.SetTable(table(1))
	d.SetEndpoints([]persimmoncart.Endpoint{newEngine("e1", "v1")}, nil)
	return k
}

// newEngine returns a decode engine with a version of the software.
func newEngine(id persimmoncart.EndpointID, software persimmoncart.SoftwareVersion) persimmoncart.Endpoint {
	return persimmoncart.Endpoint{
		Addr: netip.MustParseAddrPort("127.0.0.1:1"), ID: id, Incarnation: 1, Pool: llm, Role: persimmoncart.RoleDecode, Slots: 6, Software: software,
	}
}

// begin begins a stream, whose first event may be passed on if recorded, and returns the
// time of the wait for that.
func (k *recordKeeper) begin(t *testing.T, attempt persimmoncart.RequestID, software persimmoncart.SoftwareVersion) (waited time.Duration, recorded bool) {
	t.Helper()
	began := time.Now()
	k.Begin(attempt, persimmoncart.StreamOrigin{Pool: llm, Software: software}, began.Add(14*time.Second))
	recorded = k.AwaitRecord(t.Context(), attempt)
	return time.Since(began), recorded
}

// find returns the version at which a stream began, or an empty one if it is unknown.
func (k *recordKeeper) find(t *testing.T, attempt persimmoncart.RequestID) persimmoncart.SoftwareVersion {
	t.Helper()
	origin, err := k.Origin(t.Context(), attempt, []persimmoncart.PoolName{llm})
	if err != nil {
		return ""
	}
	return origin.Software
}

// A recordFixture is two instances before one store.
type recordFixture struct {
	First, Second *recordKeeper
	Start         func(id persimmoncart.InstanceID, incarnation persimmoncart.Incarnation) *recordKeeper // starts one more process
	Store         *objectapi.Memory
}

// withRecordKeepers runs a test with a new recordFixture in virtual time.
func withRecordKeepers(t *testing.T, test func(t *testing.T, f *recordFixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := &objectapi.Memory{Timer: &timer.System{}}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		start := func(id persimmoncart.InstanceID, incarnation persimmoncart.Incarnation) *recordKeeper {
			k := startRecordKeeper(ctx, &running, store, id, incarnation)
			time.Sleep(time.Second)
			return k
		}
		test(t, &recordFixture{First: start("edge-1", 1), Second: start("edge-2", 1), Start: start, Store: store})
	})
}

// Guards against a call to the store for each stream while a pool has one version.
func TestStreamRecordsCostNothingAtOneVersion(t *testing.T) {
	withRecordKeepers(t, func(t *testing.T, f *recordFixture) {
		before := f.Store.Counters()
		for n := range 100 {
			waited, recorded := f.First.begin(t, persimmoncart.RequestID(fmt.Sprintf("a%d", n)), "v1")
			assert.Assert(t, recorded && waited == 0)
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, f.Store.Counters(), before)
	})
}

// Guards against streams whose origin is forgotten with the process that served them,
// while its pool has two versions, and after a release that went on without any process.
func TestStreamRecordsOutliveProcesses(t *testing.T) {
	withRecordKeepers(t, func(t *testing.T, f *recordFixture) {
		f.First.begin(t, "a", "v1")
		f.First.Directory.Put(newEngine("e2", "v2"))
		f.First.begin(t, "b", "v2")
		f.First.begin(t, "c", "v1")
		f.First.Kill()
		f.Second.Kill()
		third := f.Start("edge-1", 2)
		third.Directory.Put(newEngine("e3", "v3"))
		assert.Equal(t, third.find(t, "a"), persimmoncart.SoftwareVersion("v1"))
		assert.Equal(t, third.find(t, "b"), persimmoncart.SoftwareVersion("v2"))
		assert.Equal(t, third.find(t, "c"), persimmoncart.SoftwareVersion("v1"))
	})
}

// Guards against a stream that waits for the store while it is away, and a search for an
// origin that holds the caller until its deadline.
func TestStreamRecordsWithoutStore(t *testing.T) {
	withRecordKeepers(t, func(t *testing.T, f *recordFixture) {
		f.First.Faulty.SetDown(true)
		f.Second.Faulty.SetDown(true)
		waited, recorded := f.First.begin(t, "a", "v1")
		assert.Assert(t, recorded && waited == 0)
		f.First.Directory.Put(newEngine("e2", "v2"))
		waited, recorded = f.First.begin(t, "b", "v2")
		assert.Assert(t, !recorded && waited <= 300*time.Millisecond)
		assert.Assert(t, !f.First.Writable())
		assert.Equal(t, f.First.Default(llm), persimmoncart.SoftwareVersion("v1"))
		waited, recorded = f.First.begin(t, "c", "v1")
		assert.Assert(t, recorded && waited == 0)
		began := time.Now()
		assert.Equal(t, f.Second.find(t, "b"), persimmoncart.SoftwareVersion(""))
		assert.Assert(t, time.Since(began) <= 500*time.Millisecond)
		assert.Equal(t, f.First.find(t, "b"), persimmoncart.SoftwareVersion("v2"))
		f.First.Faulty.SetDown(false)
		f.Second.Faulty.SetDown(false)
		time.Sleep(time.Second)
		assert.Equal(t, f.Second.find(t, "b"), persimmoncart.SoftwareVersion("v2"))
		assert.Assert(t, f.First.Writable())
	})
}

// Guards against a record that is not written again after its response was lost, or
// after a store that was restored from an older copy has lost it.
func TestStreamRecordsWrittenAgain(t *testing.T) {
	withRecordKeepers(t, func(t *testing.T, f *recordFixture) {
		f.First.Directory.Put(newEngine("e2", "v2"))
		time.Sleep(time.Second)
		f.First.Faulty.LoseResponses(1)
		f.First.begin(t, "a", "v2")
		time.Sleep(2 * time.Second)
		f.First.begin(t, "b", "v1")
		assert.Equal(t, f.Second.find(t, "a"), persimmoncart.SoftwareVersion("v2"))
		assert.Equal(t, f.Second.find(t, "b"), persimmoncart.SoftwareVersion("v1"))

		objects, err := f.Store.List(t.Context(), forward.StreamsPrefix)
		assert.NilError(t, err)
		for _, o := range objects {
			assert.NilError(t, f.Store.Delete(t.Context(), o.Key, o.Version))
		}
		f.First.StoreRestored()
		f.Second.StoreRestored()
		time.Sleep(time.Second)
		assert.Equal(t, f.Second.find(t, "b"), persimmoncart.SoftwareVersion("v1"))
	})
}

// A restoringStore is a store that is restored to what it was before a write, whose
// response arrives all the same.
type restoringStore struct {
	persimmoncart.Store

	restored atomic.Pointer[func()] // called once before a response arrives; nil for none
}

// Update implements persimmoncart.Store.
func (s *restoringStore) Update(ctx context.Context, key string, value []byte, version persimmoncart.Version) (persimmoncart.Version, error) {
	written, err := s.Store.Update(ctx, key, value, version)
	restored := s.restored.Swap(nil)
	if restored == nil || err != nil {
		return written, err
	}
	if err := s.Delete(ctx, key, written); err != nil {
		return 0, err
	}
	(*restored)()
	return written, nil
}

// Guards against a record that counts as written although the store was restored from an
// older copy before its response arrived.
func TestStreamRecordsRestoredDuringWrite(t *testing.T) {
	withRecordKeepers(t, func(t *testing.T, f *recordFixture) {
		restored := f.First.StoreRestored
		f.First.Restoring.restored.Store(&restored)
		f.First.Directory.Put(newEngine("e2", "v2"))
		f.First.begin(t, "a", "v2")
		time.Sleep(time.Second)
		assert.Assert(t, f.First.Restoring.restored.Load() == nil)
		assert.Equal(t, f.Second.find(t, "a"), persimmoncart.SoftwareVersion("v2"))
	})
}

// Guards against records of departed processes that stay in the store, and against
// those that are removed while callers may still resume their streams.
func TestStreamRecordsOfDepartedRemoved(t *testing.T) {
	withRecordKeepers(t, func(t *testing.T, f *recordFixture) {
		count := func() int {
			objects, err := f.Store.List(t.Context(), forward.StreamsPrefix)
			assert.NilError(t, err)
			return len(objects)
		}
		f.First.Kill()
		third := f.Start("edge-1", 2)
		time.Sleep(30 * time.Second)
		assert.Equal(t, count(), 3)
		time.Sleep(40 * time.Second)
		assert.Equal(t, count(), 2)

		f.Second.Kill() // its instance does not come back
		third.Directory.SetInstances([]persimmoncart.InstanceID{"edge-1"})
		time.Sleep(10 * time.Minute)
		assert.Equal(t, count(), 1)
	})
}

// Guards against callers that use up the store's reads with streams of unknown origin.
func TestStreamRecordsListsSpaced(t *testing.T) {
	const (
		resumptions = 1000
		length      = time.Second
	)
	withRecordKeepers(t, func(t *testing.T, f *recordFixture) {
		instances := make([]persimmoncart.InstanceID, 100)
		for n := range instances {
			instances[n] = persimmoncart.InstanceID(fmt.Sprintf("edge-%d", n))
		}
		f.First.Directory.SetInstances(instances)
		before := f.Store.Counters().Reads
		var callers sync.WaitGroup
		for n := range resumptions {
			callers.Go(func() { f.First.find(t, persimmoncart.RequestID(fmt.Sprintf("unknown-%d", n))) })
			time.Sleep(length / resumptions)
		}
		callers.Wait()
		// One list in 100 ms, and the last one after the last caller.
		assert.Assert(t, f.Store.Counters().Reads-before <= 12, "%d reads", f.Store.Counters().Reads-before)
	})
}
