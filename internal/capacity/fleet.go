package capacity

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/objectapi"
	"github.com/persimmoncart/persimmoncart/internal/peer"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

const (
	farDelay   = 12 * time.Millisecond // one way between regions
	listLag    = 20 * time.Second      // of the instance list
	nearDelay  = time.Millisecond      // one way within a region
	storeDelay = 2 * time.Millisecond
)

// A fleet is one simulated fleet. One goroutine drives it.
type fleet struct {
	configuration fixed
	cutRegion     persimmoncart.Region // cut from all others; empty if none
	ended         map[persimmoncart.Tag]time.Time
	index         map[netip.AddrPort]persimmoncart.Region
	memory        *objectapi.Memory
	network       *peer.Network
	nodes         []*node
	random        *rand.Rand
	store         *objectapi.Faulty
	timer         *timer.Virtual
	topology      topology
}

// newFleet starts a fleet. The starts are spread over a second.
func newFleet(nodes int, seed uint64) *fleet {
	v := timer.NewVirtual(time.Unix(1764800000, 0))
	f := &fleet{
		ended:    map[persimmoncart.Tag]time.Time{},
		index:    map[netip.AddrPort]persimmoncart.Region{},
		memory:   &objectapi.Memory{ReadRate: objectapi.DefaultReadRate, Timer: v, WriteRate: objectapi.DefaultWriteRate},
		random:   rand.New(rand.NewPCG(seed, uint64(nodes))),
		timer:    v,
		topology: newTopology(nodes),
	}
	f.configuration = fixed{f.topology.snapshot()}
	f.store = &objectapi.Faulty{Store: f.memory, Timer: v}
	f.network = &peer.Network{Delay: f.delay, Partitioned: f.cut, Rand: f.random, Timer: v}
	for i := range nodes {
		self := f.topology.instance(i)
		f.index[self.Addr] = self.Region
		f.start(self, f.newRandom())
		v.Advance(time.Second / time.Duration(nodes))
	}
	return f
}

// newRandom returns a source for one node.
func (f *fleet) newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(f.random.Uint64(), f.random.Uint64()))
}

// cut reports whether a message crosses the border of a cut region.
func (f *fleet) cut(from, to netip.AddrPort) bool {
	return f.cutRegion != "" && (f.index[from] == f.cutRegion) != (f.index[to] == f.cutRegion)
}

// delay returns the time of a message.
func (f *fleet) delay(from, to netip.AddrPort) time.Duration {
	if f.index[from] != f.index[to] {
		return farDelay
	}
	return nearDelay
}

// List implements persimmoncart.InstanceList. It lags in both directions.
func (f *fleet) List(context.Context) ([]persimmoncart.ListEntry, error) {
	now := f.timer.Now()
	listed := make([]persimmoncart.ListEntry, 0, len(f.nodes))
	for _, n := range f.nodes {
		if at, ended := f.ended[n.self.Tag()]; ended && now.Sub(at) > listLag {
			continue
		}
		listed = append(listed, persimmoncart.ListEntry{Instance: &n.self})
	}
	return listed, nil
}

// alive returns the nodes whose process runs.
func (f *fleet) alive() []*node {
	var alive []*node
	for _, n := range f.nodes {
		if n.running() {
			alive = append(alive, n)
		}
	}
	return alive
}

// owners returns the owner of each replica and the number of replicas with two.
func (f *fleet) owners() (map[persimmoncart.EndpointID]persimmoncart.InstanceID, int) {
	owners := make(map[persimmoncart.EndpointID]persimmoncart.InstanceID, f.topology.replicas)
	double := 0
	for _, n := range f.alive() {
		for _, id := range n.owner.Owned() {
			if _, taken := owners[id]; taken {
				double++
			}
			owners[id] = n.self.ID
		}
	}
	return owners, double
}

// burials returns the number of running processes that some instance holds dead.
func (f *fleet) burials() int {
	running := map[persimmoncart.Tag]bool{}
	for _, n := range f.alive() {
		running[n.members.Self().Tag()] = true
	}
	buried := map[persimmoncart.Tag]bool{}
	for _, n := range f.alive() {
		for _, m := range n.members.View() {
			if m.State == persimmoncart.MemberDead && running[m.Instance.Tag()] {
				buried[m.Instance.Tag()] = true
			}
		}
	}
	count := len(buried)
	for _, n := range f.alive() {
		count += n.members.Machine.Stats.FalseDeaths
	}
	return count
}
