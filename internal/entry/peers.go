package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/claim"
	"github.com/persimmoncart/persimmoncart/internal/config"
	"github.com/persimmoncart/persimmoncart/internal/control"
	"github.com/persimmoncart/persimmoncart/internal/membership"
	"github.com/persimmoncart/persimmoncart/internal/ownership"
	"github.com/persimmoncart/persimmoncart/internal/peer"
	"github.com/persimmoncart/persimmoncart/internal/places"
	memberv1 "github.com/persimmoncart/persimmoncart/proto/member/v1"
)

// Peers connects an instance with the other instances. Its fields are set
// before Join.
type Peers struct {
	HTTP   *http.Client               // from peer.NewHTTPClient
	List   persimmoncart.InstanceList // nil for an instance without peers
	Secure bool                       // HTTP has a TLS configuration
}

// Join gives the instance its claims, configuration, members, places and
// services. Those of its fields that are set already are kept. Logger, Metrics,
// Self, Store and Timer must be set.
func (p *Peers) Join(i *Instance) {
	if i.Store != nil && i.Claims == nil {
		c := &claim.Claims{Logger: i.Logger, Registerer: i.Metrics.Registry, Self: i.Self.Tag(), Store: i.Store, Timer: i.Timer}
		i.Claims = c
		i.Services = append(i.Services, control.Service{Name: "claims", Run: c.Run})
	}
	if p.List == nil || i.Store == nil {
		p.alone(i)
		return
	}
	meter := &peer.Meter{}
	transport := &peer.Client{HTTP: p.HTTP, Meter: meter, Secure: p.Secure}
	members := &membership.Service{
		List:      p.List,
		Lock:      &sync.Mutex{},
		Log:       i.Logger,
		Machine:   &membership.Machine{Rand: random(i.Self, "members"), Self: i.Self},
		Timer:     i.Timer,
		Transport: transport,
	}
	i.Members, i.Leave = members, members.Leave
	routes := (&peer.Server{Handler: peer.Mux{"member": members}, Meter: meter}).Routes()
	p.configure(i, members, routes)
	ledger := p.ledger(i)
	owner := &ownership.Service{
		Changed:       ledger.SetUsable,
		Configuration: i.Configuration,
		Log:           i.Logger,
		Members:       members,
		Rand:          random(i.Self, "ownership"),
		Store:         i.Store,
		Timer:         i.Timer,
		Transport:     transport,
	}
	i.Services = append(i.Services, control.Service{Name: "members", Run: (&cell{members: members, owner: owner}).run})
	mux := http.NewServeMux()
	for path, handler := range routes {
		mux.Handle(path, handler)
	}
	i.Peer = mux
}

// alone sets up an instance that owns all replicas of its region.
func (p *Peers) alone(i *Instance) {
	if i.Members == nil {
		i.Members = &Alone{Instance: i.Self}
	}
	p.configure(i, nil, nil)
	owner := &SoleOwner{Configuration: i.Configuration, Region: i.Self.Region, Usables: p.ledger(i)}
	i.Services = append(i.Services, control.Service{Name: "owner", Run: owner.Run})
}

// configure takes the configuration from the store and the peers unless it is
// set, and serves it to peers.
func (p *Peers) configure(i *Instance, members *membership.Service, routes map[string]http.Handler) {
	if i.Configuration != nil {
		return
	}
	d := &config.Distributor{
		Archive:    &config.Archive{Store: i.Store},
		Log:        i.Logger,
		Members:    i.Members,
		Registerer: i.Metrics.Registry,
		Timer:      i.Timer,
	}
	i.Configuration, i.Ready = d, d.Ready
	i.Services = append(i.Services, control.Service{Name: "configuration", Run: d.Run})
	if members == nil {
		return
	}
	d.Peers = &peer.Config{Client: peer.ConfigClients(p.HTTP, p.Secure), Self: members.Self}
	path, handler := (&peer.ConfigHandler{Server: d}).Mount()
	routes[path] = handler
	members.Machine.Extensions = append(members.Machine.Extensions, &digests{source: d})
}

// ledger sets the instance's places.
func (*Peers) ledger(i *Instance) *places.Places {
	l := &places.Places{Configuration: i.Configuration, Self: i.Self, Timer: i.Timer}
	i.Places, i.Balancer = l, l
	i.Services = append(i.Services, control.Service{Name: "places", Run: l.Run})
	return l
}

// random returns a source of random numbers that differs between instances,
// starts and uses.
func random(self persimmoncart.Instance, use string) *rand.Rand {
	return rand.New(rand.NewPCG(uint64(self.Incarnation), xxhash.Sum64String(string(self.ID)+"/"+use)))
}

// A cell runs membership and ownership, which share one lock.
type cell struct {
	members *membership.Service
	owner   *ownership.Service
	started bool // the services register with each other only once
}

// run runs both until ctx is done.
func (c *cell) run(ctx context.Context) error {
	if c.started {
		return c.members.Run(ctx)
	}
	c.started = true
	defer c.owner.Start(ctx)()
	return c.members.Run(ctx)
}

var _ membership.Extension = (*digests)(nil)

// A digests sends the version of the configuration with probes.
type digests struct {
	source persimmoncart.ConfigDigests
}

// Fill implements membership.Extension.
func (d *digests) Fill(_ persimmoncart.Instance, full bool, p *memberv1.Piggyback) {
	if !full {
		return
	}
	digest := d.source.Digest()
	p.ConfigVersion = digest.Version
	p.ConfigHash = digest.Hash
}

// Receive implements membership.Extension.
func (d *digests) Receive(from persimmoncart.Instance, p *memberv1.Piggyback, _ time.Time) {
	if p.GetConfigVersion() > 0 {
		d.source.Heard(from, persimmoncart.ConfigDigest{Hash: p.GetConfigHash(), Version: p.GetConfigVersion()})
	}
}
