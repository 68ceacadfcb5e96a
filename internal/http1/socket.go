package http1

import (
	"net"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// tcpCloseWait is the state of a TCP connection whose peer has sent a FIN, and neither side
// a reset (TCP_CLOSE_WAIT of linux/net/tcp_states.h). This process never sends a FIN while
// it reads.
const tcpCloseWait = 8

// States of a connection after a read that ended with io.EOF.
const (
	socketUnknown socketState = iota // not a TCP connection
	socketEnded                      // the peer has acknowledged all bytes and ended its direction in order
	socketReset                      // reset, or closed by this process
	socketUnacked                    // the peer has ended its direction and may receive the rest of the bytes
)

// A socketState is the state of a connection after a read that ended with io.EOF.
type socketState uint8

// stateAfterEnd returns the state of a connection after a read that ended with io.EOF.
//
// A write succeeds once its bytes are in the socket's buffer; only the acknowledgement
// says that the peer's kernel has them. Bytes that arrive after the peer has closed the
// connection, or that it leaves unread when it does, are answered with a reset.
func stateAfterEnd(n net.Conn) socketState {
	s, ok := n.(syscall.Conn)
	if !ok {
		return socketUnknown
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return socketReset
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
		return socketUnknown
	case err != nil || infoErr != nil || unackedErr != nil || info.State != tcpCloseWait:
		return socketReset
	case unacked > 0:
		return socketUnacked
	default:
		return socketEnded
	}
}

// socketClean reports whether a connection is open and has no bytes to read.
// Connections other than TCP count as clean.
func socketClean(n net.Conn) bool {
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
