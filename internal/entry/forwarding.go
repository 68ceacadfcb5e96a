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
	// balancerWait is how long a stopping instance still takes new connections:
	// the load balancer asks each second and believes the second miss.
	balancerWait = 2500 * time.Millisecond
	// forwardedHeaderBytes bounds the header of a request above what operators
	// allow, which changes with the configuration: it protects memory only.
	forwardedHeaderBytes = 64 << 10
	// stopMargin is kept before the end of the grace time, after which the
	// process is killed.
	stopMargin = 400 * time.Millisecond
)

// A Forwarding is an entry instance that serves forwarded requests. Its fields
// are set before Run; those without a remark are required, Services aside.
type Forwarding struct {
	Callers        net.Listener
	Configuration  *forward.Follower // of the routes
	Directory      *forward.Directory
	Endpoints      *forward.Follower
	Grace          time.Duration // from the signal to stop to the kill
	Handler        http.Handler  // of callers
	Health         net.Listener
	HealthHandler  func(ready func() bool) http.Handler
	Logger         zerolog.Logger
	Metrics        net.Listener // metrics only; may be nil
	MetricsHandler http.Handler
	Services       []control.Service
	Timer          persimmoncart.Timer
	VersionChanged func(uint64) // may be nil

	arriving newConnections
	bus      *control.Bus
	callers  *http.Server
	grace    atomic.Int64 // of SetGrace, nanoseconds; zero means Grace
	health   *http.Server
	loop     *control.Loop
	stopping atomic.Bool // requests that arrive on kept connections are the last ones
}

// Run serves until ctx is done and then stops gracefully within Grace.
func (f *Forwarding) Run(ctx context.Context) error {
	bus, err := control.NewBus()
	if err != nil {
		return errors.Wrap(err, "control events")
	}
	f.bus = bus
	f.loop = &control.Loop{Bus: bus, Logger: f.Logger}
	f.arriving.Timer = f.Timer
	f.callers = f.server(f.lastOnes(f.Handler))
	f.callers.ConnState = f.arriving.Changed
	f.health = f.server(f.HealthHandler(f.ready))
	f.Configuration.ReachableChanged = func(reached bool) { f.publish(control.StoreChanged{Reachable: reached}) }

	services, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	tree := &control.SupervisorTree{Logger: f.Logger, Name: "forwarding", Services: append([]control.Service{
		{Name: "control", Run: f.loop.Run},
		{Name: "configuration", Run: f.Configuration.Run},
		{Name: "endpoints", Run: f.Endpoints.Run},
	}, f.Services...)}
	var group errgroup.Group
	group.Go(func() error { return tree.Run(services) })
	failed := make(chan error, 3)
	serve(f.callers, f.Callers, failed)
	serve(f.health, f.Health, failed)
	if f.Metrics != nil {
		metrics := f.server(f.MetricsHandler)
		serve(metrics, f.Metrics, failed)
		defer func() { _ = metrics.Close() }() // nothing depends on its last answers
	}
	f.publish(control.StoreChanged{Reachable: true}) // until a call fails
	f.publish(control.PhaseChanged{Phase: control.PhaseServing})
	f.Logger.Info().Str("callers", f.Callers.Addr().String()).Msg("serving")

	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	f.drain()
	stop()
	return errors.Join(err, f.bus.Close(), group.Wait())
}

// Reached reports whether the store answered last time.
func (f *Forwarding) Reached() bool { return f.loop.State().StoreReachable }

// SetGrace changes the time from the signal to stop to the kill.
func (f *Forwarding) SetGrace(grace time.Duration) { f.grace.Store(int64(grace)) }

// SetVersion takes the version of the routes that came into force.
func (f *Forwarding) SetVersion(version uint64) {
	if f.VersionChanged != nil {
		f.VersionChanged(version)
	}
	f.publish(control.ConfigurationChanged{Version: version})
}

// drain stops gracefully: readiness goes off, the load balancer gets its time,
// and what is in flight is finished as far as the grace time allows.
func (f *Forwarding) drain() {
	started, grace := f.Timer.Now(), f.Grace
	if changed := f.grace.Load(); changed > 0 {
		grace = time.Duration(changed)
	}
	f.publish(control.PhaseChanged{Phase: control.PhaseDraining})
	f.stopping.Store(true)
	ctx, stop := timer.WithTimeout(context.Background(), f.Timer, grace-stopMargin, nil)
	defer stop()
	_ = f.Timer.Sleep(ctx, min(balancerWait, grace/2)) // the grace time ends the stop in any case
	_ = f.Callers.Close()                              // nothing is lost: its connections stay open
	f.arriving.Wait(ctx)
	if err := f.callers.Shutdown(ctx); err != nil {
		f.Logger.Warn().Dur("took", f.Timer.Now().Sub(started)).Msg("requests were still in flight at the end of the grace time")
		_ = f.callers.Close()
	}
	f.publish(control.PhaseChanged{Phase: control.PhaseStopped})
	_ = f.health.Close() // only the load balancer asks, and knows
	f.Logger.Info().Dur("took", f.Timer.Now().Sub(started)).Msg("stopped")
}

// lastOnes asks callers to leave their connections once the instance stops.
func (f *Forwarding) lastOnes(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// publish sends an event to the control goroutine.
func (f *Forwarding) publish(e control.Event) {
	if err := f.bus.Publish(e); err != nil {
		// Only a bus that is closed at the end of the stop refuses events.
		f.Logger.Debug().Str("topic", e.Topic()).Msg("event after the stop")
	}
}

// ready reports whether the load balancer should send callers here.
func (f *Forwarding) ready() bool {
	return f.loop.State().Ready() && f.Directory.Ready()
}

// server returns a server with the bounds that both listeners share.
func (f *Forwarding) server(handler http.Handler) *http.Server {
	return &http.Server{
		ErrorLog:          log.New(&errorLog{logger: f.Logger}, "", 0),
		Handler:           handler,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    forwardedHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
	}
}

// serve starts a server. The channel gets its error if it fails.
func serve(s *http.Server, l net.Listener, failed chan<- error) {
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			failed <- errors.Wrapf(err, "serve %s", l.Addr())
		}
	}()
}
