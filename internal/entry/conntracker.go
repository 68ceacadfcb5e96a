package entry

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmoncart/persimmoncart"
)

// connPollPeriod is the interval between checks for connections in use. It also gives a
// request that was just read time to reach its handler.
const connPollPeriod = 50 * time.Millisecond

// A connPhase is what is known of a caller's connection.
type connPhase uint8

const (
	connNew    connPhase = iota + 1 // its first request has not been read
	connActive                      // a request is being served
	connIdle
	connClosed // closed as idle; a request that was read nevertheless is not served
)

// A connContextKey is the key of a request's connection in its context.
type connContextKey struct{}

// A connTracker records the connections of an http.Server, so that a graceful stop can
// close the idle ones without losing a request: a connection is either closed before its
// next request counts as read, or kept until that is answered. Set its exported fields
// before use.
type connTracker struct {
	Logger zerolog.Logger
	Timer  persimmoncart.Timer

	connections map[net.Conn]connPhase
	draining    bool // idle connections are closed
	mutex       sync.Mutex
}

// CloseIdle closes the idle connections, and each of the others once it is idle. Those
// whose first request has not been read stay open.
func (t *connTracker) CloseIdle() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.draining = true
	for c, phase := range t.connections {
		if phase == connIdle {
			t.close(c)
		}
	}
}

// ConnContext is the ConnContext hook of an http.Server.
func (*connTracker) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, c)
}

// ConnState is the ConnState hook of an http.Server.
func (t *connTracker) ConnState(c net.Conn, state http.ConnState) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.connections == nil {
		t.connections = make(map[net.Conn]connPhase)
	}
	switch state {
	case http.StateNew:
		t.connections[c] = connNew
	case http.StateActive:
		if t.connections[c] != connClosed {
			t.connections[c] = connActive
		}
	case http.StateIdle:
		t.connections[c] = connIdle
		if t.draining {
			t.close(c)
		}
	case http.StateClosed, http.StateHijacked:
		delete(t.connections, c)
	}
}

// Handler returns a handler that drops requests whose connection was closed as idle when
// they were read: their callers cannot be answered. If next aborts a response to a request
// of HTTP/1.0, which has no chunks, the connection is reset: the caller would take its
// orderly end for that of the response.
func (t *connTracker) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if t.closed(r.Context()) {
			t.Logger.Info().Msg("request crossed the close of its connection")
			panic(http.ErrAbortHandler)
		}
		if !r.ProtoAtLeast(1, 1) {
			defer resetAfterPanic(r.Context())
		}
		next.ServeHTTP(w, r)
	})
}

// Wait waits until no connection has a request or may bring its first one. It reports
// false if ctx is done earlier.
func (t *connTracker) Wait(ctx context.Context) bool { return t.wait(ctx, connNew, connActive) }

// WaitFirst waits until the first request of every connection has been read. It reports
// false if ctx is done earlier. http.Server.Shutdown drops such a request if it arrives
// during the shutdown.
func (t *connTracker) WaitFirst(ctx context.Context) bool { return t.wait(ctx, connNew) }

// close closes a connection. The caller holds the mutex.
func (t *connTracker) close(c net.Conn) {
	t.connections[c] = connClosed
	_ = c.Close() // fails only if the caller has closed it
}

// closed reports whether the connection of a request was closed as idle.
func (t *connTracker) closed(ctx context.Context) bool {
	c, found := ctx.Value(connContextKey{}).(net.Conn)
	if !found {
		return false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.connections[c] == connClosed
}

// resetAfterPanic makes the close of a request's connection a reset if the handler panics.
// It is deferred, and passes the panic on.
func resetAfterPanic(ctx context.Context) {
	reason := recover()
	if reason == nil {
		return
	}
	if c, ok := ctx.Value(connContextKey{}).(interface{ SetLinger(seconds int) error }); ok {
		_ = c.SetLinger(0) // fails only if the connection is closed
	}
	panic(reason)
}

// count returns the number of connections in one of the given phases.
func (t *connTracker) count(phases ...connPhase) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	count := 0
	for _, phase := range t.connections {
		if slices.Contains(phases, phase) {
			count++
		}
	}
	return count
}

// wait waits until no connection is in one of the given phases. It reports false if ctx is
// done earlier.
func (t *connTracker) wait(ctx context.Context, phases ...connPhase) bool {
	for {
		count := t.count(phases...)
		// The pause follows the check, so that the last request that was read has
		// reached its handler when wait returns.
		if t.Timer.Sleep(ctx, connPollPeriod) != nil {
			return t.count(phases...) == 0
		}
		if count == 0 {
			return true
		}
	}
}
