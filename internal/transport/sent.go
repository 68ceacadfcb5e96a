package transport

import (
	"context"
	"crypto/tls"
	"net"
	"net/http/httptrace"
	"sync"
)

// A Sent tells whether any byte of one call left this process.
type Sent struct {
	attempts []sentAttempt
	mutex    sync.Mutex
	unknown  bool
}

// Track returns a context for one call and the Sent that observes it.
func Track(ctx context.Context) (context.Context, *Sent) {
	s := &Sent{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.gotConn}), s
}

// Any reports whether some byte of the call may have been written. It is exact
// for clients of NewClient and true for other clients once they have connected.
func (s *Sent) Any() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, a := range s.attempts {
		if a.conn.written.Load() != a.before {
			return true
		}
	}
	return s.unknown
}

// gotConn notes the connection of one attempt of the HTTP library.
func (s *Sent) gotConn(info httptrace.GotConnInfo) {
	c := info.Conn
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	s.add(c)
}

// add notes one connection with the bytes written to it before the call.
func (s *Sent) add(c net.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counting, ok := c.(*countingConn)
	if !ok {
		s.unknown = true
		return
	}
	s.attempts = append(s.attempts, sentAttempt{before: counting.written.Load(), conn: counting})
}

// A sentAttempt is one connection that a call was given.
type sentAttempt struct {
	before int64 // bytes written before the call
	conn   *countingConn
}
