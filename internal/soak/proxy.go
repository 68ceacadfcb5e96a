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

// Ways of a Proxy.
const (
	ProxyForward      ProxyMode = iota
	ProxyDropRequests           // bytes towards the server vanish, those back pass
	ProxyDelay                  // bytes wait
	ProxyReset                  // connections are reset, also new ones
	ProxyDropAll                // bytes vanish both ways
)

// delayTime is how long bytes wait in a Proxy with WayDelay.
const delayTime = 150 * time.Millisecond

// A ProxyMode says what a Proxy does with bytes.
type ProxyMode int

// A Proxy passes connections on to a server on the loopback interface.
type Proxy struct {
	Server netip.AddrPort

	listener    net.Listener
	mutex       sync.Mutex
	connections map[net.Conn]struct{}
	mode        ProxyMode
}

// Listen opens the proxy's listener and serves it until Close.
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

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close() // nothing is pending on it
	p.SetMode(ProxyReset)
}

// SetMode changes what happens to bytes. WayReset also resets what is open.
func (p *Proxy) SetMode(w ProxyMode) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.mode = w
	if w != ProxyReset {
		return
	}
	for c := range p.connections {
		reset(c)
	}
}

// accept passes connections on.
func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

// track notes an open connection. It reports false if it is reset instead.
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

// forward carries one connection.
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

// copyBytes copies bytes one way.
func (p *Proxy) copyBytes(to, from net.Conn, request bool) {
	buffer := make([]byte, 16<<10)
	lost := false // for good: TCP never goes on after a gap
	for {
		n, err := from.Read(buffer)
		p.mutex.Lock()
		way := p.mode
		p.mutex.Unlock()
		if way == ProxyDelay {
			time.Sleep(delayTime)
		}
		lost = lost || way == ProxyDropAll || way == ProxyDropRequests && request
		if n > 0 && !lost {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			if t, ok := to.(*net.TCPConn); ok && !lost {
				_ = t.CloseWrite() // the other direction ends by itself
			}
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// untrack forgets a connection.
func (p *Proxy) untrack(c net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.connections, c)
}

// reset closes a connection so that its peer sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // a plain close is the fallback
	}
	_ = c.Close() // nothing is left to do with it
}
