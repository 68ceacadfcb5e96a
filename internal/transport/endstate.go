package transport

import (
	"net"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// tcpCloseWait is the state of a TCP connection whose peer has sent a FIN, and neither side
// a reset (TCP_CLOSE_WAIT of linux/net/tcp_states.h). No client here sends a FIN while it
// reads.
const tcpCloseWait = 8

// States of a connection after a read that ended with io.EOF.
const (
	EndUnknown EndState = iota // not a TCP connection
	EndOrderly                 // the peer has acknowledged all bytes and ended its direction in order
	EndReset                   // reset, or closed by this process
	EndUnacked                 // the peer has ended its direction, and not acknowledged all bytes yet
)

// An EndState is the state of a connection after a read that ended with io.EOF.
type EndState uint8

// EndStateOf returns the state of a connection after a read that ended with io.EOF.
//
// That end proves neither that the peer ended the connection in order nor that it received
// what was written before: the kernel reports a reset to one reader or writer only, and
// after a FIN to no reader. A write succeeds once its bytes are in the socket's buffer;
// only the acknowledgement says that the peer's kernel has them. Bytes that arrive after
// the peer has closed the connection, or that it leaves unread when it does, are answered
// with a reset.
func EndStateOf(conn net.Conn) EndState {
	s, ok := conn.(syscall.Conn)
	if !ok {
		return EndUnknown
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return EndReset
	}
	var info *unix.TCPInfo
	var infoErr, unackedErr error
	unacked := 0
	err = raw.Control(func(fd uintptr) {
		// The state is read last: a reset in between drops the bytes.
		unacked, unackedErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	switch {
	case err == nil && (errors.Is(infoErr, unix.EOPNOTSUPP) || errors.Is(infoErr, unix.ENOPROTOOPT)):
		return EndUnknown
	case err != nil || infoErr != nil || unackedErr != nil || info.State != tcpCloseWait:
		return EndReset
	case unacked > 0:
		return EndUnacked
	default:
		return EndOrderly
	}
}
