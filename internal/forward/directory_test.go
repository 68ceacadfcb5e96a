package forward_test

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/forward"
	"github.com/persimmoncart/persimmoncart/internal/policy"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// assignable reports whether requests to the ledger pool are assigned to id.
func (f *fixture) assignable(id persimmoncart.EndpointID) bool {
	for range 50 {
		assigned := f.Directory.Assign(ledger, policy.SelectorRequest{Role: persimmoncart.RoleApplication})
		if assigned == nil {
			return false
		}
		got := assigned.Endpoint.ID
		assigned.Done()
		if got == id {
			return true
		}
	}
	return false
}

// Guards against losing all endpoints when their records expire during an outage of
// the store, and against keeping one that is not listed again.
func TestDirectoryMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		for _, id := range []persimmoncart.EndpointID{"a1", "a2", "a3"} {
			f.Directory.Remove(id)
		}
		assert.Assert(t, f.Directory.Has(ledger, policy.SelectorRequest{Role: persimmoncart.RoleApplication}))
		time.Sleep(time.Second)
		f.Directory.Put(persimmoncart.Endpoint{
			Addr: netip.MustParseAddrPort("127.0.1.1:80"), DataCentre: "d1", ID: "a1", Incarnation: 1,
			Pool: ledger, Region: "r1", Role: persimmoncart.RoleApplication, Slots: 6,
		})
		time.Sleep(1500 * time.Millisecond)
		synctest.Wait()
		assert.Assert(t, f.assignable("a1"))
		assert.Assert(t, !f.assignable("a2"))
		assert.Assert(t, !f.assignable("a3"))
	})
}

// Guards against new requests to an endpoint that has left without notice, beyond the
// time for which it serves: its record is removed while the store is reachable, and
// the instance learns it late. After an outage of the store, endpoints are kept until
// they can have written their records again.
func TestDirectoryLeftWithoutNotice(t *testing.T) {
	for _, c := range []struct {
		name  string
		store func(d *forward.Directory)
		kept  time.Duration
	}{
		{name: "store reachable", store: func(*forward.Directory) {}, kept: 1300 * time.Millisecond},
		{name: "store away", kept: 3200 * time.Millisecond, store: func(d *forward.Directory) { d.SetStoreReachable(false) }},
		{name: "store just returned", kept: 3200 * time.Millisecond, store: func(d *forward.Directory) {
			d.SetStoreReachable(false)
			d.SetStoreReachable(true)
			time.Sleep(time.Second)
		}},
		{name: "store returned long ago", kept: 1300 * time.Millisecond, store: func(d *forward.Directory) {
			d.SetStoreReachable(false)
			d.SetStoreReachable(true)
			time.Sleep(6 * time.Second)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.Directory.DrainTime = 2500 * time.Millisecond
				c.store(f.Directory)
				for _, id := range []persimmoncart.EndpointID{"a1", "a2", "a3"} {
					f.Directory.Remove(id)
				}
				time.Sleep(c.kept - 10*time.Millisecond)
				assert.Assert(t, f.assignable("a1"))
				time.Sleep(20 * time.Millisecond)
				synctest.Wait()
				assert.Assert(t, !f.assignable("a1"))
			})
		})
	}
}

// Guards against new requests to an endpoint that is leaving, also when its record
// is removed while it still serves.
func TestDirectoryLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		e := persimmoncart.Endpoint{
			Addr: netip.MustParseAddrPort("127.0.1.1:80"), DataCentre: "d1", ID: "a1", Incarnation: 1, Leaving: true,
			Pool: ledger, Region: "r1", Role: persimmoncart.RoleApplication, Slots: 6,
		}
		f.Directory.Put(e)
		assert.Assert(t, !f.assignable("a1"))
		f.Directory.Remove("a1")
		f.Directory.Remove("a2")
		f.Directory.Remove("a3")
		assert.Assert(t, !f.assignable("a1"))
		assert.Assert(t, f.assignable("a2"))
	})
}

// Guards against applying the state of one process to its successor with the same
// name or address.
func TestDirectoryRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		var dropped []persimmoncart.EndpointID
		f.Directory.EndpointDropped = func(e persimmoncart.Endpoint) { dropped = append(dropped, e.ID) }
		e := persimmoncart.Endpoint{
			Addr: netip.MustParseAddrPort("127.0.1.1:80"), DataCentre: "d1", ID: "a1", Incarnation: 2,
			Pool: ledger, Region: "r1", Role: persimmoncart.RoleApplication, Slots: 6,
		}
		f.Directory.Put(e)
		assert.DeepEqual(t, dropped, []persimmoncart.EndpointID{"a1"})
		assert.Assert(t, f.assignable("a1"))
		old := e
		old.Incarnation = 1
		f.Directory.DropReplaced(&old) // the process before has been found replaced
		assert.Assert(t, f.assignable("a1"))
		f.Directory.DropReplaced(&e)
		assert.Assert(t, !f.assignable("a1"))
	})
}

// Guards against an instance that serves nothing until it has read the records of
// thousands of endpoints, and against taking those as gone that are not read yet.
func TestDirectoryServesDuringList(t *testing.T) {
	d := &forward.Directory{Timer: &timer.System{}}
	d.SetTable(table(1))
	assert.Assert(t, !d.Ready())
	d.AddEndpoints(nil)
	assert.Assert(t, !d.Ready())
	var added []persimmoncart.Endpoint
	for n := range 3 {
		added = append(added, persimmoncart.Endpoint{
			ID: persimmoncart.EndpointID(fmt.Sprint("a", n)), Pool: ledger, Role: persimmoncart.RoleApplication, Slots: 1,
		})
		d.AddEndpoints(added[n:])
		assert.Assert(t, d.Ready())
	}
	d.DropReplaced(&added[1])
	d.DropReplaced(&added[2])
	assert.Assert(t, d.Has(ledger, policy.SelectorRequest{Role: persimmoncart.RoleApplication}))
}

// Guards against replacing the routes by an older version.
func TestDirectoryVersions(t *testing.T) {
	f := newFixture(t)
	f.Directory.SetTable(table(7))
	f.Directory.SetTable(table(5))
	assert.Equal(t, f.Directory.Table().Version, uint64(7))
}
