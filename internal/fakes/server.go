package fakes

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
)

const (
	headerTimeout = 5 * time.Second
	// shutdownTimeout is the time that running calls and streams have to finish once
	// ctx is done. Then their connections are closed.
	shutdownTimeout = 2 * time.Second
)

// A Server serves one fake over HTTP. Set the exported fields before Listen.
type Server struct {
	Addr    netip.AddrPort // port zero means any free port
	Handler http.Handler
	Log     zerolog.Logger
	Name    string

	listener net.Listener
}

// Listen opens the listener and returns its address.
func (s *Server) Listen(ctx context.Context) (netip.AddrPort, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.Addr.String())
	if err != nil {
		return netip.AddrPort{}, errors.Wrapf(err, "listen for %s", s.Name)
	}
	s.listener = l
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port()), nil
}

// Run serves until ctx is done. It calls Listen first unless that was done.
func (s *Server) Run(ctx context.Context) error {
	if s.listener == nil {
		if _, err := s.Listen(ctx); err != nil {
			return err
		}
	}
	server := &http.Server{Handler: s.Handler, ReadHeaderTimeout: headerTimeout}
	stopped := make(chan struct{})
	cancelShutdown := context.AfterFunc(ctx, func() {
		defer close(stopped)
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if err := server.Shutdown(shutdownCtx); err != nil {
			_ = server.Close()
		}
	})
	s.Log.Info().Str("name", s.Name).Stringer("addr", s.listener.Addr()).Msg("serving")
	if err := server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		cancelShutdown()
		return errors.Wrapf(err, "serve %s", s.Name)
	}
	<-stopped
	s.Log.Info().Str("name", s.Name).Msg("stopped")
	return nil
}
