package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/claim"
	"github.com/persimmoncart/persimmoncart/internal/config"
	"github.com/persimmoncart/persimmoncart/internal/control"
	"github.com/persimmoncart/persimmoncart/internal/entry"
	"github.com/persimmoncart/persimmoncart/internal/lease"
	"github.com/persimmoncart/persimmoncart/internal/objectapi"
	"github.com/persimmoncart/persimmoncart/internal/order"
	"github.com/persimmoncart/persimmoncart/internal/pipe"
	"github.com/persimmoncart/persimmoncart/internal/places"
	"github.com/persimmoncart/persimmoncart/internal/sweep"
)

// A node is one entry instance of the world, built from the real parts.
type node struct {
	cancel   context.CancelFunc
	claims   *claim.Claims
	client   *http.Client
	crashed  atomic.Bool   // killed, not stopped gracefully
	done     chan struct{} // closed when Run has returned
	follower *config.Follower
	gate     *gate
	listener *pipe.Listener
	members  *members
	places   *places.Allocator
	self     persimmoncart.Instance
	stopping atomic.Bool // stopped gracefully, perhaps still busy
	store    *objectapi.Faulty
	timer    *gatedTimer
	versions []uint64 // in force, in order
	world    *world

	mutex sync.Mutex // guards versions
}

// newNode returns a node that is not running yet.
func newNode(w *world, number int, incarnation persimmoncart.Incarnation) *node {
	place := sites[number]
	n := &node{
		done:     make(chan struct{}),
		gate:     &gate{},
		listener: pipe.NewListener(),
		self: persimmoncart.Instance{
			Addr:        netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number), 1}), 1),
			DataCentre:  place.centre,
			ID:          persimmoncart.InstanceID(fmt.Sprintf("entry-%d", number)),
			Incarnation: incarnation,
			Region:      place.region,
		},
		world: w,
	}
	n.timer = &gatedTimer{Timer: w.timer, gate: n.gate}
	n.members = &members{node: n}
	n.store = &objectapi.Faulty{Decide: n.storeFault, Store: w.store, Timer: w.timer}
	n.client = &http.Client{Transport: &http.Transport{DialContext: n.listener.Dial, DisableKeepAlives: true}}
	return n
}

// run starts the node's parts and its instance.
func (n *node) run() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.follower = &config.Follower{
		Archive: &config.Archive{Store: n.store},
		Log:     zerolog.Nop(),
		Random:  rand.New(rand.NewPCG(n.world.random.Uint64(), 1)),
		Timer:   n.timer,
	}
	var configuration persimmoncart.Configuration = n.follower
	if n.world.broken == Leaving {
		configuration = &undrained{Configuration: n.follower}
	}
	if n.world.broken == ConfigKept {
		configuration = &stale{Configuration: n.follower, first: n.follower.Snapshot()}
	}
	n.claims = &claim.Claims{Members: n.members, Peers: &claimPeers{node: n}, Self: n.self.Tag(), Store: n.store, Timer: n.timer}
	n.places = &places.Allocator{
		Configuration: configuration,
		Lenders:       &lenders{node: n},
		Seed:          n.world.random.Uint64(),
		Self:          n.self,
		Timer:         n.timer,
	}
	var claims persimmoncart.Claims = n.claims
	if n.world.broken == AtMostOnce {
		claims = &unguarded{Claims: n.claims}
	}
	i := &entry.Instance{
		Applications:  &applicationsView{node: n},
		Balancer:      n.places,
		Claims:        claims,
		Configuration: configuration,
		Engines:       &enginesView{node: n},
		Grace:         graceTime,
		Listener:      n.listener,
		Logger:        zerolog.Nop(),
		Members:       n.members,
		Places:        n.places,
		Ready:         n.follower.Ready,
		Self:          n.self,
		Services: []control.Service{
			{Name: "configuration", Run: n.follower.Run},
			{Name: "claims", Run: n.claims.Run},
			{Name: "places", Run: n.places.Run},
			{Name: "sweep", Run: n.sweep().Run},
			{Name: "plan", Run: n.plan(configuration).Run},
			{Name: "orders", Run: n.orders(configuration).Run},
		},
		Store: n.store,
		Timer: n.timer,
	}
	configuration.Subscribe(n.inForce)
	go func() {
		defer close(n.done)
		_ = i.Run(ctx) // it fails only with its listener, which the callers see
	}()
}

// crash ends the node as the death of its process does.
func (n *node) crash() {
	if n.crashed.Load() {
		return
	}
	n.crashed.Store(true)
	n.gate.kill()
	n.listener.CloseAll()
	n.cancel()
}

// inForce notes the version that came into force.
func (n *node) inForce(s *persimmoncart.Snapshot) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.versions = append(n.versions, s.Version)
}

// keeper returns the node's access to leases.
func (n *node) keeper() *lease.Keeper {
	return &lease.Keeper{Self: n.self.Tag(), Store: n.store, Timer: n.timer}
}

// orders returns what orders the engines of the node's data centre.
func (n *node) orders(configuration persimmoncart.Configuration) *order.Reconciler {
	return &order.Reconciler{
		Configuration: configuration,
		DataCentre:    n.self.DataCentre,
		Engines:       &enginesView{node: n},
		Leases:        n.keeper(),
		Log:           zerolog.Nop(),
		Members:       n.members,
		Self:          n.self.ID,
		Store:         n.store,
		Timer:         n.timer,
	}
}

// plan returns what keeps the engines' desired state.
func (n *node) plan(configuration persimmoncart.Configuration) *order.Planner {
	return &order.Planner{
		Configuration: configuration,
		Leases:        n.keeper(),
		Log:           zerolog.Nop(),
		Members:       n.members,
		Store:         n.store,
		Timer:         n.timer,
	}
}

// receive returns the answer err of a call to the region as the node sees it.
func (n *node) receive(region persimmoncart.Region, err error) error {
	if err := n.gate.pass(); err != nil {
		return err
	}
	if n.world.separated(n.self.Region, region) {
		return errCut
	}
	return err
}

// sweep returns the node's sweep over the engines that it owns.
func (n *node) sweep() *sweep.Sweeper {
	return &sweep.Sweeper{
		AssignedEngines: func() []persimmoncart.Endpoint {
			return sweep.AssignedEngines(n.self, n.members.View(), n.follower.Snapshot())
		},
		Engines: &enginesView{node: n},
		Log:     zerolog.Nop(),
		Members: n.members,
		Timer:   n.timer,
	}
}

// send returns the error of a call that does not reach the region.
func (n *node) send(op string, region persimmoncart.Region) error {
	if err := n.gate.pass(); err != nil {
		return &persimmoncart.UnavailableError{Err: err, Operation: op}
	}
	if n.world.separated(n.self.Region, region) {
		return &persimmoncart.UnavailableError{Err: errCut, Operation: op}
	}
	return nil
}

// stop ends the node as the platform's planned replacement does.
func (n *node) stop() {
	if n.world.broken == GracefulStop {
		n.crash()
		n.crashed.Store(false) // the harness counts it as a planned stop
		n.stopping.Store(true)
		return
	}
	n.stopping.Store(true)
	n.cancel()
}

// storeFault returns what happens to the node's next call to the store.
func (n *node) storeFault(kind objectapi.CallKind, _ string) objectapi.Fault {
	if err := n.gate.pass(); err != nil || n.world.separated(n.self.Region, storeRegion) {
		return objectapi.Fault{Down: true}
	}
	return n.world.storeFault(kind)
}
