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
			return setUserTimeout(raw, userTimeout)
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

// LimitUnacknowledged sets whether a connection of DialKeepAlive fails when its peer does
// not acknowledge sent bytes. A peer that has no room for more bytes counts as one that
// does not acknowledge them. It does nothing for connections other than TCP.
func LimitUnacknowledged(conn net.Conn, limited bool) error {
	s, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "access socket")
	}
	timeout := time.Duration(0)
	if limited {
		timeout = userTimeout
	}
	return setUserTimeout(raw, timeout)
}

// setUserTimeout sets TCP_USER_TIMEOUT of a socket; zero means the system's default.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}
