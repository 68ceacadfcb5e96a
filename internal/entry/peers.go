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
	"github.com/persimmoncart/persimmoncart/internal/route"
	"github.com/persimmoncart/persimmoncart/internal/slots"
	"github.com/persimmoncart/persimmoncart/internal/sweep"
)

// Peers connects an instance with the other instances. Its fields are set before
// Join.
type Peers struct {
	HTTP         *http.Client               // client for other instances, from peer.NewHTTPClient
	InstanceList persimmoncart.InstanceList // nil for an instance without peers
	Secure       bool                       // HTTP has a TLS configuration
	Tokens       []admin.Token              // tokens of operators for the administration API
	// WeightStore supplies the time that a fetch of model weights takes. Nil means
	// that the planner assumes a fixed time.
	WeightStore persimmoncart.WeightStore
}

// Join sets the administration API, claims, configuration, members, slot allocator
// and services of i. Engines, Logger, Metrics, Self, Store and Timer must be set;
// Configuration is kept if it is set, and Store may then be nil.
func (p *Peers) Join(i *Instance) {
	i.Leaving = &route.LeavingEndpoints{Timer: i.Timer}
	s := &instanceSetup{Instance: i, peers: p, peerRoutes: make(map[string]http.Handler)}
	if p.InstanceList == nil || i.Store == nil {
		s.setUpStandalone()
		return
	}
	s.setUpWithPeers()
}

// An instanceSetup is an instance whose fields Join is setting.
type instanceSetup struct {
	*Instance
	follower   *config.Follower    // nil if the configuration was set before Join
	members    *membership.Service // nil without peers
	meter      peer.Meter
	peerRoutes map[string]http.Handler // served to other instances, by path
	peers      *Peers
}

// setUpStandalone sets up an instance that owns all replicas of its region.
func (s *instanceSetup) setUpStandalone() {
	if s.Members == nil {
		s.Members = &StandaloneMembers{Instance: s.Self}
	}
	s.setUpConfiguration()
	allocator := s.setUpAllocator()
	s.setUpClaims()
	s.setUpAdmin()
	s.setUpPlanning()
	owner := &SoleOwner{Configuration: s.Configuration, Region: s.Self.Region, UsableReplicas: s.setUpEngineWatcher(allocator)}
	s.addService("owner", owner.Run)
}

// setUpWithPeers sets up an instance with peers.
func (s *instanceSetup) setUpWithPeers() {
	governor := &load.Governor{Timer: s.Timer}
	s.Metrics.Registry.MustRegister(governor.Collectors()...)
	transport := &load.MeteredTransport{
		Governor:  governor,
		Transport: &peer.Client{HTTP: s.peers.HTTP, Meter: &s.meter, Secure: s.peers.Secure},
	}
	s.members = &membership.Service{
		List:   &leavingRecorder{leaving: s.Leaving, list: s.peers.InstanceList},
		Lock:   &sync.Mutex{},
		Logger: s.Logger,
		Machine: &membership.Machine{
			AllowCells:       func() bool { return governor.Allow(load.KindSum) },
			AllowCrossRegion: func() bool { return governor.Allow(load.KindCrossRegion) },
			Rand:             newRandom(s.Self, "members"),
			Self:             s.Self,
		},
		Timer:     s.Timer,
		Transport: transport,
	}
	s.Members, s.Leave = s.members, s.members.Leave
	s.setUpConfiguration()
	allocator := s.setUpAllocator()
	s.setUpClaims()
	s.setUpAdmin()
	s.setUpPlanning()
	services := &memberServices{
		exchange: &load.Exchange{
			Configuration:    s.Configuration,
			Digests:          allocator,
			Governor:         governor,
			LeavingEndpoints: s.Leaving.ListDirect,
			LeavingReceived:  s.Leaving.AddFromPeers,
			Members:          s.members,
			Timer:            s.Timer,
		},
		members: s.members,
		owner: &ownership.Service{
			Configuration: s.Configuration,
			Logger:        s.Logger,
			Members:       s.members,
			Rand:          newRandom(s.Self, "ownership"),
			Store:         s.Store,
			Timer:         s.Timer,
			Transport:     transport,
			UsableChanged: s.setUpEngineWatcher(allocator).SetUsable,
		},
	}
	s.Ready = (&readiness{Configured: s.Ready, Owns: services.ownsReplica, StartedAt: s.Timer.Now(), Timer: s.Timer}).Ready
	allocator.Lenders = &load.Lenders{Exchange: services.exchange, Governor: governor, Timer: s.Timer, Transport: transport}
	sweeper := &sweep.Sweeper{
		AssignedEngines: func() []persimmoncart.Endpoint {
			return sweep.AssignedEngines(s.Self, s.members.View(), s.Configuration.Snapshot())
		},
		Engines: s.Engines,
		Logger:  s.Logger,
		Members: s.members,
		Timer:   s.Timer,
	}
	s.addService("members", services.run)
	s.addService("sweep", sweeper.Run)
	handlers := peer.Mux{"load": &load.Handler{Configuration: s.Configuration, Lender: allocator, Timer: s.Timer}, "member": s.members}
	s.addPeerRoutes((&peer.Server{Handler: &load.MeteredHandler{Governor: governor, Handler: handlers}, Meter: &s.meter}).Routes())
	mux := http.NewServeMux()
	for path, handler := range s.peerRoutes {
		mux.Handle(path, handler)
	}
	s.PeerHandler = mux
}

// addPeerRoutes adds routes that are served to other instances.
func (s *instanceSetup) addPeerRoutes(routes map[string]http.Handler) {
	for path, handler := range routes {
		s.peerRoutes[path] = handler
	}
}

// addService adds a service to those that the instance runs.
func (s *instanceSetup) addService(name string, run func(context.Context) error) {
	s.Services = append(s.Services, control.Service{Name: name, Run: run})
}

// setUpAdmin sets the administration API if the configuration comes from the store.
func (s *instanceSetup) setUpAdmin() {
	if s.follower == nil {
		return
	}
	local := &admin.LocalService{
		Claims: s.Claims,
		Editor: &config.Editor{Cached: s.follower.Current, Repository: s.follower.Repository, Timer: s.Timer},
		Instances: &admin.InstancePoller{
			InstanceList: s.peers.InstanceList,
			LocalVersion: s.follower.Version,
			Members:      s.Members,
			Timer:        s.Timer,
			Versions:     &peer.ConfigClient{HTTP: s.peers.HTTP, Secure: s.peers.Secure},
		},
		Timer: s.Timer,
	}
	s.AdminHandler = (&admin.Server{Logger: s.Logger, Service: local, Tokens: s.peers.Tokens}).Handler()
}

// setUpAllocator sets the slot allocator, which is also the balancer.
func (s *instanceSetup) setUpAllocator() *slots.Allocator {
	l := &slots.Allocator{Configuration: s.Configuration, Self: s.Self, Timer: s.Timer}
	s.Allocator, s.Balancer = l, l
	s.addService("places", l.Run)
	return l
}

// setUpClaims sets the claims if there is a store.
func (s *instanceSetup) setUpClaims() {
	if s.Store == nil {
		return
	}
	c := &claim.Claims{Logger: s.Logger, Registerer: s.Metrics.Registry, Self: s.Self.Tag(), Store: s.Store, Timer: s.Timer}
	if s.members != nil {
		c.Members = s.members
		c.Peers = &peer.ClaimClient{HTTP: s.peers.HTTP, Meter: &s.meter, Secure: s.peers.Secure}
		s.addPeerRoutes((&peer.ClaimHandler{Writer: c}).Routes(&s.meter))
	}
	s.Claims = c
	s.addService("claims", c.Run)
}

// setUpConfiguration makes the instance follow the configuration in the store, unless
// one is set, and report the version in force to peers.
func (s *instanceSetup) setUpConfiguration() {
	if s.Configuration != nil {
		return
	}
	f := &config.Follower{
		Logger:     s.Logger,
		Registerer: s.Metrics.Registry,
		Repository: &config.Repository{ForEach: config.ForEachConcurrently, Store: s.Store},
		Timer:      s.Timer,
	}
	s.Configuration, s.Ready, s.follower = f, f.Ready, f
	s.addService("configuration", f.Run)
	path, handler := (&peer.ConfigHandler{CurrentVersion: f.Version}).Mount()
	s.peerRoutes[path] = handler
}

// setUpEngineWatcher adds an engineWatcher, which receives the usable replicas.
func (s *instanceSetup) setUpEngineWatcher(allocator *slots.Allocator) *engineWatcher {
	w := &engineWatcher{
		Allocator:     allocator,
		Configuration: s.Configuration,
		Engines:       s.Engines,
		Leaving:       s.Leaving,
		Timer:         s.Timer,
		changed:       make(chan struct{}, 1),
	}
	s.addService("watch", w.Run)
	return w
}

// newRandom returns a random number generator. Its seed differs between instances,
// incarnations and uses.
func newRandom(self persimmoncart.Instance, use string) *rand.Rand {
	return rand.New(rand.NewPCG(uint64(self.Incarnation), xxhash.Sum64String(string(self.ID)+"/"+use)))
}

// memberServices are the services that share the lock of the members.
type memberServices struct {
	exchange *load.Exchange
	members  *membership.Service
	owner    *ownership.Service
}

// ownsReplica reports whether this instance owns at least one replica.
func (m *memberServices) ownsReplica() bool {
	m.members.Lock.Lock()
	defer m.members.Lock.Unlock()
	return len(m.owner.Owned()) > 0
}

// run runs the services until ctx is done. They register with the members when they
// start, so run first removes the registrations of an earlier run that panicked.
func (m *memberServices) run(ctx context.Context) error {
	m.members.Lock.Lock()
	m.members.Machine.Extensions = nil
	m.members.Lock.Unlock()
	defer m.owner.Start(ctx)()
	defer m.exchange.Start()()
	return m.members.Run(ctx)
}
