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

// run serves as an entry instance until ctx is done.
func run(ctx context.Context, s *Settings, parsed ParsedSettings, logs io.Writer) error {
	b := &builder{
		logger:   zerolog.New(logs).Level(parsed.LogLevel).With().Timestamp().Logger(),
		parsed:   parsed,
		settings: s,
		timer:    &timer.System{},
	}
	b.parsed.Self.Incarnation = persimmoncart.Incarnation(b.timer.Now().UnixMilli())
	instance, err := b.instance(ctx)
	if err != nil {
		return err
	}
	return instance.Run(ctx)
}

// A builder builds an entry.Instance from the settings.
type builder struct {
	client   *http.Client // for endpoints, the store, the instance list and the weight store
	logger   zerolog.Logger
	parsed   ParsedSettings
	services []control.Service // certificate reloaders
	settings *Settings
	timer    *timer.System
}

// instance returns the entry instance with its listeners open.
func (b *builder) instance(ctx context.Context) (*entry.Instance, error) {
	parsed := b.parsed
	clientTLS, err := b.clientTLS()
	if err != nil {
		return nil, err
	}
	b.client = transport.NewClient(clientTLS)
	secure := clientTLS != nil
	instance := &entry.Instance{
		Applications:  &application.Clients{HTTP: b.client, Secure: secure},
		Engines:       &engine.Clients{HTTP: b.client, Secure: secure},
		Grace:         parsed.Grace,
		Logger:        b.logger,
		Metrics:       metrics.New(),
		RequestLimits: parsed.RequestLimits,
		Self:          parsed.Self,
		Timer:         b.timer,
	}
	if parsed.Static != nil {
		instance.Configuration = parsed.Static
	}
	if parsed.Store.IsValid() {
		instance.Store = &objectapi.Client{Addr: parsed.Store, HTTP: b.client, Secure: secure, Timer: b.timer}
	}
	peers, err := b.peers(secure)
	if err != nil {
		return nil, err
	}
	peers.Join(instance)
	if instance.CallerListener, err = b.listen(ctx, parsed.Callers, b.settings.Callers.TLS); err != nil {
		return nil, err
	}
	if instance.AdminListener, err = b.listen(ctx, parsed.Admin, b.settings.Admin.TLS); err != nil {
		return nil, err
	}
	if instance.PeerListener, err = b.listen(ctx, parsed.Peers, b.settings.Peers.TLS); err != nil {
		return nil, err
	}
	instance.Services = append(b.services, instance.Services...)
	return instance, nil
}

// clientTLS returns the TLS configuration for endpoints and the store, or nil for
// cleartext.
func (b *builder) clientTLS() (*tls.Config, error) {
	files := b.settings.Endpoints.TLS.files()
	if files.Empty() {
		return nil, nil //nolint:nilnil // no configuration means cleartext
	}
	reloader, err := b.reloader("endpoint", files)
	if err != nil {
		return nil, err
	}
	return reloader.ClientConfig(), nil
}

// peers returns the settings and clients for other instances. It leaves
// InstanceList and HTTP nil if the settings name no instance list.
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
	reloader, err := b.reloader("peers", files)
	if err != nil {
		return nil, err
	}
	reloader.ServerName = b.settings.Peers.Name
	p.HTTP, p.Secure = peer.NewHTTPClient(reloader.ClientConfig()), true
	return p, nil
}

// listen opens a TCP listener at addr, with TLS if files are set. It returns nil if
// addr is not valid.
func (b *builder) listen(ctx context.Context, addr netip.AddrPort, files TLSSettings) (net.Listener, error) {
	if !addr.IsValid() {
		return nil, nil //nolint:nilnil // the listener is optional
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", addr.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	if files.files().Empty() {
		return listener, nil
	}
	reloader, err := b.reloader(addr.String(), files.files())
	if err != nil {
		return nil, err
	}
	return tls.NewListener(listener, reloader.ServerConfig()), nil
}

// reloader loads the TLS files and adds a service that reloads them when they
// change. The name appears in errors and in the name of the service.
func (b *builder) reloader(name string, files tlsfiles.Files) (*tlsfiles.Reloader, error) {
	reloader := &tlsfiles.Reloader{Files: files, Logger: b.logger, Timer: b.timer}
	if err := reloader.Load(); err != nil {
		return nil, errors.Wrapf(err, "TLS files of %s", name)
	}
	b.addService("tls "+name, reloader.Run)
	return reloader, nil
}

// addService adds a service that the instance runs.
func (b *builder) addService(name string, run func(context.Context) error) {
	b.services = append(b.services, control.Service{Name: name, Run: run})
}
