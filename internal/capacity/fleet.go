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
	crossRegionDelay = 12 * time.Millisecond // one way between regions
	listLag          = 20 * time.Second      // delay until the instance list omits an ended process
	localDelay       = time.Millisecond      // one way within a region
	storeDelay       = 2 * time.Millisecond  // of a call to the store
)

// A fleet is a simulated fleet of instances. It is not safe for concurrent use.
type fleet struct {
	configuration     fixedConfiguration
	partitionedRegion persimmoncart.Region // partitioned from all others; empty if none
	endTimes          map[persimmoncart.Tag]time.Time
	regions           map[netip.AddrPort]persimmoncart.Region
	memory            *objectapi.Memory
	network           *peer.Network
	nodes             []*node
	random            *rand.Rand
	store             *objectapi.Faulty
	timer             *timer.Virtual
	topology          topology
}

// newFleet starts a fleet. The starts of its nodes are distributed over a second.
func newFleet(nodes int, seed uint64) *fleet {
	v := timer.NewVirtual(time.Unix(1764800000, 0))
	f := &fleet{
		endTimes: map[persimmoncart.Tag]time.Time{},
		regions:  map[netip.AddrPort]persimmoncart.Region{},
		memory:   &objectapi.Memory{ReadRate: objectapi.DefaultReadRate, Timer: v, WriteRate: objectapi.DefaultWriteRate},
		random:   rand.New(rand.NewPCG(seed, uint64(nodes))),
		timer:    v,
		topology: newTopology(nodes),
	}
	f.configuration = fixedConfiguration{f.topology.snapshot()}
	f.store = &objectapi.Faulty{Store: f.memory, Timer: v}
	f.network = &peer.Network{Delay: f.delay, Partitioned: f.partitioned, Rand: f.random, Timer: v}
	for i := range nodes {
		self := f.topology.instance(i)
		f.regions[self.Addr] = self.Region
		f.startNode(self, f.newRandom())
		v.Advance(time.Second / time.Duration(nodes))
	}
	return f
}

// newRandom returns a random number generator for one node.
func (f *fleet) newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(f.random.Uint64(), f.random.Uint64()))
}

// partitioned reports whether a message is lost because it enters or leaves the
// partitioned region.
func (f *fleet) partitioned(from, to netip.AddrPort) bool {
	return f.partitionedRegion != "" && (f.regions[from] == f.partitionedRegion) != (f.regions[to] == f.partitionedRegion)
}

// delay returns the network delay of a message.
func (f *fleet) delay(from, to netip.AddrPort) time.Duration {
	if f.regions[from] != f.regions[to] {
		return crossRegionDelay
	}
	return localDelay
}

// List implements persimmoncart.InstanceList. It still returns processes that ended up to
// listLag ago.
func (f *fleet) List(context.Context) ([]persimmoncart.ListEntry, error) {
	now := f.timer.Now()
	listed := make([]persimmoncart.ListEntry, 0, len(f.nodes))
	for _, n := range f.nodes {
		if at, ended := f.endTimes[n.self.Tag()]; ended && now.Sub(at) > listLag {
			continue
		}
		listed = append(listed, persimmoncart.ListEntry{Instance: &n.self})
	}
	return listed, nil
}

// alive returns the nodes whose processes run.
func (f *fleet) alive() []*node {
	var alive []*node
	for _, n := range f.nodes {
		if n.running() {
			alive = append(alive, n)
		}
	}
	return alive
}

// owners returns the owner of each owned replica, and the number of additional owners
// over all replicas, which must be zero.
func (f *fleet) owners() (map[persimmoncart.EndpointID]persimmoncart.InstanceID, int) {
	owners := make(map[persimmoncart.EndpointID]persimmoncart.InstanceID, f.topology.replicas)
	double := 0
	for _, n := range f.alive() {
		for _, id := range n.owner.Owned() {
			if _, ok := owners[id]; ok {
				double++
			}
			owners[id] = n.self.ID
		}
	}
	return owners, double
}

// falseDeaths returns the number of running processes that the view of some instance
// lists as dead, plus the false deaths that the instances have counted.
func (f *fleet) falseDeaths() int {
	running := map[persimmoncart.Tag]bool{}
	for _, n := range f.alive() {
		running[n.members.Self().Tag()] = true
	}
	declaredDead := map[persimmoncart.Tag]bool{}
	for _, n := range f.alive() {
		for _, m := range n.members.View() {
			if m.State == persimmoncart.MemberDead && running[m.Instance.Tag()] {
				declaredDead[m.Instance.Tag()] = true
			}
		}
	}
	count := len(declaredDead)
	for _, n := range f.alive() {
		count += n.members.Machine.Stats.FalseDeaths
	}
	return count
}
