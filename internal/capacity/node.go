package capacity

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/load"
	"github.com/persimmoncart/persimmoncart/internal/membership"
	"github.com/persimmoncart/persimmoncart/internal/ownership"
	"github.com/persimmoncart/persimmoncart/internal/peer"
)

// A node is the control code of one instance.
type node struct {
	exchange      *load.Exchange
	members       *membership.Service
	owner         *ownership.Service
	peers         map[netip.AddrPort]bool // called so far
	slots         *slotModel
	port          *peer.Port
	self          persimmoncart.Instance
	stops         []func()
	transport     peer.Transport
	processorTime time.Duration // processor time, by the clock of the driving goroutine
}

// running reports whether the process runs.
func (n *node) running() bool { return n.stops != nil }

// measure adds the time that f takes to the node's processor time. One
// goroutine drives the whole fleet, so the wall clock is close to it.
func (n *node) measure(f func()) {
	begin := time.Now()
	f()
	n.processorTime += time.Since(begin)
}

// startNode starts an instance of the fleet.
func (f *fleet) startNode(self persimmoncart.Instance, random *rand.Rand) {
	n := &node{peers: map[netip.AddrPort]bool{}, port: f.network.Port(self.Addr), self: self}
	n.port.Set(peer.PortOpen)
	timer := &nodeTimer{Timer: f.timer, node: n}
	governor := &load.Governor{Timer: timer}
	n.transport = &load.MeteredTransport{Governor: governor, Transport: &nodeTransport{node: n, transport: n.port}}
	later := func(g func()) { timer.After(storeDelay, func(time.Time) { g() }) }
	n.members = &membership.Service{
		List: f,
		Lock: &sync.Mutex{},
		Machine: &membership.Machine{
			AllowCells:       func() bool { return governor.Allow(load.KindSum) },
			AllowCrossRegion: func() bool { return governor.Allow(load.KindCrossRegion) },
			Rand:             random,
			Self:             self,
		},
		Spawn:     func(g func()) { g() },
		Timer:     timer,
		Transport: n.transport,
	}
	n.slots = &slotModel{
		borrowed:       map[persimmoncart.InstanceID]int{},
		freeSlots:      map[persimmoncart.InstanceID]int{},
		lent:           map[persimmoncart.InstanceID]int{},
		node:           n,
		pendingReturns: map[persimmoncart.InstanceID]int{},
		random:         random,
	}
	n.owner = &ownership.Service{
		Configuration: f.configuration,
		Members:       n.members,
		Rand:          random,
		Spawn:         later,
		Store:         &nodeStore{Store: f.store, fleet: f, region: self.Region},
		Timer:         timer,
		Transport:     n.transport,
		UsableChanged: func(usable []persimmoncart.UsableReplica) {
			n.slots.ownedSlots = 0
			for _, u := range usable {
				if f.configuration.snapshot.Endpoints[u.Endpoint].Role == persimmoncart.RoleDecode {
					n.slots.ownedSlots += u.Slots
				}
			}
		},
	}
	n.exchange = &load.Exchange{Configuration: f.configuration, Digests: n.slots, Governor: governor, Members: n.members, Timer: timer}
	handler := peer.Mux{
		"load":   &load.Handler{Configuration: f.configuration, Lender: n.slots, Spawn: func(g func()) { g() }, Timer: timer},
		"member": n.members,
	}
	n.port.Handler = &nodeHandler{handler: &load.MeteredHandler{Governor: governor, Handler: handler}, node: n}
	n.stops = []func(){
		n.owner.Start(context.Background()),
		n.exchange.Start(),
		n.members.Start(context.Background()),
		timer.Subscribe(stepPeriod, n.slots.step),
	}
	f.nodes = append(f.nodes, n)
}

// endProcess ends the process of a node; its host stays up if refused is true.
func (f *fleet) endProcess(n *node, hostUp bool) {
	for _, stop := range n.stops {
		stop()
	}
	n.stops = nil
	n.port.End(peer.PortSilent)
	if hostUp {
		n.port.End(peer.PortRefused)
	}
	f.endTimes[n.self.Tag()] = f.timer.Now()
}

// A nodeTimer measures the callbacks of one node.
type nodeTimer struct {
	persimmoncart.Timer
	node *node
}

// After implements persimmoncart.Timer.
func (t *nodeTimer) After(d time.Duration, f func(time.Time)) (stop func()) {
	return t.Timer.After(d, func(now time.Time) { t.node.measure(func() { f(now) }) })
}

// Subscribe implements persimmoncart.Timer. The first call comes after a random
// part of the period would have passed in a real fleet; here each node starts
// at its own time, which spreads them as well.
func (t *nodeTimer) Subscribe(period time.Duration, f func(time.Time)) (stop func()) {
	return t.Timer.Subscribe(period, func(now time.Time) { t.node.measure(func() { f(now) }) })
}

// A nodeTransport measures the answers to one node's calls.
type nodeTransport struct {
	node      *node
	transport peer.Transport
}

// Call implements peer.Transport.
func (t *nodeTransport) Call(to netip.AddrPort, request proto.Message, timeout time.Duration, done func(proto.Message, error)) {
	t.node.peers[to] = true
	t.transport.Call(to, request, timeout, func(reply proto.Message, err error) {
		t.node.measure(func() { done(reply, err) })
	})
}

// A nodeHandler measures the requests to one node.
type nodeHandler struct {
	handler peer.Handler
	node    *node
}

// Handle implements peer.Handler.
func (h *nodeHandler) Handle(request proto.Message, respond func(proto.Message, error)) {
	h.node.measure(func() { h.handler.Handle(request, respond) })
}
