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
	// userTimeout ends a connection whose peer does not acknowledge bytes, as
	// behind a partition.
	userTimeout = 2 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a peer that went
	// silent while an answer is awaited within about two seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// DialKeepAlive opens a TCP connection whose peer's silence is noticed within about
// three seconds, also while an answer is awaited.
func DialKeepAlive(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			return errors.Join(err, failed)
		},
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	n, err := d.DialContext(ctx, "tcp4", addr.String())
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	return n, nil
}
