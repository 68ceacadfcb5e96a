package entry

import (
	"bytes"
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/control"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

const (
	// probeKey is a key that never exists; asking for it shows whether the store answers.
	probeKey = "probe"
	// probePeriod adds 0.1 reads a second and node to the store's load.
	probePeriod  = 10 * time.Second
	probeTimeout = 2 * time.Second
)

// adminRoutes returns what the administration listener serves.
func adminRoutes(i *Instance, health http.Handler) http.Handler {
	r := chi.NewRouter()
	r.Handle("/healthz", health)
	r.Handle("/readyz", health)
	r.Handle("/metrics", i.Metrics.Handler())
	if i.Admin != nil {
		r.Mount("/", i.Admin)
	}
	return r
}

// drain stops gracefully. Each request is bounded by its own deadline, so that
// waiting for all of them needs no bound of its own.
func (a *assembly) drain() {
	i := a.instance
	a.publish(control.PhaseChanged{Phase: control.PhaseDraining})
	if i.Leave != nil {
		i.Leave()
	}
	ctx := context.Background()
	_ = i.Timer.Sleep(ctx, i.Grace) // the context never ends
	_ = i.Listener.Close()          // nothing is lost: its connections stay open
	<-a.accepted
	a.arriving.Wait(ctx)
	a.shutdown(ctx, a.callers, "callers")
	a.router.Wait()
	a.publish(control.PhaseChanged{Phase: control.PhaseStopped})
	a.shutdown(ctx, a.peers, "peers")
	a.shutdown(ctx, a.admin, "admin")
	i.Logger.Info().Msg("stopped")
}

// follow feeds changes of the configuration and of the members to the control
// goroutine. The callbacks only wake it, because they run under locks of those
// that call them.
func (a *assembly) follow(ctx context.Context) error {
	changed := make(chan struct{}, 1)
	wake := func() {
		select {
		case changed <- struct{}{}:
		default: // a change that is not yet handled covers this one
		}
	}
	defer a.instance.Configuration.Subscribe(func(*persimmoncart.Snapshot) { wake() })()
	if a.instance.Members != nil {
		defer a.instance.Members.Subscribe(func([]persimmoncart.Member) { wake() })()
	}
	for {
		a.observe()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// observe publishes the configuration in force and the members.
func (a *assembly) observe() {
	i := a.instance
	version := i.Configuration.Snapshot().Version
	i.Metrics.SetConfigurationVersion(version)
	a.publish(control.ConfigurationChanged{Version: version})
	if i.Members != nil {
		a.publish(count(i.Members.View()))
	}
}

// listen starts the servers. The channel gets the error of the first that fails.
func (a *assembly) listen() <-chan error {
	failed := make(chan error, 3)
	serve := func(s *http.Server, l net.Listener, name string, ended func()) {
		if l == nil {
			ended()
			return
		}
		go func() {
			defer ended()
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				failed <- errors.Wrapf(err, "serve %s", name)
			}
		}()
	}
	serve(a.callers, a.instance.Listener, "callers", func() { close(a.accepted) })
	serve(a.admin, a.instance.AdminListener, "admin", func() {})
	serve(a.peers, a.instance.PeerListener, "peers", func() {})
	return failed
}

// peerServer returns the server for other instances, which speak HTTP/2 with or
// without TLS.
func (a *assembly) peerServer() *http.Server {
	handler := a.instance.Peer
	if handler == nil {
		handler = http.NotFoundHandler()
	}
	s := a.server(handler)
	s.Protocols = &http.Protocols{}
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetHTTP2(true)
	s.Protocols.SetUnencryptedHTTP2(true)
	return s
}

// probeStore watches whether the store answers.
func (a *assembly) probeStore(ctx context.Context) error {
	i := a.instance
	if i.Store == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	reached := true // only a change is logged
	for {
		err := a.probe(ctx)
		missing := &persimmoncart.NotFoundError{}
		answered := err == nil || errors.As(err, &missing)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if answered != reached {
			i.Logger.Warn().Bool("reached", answered).Msg("store")
		}
		reached = answered
		a.publish(control.StoreChanged{Reachable: answered})
		if err := i.Timer.Sleep(ctx, probePeriod); err != nil {
			return err
		}
	}
}

// probe asks the store once.
func (a *assembly) probe(ctx context.Context) error {
	ctx, stop := timer.WithTimeout(ctx, a.instance.Timer, probeTimeout, nil)
	defer stop()
	if _, err := a.instance.Store.Get(ctx, probeKey); err != nil {
		return errors.Wrap(err, "probe store")
	}
	return nil
}

// publish sends an event to the control goroutine.
func (a *assembly) publish(e control.Event) {
	if err := a.bus.Publish(e); err != nil {
		// Only a bus that is closed at the end of the stop refuses events.
		a.instance.Logger.Debug().Str("topic", e.Topic()).Msg("event after the stop")
	}
}

// ready reports whether the load balancer should send callers here.
func (a *assembly) ready() bool {
	return a.loop.State().Ready() && (a.instance.Ready == nil || a.instance.Ready())
}

// server returns a server with the bounds that all listeners share.
func (a *assembly) server(handler http.Handler) *http.Server {
	return &http.Server{
		ErrorLog:          log.New(&errorLog{logger: a.instance.Logger}, "", 0),
		Handler:           handler,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytes,
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      writeTimeout,
	}
}

// shutdown finishes the requests of a server and closes its listener.
func (a *assembly) shutdown(ctx context.Context, s *http.Server, name string) {
	if err := s.Shutdown(ctx); err != nil {
		a.instance.Logger.Warn().Str("listener", name).Msg("listener did not close cleanly")
	}
}

// count counts members by state.
func count(members []persimmoncart.Member) control.MembersChanged {
	var e control.MembersChanged
	for _, m := range members {
		switch m.State {
		case persimmoncart.MemberAlive:
			e.Alive++
		case persimmoncart.MemberLeaving:
			e.Leaving++
		case persimmoncart.MemberSuspect:
			e.Suspect++
		default: // the dead are not members
		}
	}
	return e
}

var _ io.Writer = (*errorLog)(nil)

// An errorLog replaces the server's messages, which quote data from outside.
type errorLog struct {
	logger zerolog.Logger
}

// Write implements io.Writer.
func (l *errorLog) Write(p []byte) (int, error) {
	if bytes.Contains(p, []byte("panic")) {
		l.logger.Error().Msg("handler panicked")
		return len(p), nil
	}
	l.logger.Debug().Msg("connection failed")
	return len(p), nil
}
