package forward_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/forward"
	"github.com/persimmoncart/persimmoncart/internal/objectapi"
	"github.com/persimmoncart/persimmoncart/internal/quota"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// A fakeQuota records the units that are taken and returned.
type fakeQuota struct {
	err      error // of Take
	mutex    sync.Mutex
	returned []int
	taken    []int
}

// ReturnQuota implements persimmoncart.QuotaReturner.
func (q *fakeQuota) ReturnQuota(ticket persimmoncart.QuotaTicket) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.returned = append(q.returned, ticket.Units)
}

// Take implements persimmoncart.Quota.
func (q *fakeQuota) Take(_ context.Context, account *persimmoncart.Account, units int) (persimmoncart.QuotaTicket, error) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.err != nil {
		return persimmoncart.QuotaTicket{}, q.err
	}
	q.taken = append(q.taken, units)
	return persimmoncart.QuotaTicket{Account: account, Returner: q, Units: units}, nil
}

// newQuotaFixture returns a fixture whose requests are those of an account.
func newQuotaFixture(t *testing.T) (*fixture, *fakeQuota) {
	t.Helper()
	f, q := newFixture(t), &fakeQuota{}
	withAccount := table(2)
	withAccount.Accounts = map[persimmoncart.KeyHash]*persimmoncart.Account{{}: {DefaultTokens: 200, Name: "a", TokenRate: 1000}}
	f.Directory.SetTable(withAccount)
	f.Router.Quota = q
	return f, q
}

// Guards against requests that pay for each attempt, and against attempts that provably did
// not run and whose units are lost, or that may have run and whose units are given back.
func TestQuotaOfRequest(t *testing.T) {
	ok := func(context.Context, int, persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
		return newResponse(200, "ok"), nil
	}
	fail := func(err error) func(context.Context, int, persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
		return func(context.Context, int, persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
			return nil, err
		}
	}
	for _, c := range []struct {
		name     string
		path     string
		send     func(context.Context, int, persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error)
		prefill  func(int) error
		reserve  func(int) error
		taken    int
		returned bool
	}{
		{name: "answered", path: "/pay/", send: ok, taken: 200},
		{name: "answered after a refusal", path: "/pay/", taken: 200, send: func(ctx context.Context, n int, call persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
			if n == 0 {
				return nil, refused()
			}
			return ok(ctx, n, call)
		}},
		{name: "refused by all", path: "/pay/", send: fail(refused()), taken: 200, returned: true},
		{name: "may have run", path: "/pay/", send: fail(errReset), taken: 200},
		{name: "no room", path: "/draft/", reserve: func(int) error { return refused() }, taken: 5200, returned: true},
		{name: "prefilled in vain", path: "/draft/", send: fail(refused()), taken: 5200},
		{name: "prefill may have run", path: "/draft/", send: fail(refused()), prefill: func(int) error { return errReset }, taken: 5200},
		{name: "prefills refused", path: "/draft/", send: fail(refused()), prefill: func(int) error { return refused() }, taken: 5200, returned: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, q := newQuotaFixture(t)
				f.Upstream.send, f.Upstream.prefill, f.Upstream.reserve = c.send, c.prefill, c.reserve
				_, _, _ = f.serve(t.Context(), c.path) // the units count
				assert.DeepEqual(t, q.taken, []int{c.taken})
				assert.Equal(t, len(q.returned), map[bool]int{false: 0, true: 1}[c.returned])
			})
		})
	}
}

// Guards against requests over the limit of their account that reach an endpoint, or that
// are refused with another code or time.
func TestQuotaRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, q := newQuotaFixture(t)
		q.err = &persimmoncart.Refusal{Code: persimmoncart.RefusalAccountLimited, Outcome: persimmoncart.OutcomeNotRun, RetryAfter: 3 * time.Second}
		_, _, err := f.serve(t.Context(), "/pay/")
		r := refusal(t, err)
		assert.Equal(t, r.Code, persimmoncart.RefusalAccountLimited)
		assert.Equal(t, r.Outcome, persimmoncart.OutcomeNotRun)
		assert.Equal(t, r.RetryAfter, 3*time.Second)
		f.assertOps(t)

		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		q.err = context.Canceled
		_, _, err = f.serve(ctx, "/pay/")
		gone := (*forward.CallerGoneError)(nil)
		assert.Assert(t, errors.As(err, &gone), "%v", err)
	})
}

// A fakeRing is a HeartbeatRing that records its calls.
type fakeRing struct {
	calls  []string
	mutex  sync.Mutex
	record quota.Record
}

// call records a call.
func (r *fakeRing) call(name string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.calls = append(r.calls, name)
}

// count returns the number of calls with a name.
func (r *fakeRing) count(name string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	n := 0
	for _, c := range r.calls {
		if c == name {
			n++
		}
	}
	return n
}

func (r *fakeRing) Confirmed()                       { r.call("confirmed") }
func (r *fakeRing) Contact(persimmoncart.Version)    { r.call("contact") }
func (*fakeRing) Due() (time.Duration, bool)         { return 0, false }
func (r *fakeRing) Found(*quota.Record, uint64)      { r.call("found") }
func (r *fakeRing) Gone(id persimmoncart.InstanceID) { r.call("gone " + string(id)) }
func (r *fakeRing) Listed()                          { r.call("listed") }
func (r *fakeRing) Record() quota.Record             { return r.record }
func (r *fakeRing) Observe(id persimmoncart.InstanceID, _ persimmoncart.Incarnation, s *quota.Record) {
	if s == nil {
		r.call("stranger " + string(id))
		return
	}
	r.call("observed " + string(id))
}

func (r *fakeRing) Written(_ time.Time, _ quota.Record, created bool, _ persimmoncart.Version) bool {
	if created {
		r.call("created")
		return true
	}
	r.call("written")
	return false
}

// startHeartbeats starts the heartbeats of an instance with a ring; nil for none.
func startHeartbeats(ctx context.Context, running *sync.WaitGroup, store persimmoncart.Store, id string, incarnation persimmoncart.Incarnation, ring forward.HeartbeatRing) (h *forward.Heartbeats, stop func()) {
	clock := &timer.System{}
	ctx, cancel := context.WithCancel(ctx)
	h = &forward.Heartbeats{
		Changed: func([]persimmoncart.InstanceID) {}, Logger: zerolog.Nop(), Ring: ring,
		Self: persimmoncart.Instance{ID: persimmoncart.InstanceID(id), Incarnation: incarnation}, Store: store, Timer: clock,
	}
	f := &forward.Follower{
		Changed: h.HandleChange, Listed: h.HandleList, Logger: zerolog.Nop(), Prefix: forward.HeartbeatsPrefix, ReachableChanged: h.SetStoreReachable,
		Store: store, Timer: clock, VersionReported: h.HandleContact,
	}
	running.Go(func() { _ = h.Run(ctx) })
	running.Go(func() { _ = f.Run(ctx) })
	return h, cancel
}

// Guards against records of deployments without quotas that change, against an instance
// that does not know whether its record was there before, and against instances that are
// taken as gone although their records are there.
func TestHeartbeatRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &objectapi.Memory{Timer: &timer.System{}}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		startHeartbeats(ctx, &running, store, "plain", 7, nil)
		ring := &fakeRing{record: quota.Record{Addr: recordAddr, DataCentre: "d1"}}
		h, stop := startHeartbeats(ctx, &running, store, "edge", 1, ring)
		time.Sleep(3 * time.Second)
		object, err := store.Get(t.Context(), forward.HeartbeatsPrefix+"plain")
		assert.NilError(t, err)
		assert.Equal(t, string(object.Value), `{"count":1,"incarnation":7}`)
		object, err = store.Get(t.Context(), forward.HeartbeatsPrefix+"edge")
		assert.NilError(t, err)
		var value map[string]any
		assert.NilError(t, json.Unmarshal(object.Value, &value))
		assert.DeepEqual(t, value["quota"], map[string]any{"addr": recordAddr.String(), "dc": "d1"})
		assert.Equal(t, ring.count("created"), 1)
		assert.Equal(t, ring.count("confirmed"), 1, "not all records were listed on request")
		assert.Equal(t, ring.count("found"), 0)
		assert.Equal(t, ring.count("stranger plain"), 1)
		assert.Assert(t, ring.count("observed edge") > 0 && ring.count("listed") > 0)

		before := ring.count("written")
		h.StoreRestored()
		time.Sleep(3 * time.Second)
		assert.Equal(t, ring.count("written"), before+1, "the record is not written anew")
		stop()

		again := &fakeRing{record: ring.record}
		_, stop = startHeartbeats(ctx, &running, store, "edge", 2, again)
		time.Sleep(3 * time.Second)
		assert.Equal(t, again.count("found"), 1)
		assert.Equal(t, again.count("created"), 0)
		assert.Equal(t, again.count("written"), 1)
		stop()

		other := &fakeRing{record: ring.record}
		startHeartbeats(ctx, &running, store, "other", 1, other)
		time.Sleep(3 * time.Minute)
		assert.Equal(t, other.count("gone edge"), 0)
		time.Sleep(5 * time.Minute)
		assert.Assert(t, other.count("gone edge") > 0)
		assert.Equal(t, other.count("gone plain"), 0)
	})
}

// recordAddr is the address in the records of the tests.
var recordAddr = netip.MustParseAddrPort("10.0.0.1:7000")
