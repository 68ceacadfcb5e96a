package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// newConnPollPeriod is the time between two looks at new connections. It also lets
	// a request that was just read reach its handler.
	newConnPollPeriod = 50 * time.Millisecond
	// firstRequestTimeout bounds the wait for the first request of a connection.
	firstRequestTimeout = headerTimeout + newConnPollPeriod
)

// A newConnTracker knows the connections whose first request has not been read.
// http.Server.Shutdown drops a request that it reads while it shuts down, so a
// graceful stop waits for them after the listener was closed.
type newConnTracker struct {
	Timer persimmoncart.Timer

	connections map[net.Conn]struct{}
	mutex       sync.Mutex
}

// ConnState implements the ConnState hook of http.Server.
func (n *newConnTracker) ConnState(c net.Conn, state http.ConnState) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if state != http.StateNew {
		delete(n.connections, c)
		return
	}
	if n.connections == nil {
		n.connections = make(map[net.Conn]struct{})
	}
	n.connections[c] = struct{}{}
}

// Wait returns once the first request of every connection has been read, or
// after the time in which a caller has to send it.
func (n *newConnTracker) Wait(ctx context.Context) {
	end := n.Timer.Now().Add(firstRequestTimeout)
	for {
		n.mutex.Lock()
		left := len(n.connections)
		n.mutex.Unlock()
		// The pause follows the look, so that the last request that was read
		// has reached its handler when Wait returns.
		if n.Timer.Sleep(ctx, newConnPollPeriod) != nil || left == 0 || n.Timer.Now().After(end) {
			return
		}
	}
}
