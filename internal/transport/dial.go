package transport

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

const (
	// userTimeout is TCP_USER_TIMEOUT: the time after which a connection is closed
	// whose peer does not acknowledge sent bytes, for example in a network partition.
	userTimeout = 2 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect a peer that becomes
	// unreachable while a response is awaited within about two seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// DialKeepAlive opens a TCP connection to an IPv4 address. The connection fails
// within about three seconds after its peer becomes unreachable, also while a
// response is awaited.
func DialKeepAlive(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(fd uintptr) {
				optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			return errors.Join(err, optionErr)
		},
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	conn, err := d.DialContext(ctx, "tcp4", addr.String())
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	return conn, nil
}
