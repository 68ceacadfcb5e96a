package pipe_test

import (
	"errors"
	"net"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/internal/pipe"
)

// Guards against datagrams that reach another socket, that are delivered although they are
// lost, or after the socket was closed.
func TestPackets(t *testing.T) {
	a, b := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	lost := false
	network := &pipe.Packets{Lost: func(from, to netip.AddrPort) bool { return lost && from == a && to == b }}
	first, second := network.Listen(a), network.Listen(b)
	send := func(from net.PacketConn, to netip.AddrPort, text string) {
		_, err := from.WriteTo([]byte(text), net.UDPAddrFromAddrPort(to))
		assert.NilError(t, err)
	}
	receive := func(c net.PacketConn) (string, string) {
		buffer := make([]byte, 16)
		n, from, err := c.ReadFrom(buffer)
		assert.NilError(t, err)
		return string(buffer[:n]), from.String()
	}
	send(first, b, "one")
	text, from := receive(second)
	assert.Equal(t, text, "one")
	assert.Equal(t, from, a.String())
	lost = true
	send(first, b, "lost")
	lost = false
	send(first, b, "two")
	send(first, netip.MustParseAddrPort("127.0.0.1:3"), "nobody")
	text, _ = receive(second)
	assert.Equal(t, text, "two")

	assert.NilError(t, second.Close())
	_, _, err := second.ReadFrom(nil)
	assert.Assert(t, errors.Is(err, net.ErrClosed))
	_, err = second.WriteTo(nil, net.UDPAddrFromAddrPort(a))
	assert.Assert(t, errors.Is(err, net.ErrClosed))
}
