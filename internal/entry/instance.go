// Package entry assembles an entry instance, one process of the router, from its
// parts.
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
	// maxHeaderBytes bounds the header of a request, about ten times the size of an
	// API key and a dozen usual headers.
	maxHeaderBytes = 16 << 10
	// headerTimeout bounds how long a caller may take to send the header of a request.
	headerTimeout = 5 * time.Second
	// idleTimeout closes connections that callers keep open without requests.
	idleTimeout = 2 * time.Minute
	// writeTimeout is a last resort; handlers set a deadline for each write.
	writeTimeout = 24 * time.Hour
)

// An Instance is one entry instance. Its fields are set before Run; those without a
// comment are required. Several instances may run in one process.
type Instance struct {
	AdminHandler   http.Handler // administration API; may be nil
	AdminListener  net.Listener // serves health, metrics and administration; may be nil
	Allocator      persimmoncart.SlotAllocator
	Applications   persimmoncart.Applications
	Balancer       persimmoncart.Balancer
	CallerListener net.Listener
	Claims         persimmoncart.Claims // nil means that calls that may run only once are refused
	Configuration  persimmoncart.Configuration
	Engines        persimmoncart.Engines
	Grace          time.Duration           // between reporting not ready and refusing new connections
	Leave          func()                  // announces the planned stop to peers; may be nil
	Leaving        *route.LeavingEndpoints // endpoints that are about to stop; may be nil
	Logger         zerolog.Logger
	Members        persimmoncart.Members      // nil for an instance without peers
	Metrics        *metrics.Metrics           // nil means new metrics in a registry of their own
	PeerHandler    http.Handler               // serves other instances; may be nil
	PeerListener   net.Listener               // may be nil
	RateLimiter    persimmoncart.RateLimiter  // nil means a limiter in memory
	Ready          func() bool                // additional condition of readiness; may be nil
	RequestLimits  caller.RequestLimits       // zero fields mean the defaults
	RetryBudgets   persimmoncart.RetryBudgets // nil means budgets in memory
	Self           persimmoncart.Instance
	Services       []control.Service // run until the last request has ended
	Store          persimmoncart.Store
	Timer          persimmoncart.Timer
}

// Run serves until ctx is done or a listener fails, and then stops gracefully: it
// reports that the instance is not ready, waits until the load balancer has noticed,
// and finishes all requests in flight. It returns nil after a graceful stop, and an
// error if a listener fails.
func (i *Instance) Run(ctx context.Context) error {
	i.setDefaults()
	r, err := newRunningInstance(i)
	if err != nil {
		return err
	}

	// Services run on after ctx is done, because requests in flight need them.
	services, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	group.Go(func() error { return r.supervisor.Run(services) })
	failed := r.listen()
	r.publishState()
	r.publish(control.PhaseChanged{Phase: control.PhaseServing})
	i.Logger.Info().Str("callers", i.CallerListener.Addr().String()).Msg("serving")

	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	r.drain()
	stop()
	return errors.Join(err, r.bus.Close(), group.Wait())
}

// setDefaults sets optional fields that are nil, and adds the instance to the logger.
func (i *Instance) setDefaults() {
	i.Logger = i.Logger.With().Str("instance", string(i.Self.ID)).Logger()
	if i.Metrics == nil {
		i.Metrics = metrics.New()
	}
	if i.RetryBudgets == nil {
		i.RetryBudgets = &route.RetryBudgets{Timer: i.Timer}
	}
	if i.RateLimiter == nil {
		i.RateLimiter = &caller.RateLimiter{Instances: i.sharingInstances, Timer: i.Timer}
	}
}

// sharingInstances returns the number of instances that share the accounts' rates:
// the members that may receive new requests.
func (i *Instance) sharingInstances() int {
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

// A runningInstance holds the running parts of an Instance.
type runningInstance struct {
	acceptDone   chan struct{} // closed when the caller listener accepts no more connections
	adminServer  *http.Server
	bus          *control.Bus
	callerServer *http.Server
	connections  *connTracker // of callers
	controlLoop  *control.Loop
	instance     *Instance
	peerServer   *http.Server
	router       *route.Router
	supervisor   *control.SupervisorTree
}

// newRunningInstance creates and connects the parts of i.
func newRunningInstance(i *Instance) (*runningInstance, error) {
	bus, err := control.NewBus()
	if err != nil {
		return nil, errors.Wrap(err, "create control event bus")
	}
	r := &runningInstance{acceptDone: make(chan struct{}), bus: bus, connections: &connTracker{Logger: i.Logger, Timer: i.Timer}, instance: i}
	r.controlLoop = &control.Loop{Bus: r.bus, Logger: i.Logger}
	r.router = &route.Router{
		Allocator:    i.Allocator,
		Applications: i.Applications,
		Balancer:     i.Balancer,
		Claims:       i.Claims,
		Engines:      i.Engines,
		Leaving:      i.Leaving,
		Metrics:      i.Metrics,
		RetryBudgets: i.RetryBudgets,
		Tag:          i.Self.Tag(),
		Timer:        i.Timer,
	}
	handler := &caller.Handler{
		Configuration: i.Configuration,
		Logger:        i.Logger,
		Metrics:       i.Metrics,
		RateLimiter:   i.RateLimiter,
		Ready:         r.ready,
		RequestLimits: i.RequestLimits,
		Router:        r.router,
		Tag:           i.Self.Tag(),
		Timer:         i.Timer,
	}
	r.callerServer = r.newServer(handler.Routes())
	r.callerServer.ConnState = r.connections.ConnState
	r.adminServer = r.newServer(adminRoutes(i, handler.Routes()))
	r.peerServer = r.newPeerServer()
	services := append([]control.Service{
		{Name: "control", Run: r.controlLoop.Run},
		{Name: "follow", Run: r.followChanges},
		{Name: "store", Run: r.probeStore},
	}, i.Services...)
	r.supervisor = &control.SupervisorTree{Logger: i.Logger, Name: "instance", Services: services}
	return r, nil
}
