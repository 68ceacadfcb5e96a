package fakes

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/application"
	"github.com/persimmoncart/persimmoncart/internal/engine"
	"github.com/persimmoncart/persimmoncart/internal/instancelist"
	"github.com/persimmoncart/persimmoncart/internal/objectapi"
	"github.com/persimmoncart/persimmoncart/internal/transport"
	"github.com/persimmoncart/persimmoncart/internal/weightstore"
)

// Rates and delays of the platform's systems.
const (
	listLag         = 20 * time.Second
	weightCallRate  = 10  // calls a second
	weightFetchRate = 2e9 // bytes a second of one fetch
)

// A Platform runs the fakes of a deployment. Set the fields of the first group
// before Listen, which sets the others.
type Platform struct {
	Addr       netip.AddrPort // address of the store; the others use the next ports; port zero means any free ports
	Deployment Deployment
	Log        zerolog.Logger
	Timer      persimmoncart.Timer

	Applications []*application.Fake
	Endpoints    []persimmoncart.Endpoint // including their addresses
	Engines      []*engine.Fake
	Faulty       *objectapi.Faulty
	List         *instancelist.Fake
	ListAddr     netip.AddrPort
	Memory       *objectapi.Memory
	Records      *application.Records
	StoreAddr    netip.AddrPort
	SummaryAddr  netip.AddrPort // serves the sums of the counters and all records
	Weights      *weightstore.Fake
	WeightsAddr  netip.AddrPort

	nextPort uint16 // port of the next listener; zero means any free port
	servers  []*Server
}

// Listen creates the fakes and opens their listeners.
func (p *Platform) Listen(ctx context.Context) error {
	p.nextPort = p.Addr.Port()
	p.Memory = &objectapi.Memory{ReadRate: objectapi.DefaultReadRate, Timer: p.Timer, WriteRate: objectapi.DefaultWriteRate}
	p.Faulty = &objectapi.Faulty{Store: p.Memory, Timer: p.Timer}
	p.Weights = &weightstore.Fake{
		CallRate:  weightCallRate,
		FetchRate: weightFetchRate,
		Sizes:     map[persimmoncart.ModelName]int64{p.Deployment.Model: p.Deployment.WeightBytes},
		Timer:     p.Timer,
	}
	p.List = &instancelist.Fake{Lag: listLag, Timer: p.Timer}
	p.Records = &application.Records{}
	var err error
	store := &objectapi.Handler{Faulty: p.Faulty, Memory: p.Memory, Store: p.Faulty, Timer: p.Timer}
	if p.StoreAddr, err = p.listen(ctx, &Server{Handler: store.Handler(), Name: "store"}); err != nil {
		return err
	}
	weights := &weightstore.Handler{Store: p.Weights}
	if p.WeightsAddr, err = p.listen(ctx, &Server{Handler: weights.Handler(), Name: "weights"}); err != nil {
		return err
	}
	list := &instancelist.Handler{Fake: p.List, List: p.List}
	if p.ListAddr, err = p.listen(ctx, &Server{Handler: list.Handler(), Name: "list"}); err != nil {
		return err
	}
	if p.SummaryAddr, err = p.listen(ctx, &Server{Handler: p.summary(), Name: "summary"}); err != nil {
		return err
	}
	return p.listenEndpoints(ctx)
}

// Run serves the fakes until ctx is done.
func (p *Platform) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, s := range p.servers {
		g.Go(func() error { return s.Run(ctx) })
	}
	return g.Wait()
}

// Counters returns the sum of the counters of all engines.
func (p *Platform) Counters() engine.Counters {
	var sum engine.Counters
	for _, f := range p.Engines {
		sum = sum.Plus(f.Counters())
	}
	return sum
}

// summary returns a handler that serves the sum of the engines' counters and all
// records of the application endpoints, at the paths of a single engine and a single
// endpoint.
func (p *Platform) summary() http.Handler {
	r := chi.NewRouter()
	r.Get(engine.CountersPath, func(w http.ResponseWriter, _ *http.Request) {
		transport.WriteJSON(w, http.StatusOK, p.Counters())
	})
	r.Get(application.RecordsPath, func(w http.ResponseWriter, _ *http.Request) {
		transport.WriteJSON(w, http.StatusOK, p.Records.All())
	})
	return r
}

// listen opens the listener of s on the next port.
func (p *Platform) listen(ctx context.Context, s *Server) (netip.AddrPort, error) {
	s.Addr = netip.AddrPortFrom(p.Addr.Addr(), p.nextPort)
	s.Log = p.Log
	addr, err := s.Listen(ctx)
	if err != nil {
		return netip.AddrPort{}, err
	}
	if p.nextPort > 0 {
		p.nextPort++
	}
	p.servers = append(p.servers, s)
	return addr, nil
}

// listenEndpoints creates the engines and application endpoints, opens their
// listeners and adds them to the instance list.
func (p *Platform) listenEndpoints(ctx context.Context) error {
	clients := &engine.Clients{HTTP: transport.NewClient(nil)}
	var entries []persimmoncart.ListEntry
	for _, e := range p.Deployment.Endpoints() {
		s := &Server{Name: string(e.ID)}
		var addr *netip.AddrPort
		if e.Role == persimmoncart.RoleApplication {
			f := application.NewFake(netip.AddrPort{}, p.Records, p.Timer)
			f.Fences = e.Capabilities.Fences
			s.Handler, addr = (&application.Handler{Application: f, Fake: f}).Handler(), &f.Addr
			e.Slots = f.Slots
			p.Applications = append(p.Applications, f)
		} else {
			f := engine.NewFake(netip.AddrPort{}, e.Role, p.Timer)
			f.Exporter, f.Fences, f.Models = clients, e.Capabilities.Fences, e.Models
			s.Handler, addr = (&engine.Handler{Engine: f, Fake: f}).Handler(), &f.Addr
			e.Blocks, e.Slots = f.Blocks, f.Slots
			p.Engines = append(p.Engines, f)
		}
		var err error
		if *addr, err = p.listen(ctx, s); err != nil {
			return err
		}
		e.Addr = *addr
		p.Endpoints = append(p.Endpoints, e)
		entries = append(entries, persimmoncart.ListEntry{Endpoint: &e})
	}
	p.List.Change(func([]persimmoncart.ListEntry) []persimmoncart.ListEntry { return entries })
	return nil
}
