package entry

import (
	"context"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/control"
	"github.com/persimmoncart/persimmoncart/internal/forward"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

const (
	// drainDelay is how long a stopping instance still takes new connections:
	// the load balancer asks each second and believes the second miss.
	drainDelay = 2500 * time.Millisecond
	// maxForwardedHeaderBytes bounds the header of a request above what operators
	// allow, which changes with the configuration: it protects memory only.
	maxForwardedHeaderBytes = 64 << 10
	// stopMargin is kept before the end of the grace time, after which the
	// process is killed.
	stopMargin = 400 * time.Millisecond
)

// A ForwardingInstance is an entry instance that serves forwarded requests. Its fields
// are set before Run; those without a remark are required, Services aside.
type ForwardingInstance struct {
	CallerHandler    http.Handler // of callers
	CallerListener   net.Listener
	Directory        *forward.Directory
	EndpointFollower *forward.Follower
	Grace            time.Duration // from the signal to stop to the kill
	HealthHandler    func(ready func() bool) http.Handler
	HealthListener   net.Listener
	Logger           zerolog.Logger
	MetricsHandler   http.Handler
	MetricsListener  net.Listener      // metrics only; may be nil
	RouteFollower    *forward.Follower // of the routes
	Services         []control.Service
	Timer            persimmoncart.Timer
	VersionChanged   func(uint64) // may be nil

	bus           *control.Bus
	callerServer  *http.Server
	controlLoop   *control.Loop
	graceOverride atomic.Int64 // of SetGrace, nanoseconds; zero means Grace
	healthServer  *http.Server
	newConns      newConnTracker
	stopping      atomic.Bool // requests that arrive on kept connections are the last ones
}

// Run serves until ctx is done and then stops gracefully within Grace.
func (f *ForwardingInstance) Run(ctx context.Context) error {
	bus, err := control.NewBus()
	if err != nil {
		return errors.Wrap(err, "control events")
	}
	f.bus = bus
	f.controlLoop = &control.Loop{Bus: bus, Logger: f.Logger}
	f.newConns.Timer = f.Timer
	f.callerServer = f.newServer(f.closeWhenStopping(f.CallerHandler))
	f.callerServer.ConnState = f.newConns.ConnState
	f.healthServer = f.newServer(f.HealthHandler(f.ready))
	f.RouteFollower.ReachableChanged = func(reached bool) { f.publish(control.StoreChanged{Reachable: reached}) }

	services, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	tree := &control.SupervisorTree{Logger: f.Logger, Name: "forwarding", Services: append([]control.Service{
		{Name: "control", Run: f.controlLoop.Run},
		{Name: "configuration", Run: f.RouteFollower.Run},
		{Name: "endpoints", Run: f.EndpointFollower.Run},
	}, f.Services...)}
	var group errgroup.Group
	group.Go(func() error { return tree.Run(services) })
	failed := make(chan error, 3)
	serve(f.callerServer, f.CallerListener, failed)
	serve(f.healthServer, f.HealthListener, failed)
	if f.MetricsListener != nil {
		metrics := f.newServer(f.MetricsHandler)
		serve(metrics, f.MetricsListener, failed)
		defer func() { _ = metrics.Close() }() // nothing depends on its last answers
	}
	f.publish(control.StoreChanged{Reachable: true}) // until a call fails
	f.publish(control.PhaseChanged{Phase: control.PhaseServing})
	f.Logger.Info().Str("callers", f.CallerListener.Addr().String()).Msg("serving")

	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	f.drain()
	stop()
	return errors.Join(err, f.bus.Close(), group.Wait())
}

// StoreReachable reports whether the store answered last time.
func (f *ForwardingInstance) StoreReachable() bool { return f.controlLoop.State().StoreReachable }

// SetGrace changes the time from the signal to stop to the kill.
func (f *ForwardingInstance) SetGrace(grace time.Duration) { f.graceOverride.Store(int64(grace)) }

// SetRoutesVersion takes the version of the routes that came into force.
func (f *ForwardingInstance) SetRoutesVersion(version uint64) {
	if f.VersionChanged != nil {
		f.VersionChanged(version)
	}
	f.publish(control.ConfigurationChanged{Version: version})
}

// closeWhenStopping asks callers to leave their connections once the instance stops.
func (f *ForwardingInstance) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// drain stops gracefully: readiness goes off, the load balancer gets its time,
// and what is in flight is finished as far as the grace time allows.
func (f *ForwardingInstance) drain() {
	started, grace := f.Timer.Now(), f.Grace
	if changed := f.graceOverride.Load(); changed > 0 {
		grace = time.Duration(changed)
	}
	f.publish(control.PhaseChanged{Phase: control.PhaseDraining})
	f.stopping.Store(true)
	ctx, stop := timer.WithTimeout(context.Background(), f.Timer, grace-stopMargin, nil)
	defer stop()
	_ = f.Timer.Sleep(ctx, min(drainDelay, grace/2)) // the grace time ends the stop in any case
	_ = f.CallerListener.Close()                     // nothing is lost: its connections stay open
	f.newConns.Wait(ctx)
	if err := f.callerServer.Shutdown(ctx); err != nil {
		f.Logger.Warn().Dur("took", f.Timer.Now().Sub(started)).Msg("requests were still in flight at the end of the grace time")
		_ = f.callerServer.Close()
	}
	f.publish(control.PhaseChanged{Phase: control.PhaseStopped})
	_ = f.healthServer.Close() // only the load balancer asks, and knows
	f.Logger.Info().Dur("took", f.Timer.Now().Sub(started)).Msg("stopped")
}

// newServer returns a newServer with the bounds that both listeners share.
func (f *ForwardingInstance) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		ErrorLog:          log.New(&errorLog{logger: f.Logger}, "", 0),
		Handler:           handler,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxForwardedHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
	}
}

// publish sends an event to the control goroutine.
func (f *ForwardingInstance) publish(e control.Event) {
	if err := f.bus.Publish(e); err != nil {
		// Only a bus that is closed at the end of the stop refuses events.
		f.Logger.Debug().Str("topic", e.Topic()).Msg("event after the stop")
	}
}

// ready reports whether the load balancer should send callers here.
func (f *ForwardingInstance) ready() bool {
	return f.controlLoop.State().Ready() && f.Directory.Ready()
}

// serve starts a server. The channel gets its error if it fails.
func serve(s *http.Server, l net.Listener, failed chan<- error) {
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			failed <- errors.Wrapf(err, "serve %s", l.Addr())
		}
	}()
}
