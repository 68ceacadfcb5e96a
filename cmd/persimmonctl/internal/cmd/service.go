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

// service returns the service that executes the commands: an instance with
// --admin, or this process with the store of --store. It returns a *settingError
// if the flags are wrong.
func (a *app) service() (admin.Service, error) {
	options := &a.options
	if (options.Admin == "") == (options.Store == "") {
		return nil, &settingError{"one of --admin and --store is needed, the address and port of an instance or of the store"}
	}
	clientTLS, err := tlsConfig(options.CA)
	if err != nil {
		return nil, err
	}
	flag, value := "--admin", options.Admin
	if options.Store != "" {
		flag, value = "--store", options.Store
	}
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		return nil, &settingError{flag + ": want an IP address and port such as 10.0.0.5:9100"}
	}
	client := transport.NewClient(clientTLS)
	if options.Admin != "" {
		return &admin.Client{BaseURL: transport.URL(addr, clientTLS != nil), HTTP: client, Token: options.Token}, nil
	}
	clock := &timer.System{}
	store := &objectapi.Client{Addr: addr, HTTP: client, Secure: clientTLS != nil, Timer: clock}
	return &admin.LocalService{
		Claims: &claim.Claims{Self: persimmoncart.Tag{Instance: "persimmonctl"}, Store: store, Timer: clock},
		Editor: &config.Editor{Repository: &config.Repository{ForEach: config.ForEachConcurrently, Store: store}, Timer: clock},
		Timer:  clock,
	}, nil
}

// author returns the author of a change. With --store it is required; an instance
// takes the author from the token.
func (a *app) author() (string, error) {
	if a.options.Store != "" && a.options.Author == "" {
		return "", &settingError{"--author is needed with --store, so that the audit record names you"}
	}
	return a.options.Author, nil
}

// tlsConfig returns a TLS configuration that accepts certificates of the CA in
// file, or nil for cleartext if file is empty.
func tlsConfig(file string) (*tls.Config, error) {
	if file == "" {
		return nil, nil //nolint:nilnil // no configuration means cleartext
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

// readFiles returns the named files with their content; "-" is the standard input.
// Zone is the time zone of sheets.
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
