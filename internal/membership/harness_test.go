package membership_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/membership"
	"github.com/persimmoncart/persimmoncart/internal/peer"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// A fleet runs several instances on one in-memory network.
type fleet struct {
	listed  map[persimmoncart.InstanceID]bool
	network *peer.Network
	nodes   []*node
	timer   *timer.Virtual
}

// A node is one instance of a fleet.
type node struct {
	port    *peer.Port
	service *membership.Service
	stop    func()
}

// List implements persimmoncart.InstanceList.
func (f *fleet) List(context.Context) ([]persimmoncart.ListEntry, error) {
	var l []persimmoncart.ListEntry
	for _, n := range f.nodes {
		self := n.service.Machine.Self
		if f.listed[self.ID] {
			self.Incarnation = 0 // the platform does not list incarnations
			l = append(l, persimmoncart.ListEntry{Instance: &self})
		}
	}
	return l, nil
}

// newFleet starts size instances in each data centre of each region.
func newFleet(t testing.TB, seed uint64, regions, centres, size int) *fleet {
	t.Helper()
	v := timer.NewVirtual(time.Unix(1e9, 0))
	f := &fleet{
		listed:  map[persimmoncart.InstanceID]bool{},
		network: &peer.Network{Rand: rand.New(rand.NewPCG(seed, 1)), Timer: v},
		timer:   v,
	}
	for r := range regions {
		for c := range centres {
			for i := range size {
				f.add(persimmoncart.Instance{
					Addr:        netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(r), byte(c), byte(i)}), 7000),
					DataCentre:  persimmoncart.DataCentre(fmt.Sprintf("dc-%d-%d", r, c)),
					ID:          persimmoncart.InstanceID(fmt.Sprintf("i-%d-%d-%d", r, c, i)),
					Incarnation: 1,
					Region:      persimmoncart.Region(fmt.Sprintf("r-%d", r)),
				}, seed)
			}
		}
	}
	for _, n := range f.nodes {
		f.start(n)
	}
	return f
}

// add adds an instance without starting it.
func (f *fleet) add(self persimmoncart.Instance, seed uint64) *node {
	n := &node{port: f.network.Port(self.Addr)}
	n.service = &membership.Service{
		List:      f,
		Machine:   &membership.Machine{Rand: rand.New(rand.NewPCG(seed, uint64(len(f.nodes)+2))), Self: self},
		Spawn:     func(g func()) { g() },
		Timer:     f.timer,
		Transport: n.port,
	}
	n.port.Handler = peer.Mux{"member": n.service}
	f.nodes = append(f.nodes, n)
	f.listed[self.ID] = true
	return n
}

// start starts the protocol of n.
func (f *fleet) start(n *node) { n.stop = n.service.Start(context.Background()) }

// kill stops n. If refused is true, its host stays up and refuses connections;
// otherwise calls to it get no reply.
func (f *fleet) kill(n *node, refused bool) {
	n.stop()
	n.port.StopProcess(peer.PortUnresponsive)
	if refused {
		n.port.StopProcess(peer.PortRefused)
	}
}

// stateCounts returns how many of the other running instances see id in each
// state.
func (f *fleet) stateCounts(id persimmoncart.InstanceID) map[persimmoncart.MemberState]int {
	counts := map[persimmoncart.MemberState]int{}
	for _, n := range f.nodes {
		if n.port.State() != peer.PortOpen || n.service.Machine.Self.ID == id {
			continue
		}
		for _, m := range n.service.View() {
			if m.Instance.ID == id {
				counts[m.State]++
			}
		}
	}
	return counts
}
