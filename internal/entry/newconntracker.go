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
	// newConnPollPeriod is the interval between checks for new connections. It also
	// gives a request that was just read time to reach its handler.
	newConnPollPeriod = 50 * time.Millisecond
	// firstRequestTimeout bounds the wait for the first requests of new connections,
	// whose headers have to arrive within headerTimeout.
	firstRequestTimeout = headerTimeout + newConnPollPeriod
)

// A newConnTracker records the connections whose first request has not been read.
// http.Server.Shutdown drops such a request if it arrives during the shutdown, so a
// graceful stop closes the listener and waits for these requests first. Set Timer
// before use.
type newConnTracker struct {
	Timer persimmoncart.Timer

	connections map[net.Conn]struct{}
	mutex       sync.Mutex
}

// ConnState is the ConnState hook of an http.Server.
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

// Wait waits until the first request of every connection has been read, at most
// firstRequestTimeout or until ctx is done.
func (n *newConnTracker) Wait(ctx context.Context) {
	end := n.Timer.Now().Add(firstRequestTimeout)
	for {
		n.mutex.Lock()
		remaining := len(n.connections)
		n.mutex.Unlock()
		// The pause follows the check, so that the last request that was read has
		// reached its handler when Wait returns.
		if n.Timer.Sleep(ctx, newConnPollPeriod) != nil || remaining == 0 || n.Timer.Now().After(end) {
			return
		}
	}
}
