package order_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/config"
	"github.com/persimmoncart/persimmoncart/internal/lease"
	"github.com/persimmoncart/persimmoncart/internal/objectapi"
	"github.com/persimmoncart/persimmoncart/internal/order"
	"github.com/persimmoncart/persimmoncart/internal/policy"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// snapshot returns a configuration with a pool of engines and the given sheets.
func snapshot(t *testing.T, engines int, sheets ...string) *persimmoncart.Snapshot {
	var b strings.Builder
	b.WriteString("pools: [{name: hull, models: [a, b], prefill: 1, decode: 2}]\nendpoints:\n")
	for i := range engines {
		role := "decode"
		if i%4 == 0 {
			role = "prefill"
		}
		fmt.Fprintf(&b, "  - {name: h%02d, addr: \"10.0.0.%d:80\", blocks: 64, centre: hall1, region: coast, pool: hull, role: %s, models: [a]}\n", i, i+1, role)
	}
	entries, issues := config.ParseYAML("f.yaml", []byte(b.String()))
	for _, s := range sheets {
		e, i := config.ParseFile("s.csv", []byte("day,pool,model,from,to,rate,prefill,decode\n"+s))
		entries, issues = append(entries, e...), append(issues, i...)
	}
	assert.NilError(t, config.ValidateParsed(issues, entries))
	c, err := config.NewStatic(entries)
	assert.NilError(t, err)
	return c.Snapshot()
}

// Guards against a missing, late or implausible sheet that leaves a pool without
// replicas, and against a fallback without a warning.
func TestSizes(t *testing.T) {
	const (
		yesterday = "2026-12-03,hull,a,00:00,24:00,10,2,4\n"
		today     = "2026-12-04,hull,a,06:00,18:00,12,3,5\n"
	)
	for _, c := range []struct {
		name    string
		sheets  []string
		now     time.Time
		prefill int
		decode  int
		warning string
	}{
		{"today", []string{yesterday, today}, noon, 3, 5, ""},
		{"outside its hours", []string{yesterday, today}, noon.Add(8 * time.Hour), 1, 2, ""},
		{"missing", []string{yesterday}, noon, 2, 4, "there is no sheet of 2026-12-04; the sheet of 2026-12-03 is in force"},
		{"missing for days", []string{yesterday}, noon.AddDate(0, 0, 5), 2, 4, "the sheet of 2026-12-03 is in force"},
		{"none", nil, noon, 1, 2, "pools' own sizes"},
		{"only tomorrow's", []string{"2026-12-05,hull,a,06:00,18:00,12,3,5\n"}, noon, 1, 2, "pools' own sizes"},
		{"demand too high", []string{yesterday, "2026-12-04,hull,a,00:00,24:00,900,3,5\n"}, noon, 2, 4, "its demand is 90 times"},
		{"demand too low", []string{yesterday, "2026-12-04,hull,a,00:00,24:00,0.1,3,5\n"}, noon, 2, 4, "its demand is 0.01 times"},
		{"no replicas", []string{yesterday, "2026-12-04,hull,a,00:00,24:00,0,0,0\n"}, noon, 2, 4, "without replicas"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := snapshot(t, 10, c.sheets...)
			rows, warning := order.Sizes(s, s.Pools["hull"], c.now)
			assert.Equal(t, len(rows), 1)
			assert.Equal(t, rows[0].Prefill, c.prefill)
			assert.Equal(t, rows[0].Decode, c.decode)
			assert.Equal(t, warning == "", c.warning == "", warning)
			assert.Assert(t, strings.Contains(warning, c.warning), warning)
		})
	}
}

// Guards against overrides that lose replicas or apply after their end.
func TestOverride(t *testing.T) {
	s := snapshot(t, 10, "2026-12-04,hull,a,00:00,24:00,1,1,3\n2026-12-04,hull,b,00:00,24:00,1,1,1\n")
	s.Overrides["hull"] = &persimmoncart.Override{Decode: 7, Pool: "hull", Prefill: 3, Until: noon.Add(time.Hour)}
	rows, _ := order.Sizes(s, s.Pools["hull"], noon)
	assert.Equal(t, rows[0].Decode+rows[1].Decode, 7)
	assert.Equal(t, rows[0].Prefill+rows[1].Prefill, 3)
	assert.Equal(t, rows[0].Decode, 5)
	rows, _ = order.Sizes(s, s.Pools["hull"], noon.Add(time.Hour))
	assert.Equal(t, rows[0].Decode, 3)
}

// A clock is a virtual timer whose time advances in Sleep.
type clock struct{ *timer.Virtual }

func (c clock) Sleep(ctx context.Context, d time.Duration) error {
	c.Advance(d)
	return ctx.Err()
}

// A staticConfiguration is a configuration that never changes.
type staticConfiguration struct{ snapshot *persimmoncart.Snapshot }

func (c *staticConfiguration) Snapshot() *persimmoncart.Snapshot { return c.snapshot }

func (c *staticConfiguration) Subscribe(func(*persimmoncart.Snapshot)) (stop func()) {
	return func() {}
}

// An engine is a fake engine that carries out orders at once.
type engine struct {
	persimmoncart.Engine
	checksFence bool // refuses orders with an old fencing token
	fence       uint64
	mutex       sync.Mutex
	orders      int // accepted orders
	report      persimmoncart.LoadReport
}

func (e *engine) Load(context.Context) (persimmoncart.LoadReport, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	r := e.report
	r.Models = slices.Clone(r.Models)
	return r, nil
}

func (e *engine) Order(_ context.Context, o persimmoncart.Order) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.checksFence && o.Fence < e.fence {
		return &persimmoncart.EndpointRefusedError{Reason: "old token"}
	}
	e.fence = max(e.fence, o.Fence)
	e.orders++
	switch o.Kind {
	case persimmoncart.OrderLoad:
		e.report.Models = append(e.report.Models, o.Model)
	case persimmoncart.OrderRole:
		e.report.Role = o.Role
	case persimmoncart.OrderUnload:
		e.report.Models = slices.DeleteFunc(e.report.Models, func(m persimmoncart.ModelName) bool { return m == o.Model })
	}
	return nil
}

// engines implements persimmoncart.Engines with fake engines by address.
type engines map[netip.AddrPort]*engine

func (e engines) Engine(addr netip.AddrPort) persimmoncart.Engine { return e[addr] }

// A fleet is two instances, each with a planner and a reconciler, on one store.
type fleet struct {
	clock         clock
	configuration *staticConfiguration
	engines       engines
	planners      []*order.Planner
	reconcilers   []*order.Reconciler
}

func newFleet(s *persimmoncart.Snapshot) *fleet {
	f := &fleet{clock: clock{timer.NewVirtual(noon)}, configuration: &staticConfiguration{s}, engines: engines{}}
	store := &objectapi.Memory{Timer: f.clock}
	i := 0
	for _, e := range s.Endpoints {
		f.engines[e.Addr] = &engine{checksFence: i%2 == 0, report: persimmoncart.LoadReport{Models: []persimmoncart.ModelName{"a"}, Role: e.Role}}
		i++
	}
	for _, id := range []persimmoncart.InstanceID{"i1", "i2"} {
		leases := &lease.Keeper{Self: persimmoncart.Tag{Incarnation: 1, Instance: id}, Store: store, Timer: f.clock}
		f.planners = append(f.planners, &order.Planner{Configuration: f.configuration, Leases: leases, Logger: zerolog.Nop(), Store: store, Timer: f.clock})
		f.reconcilers = append(f.reconcilers, &order.Reconciler{
			DataCentre: "hall1", Configuration: f.configuration, Engines: f.engines, Leases: leases, Logger: zerolog.Nop(), Self: id, Store: store, Timer: f.clock,
		})
	}
	return f
}

// run advances the time by d in steps of 2 s. At each step the planners and
// reconcilers of the given instances tick.
func (f *fleet) run(t *testing.T, d time.Duration, instances ...int) {
	var held *persimmoncart.LeaseHeldError
	for end := f.clock.Now().Add(d); f.clock.Now().Before(end); f.clock.Advance(2 * time.Second) {
		for _, i := range instances {
			if err := f.planners[i].Tick(t.Context()); err != nil && !errors.As(err, &held) {
				t.Error(err)
			}
			if err := f.reconcilers[i].Tick(t.Context()); err != nil && !errors.As(err, &held) {
				t.Error(err)
			}
		}
	}
}

// count returns the number of engines of the role that serve exactly this model.
func (f *fleet) count(role persimmoncart.Role, model persimmoncart.ModelName) int {
	n := 0
	for _, e := range f.engines {
		if e.report.Role == role && slices.Equal(e.report.Models, []persimmoncart.ModelName{model}) {
			n++
		}
	}
	return n
}

// accepted returns the number of orders that the engines accepted.
func (f *fleet) accepted() int {
	n := 0
	for _, e := range f.engines {
		n += e.orders
	}
	return n
}

// Guards against engines that do not reach the roles and models of the sheet,
// orders of a new lease holder while the old one may still act, a late order of a
// former holder that is not undone, and orders to engines in their desired state.
func TestOrders(t *testing.T) {
	f := newFleet(snapshot(t, 12, "2026-12-04,hull,a,06:00,23:00,12,3,4\n2026-12-04,hull,b,06:00,23:00,2,1,2\n"))
	f.run(t, 20*time.Minute, 0, 1)
	assert.Equal(t, f.count(persimmoncart.RolePrefill, "b"), 1)
	assert.Equal(t, f.count(persimmoncart.RoleDecode, "b"), 2)
	assert.Assert(t, f.count(persimmoncart.RolePrefill, "a") >= 2)
	assert.Assert(t, f.count(persimmoncart.RoleDecode, "a") >= 4)
	before := f.accepted()
	f.run(t, 10*time.Minute, 0, 1)
	assert.Equal(t, f.accepted(), before)

	// The holder pauses. Its lease was renewed at most 7 s ago; a successor has to
	// read the lease record unchanged for a term and margin (16 s) and then waits
	// 5 s, so no instance sends an order within 14 s.
	victim := f.engines[netip.MustParseAddrPort("10.0.0.2:80")]
	victim.checksFence = false
	role := victim.report.Role
	victim.report.Role = persimmoncart.RolePrefill + persimmoncart.RoleDecode - role
	f.run(t, 14*time.Second, 1)
	assert.Equal(t, f.accepted(), before)
	f.run(t, time.Minute, 1)
	assert.Equal(t, victim.report.Role, role)

	// An order of the former holder that arrives late is undone.
	assert.NilError(t, victim.Order(t.Context(), persimmoncart.Order{Fence: 1, Kind: persimmoncart.OrderRole, Role: persimmoncart.RolePrefill + persimmoncart.RoleDecode - role}))
	f.run(t, 2*time.Minute, 1)
	assert.Equal(t, victim.report.Role, role)
}

// Guards against a plan that ignores pins.
func TestPins(t *testing.T) {
	s := snapshot(t, 8, "2026-12-04,hull,a,06:00,23:00,12,2,6\n")
	s.Pins["h01"] = &persimmoncart.Pin{Endpoint: "h01", Models: []persimmoncart.ModelName{"b"}, Role: persimmoncart.RolePrefill}
	f := newFleet(s)
	f.run(t, 10*time.Minute, 0)
	assert.Equal(t, f.count(persimmoncart.RolePrefill, "b"), 1)
	assert.DeepEqual(t, f.engines[s.Endpoints["h01"].Addr].report.Models, []persimmoncart.ModelName{"b"})
}

func ExampleRolePlanner() {
	r := &order.RolePlanner{Planner: policy.NewPlanner(order.DefaultParallelFetches)}
	request := persimmoncart.PlanRequest{
		Endpoints: []*persimmoncart.Endpoint{{ID: "h1", Role: persimmoncart.RoleDecode}, {ID: "h2", Role: persimmoncart.RoleDecode}},
		Sizes:     []persimmoncart.SheetRow{{Decode: 1, Model: "a", Prefill: 1}},
		Previous:  map[persimmoncart.EndpointID]persimmoncart.DesiredState{},
	}
	for i := range 3 {
		request.Now = noon.Add(time.Duration(i) * time.Minute)
		for _, d := range r.Plan(request) {
			request.Previous[d.Endpoint] = d
		}
	}
	fmt.Println(request.Previous["h1"].Role, request.Previous["h2"].Role)
	// Output: decode prefill
}
