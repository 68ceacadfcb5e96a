package pipe

import (
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"time"
)

// packetQueue is the number of datagrams that a socket holds; more are lost.
const packetQueue = 256

var _ net.PacketConn = (*packetConn)(nil)

// A Packets delivers datagrams between sockets of one process. The zero value is ready to
// use.
type Packets struct {
	// Lost reports whether a datagram is lost; nil means that none is. It is called
	// concurrently.
	Lost func(from, to netip.AddrPort) bool

	mutex   sync.Mutex
	sockets map[netip.AddrPort]*packetConn
}

// Listen opens a socket at an address, in the place of one that is open there.
func (p *Packets) Listen(addr netip.AddrPort) net.PacketConn {
	c := &packetConn{addr: addr, closed: make(chan struct{}), network: p, received: make(chan packet, packetQueue)}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.sockets == nil {
		p.sockets = make(map[netip.AddrPort]*packetConn)
	}
	p.sockets[addr] = c
	return c
}

// A packet is one datagram.
type packet struct {
	data []byte
	from netip.AddrPort
}

// A packetConn is a socket of a Packets. It has no deadlines.
type packetConn struct {
	addr     netip.AddrPort
	closed   chan struct{}
	network  *Packets
	once     sync.Once
	received chan packet
}

// Close implements net.PacketConn.
func (c *packetConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// LocalAddr implements net.PacketConn.
func (c *packetConn) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(c.addr) }

// ReadFrom implements net.PacketConn. What does not fit is dropped.
func (c *packetConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case d := <-c.received:
		return copy(b, d.data), net.UDPAddrFromAddrPort(d.from), nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

// SetDeadline implements net.PacketConn. It is not supported.
func (*packetConn) SetDeadline(time.Time) error { return os.ErrNoDeadline }

// SetReadDeadline implements net.PacketConn. It is not supported.
func (*packetConn) SetReadDeadline(time.Time) error { return os.ErrNoDeadline }

// SetWriteDeadline implements net.PacketConn. It is not supported.
func (*packetConn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }

// WriteTo implements net.PacketConn. A datagram to an address without a socket is lost.
func (c *packetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	addr, ok := to.(*net.UDPAddr)
	if !ok {
		return 0, net.InvalidAddrError("want a UDP address")
	}
	target := addr.AddrPort()
	p := c.network
	if p.Lost != nil && p.Lost(c.addr, target) {
		return len(b), nil
	}
	p.mutex.Lock()
	socket := p.sockets[target]
	p.mutex.Unlock()
	if socket != nil {
		select {
		case socket.received <- packet{data: slices.Clone(b), from: c.addr}:
		default: // its queue is full
		}
	}
	return len(b), nil
}
