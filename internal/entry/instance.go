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
	// maxHeaderBytes bounds the header of a request; a key and a dozen usual
	// headers need about a tenth.
	maxHeaderBytes = 16 << 10
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
	AdminHandler   http.Handler // administration API; may be nil
	AdminListener  net.Listener // health, metrics and administration; may be nil
	Allocator      persimmoncart.SlotAllocator
	Applications   persimmoncart.Applications
	Balancer       persimmoncart.Balancer
	CallerListener net.Listener         // callers
	Claims         persimmoncart.Claims // nil refuses calls that may not be repeated
	Configuration  persimmoncart.Configuration
	Engines        persimmoncart.Engines
	Grace          time.Duration           // wait for the load balancer after readiness went off
	Leave          func()                  // tells peers of the planned stop; may be nil
	Leaving        *route.LeavingEndpoints // endpoints that are going to stop; may be nil
	Logger         zerolog.Logger
	Members        persimmoncart.Members     // nil if there are no peers
	Metrics        *metrics.Metrics          // nil means a registry of its own
	PeerHandler    http.Handler              // services for other instances; may be nil
	PeerListener   net.Listener              // may be nil
	RateLimiter    persimmoncart.RateLimiter // nil means limits in memory
	Ready          func() bool               // further condition of readiness; may be nil
	RequestLimits  caller.RequestLimits
	RetryBudgets   persimmoncart.RetryBudgets // nil means budgets in memory
	Self           persimmoncart.Instance
	Services       []control.Service // run from start to after the last request
	Store          persimmoncart.Store
	Timer          persimmoncart.Timer
}

// Run serves until ctx is done and then stops gracefully: readiness goes off,
// the load balancer gets its time, and everything in flight is finished. It
// returns nil after a graceful stop, and an error if a listener fails.
func (i *Instance) Run(ctx context.Context) error {
	i.setDefaults()
	r, err := newRunningInstance(i)
	if err != nil {
		return err
	}

	// Services outlive ctx, because requests in flight need them.
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

// setDefaults fills the optional fields.
func (i *Instance) setDefaults() {
	i.Logger = i.Logger.With().Str("instance", string(i.Self.ID)).Logger()
	if i.Metrics == nil {
		i.Metrics = metrics.New()
	}
	if i.RetryBudgets == nil {
		i.RetryBudgets = &route.Budgets{Timer: i.Timer}
	}
	if i.RateLimiter == nil {
		i.RateLimiter = &caller.RateLimiter{Instances: i.sharingInstances, Timer: i.Timer}
	}
}

// sharingInstances returns the number of members that share the accounts' rates: those
// that may get new work.
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

// An runningInstance is a running Instance.
type runningInstance struct {
	acceptDone   chan struct{} // closed when no more callers' connections are accepted
	adminServer  *http.Server
	bus          *control.Bus
	callerServer *http.Server
	controlLoop  *control.Loop
	instance     *Instance
	newConns     *newConnTracker // of callers
	peerServer   *http.Server
	router       *route.Router
	supervisor   *control.SupervisorTree
}

// newRunningInstance connects the parts of i.
func newRunningInstance(i *Instance) (*runningInstance, error) {
	bus, err := control.NewBus()
	if err != nil {
		return nil, errors.Wrap(err, "control events")
	}
	r := &runningInstance{acceptDone: make(chan struct{}), newConns: &newConnTracker{Timer: i.Timer}, bus: bus, instance: i}
	r.controlLoop = &control.Loop{Bus: r.bus, Logger: i.Logger}
	r.router = &route.Router{
		Allocator:    i.Allocator,
		Applications: i.Applications,
		Balancer:     i.Balancer,
		Budgets:      i.RetryBudgets,
		Claims:       i.Claims,
		Engines:      i.Engines,
		Leaving:      i.Leaving,
		Metrics:      i.Metrics,
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
	r.callerServer.ConnState = r.newConns.ConnState
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
