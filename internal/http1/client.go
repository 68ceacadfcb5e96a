// Package http1 is an HTTP/1.1 client for endpoints.
//
// Unlike net/http's client, it reports whether any byte of a request can have
// reached the endpoint, checks that a response belongs to its request, and reuses
// a connection only if no bytes are left on it. It never sends a request twice by
// itself.
package http1

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/timer"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

const (
	// defaultIdleTimeout is how long a connection may be idle and be used again if
	// the endpoint sent no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the Keep-Alive timeout of an endpoint, so that no
	// request is sent while the endpoint closes the connection.
	idleMargin = 750 * time.Millisecond
	// maxIdlePerEndpoint bounds the idle connections to one endpoint.
	maxIdlePerEndpoint = 8
	// dialTimeout bounds the wait for a connection. TCP sends a lost SYN again only
	// after a second, by when another endpoint would have responded.
	dialTimeout = 600 * time.Millisecond
	// sweepPeriod is the time between two searches for expired idle connections.
	sweepPeriod = 2 * time.Second
)

// A NotSentError reports that no byte of a request left this process.
type NotSentError struct {
	Addr netip.AddrPort
	Err  error
}

// Error implements error.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("request to %s was not sent: %v", e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// A Request is one request to an endpoint.
type Request struct {
	Body   []byte
	Header http.Header
	Host   string
	// ID is an identifier that other requests may have as well, and by which Matches
	// recognises the response; empty for none. A connection carries each identifier once:
	// a late copy of the response to an earlier request could not be told apart.
	ID string
	// Matches reports whether the header of a response belongs to this request.
	// Responses to other requests are dropped. Nil accepts every response.
	Matches func(http.Header) bool
	Method  string
	Target  string // path and query, unchanged
}

// A Client sends requests and keeps idle connections. Its fields are set before
// the first request.
type Client struct {
	Dial  func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) // nil means TCP
	Timer persimmoncart.Timer

	idle   map[netip.AddrPort][]*conn // the most recently used last
	mutex  sync.Mutex
	opened uint64
}

// CloseIdle closes the idle connections to an endpoint.
func (c *Client) CloseIdle(addr netip.AddrPort) {
	c.mutex.Lock()
	list := c.idle[addr]
	delete(c.idle, addr)
	c.mutex.Unlock()
	for _, k := range list {
		k.close()
	}
}

// Connect opens a connection to an endpoint and keeps it for later requests. It returns
// a *NotSentError if the endpoint accepts none.
func (c *Client) Connect(ctx context.Context, addr netip.AddrPort) error {
	k, err := c.open(ctx, addr)
	if err != nil {
		return &NotSentError{Addr: addr, Err: err}
	}
	c.put(k, defaultIdleTimeout)
	return nil
}

// Do sends a request and returns the response once its header has arrived. The
// caller closes the response's body; closing it before its end closes the
// connection, which makes the endpoint stop. When ctx ends, the call and reads of
// the body fail.
//
// It returns a *NotSentError if provably no byte of the request was sent; after any
// other error the endpoint may have run the request.
func (c *Client) Do(ctx context.Context, addr netip.AddrPort, r *Request) (*Response, error) {
	k, err := c.conn(ctx, addr, r.ID)
	if err != nil {
		return nil, &NotSentError{Addr: addr, Err: err}
	}
	response, err := k.roundTrip(ctx, r)
	if err != nil {
		k.close()
		if unsent := (*NotSentError)(nil); !errors.As(err, &unsent) && ctx.Err() != nil {
			err = errors.Wrap(ctx.Err(), "wait for response")
		}
		return nil, err
	}
	return response, nil
}

// Opened returns the number of connections opened so far.
func (c *Client) Opened() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.opened
}

// Run closes expired idle connections every sweepPeriod until ctx is done, then
// closes all idle connections and returns the error of ctx.
func (c *Client) Run(ctx context.Context) error {
	for c.Timer.Sleep(ctx, sweepPeriod) == nil {
		c.sweep(c.Timer.Now())
	}
	c.sweep(c.Timer.Now().Add(time.Hour))
	return ctx.Err()
}

// conn returns a usable idle connection that has not carried a request with the
// identifier, or opens one.
func (c *Client) conn(ctx context.Context, addr netip.AddrPort, id string) (*conn, error) {
	for {
		k := c.take(addr, id)
		if k == nil {
			break
		}
		if c.Timer.Now().Before(k.expires) && k.clean() {
			return k, nil
		}
		k.close()
	}
	return c.open(ctx, addr)
}

// open opens a connection.
func (c *Client) open(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	ctx, stop := timer.WithTimeout(ctx, c.Timer, dialTimeout, nil)
	defer stop()
	dial := c.Dial
	if dial == nil {
		dial = transport.DialKeepAlive
	}
	n, err := dial(ctx, addr)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	c.mutex.Lock()
	c.opened++
	c.mutex.Unlock()
	return newConn(c, addr, n), nil
}

// put keeps a connection for further requests, for the given time at most. It
// closes the connection if maxIdlePerEndpoint are kept already.
func (c *Client) put(k *conn, idle time.Duration) {
	k.expires = c.Timer.Now().Add(idle)
	c.mutex.Lock()
	if c.idle == nil {
		c.idle = make(map[netip.AddrPort][]*conn)
	}
	list := c.idle[k.addr]
	full := len(list) >= maxIdlePerEndpoint
	if !full {
		c.idle[k.addr] = append(list, k)
	}
	c.mutex.Unlock()
	if full {
		k.close()
	}
}

// sweep closes the idle connections that have expired at now.
func (c *Client) sweep(now time.Time) {
	var expired []*conn
	c.mutex.Lock()
	for addr, list := range c.idle {
		kept := list[:0]
		for _, k := range list {
			if now.Before(k.expires) {
				kept = append(kept, k)
			} else {
				expired = append(expired, k)
			}
		}
		c.idle[addr] = kept
		if len(kept) == 0 {
			delete(c.idle, addr)
		}
	}
	c.mutex.Unlock()
	for _, k := range expired {
		k.close()
	}
}

// take removes the most recently used idle connection that has not carried a request with
// the identifier, or returns nil.
func (c *Client) take(addr netip.AddrPort, id string) *conn {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	list := c.idle[addr]
	for n := len(list) - 1; n >= 0; n-- {
		if k := list[n]; !k.hasCarried(id) {
			c.idle[addr] = slices.Delete(list, n, n+1)
			return k
		}
	}
	return nil
}
