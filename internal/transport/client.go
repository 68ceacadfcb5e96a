// Package transport holds the HTTP code that clients and fakes of outside systems
// share.
package transport

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	dialTimeout     = 2 * time.Second
	idleConnTimeout = 90 * time.Second
	// maxIdleConnsPerHost allows for about 40 requests a second of one instance
	// that are in flight for some seconds each. With fewer idle connections, each
	// change in load would close and reopen connections.
	maxIdleConnsPerHost = 128
	readBufferBytes     = 4 << 10
)

// NewClient returns a client for HTTP/1.1 calls to an outside system.
//
// A nil config means cleartext. HTTP/1.1 carries one call at a time on a
// connection, so that SendTracker can report exactly whether a failed call left
// this process, and a streamed token takes less processor time than in an
// HTTP/2 frame. Requests have no overall timeout; the context of each call
// bounds it.
func NewClient(config *tls.Config) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return newClient(config, dialer.DialContext)
}

// NewClientWithDial returns a client like NewClient for cleartext calls over
// connections that dial opens.
func NewClientWithDial(dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)) *http.Client {
	return newClient(nil, func(ctx context.Context, _, address string) (net.Conn, error) {
		addr, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, errors.Wrap(err, "dial")
		}
		return dial(ctx, addr)
	})
}

// newClient returns an HTTP/1.1 client over connections that dial opens. A nil
// config means cleartext.
func newClient(config *tls.Config, dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Client {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &checkedTransport{&http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := dial(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &countingConn{Conn: c}, nil
			},
			DisableCompression:  true,
			IdleConnTimeout:     idleConnTimeout,
			MaxIdleConnsPerHost: maxIdleConnsPerHost,
			Protocols:           protocols,
			ReadBufferSize:      readBufferBytes,
			TLSClientConfig:     config,
			TLSHandshakeTimeout: dialTimeout,
		}},
	}
}

// URL returns the base URL of the system at addr.
func URL(addr netip.AddrPort, secure bool) string {
	if secure {
		return "https://" + addr.String()
	}
	return "http://" + addr.String()
}

// A countingConn is a connection that counts the bytes written to it, and whose reads end
// with io.EOF only if the peer has ended it in order and received the request.
type countingConn struct {
	net.Conn
	request atomic.Pointer[requestWrite] // the last one with a body; may be nil
	written atomic.Int64                 // bytes
}

// countingConnOf returns the countingConn of a connection of a client, or nil.
func countingConnOf(conn net.Conn) *countingConn {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	c, _ := conn.(*countingConn)
	return c
}

// Close implements net.Conn.
func (c *countingConn) Close() error {
	if w := c.request.Load(); w != nil {
		w.end(false)
	}
	return c.Conn.Close()
}

// Read implements net.Conn. A response without a length ends with the connection. The
// client of the platform's endpoints, http1, also waits for a late reset.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) && !c.endedInOrder() {
		return n, errors.Wrap(io.ErrUnexpectedEOF, "connection was not ended in order")
	}
	return n, err
}

// endedInOrder waits for the end of the last request's write. It reports whether the peer,
// whose direction has ended, ended it in order after it had received that request.
func (c *countingConn) endedInOrder() bool {
	if w := c.request.Load(); w != nil {
		if <-w.done; !w.complete.Load() {
			return false
		}
	}
	state := EndStateOf(c.Conn)
	return state == EndOrderly || state == EndUnknown
}

// Write implements net.Conn. It counts the bytes before it writes them and
// subtracts those that were not written afterwards, so that a call abandoned
// during the write counts as sent.
func (c *countingConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n - len(b)))
	return n, err
}
