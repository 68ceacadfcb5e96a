package ownership_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/membership"
	"github.com/persimmoncart/persimmoncart/internal/objectapi"
	"github.com/persimmoncart/persimmoncart/internal/ownership"
	"github.com/persimmoncart/persimmoncart/internal/peer"
	"github.com/persimmoncart/persimmoncart/internal/timer"
	memberv1 "github.com/persimmoncart/persimmoncart/proto/member/v1"
)

// A fixedConfiguration is a configuration that does not change.
type fixedConfiguration struct{ snapshot *persimmoncart.Snapshot }

func (f fixedConfiguration) Snapshot() *persimmoncart.Snapshot { return f.snapshot }

func (f fixedConfiguration) Subscribe(func(*persimmoncart.Snapshot)) (stop func()) { return func() {} }

// A fleet runs membership and ownership of several instances of one region.
type fleet struct {
	configuration fixedConfiguration
	listed        map[persimmoncart.InstanceID]bool
	memory        *objectapi.Memory
	network       *peer.Network
	nodes         []*node
	seed          uint64
	store         *objectapi.Faulty
	timer         *timer.Virtual
}

// A node is one instance of a fleet.
type node struct {
	members *membership.Service
	owner   *ownership.Service
	port    *peer.Port
	self    persimmoncart.Instance
	stops   []func()
}

// List implements persimmoncart.InstanceList.
func (f *fleet) List(context.Context) ([]persimmoncart.ListEntry, error) {
	var l []persimmoncart.ListEntry
	for _, n := range f.nodes {
		if self := n.self; f.listed[self.ID] {
			l = append(l, persimmoncart.ListEntry{Instance: &self})
		}
	}
	return l, nil
}

// newFleet starts size instances in each of the data centres, with replicas
// replicas each.
func newFleet(seed uint64, centres, size, replicas int) *fleet {
	v := timer.NewVirtual(time.Unix(1e9, 0))
	f := &fleet{
		configuration: fixedConfiguration{&persimmoncart.Snapshot{Endpoints: map[persimmoncart.EndpointID]*persimmoncart.Endpoint{}, Version: 1}},
		listed:        map[persimmoncart.InstanceID]bool{},
		memory:        &objectapi.Memory{Timer: v},
		network:       &peer.Network{Rand: rand.New(rand.NewPCG(seed, 1)), Timer: v},
		seed:          seed,
		timer:         v,
	}
	f.store = &objectapi.Faulty{Store: f.memory, Timer: v}
	for c := range centres {
		dc := persimmoncart.DataCentre(fmt.Sprintf("dc-%d", c))
		for i := range replicas {
			id := persimmoncart.EndpointID(fmt.Sprintf("replica-%d-%d", c, i))
			f.configuration.snapshot.Endpoints[id] = &persimmoncart.Endpoint{
				Blocks: 200, DataCentre: dc, ID: id, Region: "r", Role: persimmoncart.RoleDecode, Slots: 20,
			}
		}
		for i := range size {
			f.start(persimmoncart.Instance{
				Addr:        netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(c), byte(i)}), 7000),
				DataCentre:  dc,
				ID:          persimmoncart.InstanceID(fmt.Sprintf("i-%d-%d", c, i)),
				Incarnation: 1,
				Region:      "r",
			})
		}
	}
	return f
}

// start starts an instance.
func (f *fleet) start(self persimmoncart.Instance) *node {
	random := rand.New(rand.NewPCG(f.seed, uint64(len(f.nodes)+2)))
	n := &node{port: f.network.Port(self.Addr), self: self}
	n.port.SetState(peer.PortOpen)
	n.members = &membership.Service{
		List:      f,
		Lock:      &sync.Mutex{},
		Machine:   &membership.Machine{Rand: random, Self: self},
		Spawn:     func(g func()) { g() },
		Timer:     f.timer,
		Transport: n.port,
	}
	n.owner = &ownership.Service{
		Configuration: f.configuration,
		Members:       n.members,
		Rand:          random,
		Spawn:         func(g func()) { f.timer.After(2*time.Millisecond, func(time.Time) { g() }) },
		Store:         f.store,
		Timer:         f.timer,
		Transport:     n.port,
	}
	n.port.Handler = peer.Mux{"member": n.members}
	n.stops = []func(){n.owner.Start(context.Background()), n.members.Start(context.Background())}
	f.nodes = append(f.nodes, n)
	f.listed[self.ID] = true
	return n
}

// kill ends an instance. If refused is true, its host stays up and refuses
// connections.
func (f *fleet) kill(n *node, refused bool) {
	for _, stop := range n.stops {
		stop()
	}
	n.stops = nil
	f.listed[n.self.ID] = false
	n.port.StopProcess(peer.PortUnresponsive)
	if refused {
		n.port.StopProcess(peer.PortRefused)
	}
}

// owned returns the number of replicas with an owner, and an error if one has
// two. Ended processes own nothing.
func (f *fleet) owned() (int, error) {
	owners := map[persimmoncart.EndpointID]persimmoncart.InstanceID{}
	for _, n := range f.nodes {
		if n.stops == nil {
			continue
		}
		for _, id := range n.owner.Owned() {
			if other, taken := owners[id]; taken {
				return 0, fmt.Errorf("%s is owned by %s and %s", id, other, n.self.ID)
			}
			owners[id] = n.self.ID
		}
	}
	return len(owners), nil
}

// run advances time in small steps, checks that no replica ever has two owners,
// and returns how long fewer than want replicas had an owner.
func (f *fleet) run(t assert.TestingT, d time.Duration, want int) time.Duration {
	const step = 100 * time.Millisecond // far below the time for which a second owner would last
	var unowned time.Duration
	for range int(d / step) {
		f.timer.Advance(step)
		n, err := f.owned()
		assert.NilError(t, err)
		if n < want {
			unowned += step
		}
	}
	return unowned
}

// Guards against replicas without an owner for longer than docs/design.md
// section 8.2 states, after each kind of loss.
func TestOwnership(t *testing.T) {
	const replicas = 30
	tests := []struct {
		name       string
		centres    int
		event      func(f *fleet)
		maxUnowned time.Duration // longest time in which some replica has no owner
		duration   time.Duration
	}{
		{"nothing happens", 1, func(*fleet) {}, 0, time.Minute},
		// Detection takes at most one round of probes (4 s in a cell of five)
		// and an indirect probe; the new epoch takes effect 2.5 s later.
		{"process dies", 1, func(f *fleet) { f.kill(f.nodes[1], true) }, 4*time.Second + 900*time.Millisecond + ownership.StaticShareDelay + time.Second, time.Minute},
		{"instance joins", 1, func(f *fleet) {
			self := f.nodes[0].self
			self.ID, self.Addr = "i-0-9", netip.MustParseAddrPort("10.0.0.99:7000")
			f.start(self)
		}, ownership.StaticShareDelay + time.Second, time.Minute},
		{"store is down", 1, func(f *fleet) { f.store.SetDown(true) }, 0, 10 * time.Minute},
		{"leaving", 1, func(f *fleet) { f.nodes[1].members.Leave() }, ownership.StaticShareDelay + time.Second, time.Minute},
		{"all answers of writes are lost", 1, func(f *fleet) {
			f.store.LoseResponses(100)
			f.kill(f.nodes[1], true)
		}, 4*time.Second + 900*time.Millisecond + ownership.StaticShareDelay + 2*time.Second, time.Minute},
		// The instance list contains lost hosts for as long as it lags, and the
		// gateways have to detect the silence; then the other cell takes over.
		{"data centre is lost", 2, func(f *fleet) {
			for _, n := range f.nodes[:5] {
				f.kill(n, false)
			}
		}, 75 * time.Second, 3 * time.Minute},
		{"data centre is lost and returns", 2, func(f *fleet) {
			for _, n := range f.nodes[:5] {
				f.kill(n, false)
			}
			f.timer.Advance(2 * time.Minute)
			for _, n := range f.nodes[:5] {
				self := n.self
				self.Incarnation = 2
				f.start(self)
			}
		}, ownership.StaticShareDelay + 10*time.Second, 3 * time.Minute},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(11, tt.centres, 5, replicas)
			f.timer.Advance(30 * time.Second)
			all := tt.centres * replicas
			n, err := f.owned()
			assert.NilError(t, err)
			assert.Equal(t, n, all)
			writes := f.memory.Counters().Writes
			tt.event(f)
			unowned := f.run(t, tt.duration, all)
			t.Logf("without an owner for %s, %d writes", unowned, f.memory.Counters().Writes-writes)
			assert.Assert(t, unowned <= tt.maxUnowned, "%s", unowned)
			n, err = f.owned()
			assert.NilError(t, err)
			assert.Equal(t, n, all)
		})
	}
}

// Guards against several instances that use all slots of a replica without a
// confirmed owner, and against replicas that no instance uses.
func TestStaticShares(t *testing.T) {
	f := newFleet(3, 1, 5, 20)
	f.timer.Advance(30 * time.Second)
	for _, n := range f.nodes[2:] { // the remaining two are no quorum
		n.port.SetState(peer.PortUnresponsive)
	}
	f.run(t, 20*time.Second, 0)
	slots := map[persimmoncart.EndpointID]int{}
	for _, n := range f.nodes[:2] {
		for _, u := range n.owner.Usable() {
			assert.Assert(t, !u.Owned)
			slots[u.Endpoint] += u.Slots
		}
	}
	assert.Equal(t, len(slots), 20)
	for id, n := range slots {
		assert.Assert(t, n == 8, "%s: %d", id, n) // two shares of floor(20/5)
	}
}

// Guards against two owners after any history of kills, restarts, pauses,
// partitions, lost messages and store outages, and against a fleet that does
// not settle on the owners that the naive assignment returns.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const replicas = 12
		f := newFleet(rapid.Uint64().Draw(r, "seed"), 1, rapid.IntRange(2, 4).Draw(r, "size"), replicas)
		f.network.Drop = rapid.SampledFrom([]float64{0, 0.05}).Draw(r, "drop")
		f.run(r, 20*time.Second, 0)
		for range rapid.IntRange(1, 6).Draw(r, "events") {
			n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(r, "node")]
			if n.stops == nil {
				continue
			}
			switch rapid.IntRange(0, 4).Draw(r, "event") {
			case 0:
				f.kill(n, true)
				self := n.self
				self.Incarnation++
				f.run(r, time.Duration(rapid.IntRange(0, 10).Draw(r, "gone"))*time.Second, 0)
				f.nodes = slices.DeleteFunc(f.nodes, func(o *node) bool { return o == n })
				f.start(self)
			case 1:
				n.port.SetState(peer.PortUnresponsive)
				f.run(r, time.Duration(rapid.IntRange(1, 30).Draw(r, "cut"))*time.Second, 0)
				n.port.SetState(peer.PortOpen)
			case 2:
				f.store.SetDown(rapid.Bool().Draw(r, "down"))
			case 3:
				f.store.LoseResponses(rapid.IntRange(0, 3).Draw(r, "lost"))
			case 4:
				side := n.self.Addr
				f.network.Partitioned = func(from, to netip.AddrPort) bool { return from == side && to.Addr().As4()[3] > 1 }
			}
			f.run(r, time.Duration(rapid.IntRange(0, 8).Draw(r, "wait"))*time.Second, 0)
		}
		f.store.SetDown(false)
		f.store.LoseResponses(0)
		f.network.Partitioned, f.network.Drop = nil, 0
		f.run(r, 40*time.Second, 0)
		var members, ids []string
		for _, n := range f.nodes {
			members = append(members, string(n.self.ID))
		}
		for id := range f.configuration.snapshot.Endpoints {
			ids = append(ids, string(id))
		}
		want := naive(members, ids)
		for _, n := range f.nodes {
			for _, id := range n.owner.Owned() {
				assert.Equal(r, want[string(id)], string(n.self.ID))
				delete(want, string(id))
			}
		}
		assert.Equal(r, len(want), 0)
	})
}

// Guards against a data race when a peer's probe arrives before ownership has
// started: probes are answered from the moment the listener is open.
func TestProbeBeforeStart(t *testing.T) {
	v := timer.NewVirtual(time.Unix(1e9, 0))
	network := &peer.Network{Rand: rand.New(rand.NewPCG(1, 1)), Timer: v}
	self := persimmoncart.Instance{Addr: netip.MustParseAddrPort("10.0.0.1:7000"), DataCentre: "dc", ID: "i", Incarnation: 1, Region: "r"}
	members := &membership.Service{
		Lock:      &sync.Mutex{},
		Machine:   &membership.Machine{Rand: rand.New(rand.NewPCG(1, 2)), Self: self},
		Timer:     v,
		Transport: network.Port(self.Addr),
	}
	owner := &ownership.Service{
		Configuration: fixedConfiguration{&persimmoncart.Snapshot{Version: 1}},
		Members:       members,
		Rand:          rand.New(rand.NewPCG(1, 3)),
		Store:         &objectapi.Memory{Timer: v},
		Timer:         v,
		Transport:     network.Port(self.Addr),
	}
	var group sync.WaitGroup
	group.Go(func() {
		probe := &memberv1.ProbeRequest{
			From:      &memberv1.Entry{Id: "j", Incarnation: 1},
			Piggyback: &memberv1.Piggyback{},
		}
		members.Handle(probe, func(proto.Message, error) {})
	})
	// The pause lets the probe run first without ordering the two for the race
	// detector. Correct code passes with any pause.
	time.Sleep(20 * time.Millisecond)
	stop := owner.Start(t.Context())
	group.Wait()
	stop()
}
