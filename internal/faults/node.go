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
	"github.com/persimmoncart/persimmoncart/internal/slots"
	"github.com/persimmoncart/persimmoncart/internal/sweep"
)

// A node is one entry instance of the cluster. It runs the real code of the router.
type node struct {
	cancel    context.CancelFunc
	claims    *claim.Claims
	client    *http.Client
	crashed   atomic.Bool   // has crashed; not set by a graceful stop
	done      chan struct{} // closed when Run has returned
	follower  *config.Follower
	gate      *gate
	listener  *pipe.Listener
	members   *members
	allocator *slots.Allocator
	self      persimmoncart.Instance
	stopping  atomic.Bool // a graceful stop has begun and perhaps ended
	store     *objectapi.Faulty
	timer     *gatedTimer
	versions  []uint64 // configuration versions in the order of their application
	cluster   *cluster

	mutex sync.Mutex // guards versions
}

// newNode returns a node that has not been started.
func newNode(cluster *cluster, number int, incarnation persimmoncart.Incarnation) *node {
	site := sites[number]
	n := &node{
		done:     make(chan struct{}),
		gate:     &gate{},
		listener: pipe.NewListener(),
		self: persimmoncart.Instance{
			Addr:        netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number), 1}), 1),
			DataCentre:  site.centre,
			ID:          persimmoncart.InstanceID(fmt.Sprintf("entry-%d", number)),
			Incarnation: incarnation,
			Region:      site.region,
		},
		cluster: cluster,
	}
	n.timer = &gatedTimer{Timer: cluster.timer, gate: n.gate}
	n.members = &members{node: n}
	n.store = &objectapi.Faulty{Decide: n.storeFault, Store: cluster.store, Timer: cluster.timer}
	n.client = &http.Client{Transport: &http.Transport{DialContext: n.listener.Dial, DisableKeepAlives: true}}
	return n
}

// run starts the instance and the services of the node.
func (n *node) run() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.follower = &config.Follower{
		Repository: &config.Repository{Store: n.store},
		Logger:     zerolog.Nop(),
		Random:     rand.New(rand.NewPCG(n.cluster.random.Uint64(), 1)),
		Timer:      n.timer,
	}
	var configuration persimmoncart.Configuration = n.follower
	if n.cluster.disabledGuard == Leaving {
		configuration = &undrainedConfiguration{Configuration: n.follower}
	}
	if n.cluster.disabledGuard == ConfigKept {
		configuration = &revertingConfiguration{Configuration: n.follower, first: n.follower.Snapshot()}
	}
	n.claims = &claim.Claims{Members: n.members, Peers: &claimPeers{node: n}, Self: n.self.Tag(), Store: n.store, Timer: n.timer}
	n.allocator = &slots.Allocator{
		Configuration: configuration,
		Lenders:       &lenders{node: n},
		Seed:          n.cluster.random.Uint64(),
		Self:          n.self,
		Timer:         n.timer,
	}
	var claims persimmoncart.Claims = n.claims
	if n.cluster.disabledGuard == AtMostOnce {
		claims = &permissiveClaims{Claims: n.claims}
	}
	i := &entry.Instance{
		Allocator:      n.allocator,
		Applications:   &applicationsView{node: n},
		Balancer:       n.allocator,
		CallerListener: n.listener,
		Claims:         claims,
		Configuration:  configuration,
		Engines:        &enginesView{node: n},
		Grace:          graceTime,
		Logger:         zerolog.Nop(),
		Members:        n.members,
		Ready:          n.follower.Ready,
		Self:           n.self,
		Services: []control.Service{
			{Name: "configuration", Run: n.follower.Run},
			{Name: "claims", Run: n.claims.Run},
			{Name: "places", Run: n.allocator.Run},
			{Name: "sweep", Run: n.sweeper().Run},
			{Name: "plan", Run: n.planner(configuration).Run},
			{Name: "orders", Run: n.orderReconciler(configuration).Run},
		},
		Store: n.store,
		Timer: n.timer,
	}
	configuration.Subscribe(n.recordVersion)
	go func() {
		defer close(n.done)
		_ = i.Run(ctx) // Run fails only if its listener does, which the callers detect
	}()
}

// crash ends the node without a graceful stop, as if its process died.
func (n *node) crash() {
	if n.crashed.Load() {
		return
	}
	n.crashed.Store(true)
	n.gate.kill()
	n.listener.CloseAll()
	n.cancel()
}

// recordVersion records a configuration version that the node has applied.
func (n *node) recordVersion(s *persimmoncart.Snapshot) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.versions = append(n.versions, s.Version)
}

// leaseKeeper returns the lease keeper of the node.
func (n *node) leaseKeeper() *lease.Keeper {
	return &lease.Keeper{Self: n.self.Tag(), Store: n.store, Timer: n.timer}
}

// orderReconciler returns the reconciler that sends orders to the engines of the
// node's data centre.
func (n *node) orderReconciler(configuration persimmoncart.Configuration) *order.Reconciler {
	return &order.Reconciler{
		Configuration: configuration,
		DataCentre:    n.self.DataCentre,
		Engines:       &enginesView{node: n},
		Leases:        n.leaseKeeper(),
		Logger:        zerolog.Nop(),
		Members:       n.members,
		Self:          n.self.ID,
		Store:         n.store,
		Timer:         n.timer,
	}
}

// planner returns the planner of the desired state of the engines.
func (n *node) planner(configuration persimmoncart.Configuration) *order.Planner {
	return &order.Planner{
		Configuration: configuration,
		Leases:        n.leaseKeeper(),
		Logger:        zerolog.Nop(),
		Members:       n.members,
		Store:         n.store,
		Timer:         n.timer,
	}
}

// receive delays the response to a call to the region by the network and the gate.
// It returns errDead or errPartitioned if the response doesn't arrive, else err.
func (n *node) receive(region persimmoncart.Region, err error) error {
	if err := n.gate.pass(); err != nil {
		return err
	}
	if n.cluster.partitioned(n.self.Region, region) {
		return errPartitioned
	}
	return err
}

// sweeper returns the sweeper over the engines that are assigned to the node.
func (n *node) sweeper() *sweep.Sweeper {
	return &sweep.Sweeper{
		AssignedEngines: func() []persimmoncart.Endpoint {
			return sweep.AssignedEngines(n.self, n.members.View(), n.follower.Snapshot())
		},
		Engines: &enginesView{node: n},
		Logger:  zerolog.Nop(),
		Members: n.members,
		Timer:   n.timer,
	}
}

// send delays a call to the region by the network and the gate. It returns an
// *UnavailableError if the call doesn't arrive.
func (n *node) send(operation string, region persimmoncart.Region) error {
	if err := n.gate.pass(); err != nil {
		return &persimmoncart.UnavailableError{Err: err, Operation: operation}
	}
	if n.cluster.partitioned(n.self.Region, region) {
		return &persimmoncart.UnavailableError{Err: errPartitioned, Operation: operation}
	}
	return nil
}

// stop stops the node gracefully, or crashes it if the guard of GracefulStop is
// disabled.
func (n *node) stop() {
	if n.cluster.disabledGuard == GracefulStop {
		n.crash()
		n.crashed.Store(false) // the checks treat it as a graceful stop
		n.stopping.Store(true)
		return
	}
	n.stopping.Store(true)
	n.cancel()
}

// storeFault returns the fault of the node's next call to the store.
func (n *node) storeFault(kind objectapi.CallKind, _ string) objectapi.Fault {
	if err := n.gate.pass(); err != nil || n.cluster.partitioned(n.self.Region, storeRegion) {
		return objectapi.Fault{Down: true}
	}
	return n.cluster.storeFault(kind)
}
