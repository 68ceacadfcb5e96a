package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/admin"
	"github.com/persimmoncart/persimmoncart/internal/claim"
	"github.com/persimmoncart/persimmoncart/internal/config"
	"github.com/persimmoncart/persimmoncart/internal/control"
	"github.com/persimmoncart/persimmoncart/internal/load"
	"github.com/persimmoncart/persimmoncart/internal/membership"
	"github.com/persimmoncart/persimmoncart/internal/ownership"
	"github.com/persimmoncart/persimmoncart/internal/peer"
	"github.com/persimmoncart/persimmoncart/internal/places"
	"github.com/persimmoncart/persimmoncart/internal/route"
	"github.com/persimmoncart/persimmoncart/internal/sweep"
)

// Peers connects an instance with the other instances. Its fields are set
// before Join.
type Peers struct {
	HTTP   *http.Client               // from peer.NewHTTPClient
	List   persimmoncart.InstanceList // nil for an instance without peers
	Secure bool                       // HTTP has a TLS configuration
	Tokens []admin.Token              // of operators
	// Weights says how long a fetch of weights takes; nil plans with a fixed time.
	Weights persimmoncart.WeightStore
}

// Join gives the instance its administration API, claims, configuration,
// members, slot allocator and services. Configuration is kept if it is set. Engines,
// Logger, Metrics, Self, Store and Timer must be set; Store may be nil if
// Configuration is set.
func (p *Peers) Join(i *Instance) {
	i.Leaving = &route.LeavingEndpoints{Timer: i.Timer}
	j := &joining{Instance: i, peers: p, routes: make(map[string]http.Handler)}
	if p.List == nil || i.Store == nil {
		j.alone()
		return
	}
	j.join()
}

// A joining is an instance that is being connected.
type joining struct {
	*Instance
	follower *config.Follower    // nil if the configuration was set
	members  *membership.Service // nil without peers
	meter    peer.Meter
	peers    *Peers
	routes   map[string]http.Handler // towards peers
}

// alone sets up an instance that owns all replicas of its region.
func (j *joining) alone() {
	if j.Members == nil {
		j.Members = &Alone{Instance: j.Self}
	}
	j.configure()
	ledger := j.ledger()
	j.record()
	j.administer()
	j.plan()
	owner := &SoleOwner{Configuration: j.Configuration, Region: j.Self.Region, Usables: j.watch(ledger)}
	j.serve("owner", owner.Run)
}

// join sets up an instance with peers.
func (j *joining) join() {
	governor := &load.Governor{Timer: j.Timer}
	j.Metrics.Registry.MustRegister(governor.Collectors()...)
	transport := &load.MeteredTransport{
		Governor:  governor,
		Transport: &peer.Client{HTTP: j.peers.HTTP, Meter: &j.meter, Secure: j.peers.Secure},
	}
	j.members = &membership.Service{
		List: &watchedList{leaving: j.Leaving, list: j.peers.List},
		Lock: &sync.Mutex{},
		Log:  j.Logger,
		Machine: &membership.Machine{
			AllowCells:       func() bool { return governor.Allow(load.KindSum) },
			AllowCrossRegion: func() bool { return governor.Allow(load.KindFar) },
			Rand:             random(j.Self, "members"),
			Self:             j.Self,
		},
		Timer:     j.Timer,
		Transport: transport,
	}
	j.Members, j.Leave = j.members, j.members.Leave
	j.configure()
	ledger := j.ledger()
	j.record()
	j.administer()
	j.plan()
	c := &cell{
		exchange: &load.Exchange{
			Configuration:    j.Configuration,
			Digests:          ledger,
			Governor:         governor,
			LeavingEndpoints: j.Leaving.ListDirect,
			LeavingReceived:  j.Leaving.AddFromPeers,
			Members:          j.members,
			Timer:            j.Timer,
		},
		members: j.members,
		owner: &ownership.Service{
			Configuration: j.Configuration,
			Log:           j.Logger,
			Members:       j.members,
			Rand:          random(j.Self, "ownership"),
			Store:         j.Store,
			Timer:         j.Timer,
			Transport:     transport,
			UsableChanged: j.watch(ledger).SetUsable,
		},
	}
	j.Ready = (&readiness{Configured: j.Ready, Owns: c.owns, Since: j.Timer.Now(), Timer: j.Timer}).Ready
	ledger.Lenders = &load.Lenders{Exchange: c.exchange, Governor: governor, Timer: j.Timer, Transport: transport}
	sweeper := &sweep.Sweeper{
		AssignedEngines: func() []persimmoncart.Endpoint {
			return sweep.AssignedEngines(j.Self, j.members.View(), j.Configuration.Snapshot())
		},
		Engines: j.Engines,
		Log:     j.Logger,
		Members: j.members,
		Timer:   j.Timer,
	}
	j.serve("members", c.run)
	j.serve("sweep", sweeper.Run)
	handlers := peer.Mux{"load": &load.Handler{Configuration: j.Configuration, Lender: ledger, Timer: j.Timer}, "member": j.members}
	j.mount((&peer.Server{Handler: &load.MeteredHandler{Governor: governor, Handler: handlers}, Meter: &j.meter}).Routes())
	mux := http.NewServeMux()
	for path, handler := range j.routes {
		mux.Handle(path, handler)
	}
	j.Peer = mux
}

// administer sets the administration API, which needs the store's configuration.
func (j *joining) administer() {
	if j.follower == nil {
		return
	}
	local := &admin.LocalService{
		Claims: j.Claims,
		Editor: &config.Editor{Repository: j.follower.Repository, Cached: j.follower.Current, Timer: j.Timer},
		Instances: &admin.InstancePoller{
			LocalVersion: j.follower.Version,
			InstanceList: j.peers.List,
			Members:      j.Members,
			Timer:        j.Timer,
			Versions:     &peer.Config{HTTP: j.peers.HTTP, Secure: j.peers.Secure},
		},
		Timer: j.Timer,
	}
	j.Admin = (&admin.Server{Log: j.Logger, Service: local, Tokens: j.peers.Tokens}).Handler()
}

// configure takes the configuration from the store unless it is set, and tells
// peers the version in force.
func (j *joining) configure() {
	if j.Configuration != nil {
		return
	}
	f := &config.Follower{
		Repository: &config.Repository{ForEach: config.ForEachConcurrently, Store: j.Store},
		Log:        j.Logger,
		Registerer: j.Metrics.Registry,
		Timer:      j.Timer,
	}
	j.Configuration, j.Ready, j.follower = f, f.Ready, f
	j.serve("configuration", f.Run)
	path, handler := (&peer.ConfigHandler{InForce: f.Version}).Mount()
	j.routes[path] = handler
}

// ledger sets the instance's slot allocator.
func (j *joining) ledger() *places.Allocator {
	l := &places.Allocator{Configuration: j.Configuration, Self: j.Self, Timer: j.Timer}
	j.Places, j.Balancer = l, l
	j.serve("places", l.Run)
	return l
}

// mount adds routes towards peers.
func (j *joining) mount(routes map[string]http.Handler) {
	for path, handler := range routes {
		j.routes[path] = handler
	}
}

// record sets the claims.
func (j *joining) record() {
	if j.Store == nil {
		return
	}
	c := &claim.Claims{Logger: j.Logger, Registerer: j.Metrics.Registry, Self: j.Self.Tag(), Store: j.Store, Timer: j.Timer}
	if j.members != nil {
		c.Members = j.members
		c.Peers = &peer.Claim{HTTP: j.peers.HTTP, Meter: &j.meter, Secure: j.peers.Secure}
		j.mount((&peer.ClaimHandler{Writer: c}).Routes(&j.meter))
	}
	j.Claims = c
	j.serve("claims", c.Run)
}

// serve adds a service.
func (j *joining) serve(name string, run func(context.Context) error) {
	j.Services = append(j.Services, control.Service{Name: name, Run: run})
}

// watch returns what is told which replicas the instance may use.
func (j *joining) watch(ledger *places.Allocator) *watch {
	w := &watch{
		Configuration: j.Configuration,
		Engines:       j.Engines,
		Leaving:       j.Leaving,
		Ledger:        ledger,
		Timer:         j.Timer,
		changed:       make(chan struct{}, 1),
	}
	j.serve("watch", w.Run)
	return w
}

// random returns a source of random numbers that differs between instances,
// starts and uses.
func random(self persimmoncart.Instance, use string) *rand.Rand {
	return rand.New(rand.NewPCG(uint64(self.Incarnation), xxhash.Sum64String(string(self.ID)+"/"+use)))
}

// A cell runs what shares the lock of the members.
type cell struct {
	exchange *load.Exchange
	members  *membership.Service
	owner    *ownership.Service
}

// owns reports whether this instance owns a replica.
func (c *cell) owns() bool {
	c.members.Lock.Lock()
	defer c.members.Lock.Unlock()
	return len(c.owner.Owned()) > 0
}

// run runs the parts until ctx is done. The parts register with the members when
// they start, also when run is called again after a panic.
func (c *cell) run(ctx context.Context) error {
	c.members.Lock.Lock()
	c.members.Machine.Extensions = nil
	c.members.Lock.Unlock()
	defer c.owner.Start(ctx)()
	defer c.exchange.Start()()
	return c.members.Run(ctx)
}
