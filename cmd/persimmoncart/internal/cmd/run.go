package cmd

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/netip"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/application"
	"github.com/persimmoncart/persimmoncart/internal/control"
	"github.com/persimmoncart/persimmoncart/internal/engine"
	"github.com/persimmoncart/persimmoncart/internal/entry"
	"github.com/persimmoncart/persimmoncart/internal/instancelist"
	"github.com/persimmoncart/persimmoncart/internal/metrics"
	"github.com/persimmoncart/persimmoncart/internal/objectapi"
	"github.com/persimmoncart/persimmoncart/internal/peer"
	"github.com/persimmoncart/persimmoncart/internal/timer"
	"github.com/persimmoncart/persimmoncart/internal/tlsfiles"
	"github.com/persimmoncart/persimmoncart/internal/transport"
	"github.com/persimmoncart/persimmoncart/internal/weightstore"
)

// run serves until ctx is done.
func run(ctx context.Context, s *Settings, parsed ParsedSettings, logs io.Writer) error {
	b := &builder{
		logger:   zerolog.New(logs).Level(parsed.LogLevel).With().Timestamp().Logger(),
		parsed:   parsed,
		settings: s,
		timer:    &timer.System{},
	}
	b.parsed.Self.Incarnation = persimmoncart.Incarnation(b.timer.Now().UnixMilli())
	i, err := b.instance(ctx)
	if err != nil {
		return err
	}
	return i.Run(ctx)
}

// A builder builds an instance from its settings.
type builder struct {
	client   *http.Client // towards endpoints, store and instance list
	logger   zerolog.Logger
	parsed   ParsedSettings
	services []control.Service
	settings *Settings
	timer    *timer.System
}

// instance returns the instance with open listeners.
func (b *builder) instance(ctx context.Context) (*entry.Instance, error) {
	c := b.parsed
	clientTLS, err := b.clientTLS()
	if err != nil {
		return nil, err
	}
	b.client = transport.NewClient(clientTLS)
	secure := clientTLS != nil
	i := &entry.Instance{
		Applications:  &application.Clients{HTTP: b.client, Secure: secure},
		Engines:       &engine.Clients{HTTP: b.client, Secure: secure},
		Grace:         c.Grace,
		Logger:        b.logger,
		Metrics:       metrics.New(),
		RequestLimits: c.RequestLimits,
		Self:          c.Self,
		Timer:         b.timer,
	}
	if c.Static != nil {
		i.Configuration = c.Static
	}
	if c.Store.IsValid() {
		i.Store = &objectapi.Client{Addr: c.Store, HTTP: b.client, Secure: secure, Timer: b.timer}
	}
	peers, err := b.peers(secure)
	if err != nil {
		return nil, err
	}
	peers.Join(i)
	if i.CallerListener, err = b.listen(ctx, c.Callers, b.settings.Callers.TLS); err != nil {
		return nil, err
	}
	if i.AdminListener, err = b.listen(ctx, c.Admin, b.settings.Admin.TLS); err != nil {
		return nil, err
	}
	if i.PeerListener, err = b.listen(ctx, c.Peers, b.settings.Peers.TLS); err != nil {
		return nil, err
	}
	i.Services = append(b.services, i.Services...)
	return i, nil
}

// clientTLS returns the configuration towards endpoints, or nil for cleartext.
func (b *builder) clientTLS() (*tls.Config, error) {
	files := b.settings.Endpoints.TLS.files()
	if files.Empty() {
		return nil, nil //nolint:nilnil // no configuration means cleartext
	}
	r, err := b.reloader("endpoint", files)
	if err != nil {
		return nil, err
	}
	return r.ClientConfig(), nil
}

// peers returns the connection to other instances.
func (b *builder) peers(secure bool) (*entry.Peers, error) {
	p := &entry.Peers{Tokens: b.parsed.Tokens}
	if b.parsed.Weights.IsValid() {
		p.WeightStore = &weightstore.Client{Addr: b.parsed.Weights, HTTP: b.client, Secure: secure}
	}
	if !b.parsed.InstanceList.IsValid() {
		return p, nil
	}
	p.InstanceList = &instancelist.Client{Addr: b.parsed.InstanceList, HTTP: b.client, Secure: secure}
	files := b.settings.Peers.TLS.files()
	if files.Empty() {
		p.HTTP = peer.NewHTTPClient(nil)
		return p, nil
	}
	r, err := b.reloader("peers", files)
	if err != nil {
		return nil, err
	}
	r.ServerName = b.settings.Peers.Name
	p.HTTP, p.Secure = peer.NewHTTPClient(r.ClientConfig()), true
	return p, nil
}

// listen opens a listener, or returns nil without an address.
func (b *builder) listen(ctx context.Context, addr netip.AddrPort, files TLSSettings) (net.Listener, error) {
	if !addr.IsValid() {
		return nil, nil //nolint:nilnil // the listener is optional
	}
	var listen net.ListenConfig
	l, err := listen.Listen(ctx, "tcp", addr.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	if files.files().Empty() {
		return l, nil
	}
	r, err := b.reloader(addr.String(), files.files())
	if err != nil {
		return nil, err
	}
	return tls.NewListener(l, r.ServerConfig()), nil
}

// reloader returns loaded certificates that a service keeps current.
func (b *builder) reloader(name string, files tlsfiles.Files) (*tlsfiles.Reloader, error) {
	r := &tlsfiles.Reloader{Files: files, Logger: b.logger, Timer: b.timer}
	if err := r.Load(); err != nil {
		return nil, errors.Wrapf(err, "TLS files of %s", name)
	}
	b.addService("tls "+name, r.Run)
	return r, nil
}

// addService adds a service.
func (b *builder) addService(name string, run func(context.Context) error) {
	b.services = append(b.services, control.Service{Name: name, Run: run})
}
