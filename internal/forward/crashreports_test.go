package forward_test

import (
	"context"
	"fmt"
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

// A reporter is the crash reports of one instance.
type reporter struct {
	*forward.Quarantine

	Reports *forward.CrashReports
	Store   *objectapi.Faulty
}

// crash records the crash of an engine under the parts a and x.
func (r *reporter) crash(engine string) {
	r.RecordCrash(&persimmoncart.Endpoint{ID: persimmoncart.EndpointID(engine), Incarnation: 1}, promptParts)
}

// quarantined reports whether requests with the parts a and x are refused.
func (r *reporter) quarantined() bool {
	part, _, found := r.Check(promptParts)
	return found && part == "x"
}

// promptParts are the parts of harmful requests.
var promptParts = []persimmoncart.RequestPart{"a", "x"}

// startReporter starts the crash reports of an instance before a shared store.
func startReporter(ctx context.Context, running *sync.WaitGroup, store persimmoncart.Store) *reporter {
	clock := &timer.System{}
	q := &forward.Quarantine{Logger: zerolog.Nop(), Timer: clock}
	faulty := &objectapi.Faulty{Store: store, Timer: clock}
	c := &forward.CrashReports{Logger: zerolog.Nop(), Quarantine: q, Store: faulty, Timer: clock}
	q.Changed, q.Claim = c.Schedule, c.ClaimTrial
	f := &forward.Follower{
		Changed: c.HandleChange, Listed: c.HandleList, Logger: zerolog.Nop(), Prefix: forward.CrashReportsPrefix, Store: faulty, Timer: clock,
	}
	running.Go(func() { _ = c.Run(ctx) })
	running.Go(func() { _ = f.Run(ctx) })
	return &reporter{Quarantine: q, Reports: c, Store: faulty}
}

// Guards against crashes that other instances do not learn of: each sees too few of
// them to find the part.
func TestCrashReportsShared(t *testing.T) {
	const within = 3 * time.Second
	for _, c := range []struct {
		name string
		run  func(one, other *reporter)
		want bool // whether both instances refuse the part
	}{
		{name: "two crashes", run: func(one, other *reporter) {
			one.crash("e1")
			other.crash("e2")
		}},
		{name: "same crash seen twice", run: func(one, other *reporter) {
			one.crash("e1")
			one.crash("e2")
			other.crash("e2")
		}},
		{name: "at the same moment", want: true, run: func(one, other *reporter) {
			one.crash("e1")
			other.crash("e2")
			one.crash("e3")
		}},
		{name: "one after the other", want: true, run: func(one, other *reporter) {
			for _, engine := range []string{"e1", "e2", "e3"} {
				one.crash(engine)
				time.Sleep(time.Second)
				one, other = other, one
			}
		}},
		{name: "responses of the store are lost", want: true, run: func(one, other *reporter) {
			one.Store.LoseResponses(2)
			other.Store.LoseResponses(1)
			one.crash("e1")
			other.crash("e2")
			one.crash("e3")
		}},
		{name: "store was down", want: true, run: func(one, other *reporter) {
			one.Store.SetDown(true)
			one.crash("e1")
			one.crash("e2")
			time.Sleep(2 * time.Second)
			one.Store.SetDown(false)
			other.crash("e3")
		}},
		{name: "completed on the other instance", run: func(one, other *reporter) {
			one.crash("e1")
			one.crash("e2")
			one.crash("e3")
			time.Sleep(within)
			other.RecordCompletion(promptParts)
		}},
		{name: "completed on the other instance, removal lost", run: func(one, other *reporter) {
			one.crash("e1")
			one.crash("e2")
			one.crash("e3")
			time.Sleep(within)
			other.Store.DropRequests(1)
			other.RecordCompletion(promptParts)
			time.Sleep(within)
		}},
		{name: "crashes long after a completion", want: true, run: func(one, other *reporter) {
			one.crash("e1")
			one.crash("e2")
			time.Sleep(within)
			other.RecordCompletion(promptParts)
			time.Sleep(time.Minute)
			one.crash("e3")
			one.crash("e4")
			other.crash("e5")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				var running sync.WaitGroup
				store := &objectapi.Memory{Timer: &timer.System{}}
				one, other := startReporter(ctx, &running, store), startReporter(ctx, &running, store)
				time.Sleep(time.Second)
				c.run(one, other)
				time.Sleep(within)
				started := startReporter(ctx, &running, store)
				time.Sleep(within)
				for name, r := range map[string]*reporter{"one": one, "other": other, "started later": started} {
					assert.Equal(t, r.quarantined(), c.want, name)
					_, _, found := r.Check([]persimmoncart.RequestPart{"a", "y"})
					assert.Assert(t, !found, "%s refuses sound requests", name)
				}
				cancel()
				running.Wait()
			})
		})
	}
}

// Guards against a report that is lost because the removal of the record before it
// arrives late.
func TestCrashReportsRemovedLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		r := startReporter(ctx, &running, &objectapi.Memory{Timer: &timer.System{}})
		r.Store.SetDown(true)
		for _, engine := range []string{"e1", "e2", "e3"} {
			r.crash(engine)
		}
		r.Reports.HandleChange(persimmoncart.WatchEvent{Deleted: true, Object: persimmoncart.Object{Key: forward.CrashReportsPrefix + "x", Version: 1}})
		r.Store.SetDown(false)
		time.Sleep(3 * time.Second)
		assert.Assert(t, r.quarantined())
		cancel()
		running.Wait()
	})
}

// Guards against reports that are gone with the records that a restored store has
// lost, and against reports that stay although their record was removed while no
// watch was open.
func TestCrashReportsListed(t *testing.T) {
	for _, c := range []struct {
		name     string
		restored bool
	}{
		{name: "record removed"},
		{name: "record lost by the store", restored: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				var running sync.WaitGroup
				store := &objectapi.Memory{Timer: &timer.System{}}
				r := startReporter(ctx, &running, store)
				for _, engine := range []string{"e1", "e2", "e3"} {
					r.crash(engine)
				}
				time.Sleep(time.Second)
				if c.restored {
					r.Reports.StoreRestored()
				}
				r.Reports.HandleList(nil)
				time.Sleep(2 * time.Second)
				assert.Equal(t, r.quarantined(), c.restored)
				cancel()
				running.Wait()
			})
		})
	}
}

// Guards against a trial that several instances make at the same time, that one makes
// without the knowledge of the others, and that none makes.
func TestTrialClaimedOnce(t *testing.T) {
	const instances = 4
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		store := &objectapi.Memory{Timer: &timer.System{}}
		var reporters []*reporter
		for range instances {
			reporters = append(reporters, startReporter(ctx, &running, store))
		}
		for n := range 3 {
			reporters[n].crash(fmt.Sprintf("e%d", n))
		}
		time.Sleep(29 * time.Second)
		claim := func() int {
			var claimed atomic.Int32
			var claims sync.WaitGroup
			for _, r := range reporters {
				claims.Go(func() {
					if r.Trial(t.Context(), "x") {
						claimed.Add(1)
					}
				})
			}
			claims.Wait()
			return int(claimed.Load())
		}
		assert.Equal(t, claim(), 0, "a trial before its time")
		time.Sleep(5 * time.Second)
		for _, r := range reporters {
			r.Store.SetDown(true)
		}
		assert.Equal(t, claim(), 0, "a trial that the others do not know of")
		for _, r := range reporters {
			r.Store.SetDown(false)
		}
		time.Sleep(5 * time.Second)
		assert.Equal(t, claim(), 1)
		time.Sleep(5 * time.Second)
		assert.Equal(t, claim(), 0)
		for n, r := range reporters {
			assert.Equal(t, r.Trials("x"), 1, "instance %d", n)
		}
		time.Sleep(time.Minute)
		assert.Equal(t, claim(), 1)
	})
}
