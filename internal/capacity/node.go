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

// A node runs the control plane code of one instance.
type node struct {
	exchange      *load.Exchange
	members       *membership.Service
	owner         *ownership.Service
	peers         map[netip.AddrPort]bool // addresses that the node has called
	slots         *slotModel
	port          *peer.Port
	self          persimmoncart.Instance
	stops         []func() // stop the services; nil if the process has ended
	transport     peer.Transport
	processorTime time.Duration // wall clock time in the callbacks of the node
}

// running reports whether the process of the node runs.
func (n *node) running() bool { return n.stops != nil }

// measure adds the duration of f to the processor time of the node. A single goroutine
// runs the whole fleet, so that wall clock time approximates processor time.
func (n *node) measure(f func()) {
	begin := time.Now()
	f()
	n.processorTime += time.Since(begin)
}

// startNode adds a node to the fleet and starts its process.
func (f *fleet) startNode(self persimmoncart.Instance, random *rand.Rand) {
	n := &node{peers: map[netip.AddrPort]bool{}, port: f.network.Port(self.Addr), self: self}
	n.port.SetState(peer.PortOpen)
	timer := &nodeTimer{Timer: f.timer, node: n}
	governor := &load.Governor{Timer: timer}
	n.transport = &load.MeteredTransport{Governor: governor, Transport: &nodeTransport{node: n, transport: n.port}}
	spawnDelayed := func(g func()) { timer.After(storeDelay, func(time.Time) { g() }) }
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
		Spawn:         spawnDelayed,
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

// endProcess ends the process of a node. If hostUp, its host refuses connections from
// then on, else it doesn't respond.
func (f *fleet) endProcess(n *node, hostUp bool) {
	for _, stop := range n.stops {
		stop()
	}
	n.stops = nil
	n.port.StopProcess(peer.PortUnresponsive)
	if hostUp {
		n.port.StopProcess(peer.PortRefused)
	}
	f.endTimes[n.self.Tag()] = f.timer.Now()
}

// A nodeTimer measures the processor time of the timer callbacks of one node.
type nodeTimer struct {
	persimmoncart.Timer
	node *node
}

// After implements persimmoncart.Timer.
func (t *nodeTimer) After(d time.Duration, f func(time.Time)) (stop func()) {
	return t.Timer.After(d, func(now time.Time) { t.node.measure(func() { f(now) }) })
}

// Subscribe implements persimmoncart.Timer. The first call comes after a whole period. In
// a real fleet it comes after a random part of the period; here the nodes start at
// different times, which also distributes the calls.
func (t *nodeTimer) Subscribe(period time.Duration, f func(time.Time)) (stop func()) {
	return t.Timer.Subscribe(period, func(now time.Time) { t.node.measure(func() { f(now) }) })
}

// A nodeTransport measures the processor time of the callbacks for replies to one node,
// and records the peers that the node calls.
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

// A nodeHandler measures the processor time of the requests to one node.
type nodeHandler struct {
	handler peer.Handler
	node    *node
}

// Handle implements peer.Handler.
func (h *nodeHandler) Handle(request proto.Message, respond func(proto.Message, error)) {
	h.node.measure(func() { h.handler.Handle(request, respond) })
}
