package load_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/load"
	"github.com/persimmoncart/persimmoncart/internal/membership"
	"github.com/persimmoncart/persimmoncart/internal/peer"
	"github.com/persimmoncart/persimmoncart/internal/timer"
	loadv1 "github.com/persimmoncart/persimmoncart/proto/load/v1"
)

// A fixedConfiguration is a configuration that does not change.
type fixedConfiguration struct{ snapshot *persimmoncart.Snapshot }

func (f fixedConfiguration) Snapshot() *persimmoncart.Snapshot { return f.snapshot }

func (f fixedConfiguration) Subscribe(func(*persimmoncart.Snapshot)) (stop func()) { return func() {} }

var models = []persimmoncart.ModelName{"hull", "hull:lots"}

var configuration = fixedConfiguration{&persimmoncart.Snapshot{
	Pools:   map[persimmoncart.PoolName]*persimmoncart.Pool{"llm": {Models: models, Name: "llm"}},
	Version: 1,
}}

// A fakeAllocator stands in for the local slot allocator.
type fakeAllocator struct {
	changes  []persimmoncart.LoanChange
	digests  map[persimmoncart.InstanceID]persimmoncart.Digest
	free     map[persimmoncart.ModelName]int
	full     bool
	lent     int
	self     persimmoncart.Instance
	sequence uint64
}

func (a *fakeAllocator) ReclaimSlots(id persimmoncart.InstanceID) { delete(a.digests, id) }
func (a *fakeAllocator) RemoveDigest(id persimmoncart.InstanceID) { delete(a.digests, id) }

func (a *fakeAllocator) UpdateDigest(d persimmoncart.Digest, _ time.Duration) {
	a.digests[d.Instance] = d
}

func (a *fakeAllocator) Digest() persimmoncart.Digest {
	a.sequence++
	d := persimmoncart.Digest{Instance: a.self.ID, Sequence: a.sequence}
	for _, m := range models {
		d.Pools = append(d.Pools, persimmoncart.PoolDigest{
			FreeBlocks: 9 * a.free[m], DataCentre: a.self.DataCentre, FreeSlots: a.free[m], Model: m, Pool: "llm",
			Region: a.self.Region, Role: persimmoncart.RoleDecode, Slots: 40,
		})
	}
	return d
}

func (a *fakeAllocator) Lend(_ context.Context, r persimmoncart.BorrowRequest) (persimmoncart.Loan, error) {
	l := persimmoncart.Loan{Digest: a.Digest(), ID: r.ID}
	for i, item := range r.Items {
		if a.full {
			break
		}
		a.lent++
		l.Slots = append(l.Slots, persimmoncart.LentSlot{
			Blocks: persimmoncart.Blocks(item.Request.PromptTokens), Endpoint: "e", ID: persimmoncart.GrantID(fmt.Sprint("lentSlot-", a.lent)), Item: i,
		})
	}
	return l, nil
}

func (a *fakeAllocator) UpdateSlots(_ context.Context, _ persimmoncart.InstanceID, c []persimmoncart.LoanChange) error {
	a.changes = append(a.changes, c...)
	return nil
}

// A node is one instance with its exchange and its handler.
type node struct {
	allocator *fakeAllocator
	exchange  *load.Exchange
	handler   *load.Handler
	members   *membership.Service
	port      *peer.Port
}

// startFleet starts instances of one region, cells[i] of them in data centre i.
func startFleet(seed uint64, cells ...int) (*timer.Virtual, *peer.Network, []*node) {
	v := timer.NewVirtual(time.Unix(1e9, 0))
	network := &peer.Network{Rand: rand.New(rand.NewPCG(seed, 1)), Timer: v}
	var nodes []*node
	var listed fixedList
	for c, size := range cells {
		for i := range size {
			self := persimmoncart.Instance{
				Addr:        netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(c), byte(i)}), 7000),
				DataCentre:  persimmoncart.DataCentre(fmt.Sprint("dc-", c)),
				ID:          persimmoncart.InstanceID(fmt.Sprintf("i-%d-%d", c, i)),
				Incarnation: 1,
				Region:      "r",
			}
			listed = append(listed, persimmoncart.ListEntry{Instance: &self})
			n := &node{port: network.Port(self.Addr)}
			n.allocator = &fakeAllocator{free: map[persimmoncart.ModelName]int{}, digests: map[persimmoncart.InstanceID]persimmoncart.Digest{}, self: self}
			n.members = &membership.Service{
				Machine:   &membership.Machine{Rand: rand.New(rand.NewPCG(seed, uint64(len(nodes)+2))), Self: self},
				Spawn:     func(f func()) { f() },
				Timer:     v,
				Transport: n.port,
			}
			n.exchange = &load.Exchange{Configuration: configuration, Digests: n.allocator, Members: n.members, Timer: v}
			n.handler = &load.Handler{Configuration: configuration, Lender: n.allocator, Spawn: func(f func()) { f() }, Timer: v}
			n.port.Handler = peer.Mux{"load": n.handler, "member": n.members}
			nodes = append(nodes, n)
		}
	}
	for _, n := range nodes {
		n.members.List = listed
		n.exchange.Start()
		n.members.Start(context.Background())
	}
	return v, network, nodes
}

// A fixedList is an instance list that does not change.
type fixedList []persimmoncart.ListEntry

func (l fixedList) List(context.Context) ([]persimmoncart.ListEntry, error) { return l, nil }

// Guards against a digest that differs from the owner's state after lost and
// repeated messages, although only changed rows are sent. The reference is that
// every instance holds the whole newest digest of every other.
func TestDigests(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		v, network, nodes := startFleet(rapid.Uint64().Draw(r, "seed"), rapid.IntRange(2, 4).Draw(r, "size"))
		network.Drop, network.Duplicate = rapid.SampledFrom([]float64{0, 0.2}).Draw(r, "drop"), 0.1
		for range rapid.IntRange(1, 6).Draw(r, "changes") {
			n := nodes[rapid.IntRange(0, len(nodes)-1).Draw(r, "node")]
			n.allocator.free[models[rapid.IntRange(0, 1).Draw(r, "model")]] = rapid.IntRange(0, 40).Draw(r, "free")
			v.Advance(time.Duration(rapid.IntRange(0, 5).Draw(r, "wait")) * time.Second)
		}
		network.Drop = 0
		v.Advance(20 * time.Second)
		for _, n := range nodes {
			for _, o := range nodes {
				if o == n {
					continue
				}
				got := n.allocator.digests[o.allocator.self.ID]
				assert.Equal(r, len(got.Pools), len(models))
				for _, p := range got.Pools {
					want := o.allocator.free[p.Model]
					// The hysteresis is a tenth of the slots; zero and more always differ.
					assert.Assert(r, max(p.FreeSlots-want, want-p.FreeSlots) <= p.Slots/10 && (p.FreeSlots == 0) == (want == 0), "%s: got %d, want %d", p.Model, p.FreeSlots, want)
				}
			}
		}
	})
}

// Guards against rows that are sent repeatedly although nothing has changed.
func TestDigestsQuiet(t *testing.T) {
	v, _, nodes := startFleet(1, 4)
	v.Advance(30 * time.Second)
	before := nodes[0].port.TotalBytesSent()
	v.Advance(time.Minute)
	quiet := nodes[0].port.TotalBytesSent() - before
	for i := range 60 {
		for _, n := range nodes {
			n.allocator.free[models[0]] = i * 13 % 41 // differs between digests of any period
		}
		v.Advance(time.Second)
	}
	busy := nodes[0].port.TotalBytesSent() - before - quiet
	assert.Assert(t, busy > quiet+1000, "%d quiet, %d busy", quiet, busy)
}

// Guards against borrowers that receive no digest of an owner in another data
// centre.
func TestSums(t *testing.T) {
	v, _, nodes := startFleet(2, 3, 3)
	for i, n := range nodes[3:] {
		n.allocator.free[models[0]] = 10 * i
	}
	v.Advance(90 * time.Second)
	for _, n := range nodes[:3] {
		d := n.allocator.digests["i-1-2"] // the owner with the most free slots
		assert.Equal(t, len(d.Pools), len(models))
		assert.Equal(t, d.Pools[0].FreeSlots, 20)
		total, ok := n.exchange.Sum("dc-1")
		assert.Assert(t, ok)
		assert.Equal(t, total[0].FreeSlots, 30)
		assert.Equal(t, total[0].Slots, 120)
	}
}

// Guards against a repeated borrow that takes slots twice.
func TestBorrowRepeated(t *testing.T) {
	v, _, nodes := startFleet(4, 2)
	request := &loadv1.BorrowRequest{From: "i-0-0", Id: 7, Items: []*loadv1.BorrowItem{{Decode: true, Tokens: 3000}}}
	var replies []*loadv1.BorrowReply
	for range 2 {
		nodes[0].port.Call(nodes[1].allocator.self.Addr, request, time.Second, func(m proto.Message, err error) {
			assert.NilError(t, err)
			replies = append(replies, m.(*loadv1.BorrowReply))
		})
	}
	v.Advance(time.Second)
	assert.Equal(t, len(replies), 2)
	assert.Assert(t, proto.Equal(replies[0], replies[1]))
	assert.Equal(t, nodes[1].allocator.lent, 1)
	assert.Equal(t, replies[0].GetSlots()[0].GetBlocks(), uint32(3))
}

// A lossyTransport loses the first requests.
type lossyTransport struct {
	handler peer.Handler
	lose    int
}

func (t *lossyTransport) Call(to netip.AddrPort, request proto.Message, timeout time.Duration, done func(proto.Message, error)) {
	if t.lose--; t.lose >= 0 {
		done(nil, &peer.TimeoutError{Addr: to, Timeout: timeout})
		return
	}
	t.handler.Handle(request, done)
}

// Guards against a lost change of a lent slot, which would expire at its owner
// while in use.
func TestUpdateSlotsRetried(t *testing.T) {
	v, _, nodes := startFleet(4, 2)
	v.Advance(5 * time.Second)
	lenders := &load.Lenders{Exchange: nodes[0].exchange, Timer: v, Transport: &lossyTransport{handler: nodes[1].handler, lose: 2}}
	changes := []persimmoncart.LoanChange{{ID: "s", Kind: persimmoncart.LoanCommitted}}
	assert.NilError(t, lenders.Lender("i-0-1").UpdateSlots(context.Background(), "i-0-0", changes))
	assert.DeepEqual(t, nodes[1].allocator.changes, changes)
	loan, err := lenders.Lender("i-0-1").Lend(context.Background(), persimmoncart.BorrowRequest{
		From: "i-0-0", ID: 3, Items: []persimmoncart.BorrowItem{{Decode: true, Request: persimmoncart.ReserveRequest{PromptTokens: 5000}}},
	})
	assert.NilError(t, err)
	assert.Equal(t, loan.Slots[0].Blocks, 5)
	assert.Equal(t, len(loan.Digest.Pools), 0) // everything was lent
	nodes[1].allocator.full = true
	loan, err = lenders.Lender("i-0-1").Lend(context.Background(), persimmoncart.BorrowRequest{From: "i-0-0", ID: 4, Items: make([]persimmoncart.BorrowItem, 1)})
	assert.NilError(t, err)
	assert.Equal(t, len(loan.Slots), 0)
	assert.Equal(t, loan.Digest.Instance, persimmoncart.InstanceID("i-0-1"))
	assert.Equal(t, len(loan.Digest.Pools), len(models))
}

func ExampleGovernor() {
	v := timer.NewVirtual(time.Unix(1e9, 0))
	g := &load.Governor{Budget: 100, Timer: v}
	g.Count(0)
	v.Advance(time.Minute)
	for _, bytes := range []int{4000, 900, 300, 300} {
		g.Count(bytes)
		fmt.Println(g.Rate(), g.Allow(load.KindCrossRegion), g.Allow(load.KindSum), g.Allow(load.KindDigest), g.BorrowDelay())
	}
	v.Advance(time.Minute)
	fmt.Println(g.Rate())
	// Output:
	// 66.66666666666667 true true true 0s
	// 81.66666666666667 false true true 1s
	// 86.66666666666667 false false true 2s
	// 91.66666666666667 false false false 5s
	// 0
}
