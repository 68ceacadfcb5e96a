package http1

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
	// unackedLimit ends a connection whose peer does not acknowledge bytes, as
	// behind a partition.
	unackedLimit = 2 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a peer that went
	// silent while an answer is awaited within about two seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// dialTCP opens a TCP connection whose peer's silence is noticed.
func dialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit.Milliseconds()))
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

// quiet reports whether a connection is open and has no byte to read. Other
// connections than TCP count as quiet.
func quiet(n net.Conn) bool {
	s, ok := n.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, got := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(got, unix.EAGAIN)
		return true
	})
	return err == nil && open
}
