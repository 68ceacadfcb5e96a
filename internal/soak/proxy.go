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
	WayOpen   Way = iota
	WayCut        // bytes towards the server vanish, those back pass
	WayDelay      // bytes wait
	WayReset      // connections are reset, also new ones
	WaySilent     // bytes vanish both ways
)

// delayTime is how long bytes wait in a Proxy with WayDelay.
const delayTime = 150 * time.Millisecond

// A Way says what a Proxy does with bytes.
type Way int

// A Proxy passes connections on to a server on the loopback interface.
type Proxy struct {
	Server netip.AddrPort

	listener net.Listener
	mutex    sync.Mutex
	open     map[net.Conn]struct{}
	way      Way
}

// Listen opens the proxy's listener and serves it until Close.
func (p *Proxy) Listen(ctx context.Context) (netip.AddrPort, error) {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "listen")
	}
	p.listener, p.open = l, make(map[net.Conn]struct{})
	go p.accept()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close() // nothing is pending on it
	p.Set(WayReset)
}

// Set changes what happens to bytes. WayReset also resets what is open.
func (p *Proxy) Set(w Way) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.way = w
	if w != WayReset {
		return
	}
	for c := range p.open {
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
		go p.pass(c)
	}
}

// add notes an open connection. It reports false if it is reset instead.
func (p *Proxy) add(c net.Conn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.way == WayReset {
		reset(c)
		return false
	}
	p.open[c] = struct{}{}
	return true
}

// pass carries one connection.
func (p *Proxy) pass(client net.Conn) {
	if !p.add(client) {
		return
	}
	var d net.Dialer
	server, err := d.DialContext(context.Background(), "tcp4", p.Server.String())
	if err != nil {
		reset(client)
		p.remove(client)
		return
	}
	var group sync.WaitGroup
	group.Go(func() { p.carry(server, client, true) })
	group.Go(func() { p.carry(client, server, false) })
	group.Wait()
	_, _ = client.Close(), server.Close()
	p.remove(client)
}

// carry copies bytes one way.
func (p *Proxy) carry(to, from net.Conn, request bool) {
	buffer := make([]byte, 16<<10)
	lost := false // for good: TCP never goes on after a gap
	for {
		n, err := from.Read(buffer)
		p.mutex.Lock()
		way := p.way
		p.mutex.Unlock()
		if way == WayDelay {
			time.Sleep(delayTime)
		}
		lost = lost || way == WaySilent || way == WayCut && request
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

// remove forgets a connection.
func (p *Proxy) remove(c net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.open, c)
}

// reset closes a connection so that its peer sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // a plain close is the fallback
	}
	_ = c.Close() // nothing is left to do with it
}
