// Package peer sends messages between entry instances over connect-go.
//
// Client and Server carry the messages of the member and load services for any
// Transport and Handler; Network replaces them in tests. ClaimClient and
// ConfigClient call the claim and configuration services of other instances,
// and ClaimHandler and ConfigHandler serve them. The services are defined in
// proto/.
package peer

import (
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"time"
)

const (
	dialTimeout     = 2 * time.Second  // for the TCP connection, and the same again for the TLS handshake
	idleConnTimeout = 90 * time.Second // time without calls after which a connection is closed
	pingInterval    = 5 * time.Second  // time without received frames after which a ping is sent
	pingTimeout     = 3 * time.Second  // time without a reply to a ping after which the connection is closed
)

// NewHTTPClient returns an HTTP/2 client for calls to other instances. It uses
// TLS with config, or cleartext HTTP/2 with prior knowledge if config is nil.
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

// URL returns the base URL of the instance at addr, with https if secure is set.
func URL(addr netip.AddrPort, secure bool) string {
	if secure {
		return "https://" + addr.String()
	}
	return "http://" + addr.String()
}
