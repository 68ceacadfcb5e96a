package soak

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Modes of a Proxy.
const (
	ProxyForward      ProxyMode = iota
	ProxyDropRequests           // bytes towards the server are dropped, bytes to the client are forwarded
	ProxyDelay                  // bytes are delayed by delayTime
	ProxyReset                  // open and new connections are reset
	ProxyDropAll                // bytes in both directions are dropped
)

// delayTime is the delay of each read under ProxyDelay.
const delayTime = 150 * time.Millisecond

// A ProxyMode selects how a Proxy treats connections and their bytes.
type ProxyMode int

// A Proxy forwards TCP connections to a server on the loopback interface and injects
// network faults. Server is set before Listen.
type Proxy struct {
	Server netip.AddrPort

	connections map[net.Conn]struct{} // from clients
	listener    net.Listener
	mode        ProxyMode
	mutex       sync.Mutex
}

// Listen opens a listener on a free port, serves it until Close, and returns its
// address.
func (p *Proxy) Listen(ctx context.Context) (netip.AddrPort, error) {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "listen")
	}
	p.listener, p.connections = l, make(map[net.Conn]struct{})
	go p.accept()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// Close closes the listener and resets all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close() // an error leaves nothing to clean up
	p.SetMode(ProxyReset)
}

// SetMode sets the mode for all connections. ProxyReset also resets the open ones.
func (p *Proxy) SetMode(mode ProxyMode) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.mode = mode
	if mode != ProxyReset {
		return
	}
	for c := range p.connections {
		reset(c)
	}
}

// accept accepts connections and forwards them until the listener is closed.
func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

// track records an open connection. Under ProxyReset, it resets the connection and
// returns false.
func (p *Proxy) track(c net.Conn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.mode == ProxyReset {
		reset(c)
		return false
	}
	p.connections[c] = struct{}{}
	return true
}

// forward connects to the server and copies bytes in both directions until both end.
func (p *Proxy) forward(client net.Conn) {
	if !p.track(client) {
		return
	}
	var d net.Dialer
	server, err := d.DialContext(context.Background(), "tcp4", p.Server.String())
	if err != nil {
		reset(client)
		p.untrack(client)
		return
	}
	var group sync.WaitGroup
	group.Go(func() { p.copyBytes(server, client, true) })
	group.Go(func() { p.copyBytes(client, server, false) })
	group.Wait()
	_, _ = client.Close(), server.Close()
	p.untrack(client)
}

// copyBytes copies the bytes of one direction and applies the proxy's mode. request
// says that it is the direction to the server.
func (p *Proxy) copyBytes(to, from net.Conn, request bool) {
	buffer := make([]byte, 16<<10)
	dropping := false // never reset: a TCP stream does not continue after a gap
	for {
		n, err := from.Read(buffer)
		p.mutex.Lock()
		mode := p.mode
		p.mutex.Unlock()
		if mode == ProxyDelay {
			time.Sleep(delayTime)
		}
		dropping = dropping || mode == ProxyDropAll || mode == ProxyDropRequests && request
		if n > 0 && !dropping {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			if t, ok := to.(*net.TCPConn); ok && !dropping {
				_ = t.CloseWrite() // the other direction is still open
			}
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// untrack removes the record of a connection.
func (p *Proxy) untrack(c net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.connections, c)
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // on an error, the connection is closed without a reset
	}
	_ = c.Close() // the connection is not used any more
}
