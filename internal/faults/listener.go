package faults

import (
	"context"
	"net"
	"sync"

	"github.com/go-faster/errors"
)

// errNotAccepted is the error of a connection that nobody accepts: nothing was
// sent, so that the load balancer may try another instance.
var errNotAccepted = errors.New("connection refused")

// A listener accepts connections in memory, so that schedules run in virtual time.
type listener struct {
	closed      chan struct{}
	connections chan net.Conn
	mutex       sync.Mutex
	once        sync.Once
	open        []net.Conn
}

func newListener() *listener {
	return &listener{closed: make(chan struct{}), connections: make(chan net.Conn)}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.connections:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Addr implements net.Listener.
func (*listener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// cut closes the listener and all of its connections, as a crash does.
func (l *listener) cut() {
	_ = l.Close() // it never fails
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, c := range l.open {
		_ = c.Close() // the caller sees the end of the connection in any case
	}
}

// dial connects to the listener.
func (l *listener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.connections <- server:
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.open = append(l.open, server)
		return client, nil
	case <-l.closed:
		return nil, errNotAccepted
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
