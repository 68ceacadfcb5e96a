// Package pipe connects clients and servers of one process in memory, so that they
// can run in virtual time.
package pipe

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// ErrRefused is the error of Dial to a closed listener. Nothing was sent.
var ErrRefused error = syscall.ECONNREFUSED

var _ net.Listener = (*Listener)(nil)

// A Listener accepts in-memory connections.
type Listener struct {
	closed      chan struct{}
	dialled     chan net.Conn
	established []net.Conn
	mutex       sync.Mutex
	once        sync.Once
}

// NewListener returns an open Listener.
func NewListener() *Listener {
	return &Listener{closed: make(chan struct{}), dialled: make(chan net.Conn)}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.dialled:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Addr implements net.Listener. All listeners have the same address.
func (*Listener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

// Close implements net.Listener. Accepted connections stay open.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// CloseAll closes the listener and all its connections, like a crash of the server.
func (l *Listener) CloseAll() {
	_ = l.Close() // never fails
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, c := range l.established {
		_ = c.Close() // the connection ends even if Close fails
	}
}

// Dial connects to the listener. It returns ErrRefused if the listener is closed,
// and the error of ctx if ctx is done before the connection is accepted.
func (l *Listener) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.dialled <- server:
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.established = append(l.established, server)
		return client, nil
	case <-l.closed:
		return nil, ErrRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
