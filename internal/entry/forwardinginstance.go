package entry

import (
	"context"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/control"
	"github.com/persimmoncart/persimmoncart/internal/forward"
	"github.com/persimmoncart/persimmoncart/internal/inbound"
	"github.com/persimmoncart/persimmoncart/internal/policy"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

const (
	// drainDelay is how long a stopping instance still accepts new connections. The
	// load balancer checks readiness each second and stops sending after the second
	// failed check.
	drainDelay = 2500 * time.Millisecond
	// maxForwardedHeaderBytes bounds the header of a request. It only protects
	// memory; the operators' limit, which the configuration can change, is lower.
	maxForwardedHeaderBytes = 64 << 10
	// answerTime is how long the requests that are given up at the end of the grace
	// period have to be answered.
	answerTime = 200 * time.Millisecond
)

// A ForwardingInstance is an entry instance that forwards requests to endpoints. Set
// its exported fields before Run; VersionChanged, MetricsListener and Services are
// optional.
type ForwardingInstance struct {
	CallerHandler    http.Handler // serves requests of callers
	CallerListener   net.Listener
	Directory        *forward.Directory
	EndpointFollower *forward.Follower
	GracePeriod      *policy.GracePeriod
	Guard            *inbound.Guard // bounds what callers make the process hold
	HealthHandler    func(ready func() bool) http.Handler
	HealthListener   net.Listener
	Logger           zerolog.Logger
	MetricsHandler   http.Handler
	MetricsListener  net.Listener // serves only metrics; may be nil
	RouteFollower    *forward.Follower
	Services         []control.Service // run beside the instance's own
	Timer            persimmoncart.Timer
	VersionChanged   func(uint64) // called with each new version of the routes; may be nil

	bus          *control.Bus
	callerServer *http.Server
	connections  connTracker // of callers
	controlLoop  *control.Loop
	healthServer *http.Server
}

// Run serves until ctx is done or a listener fails, and then stops gracefully within
// the grace time. It returns an error if a listener fails.
func (f *ForwardingInstance) Run(ctx context.Context) error {
	bus, err := control.NewBus()
	if err != nil {
		return errors.Wrap(err, "create control event bus")
	}
	f.bus = bus
	f.controlLoop = &control.Loop{Bus: bus, Logger: f.Logger}
	f.connections.Logger, f.connections.Timer = f.Logger, f.Timer
	requests, giveUp := context.WithCancelCause(context.WithoutCancel(ctx))
	defer giveUp(nil)
	f.callerServer = f.newServer(f.connections.Handler(f.closeWhenStopping(f.CallerHandler)))
	f.callerServer.BaseContext = func(net.Listener) context.Context { return requests }
	f.callerServer.ConnContext = f.connections.ConnContext
	f.callerServer.ConnState = f.connections.ConnState
	callers := f.Guard.Callers(f.callerServer, f.CallerListener)
	f.healthServer = f.newServer(f.HealthHandler(f.ready))
	health := f.Guard.Checks(f.healthServer, f.HealthListener, "ready")
	f.RouteFollower.ReachableChanged = func(reachable bool) { f.publish(control.StoreChanged{Reachable: reachable}) }

	services, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	supervisor := &control.SupervisorTree{Logger: f.Logger, Name: "forwarding", Services: append([]control.Service{
		{Name: "control", Run: f.controlLoop.Run},
		{Name: "configuration", Run: f.RouteFollower.Run},
		{Name: "endpoints", Run: f.EndpointFollower.Run},
	}, f.Services...)}
	var group errgroup.Group
	group.Go(func() error { return supervisor.Run(services) })
	failed := make(chan error, 3)
	serve(f.callerServer, callers, failed)
	serve(f.healthServer, health, failed)
	if f.MetricsListener != nil {
		metrics := f.newServer(f.MetricsHandler)
		serve(metrics, f.Guard.Checks(metrics, f.MetricsListener, "metrics"), failed)
		defer func() { _ = metrics.Close() }() // requests for metrics in flight may be lost
	}
	f.publish(control.StoreChanged{Reachable: true}) // assumed until a call fails
	f.publish(control.PhaseChanged{Phase: control.PhaseServing})
	f.Logger.Info().Str("callers", f.CallerListener.Addr().String()).Msg("serving")

	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	f.drain(giveUp)
	stop()
	return errors.Join(err, f.bus.Close(), group.Wait())
}

// StoreReachable reports whether the store responded to the last call.
func (f *ForwardingInstance) StoreReachable() bool { return f.controlLoop.State().StoreReachable }

// SetRoutesVersion records the version of the routes that have come into force.
func (f *ForwardingInstance) SetRoutesVersion(version uint64) {
	if f.VersionChanged != nil {
		f.VersionChanged(version)
	}
	f.publish(control.ConfigurationChanged{Version: version})
}

// closeWhenStopping makes responses ask callers to close their connections once the
// instance is stopping.
func (f *ForwardingInstance) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.GracePeriod.Stopping() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// drain stops gracefully: it reports that the instance is not ready, accepts new
// connections until the load balancer has noticed, and finishes the requests in
// flight as far as the grace period allows. Kept connections are closed together with the
// listener: a request on one of them would have less and less time. GiveUp ends the
// requests that are left.
func (f *ForwardingInstance) drain(giveUp context.CancelCauseFunc) {
	started := f.Timer.Now()
	length := f.GracePeriod.Begin(started).Sub(started)
	f.publish(control.PhaseChanged{Phase: control.PhaseDraining})
	ctx, stop := timer.WithTimeout(context.Background(), f.Timer, length, nil)
	defer stop()
	_ = f.Timer.Sleep(ctx, min(drainDelay, length/2)) // an error means that the grace period is over; the stop continues
	_ = f.CallerListener.Close()                      // accepted connections stay open
	f.GracePeriod.CloseAdmission()
	f.connections.CloseIdle()
	if !f.connections.Wait(ctx) {
		f.Logger.Warn().Dur("took", f.Timer.Now().Sub(started)).Int("connections", f.connections.count(connNew, connActive)).
			Msg("requests were still in flight at the end of the grace time")
		f.answerRest(giveUp)
	}
	_ = f.callerServer.Close() // what is left is cut
	f.publish(control.PhaseChanged{Phase: control.PhaseStopped})
	_ = f.healthServer.Close() // used only by the load balancer, which has noticed the stop
	f.Logger.Info().Dur("took", f.Timer.Now().Sub(started)).Msg("stopped")
}

// answerRest gives up the requests in flight, and waits until those whose response has not
// begun are answered.
func (f *ForwardingInstance) answerRest(giveUp context.CancelCauseFunc) {
	giveUp(forward.ErrStopped)
	ctx, stop := timer.WithTimeout(context.Background(), f.Timer, answerTime, nil)
	defer stop()
	f.connections.Wait(ctx)
}

// newServer returns an HTTP server with the limits that all listeners share.
func (f *ForwardingInstance) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		ErrorLog:          log.New(&errorLog{logger: f.Logger}, "", 0),
		Handler:           handler,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxForwardedHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
	}
}

// publish sends an event to the control loop.
func (f *ForwardingInstance) publish(e control.Event) {
	if err := f.bus.Publish(e); err != nil {
		// Publish fails only once the bus is closed, at the end of the stop.
		f.Logger.Debug().Str("topic", e.Topic()).Msg("control event dropped after the stop")
	}
}

// ready reports whether the load balancer should send callers here.
func (f *ForwardingInstance) ready() bool {
	return f.controlLoop.State().Ready() && f.Directory.Ready()
}

// serve starts a server in the background and sends its error to failed if it fails.
func serve(s *http.Server, l net.Listener, failed chan<- error) {
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			failed <- errors.Wrapf(err, "serve %s", l.Addr())
		}
	}()
}
