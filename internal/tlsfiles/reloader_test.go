package tlsfiles_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/internal/timer"
	"github.com/persimmoncart/persimmoncart/internal/tlsfiles"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func ExampleFiles_Validate() {
	fmt.Println(tlsfiles.Files{Certificate: "chain.pem"}.Validate())
	// Output: the key is missing
}

// writeCertificate writes a self-signed certificate and its key to dir.
func writeCertificate(t *testing.T, dir string, serial int64) tlsfiles.Files {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		BasicConstraintsValid: true,
		DNSNames:              []string{"entry"},
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IsCA:                  true,
		NotAfter:              time.Now().Add(time.Hour),
		NotBefore:             time.Now().Add(-time.Hour),
		SerialNumber:          big.NewInt(serial),
		Subject:               pkix.Name{CommonName: "entry"},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	assert.NilError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	f := tlsfiles.Files{CA: filepath.Join(dir, "cert"), Certificate: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key")}
	assert.NilError(t, os.WriteFile(f.Certificate, pem.EncodeToMemory(&pem.Block{Bytes: der, Type: "CERTIFICATE"}), 0o600))
	assert.NilError(t, os.WriteFile(f.Key, pem.EncodeToMemory(&pem.Block{Bytes: private, Type: "PRIVATE KEY"}), 0o600))
	return f
}

// newReloader returns a Reloader that has loaded the files.
func newReloader(t *testing.T, f tlsfiles.Files) *tlsfiles.Reloader {
	t.Helper()
	r := &tlsfiles.Reloader{Files: f, Logger: zerolog.Nop(), Timer: &timer.System{}}
	assert.NilError(t, r.Load())
	return r
}

// handshake runs a TLS handshake and returns the serial number of the server's
// certificate.
func handshake(t *testing.T, client, server *tls.Config) (int64, error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	clientConn, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer clientConn.Close()
	serverConn, err := l.Accept()
	assert.NilError(t, err)
	defer serverConn.Close()
	serverErr := make(chan error, 1)
	go func() { serverErr <- tls.Server(serverConn, server).Handshake() }()
	c := tls.Client(clientConn, client)
	if err := c.Handshake(); err != nil {
		serverConn.Close()
		<-serverErr
		return 0, err
	}
	if err := <-serverErr; err != nil {
		return 0, err
	}
	return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// Guards against a new certificate that is used only after a restart, and against
// an invalid file that replaces a valid certificate.
func TestReload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir := t.TempDir()
		r := newReloader(t, writeCertificate(t, dir, 1))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- r.Run(ctx) }()
		serial, err := handshake(t, r.ClientConfig(), r.ServerConfig())
		assert.NilError(t, err)
		assert.Equal(t, serial, int64(1))
		f := writeCertificate(t, dir, 2)
		time.Sleep(tlsfiles.DefaultPeriod + time.Second)
		assert.NilError(t, os.WriteFile(f.Certificate, []byte("broken"), 0o600))
		time.Sleep(tlsfiles.DefaultPeriod)
		serial, err = handshake(t, r.ClientConfig(), r.ServerConfig())
		assert.NilError(t, err)
		assert.Equal(t, serial, int64(2))
		cancel()
		assert.ErrorIs(t, <-done, context.Canceled)
	})
}

// Guards against a failed reload whose log line does not say what is wrong with the
// files, and against one that is repeated at each read.
func TestReloadFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := writeCertificate(t, t.TempDir(), 1)
		r := newReloader(t, f)
		var log bytes.Buffer
		r.Logger = zerolog.New(&log)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- r.Run(ctx) }()
		assert.NilError(t, os.Remove(f.Key))
		time.Sleep(3*tlsfiles.DefaultPeriod + time.Second)
		cancel()
		assert.ErrorIs(t, <-done, context.Canceled)
		assert.Equal(t, strings.Count(log.String(), "TLS files cannot be used, keeping the old ones"), 1, log.String())
		assert.Assert(t, strings.Contains(log.String(), fmt.Sprintf(`"error":"read TLS file: open %s:`, f.Key)), log.String())
	})
}

// Guards against peers that are accepted without a certificate of the CA.
func TestMutual(t *testing.T) {
	own, other := newReloader(t, writeCertificate(t, t.TempDir(), 1)), newReloader(t, writeCertificate(t, t.TempDir(), 2))
	named := newReloader(t, own.Files)
	named.ServerName = "another"
	tests := []struct {
		name           string
		client, server *tls.Config
		ok             bool
	}{
		{"same CA", own.ClientConfig(), own.ServerConfig(), true},
		{"client without certificate", &tls.Config{InsecureSkipVerify: true}, own.ServerConfig(), false},
		{"client of another CA", &tls.Config{InsecureSkipVerify: true, GetClientCertificate: other.ClientConfig().GetClientCertificate}, own.ServerConfig(), false},
		{"server of another CA", own.ClientConfig(), other.ServerConfig(), false},
		{"server with another name", named.ClientConfig(), own.ServerConfig(), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := handshake(t, test.client, test.server)
			assert.Equal(t, err == nil, test.ok, "%v", err)
		})
	}
}

// Guards against invalid files that are detected only when the first caller
// connects.
func TestValidate(t *testing.T) {
	good := writeCertificate(t, t.TempDir(), 1)
	tests := []struct {
		name  string
		files tlsfiles.Files
		ok    bool
	}{
		{"none", tlsfiles.Files{}, true},
		{"good", good, true},
		{"no key", tlsfiles.Files{Certificate: good.Certificate}, false},
		{"no certificate", tlsfiles.Files{Key: good.Key}, false},
		{"absent file", tlsfiles.Files{Certificate: "absent", Key: good.Key}, false},
		{"key as CA", tlsfiles.Files{CA: good.Key, Certificate: good.Certificate, Key: good.Key}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			err := test.files.Validate()
			assert.Equal(t, err == nil, test.ok, "%v", err)
		})
	}
}
