package cmd

import (
	"crypto/tls"
	"crypto/x509"
	"io"
	"net/netip"
	"os"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/admin"
	"github.com/persimmoncart/persimmoncart/internal/claim"
	"github.com/persimmoncart/persimmoncart/internal/config"
	"github.com/persimmoncart/persimmoncart/internal/objectapi"
	"github.com/persimmoncart/persimmoncart/internal/timer"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

// service connects to an instance or to the store.
func (a *app) service() (admin.Service, error) {
	o := &a.options
	if (o.Admin == "") == (o.Store == "") {
		return nil, &settingError{"one of --admin and --store is needed, the address and port of an instance or of the store"}
	}
	secure, err := tlsConfig(o.CA)
	if err != nil {
		return nil, err
	}
	name, text := "--admin", o.Admin
	if o.Store != "" {
		name, text = "--store", o.Store
	}
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return nil, &settingError{name + ": want an IP address and port such as 10.0.0.5:9100"}
	}
	client := transport.NewClient(secure)
	if o.Admin != "" {
		return &admin.Client{BaseURL: transport.URL(addr, secure != nil), HTTP: client, Token: o.Token}, nil
	}
	clock := &timer.System{}
	store := &objectapi.Client{Addr: addr, HTTP: client, Secure: secure != nil, Timer: clock}
	return &admin.LocalService{
		Claims: &claim.Claims{Self: persimmoncart.Tag{Instance: "persimmonctl"}, Store: store, Timer: clock},
		Editor: &config.Editor{Repository: &config.Repository{ForEach: config.ForEachConcurrently, Store: store}, Timer: clock},
		Timer:  clock,
	}, nil
}

// author returns the author of a change, which only --store needs.
func (a *app) author() (string, error) {
	if a.options.Store != "" && a.options.Author == "" {
		return "", &settingError{"--author is needed with --store, so that the audit record names you"}
	}
	return a.options.Author, nil
}

// tlsConfig returns the TLS configuration with a CA, or nil without.
func tlsConfig(file string) (*tls.Config, error) {
	if file == "" {
		return nil, nil //nolint:nilnil // no TLS
	}
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read --ca")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, &settingError{"--ca: " + file + " holds no certificate in PEM form"}
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}, nil
}

// readFiles returns the content of files; "-" is the standard input, as YAML.
func (a *app) readFiles(names []string, zone string) ([]admin.File, error) {
	files := make([]admin.File, 0, len(names))
	for _, name := range names {
		var data []byte
		var err error
		if name == "-" {
			data, err = io.ReadAll(io.LimitReader(a.stdin, config.MaxFileBytes+1))
		} else {
			data, err = os.ReadFile(name)
		}
		if err != nil {
			return nil, &settingError{err.Error()}
		}
		files = append(files, admin.File{Data: string(data), Name: name, Zone: zone})
	}
	return files, nil
}
