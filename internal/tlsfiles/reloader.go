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

// DefaultPeriod is the default interval between two reads of the files.
// Certificates are renewed days before they expire, so minutes do not matter.
const DefaultPeriod = 30 * time.Second

// Files are the paths of the TLS files of a listener or client.
type Files struct {
	CA          string // PEM certificates of the CA of peers; empty means no mutual TLS
	Certificate string // PEM certificate chain; may be empty for clients
	Key         string // PEM private key; may be empty for clients
}

// Empty reports whether all paths are empty.
func (f Files) Empty() bool { return f == Files{} }

// Validate returns an error if a file is missing or invalid, or if certificate and
// key do not match. Empty Files are valid.
func (f Files) Validate() error {
	if f.Empty() {
		return nil
	}
	_, err := f.load()
	return err
}

// load reads and parses the files.
func (f Files) load() (*loadedFiles, error) {
	m := &loadedFiles{}
	var contents [3][]byte // of CA, Certificate and Key
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
		contents[n] = data
	}
	m.certificate = &tls.Certificate{}
	if f.Certificate != "" {
		certificate, err := tls.X509KeyPair(contents[1], contents[2])
		if err != nil {
			return nil, errors.Wrapf(err, "load certificate %s", strconv.Quote(f.Certificate))
		}
		m.certificate = &certificate
	}
	m.content = bytes.Join(contents[:], []byte{0})
	if f.CA != "" {
		m.pool = x509.NewCertPool()
		if !m.pool.AppendCertsFromPEM(contents[0]) {
			return nil, &EmptyCAError{Path: f.CA}
		}
	}
	return m, nil
}

// An EmptyCAError reports a CA file without a certificate.
type EmptyCAError struct {
	Path string
}

// Error implements error.
func (e *EmptyCAError) Error() string {
	return "no CA certificate in " + strconv.Quote(e.Path)
}

// A MissingFileError reports a certificate without a key or a key without a
// certificate.
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

// loadedFiles is the content of the files at one time.
type loadedFiles struct {
	certificate *tls.Certificate // zero value without a file
	content     []byte           // all files, to detect changes
	pool        *x509.CertPool   // nil without a CA
}

// A Reloader holds the newest valid certificates of its files. Set the exported
// fields before Load.
type Reloader struct {
	Files      Files
	Logger     zerolog.Logger
	Period     time.Duration
	ServerName string // DNS name that certificates of servers must have; empty accepts any name
	Timer      persimmoncart.Timer

	loaded atomic.Pointer[loadedFiles]
}

// ClientConfig returns the configuration of a client that presents the certificate
// and verifies servers against the CA. Load must have succeeded.
func (r *Reloader) ClientConfig() *tls.Config {
	return &tls.Config{
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return r.loaded.Load().certificate, nil
		},
		// crypto/tls cannot replace the CA of a client, so verifyServer verifies the
		// chain instead.
		InsecureSkipVerify: true,
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{"h2", "http/1.1"},
		VerifyConnection:   r.verifyServer,
	}
}

// Load reads the files for the first time. It must succeed before the
// configurations are used.
func (r *Reloader) Load() error {
	m, err := r.Files.load()
	if err != nil {
		return err
	}
	r.loaded.Store(m)
	return nil
}

// Run reads the files again each Period until ctx is done. If a read fails, the
// previous certificates stay in use; only the first of consecutive failures is
// logged.
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
				r.Logger.Error().Err(err).Str("certificate", r.Files.Certificate).Msg("TLS files cannot be used, keeping the old ones")
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
// present a certificate signed by it. Load must have succeeded.
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

// verifyServer verifies the certificate chain of a server against the newest CA, or
// without a CA against the system's.
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
