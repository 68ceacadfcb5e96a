package transport

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
)

// A SendTracker records whether any byte of one call left this process.
type SendTracker struct {
	conns     []trackedConn // connections of all attempts of the HTTP library
	mutex     sync.Mutex
	untracked bool // the call used a connection that does not count bytes
}

// TrackSend returns a context for one call and the SendTracker of the call.
func TrackSend(ctx context.Context) (context.Context, *SendTracker) {
	s := &SendTracker{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.gotConn}), s
}

// Sent reports whether any byte of the call may have been written. It is exact
// for clients of NewClient and NewClientWithDial. For other clients it is true
// as soon as the call has a connection.
func (s *SendTracker) Sent() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, a := range s.conns {
		if a.conn.written.Load() != a.writtenBefore {
			return true
		}
	}
	return s.untracked
}

// gotConn records the connection of one attempt of the HTTP library.
func (s *SendTracker) gotConn(info httptrace.GotConnInfo) {
	s.add(info.Conn)
}

// add records a connection and the number of bytes written to it before the call.
func (s *SendTracker) add(c net.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counting := countingConnOf(c)
	if counting == nil {
		s.untracked = true
		return
	}
	s.conns = append(s.conns, trackedConn{writtenBefore: counting.written.Load(), conn: counting})
}

// A trackedConn is a connection that one attempt of a call uses.
type trackedConn struct {
	conn          *countingConn
	writtenBefore int64 // bytes written before the call
}
