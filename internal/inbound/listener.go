package inbound

import (
	"net"
	"sync"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// connectionCost is what a connection without a request holds, in bytes: a goroutine,
	// buffers of net/http, and the connection's state.
	connectionCost = 16 << 10
	// sendBuffer is the size of the kernel's buffer for responses of one connection. More
	// would be taken from the machine's memory without being counted.
	sendBuffer = 64 << 10
	// dismissTime is the longest time that a connection is kept open that is refused.
	dismissTime = 500 * time.Millisecond
	// refuseTime is the longest time for the response on a connection that is cut.
	refuseTime = 10 * time.Millisecond
	// dismissBytes bounds what is read of a connection that is refused.
	dismissBytes = 64 << 10
)

// A Listener bounds the connections of one listener. Those of them that wait for their
// client are closed for new ones, the one that has waited for the longest time first.
type Listener struct {
	net.Listener

	bound       int // zero means none
	checks      bool
	connections map[*Conn]struct{}
	guard       *Guard
	mutex       sync.Mutex
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(conn); c != nil {
			return c, nil
		}
		l.guard.refuse(persimmoncart.RefusalMemory, phaseNew)
		l.guard.dismiss(conn, responseNotRun, true)
	}
}

// admit returns the Conn of a connection, or nil if there is no room for it.
func (l *Listener) admit(conn net.Conn) *Conn {
	if !l.makeRoom() {
		return nil
	}
	g := l.guard
	c := &Conn{Conn: conn, guard: g, kind: KindHead, limits: g.limits(), listener: l}
	c.hold = g.Budget.Register(c.cut)
	kind := KindConnection
	if l.checks {
		kind, c.kind = KindCheck, KindCheck
	}
	// Checks are bounded by their number.
	if !c.hold.Take(kind, connectionCost) && !l.checks {
		c.hold.Close()
		return nil
	}
	if tcp, ok := conn.(*net.TCPConn); ok && g.Budget.Bytes > 0 {
		_ = tcp.SetWriteBuffer(sendBuffer) // with more, only the kernel holds more
	}
	c.startHead()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.connections[c] = struct{}{}
	return c
}

// makeRoom reports whether there is room for one more connection. It closes another one,
// if that is needed. Those that are being closed may exceed the bound by cutShare.
func (l *Listener) makeRoom() bool {
	l.mutex.Lock()
	if l.bound <= 0 || len(l.connections) < l.bound {
		l.mutex.Unlock()
		return true
	}
	var oldest *Conn
	var oldestSince time.Time
	now := l.guard.Timer.Now()
	for c := range l.connections {
		since, waiting := c.hold.Waiting()
		if waiting && now.Sub(since) >= l.grace(c) && (oldest == nil || since.Before(oldestSince)) && !c.isCut() {
			oldest, oldestSince = c, since
		}
	}
	full := len(l.connections) >= l.bound+max(1, l.bound/8)
	l.mutex.Unlock()
	if oldest == nil || full {
		return false
	}
	oldest.cut()
	return true
}

// grace returns the time for which a connection waits for its client before it may be
// closed for a new one.
func (l *Listener) grace(c *Conn) time.Duration {
	switch {
	case l.checks:
		return 0
	case c.currentPhase() == phaseHead:
		return headGrace
	default:
		return idleGrace
	}
}

// open returns the number of open connections.
func (l *Listener) open() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.connections)
}

// remove removes a closed connection.
func (l *Listener) remove(c *Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.connections, c)
}

// Responses to requests that are refused by their connection.
const (
	retryAfterText         = "1.000"
	responseNotRun         = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\nRetry-After: " + retryAfterText + "\r\n\r\n"
	responseHeaderTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// dismiss responds on a connection and closes it. It does so only once bytes of a request
// are there, if it awaits one: a client may take an earlier response for no response. Only
// a few connections are dismissed at a time; others are closed at once.
func (g *Guard) dismiss(conn net.Conn, response string, awaits bool) {
	select {
	case g.dismissing <- struct{}{}:
	default:
		_ = conn.Close() // nobody uses it
		return
	}
	go func() {
		defer func() {
			_ = conn.Close() // nobody uses it
			<-g.dismissing
		}()
		if conn.SetDeadline(g.Timer.Now().Add(dismissTime)) != nil {
			return
		}
		buffer := make([]byte, 1<<10)
		if awaits {
			if _, err := conn.Read(buffer); err != nil {
				return
			}
		}
		if _, err := conn.Write([]byte(response)); err != nil {
			return
		}
		closeWrite(conn)
		// A connection that is closed with unread bytes resets, and its client may not see
		// the response.
		for left := dismissBytes; left > 0; {
			n, err := conn.Read(buffer)
			if err != nil {
				return
			}
			left -= n
		}
	}()
}

// closeWrite ends what is sent on a connection, if it can be ended by itself.
func closeWrite(conn net.Conn) {
	if c, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = c.CloseWrite() // fails only on a closed connection
	}
}
