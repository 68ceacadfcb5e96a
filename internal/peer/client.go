// Package peer connects entry instances with each other by connect-go.
//
// Each subsystem has a service of its own below proto/ and a file here that
// implements the subsystem's root interface with that service's client, and a
// handler that serves it.
package peer

import (
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"time"
)

const (
	dialTimeout     = 2 * time.Second
	idleConnTimeout = 90 * time.Second
	pingInterval    = 5 * time.Second
	pingTimeout     = 3 * time.Second
)

// NewHTTPClient returns a client for calls to peers over HTTP/2.
//
// A nil config means cleartext HTTP/2 with prior knowledge.
func NewHTTPClient(config *tls.Config) *http.Client {
	protocols := &http.Protocols{}
	protocols.SetHTTP2(config != nil)
	protocols.SetUnencryptedHTTP2(config == nil)
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		ForceAttemptHTTP2:   config != nil,
		HTTP2:               &http.HTTP2Config{PingTimeout: pingTimeout, SendPingTimeout: pingInterval},
		IdleConnTimeout:     idleConnTimeout,
		Protocols:           protocols,
		TLSClientConfig:     config,
		TLSHandshakeTimeout: dialTimeout,
	}}
}

// URL returns the base URL of the peer at addr.
func URL(addr netip.AddrPort, secure bool) string {
	if secure {
		return "https://" + addr.String()
	}
	return "http://" + addr.String()
}
