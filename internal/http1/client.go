// Package http1 speaks HTTP/1.1 to endpoints.
//
// It differs from net/http's client in what a router needs to know: whether any
// byte of a request can have reached the endpoint, whether an answer belongs to
// the request that it follows, and whether a connection is still clean after it.
// It never sends a request twice by itself.
package http1

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/timer"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

const (
	// defaultIdleTimeout is how long an idle connection is used again when the endpoint
	// named no time.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is kept below the idle time that an endpoint names, so that a
	// request does not cross the endpoint's close.
	idleMargin = 750 * time.Millisecond
	// maxIdlePerEndpoint bounds the idle connections to one endpoint.
	maxIdlePerEndpoint = 8
	// dialTimeout bounds the wait for a connection. A lost opening packet is sent
	// again after a second, when another endpoint would have answered already.
	dialTimeout = 600 * time.Millisecond
	// sweepPeriod is the time between two looks for expired idle connections.
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

// A Request is one request as it goes onto the wire.
type Request struct {
	Body   []byte
	Header http.Header
	Host   string
	// Matches reports whether an answer's header belongs to this request. Answers
	// of others are dropped. Nil accepts every answer.
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

// Do sends a request and returns the answer with its header. The answer's body
// has to be closed; closing it early closes the connection, which tells the
// endpoint to stop. When ctx ends, the request and the body end.
//
// It returns a *NotSentError if provably no byte left; after any other error the
// endpoint may have run the request.
func (c *Client) Do(ctx context.Context, addr netip.AddrPort, r *Request) (*Response, error) {
	k, err := c.conn(ctx, addr)
	if err != nil {
		return nil, &NotSentError{Addr: addr, Err: err}
	}
	response, err := k.roundTrip(ctx, r)
	if err != nil {
		k.close()
		if sent := (*NotSentError)(nil); !errors.As(err, &sent) && ctx.Err() != nil {
			err = errors.Wrap(ctx.Err(), "wait for answer")
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

// Run closes expired idle connections until ctx is done.
func (c *Client) Run(ctx context.Context) error {
	for c.Timer.Sleep(ctx, sweepPeriod) == nil {
		c.sweep(c.Timer.Now())
	}
	c.sweep(c.Timer.Now().Add(time.Hour))
	return ctx.Err()
}

// conn returns an idle connection or opens one.
func (c *Client) conn(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	for {
		k := c.take(addr)
		if k == nil {
			break
		}
		if c.Timer.Now().Before(k.expires) && k.clean() {
			return k, nil
		}
		k.close()
	}
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

// put keeps a connection for the next request.
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

// take removes the most recently used idle connection, or returns nil.
func (c *Client) take(addr netip.AddrPort) *conn {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	list := c.idle[addr]
	if len(list) == 0 {
		return nil
	}
	k := list[len(list)-1]
	c.idle[addr] = list[:len(list)-1]
	return k
}
