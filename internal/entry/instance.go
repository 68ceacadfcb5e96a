// Package entry assembles one entry instance from its parts.
package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/caller"
	"github.com/persimmoncart/persimmoncart/internal/control"
	"github.com/persimmoncart/persimmoncart/internal/metrics"
	"github.com/persimmoncart/persimmoncart/internal/route"
)

const (
	// headerBytes bounds the header of a request; a key and a dozen usual
	// headers need about a tenth.
	headerBytes = 16 << 10
	// headerTimeout bounds how long a caller may take to send its header.
	headerTimeout = 5 * time.Second
	// idleTimeout closes connections that callers keep open without requests.
	idleTimeout = 2 * time.Minute
	// writeTimeout is only a backstop; handlers set deadlines for each write.
	writeTimeout = 24 * time.Hour
)

// An Instance is one entry instance. Its fields are set before Run; those
// without a remark are required. Several instances may run in one process.
type Instance struct {
	Admin         http.Handler // administration API; may be nil
	AdminListener net.Listener // health, metrics and administration; may be nil
	Applications  persimmoncart.Applications
	Balancer      persimmoncart.Balancer
	Bounds        caller.Bounds
	Budgets       persimmoncart.RetryBudgets // nil means budgets in memory
	Claims        persimmoncart.Claims       // nil refuses calls that may not be repeated
	Configuration persimmoncart.Configuration
	Engines       persimmoncart.Engines
	Grace         time.Duration             // wait for the load balancer after readiness went off
	Leave         func()                    // tells peers of the planned stop; may be nil
	Leaving       *route.LeavingEndpoints   // endpoints that are going to stop; may be nil
	Limits        persimmoncart.RateLimiter // nil means limits in memory
	Listener      net.Listener              // callers
	Logger        zerolog.Logger
	Members       persimmoncart.Members // nil if there are no peers
	Metrics       *metrics.Metrics      // nil means a registry of its own
	Peer          http.Handler          // services for other instances; may be nil
	PeerListener  net.Listener          // may be nil
	Places        persimmoncart.SlotAllocator
	Ready         func() bool // further condition of readiness; may be nil
	Self          persimmoncart.Instance
	Services      []control.Service // run from start to after the last request
	Store         persimmoncart.Store
	Timer         persimmoncart.Timer
}

// Run serves until ctx is done and then stops gracefully: readiness goes off,
// the load balancer gets its time, and everything in flight is finished. It
// returns nil after a graceful stop, and an error if a listener fails.
func (i *Instance) Run(ctx context.Context) error {
	i.defaults()
	a, err := newAssembly(i)
	if err != nil {
		return err
	}

	// Services outlive ctx, because requests in flight need them.
	services, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	group.Go(func() error { return a.tree.Run(services) })
	failed := a.listen()
	a.observe()
	a.publish(control.PhaseChanged{Phase: control.PhaseServing})
	i.Logger.Info().Str("callers", i.Listener.Addr().String()).Msg("serving")

	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	a.drain()
	stop()
	return errors.Join(err, a.bus.Close(), group.Wait())
}

// defaults fills the optional fields.
func (i *Instance) defaults() {
	i.Logger = i.Logger.With().Str("instance", string(i.Self.ID)).Logger()
	if i.Metrics == nil {
		i.Metrics = metrics.New()
	}
	if i.Budgets == nil {
		i.Budgets = &route.Budgets{Timer: i.Timer}
	}
	if i.Limits == nil {
		i.Limits = &caller.Limits{Instances: i.instances, Timer: i.Timer}
	}
}

// instances returns the number of members that share the accounts' rates: those
// that may get new work.
func (i *Instance) instances() int {
	if i.Members == nil {
		return 1
	}
	count := 0
	for _, m := range i.Members.View() {
		if m.State == persimmoncart.MemberAlive || m.State == persimmoncart.MemberSuspect {
			count++
		}
	}
	return count
}

// An assembly is a running Instance.
type assembly struct {
	accepted chan struct{}   // closed when no more callers' connections are accepted
	arriving *newConnections // of callers
	admin    *http.Server
	bus      *control.Bus
	callers  *http.Server
	instance *Instance
	loop     *control.Loop
	peers    *http.Server
	router   *route.Router
	tree     *control.SupervisorTree
}

// newAssembly connects the parts of i.
func newAssembly(i *Instance) (*assembly, error) {
	bus, err := control.NewBus()
	if err != nil {
		return nil, errors.Wrap(err, "control events")
	}
	a := &assembly{accepted: make(chan struct{}), arriving: &newConnections{Timer: i.Timer}, bus: bus, instance: i}
	a.loop = &control.Loop{Bus: a.bus, Logger: i.Logger}
	a.router = &route.Router{
		Allocator:    i.Places,
		Applications: i.Applications,
		Balancer:     i.Balancer,
		Budgets:      i.Budgets,
		Claims:       i.Claims,
		Engines:      i.Engines,
		Leaving:      i.Leaving,
		Metrics:      i.Metrics,
		Tag:          i.Self.Tag(),
		Timer:        i.Timer,
	}
	handler := &caller.Handler{
		Bounds:        i.Bounds,
		Configuration: i.Configuration,
		Limits:        i.Limits,
		Logger:        i.Logger,
		Metrics:       i.Metrics,
		Ready:         a.ready,
		Router:        a.router,
		Tag:           i.Self.Tag(),
		Timer:         i.Timer,
	}
	a.callers = a.server(handler.Routes())
	a.callers.ConnState = a.arriving.Changed
	a.admin = a.server(adminRoutes(i, handler.Routes()))
	a.peers = a.peerServer()
	services := append([]control.Service{
		{Name: "control", Run: a.loop.Run},
		{Name: "follow", Run: a.follow},
		{Name: "store", Run: a.probeStore},
	}, i.Services...)
	a.tree = &control.SupervisorTree{Logger: i.Logger, Name: "instance", Services: services}
	return a, nil
}
