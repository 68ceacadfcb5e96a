// Package tlsfiles loads certificates from files and reloads them when the
// files change, without a restart.
package tlsfiles

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/persimmoncart/persimmoncart"
)

// DefaultPeriod is how often files are compared. Certificates are renewed days
// before they expire, so that minutes do not matter.
const DefaultPeriod = 30 * time.Second

// Files name the files of one listener or client.
type Files struct {
	CA          string // PEM certificates that peers are checked against; empty means no mutual TLS
	Certificate string // PEM certificate chain; may be empty for clients
	Key         string // PEM private key; may be empty for clients
}

// Empty reports whether no file is named.
func (f Files) Empty() bool { return f == Files{} }

// Validate returns the errors of files that are missing or do not fit together.
func (f Files) Validate() error {
	if f.Empty() {
		return nil
	}
	_, err := f.load()
	return err
}

// load reads the files.
func (f Files) load() (*loadedFiles, error) {
	m := &loadedFiles{}
	var parts [3][]byte
	if (f.Certificate == "") != (f.Key == "") {
		return nil, &MissingFileError{Files: f}
	}
	for n, name := range []string{f.CA, f.Certificate, f.Key} {
		if name == "" {
			continue
		}
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, errors.Wrap(err, "read TLS file")
		}
		parts[n] = data
	}
	m.certificate = &tls.Certificate{}
	if f.Certificate != "" {
		certificate, err := tls.X509KeyPair(parts[1], parts[2])
		if err != nil {
			return nil, errors.Wrapf(err, "load certificate %s", strconv.Quote(f.Certificate))
		}
		m.certificate = &certificate
	}
	m.content = bytes.Join(parts[:], []byte{0})
	if f.CA != "" {
		m.pool = x509.NewCertPool()
		if !m.pool.AppendCertsFromPEM(parts[0]) {
			return nil, &EmptyCAError{Path: f.CA}
		}
	}
	return m, nil
}

// An EmptyCAError reports a file that holds no CA certificate.
type EmptyCAError struct {
	Path string
}

// Error implements error.
func (e *EmptyCAError) Error() string {
	return "no CA certificate in " + strconv.Quote(e.Path)
}

// A MissingFileError reports a certificate without its key or the reverse.
type MissingFileError struct {
	Files Files
}

// Error implements error.
func (e *MissingFileError) Error() string {
	if e.Files.Certificate == "" {
		return "the certificate is missing"
	}
	return "the key is missing"
}

// loadedFiles is what one reading of the files gave.
type loadedFiles struct {
	certificate *tls.Certificate // empty without a file
	content     []byte
	pool        *x509.CertPool // nil without a CA
}

// A Reloader holds the newest certificates of its files. Its fields are set
// before Load.
type Reloader struct {
	Files      Files
	Logger     zerolog.Logger
	Period     time.Duration
	ServerName string // that certificates of servers must carry; empty accepts every one of the CA
	Timer      persimmoncart.Timer

	loaded atomic.Pointer[loadedFiles]
}

// ClientConfig returns the configuration of a client that presents the
// certificate and checks servers against the CA. Load must have succeeded.
func (r *Reloader) ClientConfig() *tls.Config {
	return &tls.Config{
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return r.loaded.Load().certificate, nil
		},
		// The CA may be reloaded, which crypto/tls does not support for
		// clients, so that verify checks the chain instead.
		InsecureSkipVerify: true,
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{"h2", "http/1.1"},
		VerifyConnection:   r.verifyServer,
	}
}

// Load reads the files for the first time.
func (r *Reloader) Load() error {
	m, err := r.Files.load()
	if err != nil {
		return err
	}
	r.loaded.Store(m)
	return nil
}

// Run reads the files again each period until ctx is done. Files that cannot be
// used are logged once for each change of the error, and the old ones stay.
func (r *Reloader) Run(ctx context.Context) error {
	period := r.Period
	if period <= 0 {
		period = DefaultPeriod
	}
	failing := false
	for {
		if err := r.Timer.Sleep(ctx, period); err != nil {
			return err
		}
		m, err := r.Files.load()
		if err != nil {
			if !failing {
				r.Logger.Error().Str("certificate", r.Files.Certificate).Msg("TLS files cannot be used, keeping the old ones")
			}
			failing = true
			continue
		}
		failing = false
		if !bytes.Equal(m.content, r.loaded.Load().content) {
			r.loaded.Store(m)
			r.Logger.Info().Str("certificate", r.Files.Certificate).Msg("TLS files reloaded")
		}
	}
}

// ServerConfig returns the configuration of a listener. With a CA, clients must
// present a certificate that it signed. Load must have succeeded.
func (r *Reloader) ServerConfig() *tls.Config {
	config := &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: []string{"h2", "http/1.1"}}
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		m := r.loaded.Load()
		current := &tls.Config{Certificates: []tls.Certificate{*m.certificate}, MinVersion: tls.VersionTLS12, NextProtos: config.NextProtos}
		if m.pool != nil {
			current.ClientAuth, current.ClientCAs = tls.RequireAndVerifyClientCert, m.pool
		}
		return current, nil
	}
	return config
}

// verifyServer checks a server's chain against the newest CA; without one it checks
// against the system's.
func (r *Reloader) verifyServer(state tls.ConnectionState) error {
	options := x509.VerifyOptions{
		DNSName:       r.ServerName,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
		Roots:         r.loaded.Load().pool,
	}
	for _, c := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	if _, err := state.PeerCertificates[0].Verify(options); err != nil {
		return errors.Wrap(err, "verify peer")
	}
	return nil
}
