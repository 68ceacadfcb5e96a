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
	// probeKey is a key that never exists, read to check that the store responds.
	probeKey = "probe"
	// probePeriod is the interval between reads of probeKey, which add 0.1 reads per
	// second and instance to the load of the store.
	probePeriod  = 10 * time.Second
	probeTimeout = 2 * time.Second // for one read
)

// adminRoutes returns the handler of the administration listener. Health serves the
// health and readiness paths.
func adminRoutes(i *Instance, health http.Handler) http.Handler {
	r := chi.NewRouter()
	r.Handle("/healthz", health)
	r.Handle("/readyz", health)
	r.Handle("/metrics", i.Metrics.Handler())
	if i.AdminHandler != nil {
		r.Mount("/", i.AdminHandler)
	}
	return r
}

// drain stops gracefully. Each request has a deadline, so waiting for all of them
// needs no timeout.
func (r *runningInstance) drain() {
	i := r.instance
	r.publish(control.PhaseChanged{Phase: control.PhaseDraining})
	if i.Leave != nil {
		i.Leave()
	}
	ctx := context.Background()
	_ = i.Timer.Sleep(ctx, i.Grace) // fails only if ctx ends, which it does not
	_ = i.CallerListener.Close()    // accepted connections stay open
	<-r.acceptDone
	r.connections.WaitFirst(ctx) // ends, as headers have a timeout
	r.shutdown(ctx, r.callerServer, "callers")
	r.router.Wait()
	r.publish(control.PhaseChanged{Phase: control.PhaseStopped})
	r.shutdown(ctx, r.peerServer, "peers")
	r.shutdown(ctx, r.adminServer, "admin")
	i.Logger.Info().Msg("stopped")
}

// followChanges publishes changes of the configuration and of the members to the
// control loop until ctx is done. The subscribed callbacks only wake it, because they
// run under their callers' locks.
func (r *runningInstance) followChanges(ctx context.Context) error {
	changed := make(chan struct{}, 1)
	wake := func() {
		select {
		case changed <- struct{}{}:
		default: // a wake-up is pending already
		}
	}
	defer r.instance.Configuration.Subscribe(func(*persimmoncart.Snapshot) { wake() })()
	if r.instance.Members != nil {
		defer r.instance.Members.Subscribe(func([]persimmoncart.Member) { wake() })()
	}
	for {
		r.publishState()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// publishState publishes the version of the configuration in force and the number of
// members.
func (r *runningInstance) publishState() {
	i := r.instance
	version := i.Configuration.Snapshot().Version
	i.Metrics.SetConfigurationVersion(version)
	r.publish(control.ConfigurationChanged{Version: version})
	if i.Members != nil {
		r.publish(countMembers(i.Members.View()))
	}
}

// listen starts the servers. The returned channel receives the error of each server
// that fails.
func (r *runningInstance) listen() <-chan error {
	failed := make(chan error, 3)
	serve := func(s *http.Server, l net.Listener, name string, onEnd func()) {
		if l == nil {
			onEnd()
			return
		}
		go func() {
			defer onEnd()
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				failed <- errors.Wrapf(err, "serve %s", name)
			}
		}()
	}
	serve(r.callerServer, r.instance.CallerListener, "callers", func() { close(r.acceptDone) })
	serve(r.adminServer, r.instance.AdminListener, "admin", func() {})
	serve(r.peerServer, r.instance.PeerListener, "peers", func() {})
	return failed
}

// newPeerServer returns the server for other instances, which use HTTP/2 with or
// without TLS.
func (r *runningInstance) newPeerServer() *http.Server {
	handler := r.instance.PeerHandler
	if handler == nil {
		handler = http.NotFoundHandler()
	}
	s := r.newServer(handler)
	s.Protocols = &http.Protocols{}
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetHTTP2(true)
	s.Protocols.SetUnencryptedHTTP2(true)
	return s
}

// probeStore checks regularly whether the store is reachable, until ctx is done.
func (r *runningInstance) probeStore(ctx context.Context) error {
	i := r.instance
	if i.Store == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	reachable := true // assumed at first; only changes are logged
	for {
		err := r.probe(ctx)
		missing := &persimmoncart.NotFoundError{}
		responded := err == nil || errors.As(err, &missing)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if responded != reachable {
			i.Logger.Warn().Bool("reached", responded).Msg("store")
		}
		reachable = responded
		r.publish(control.StoreChanged{Reachable: responded})
		if err := i.Timer.Sleep(ctx, probePeriod); err != nil {
			return err
		}
	}
}

// probe reads probeKey from the store. It returns a *persimmoncart.NotFoundError if
// the store responds.
func (r *runningInstance) probe(ctx context.Context) error {
	ctx, stop := timer.WithTimeout(ctx, r.instance.Timer, probeTimeout, nil)
	defer stop()
	if _, err := r.instance.Store.Get(ctx, probeKey); err != nil {
		return errors.Wrap(err, "probe store")
	}
	return nil
}

// publish sends an event to the control loop.
func (r *runningInstance) publish(e control.Event) {
	if err := r.bus.Publish(e); err != nil {
		// Publish fails only once the bus is closed, at the end of the stop.
		r.instance.Logger.Debug().Str("topic", e.Topic()).Msg("control event dropped after the stop")
	}
}

// ready reports whether the load balancer should send callers here.
func (r *runningInstance) ready() bool {
	return r.controlLoop.State().Ready() && (r.instance.Ready == nil || r.instance.Ready())
}

// newServer returns an HTTP server with the limits that all listeners share.
func (r *runningInstance) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		ErrorLog:          log.New(&errorLog{logger: r.instance.Logger}, "", 0),
		Handler:           handler,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      writeTimeout,
	}
}

// shutdown closes the listener of a server and waits for its requests to finish.
func (r *runningInstance) shutdown(ctx context.Context, s *http.Server, name string) {
	if err := s.Shutdown(ctx); err != nil {
		r.instance.Logger.Warn().Str("listener", name).Msg("listener did not close cleanly")
	}
}

// countMembers counts members by state.
func countMembers(members []persimmoncart.Member) control.MembersChanged {
	var e control.MembersChanged
	for _, m := range members {
		switch m.State {
		case persimmoncart.MemberAlive:
			e.Alive++
		case persimmoncart.MemberLeaving:
			e.Leaving++
		case persimmoncart.MemberSuspect:
			e.Suspect++
		default: // dead members are not counted
		}
	}
	return e
}

var _ io.Writer = (*errorLog)(nil)

// An errorLog replaces the error messages of an http.Server, which may contain data
// from callers, by fixed ones.
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
