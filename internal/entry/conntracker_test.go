package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// Guards against a request that is served although its connection was closed as idle at
// the moment at which it was read: it would run without an answer. And against a connection
// that is closed as idle while its request is served.
func TestConnTrackerCrossing(t *testing.T) {
	for _, c := range []struct {
		name   string
		states []http.ConnState // before the idle connections are closed
		served bool
	}{
		{name: "first request", states: []http.ConnState{http.StateNew}, served: true},
		{name: "request being served", states: []http.ConnState{http.StateNew, http.StateIdle, http.StateActive}, served: true},
		{name: "request read after the close", states: []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}},
	} {
		t.Run(c.name, func(t *testing.T) {
			tracker := &connTracker{Logger: zerolog.Nop(), Timer: &timer.System{}}
			client, server := net.Pipe()
			defer func() { _ = client.Close() }()
			for _, state := range c.states {
				tracker.ConnState(server, state)
			}
			tracker.CloseIdle()
			tracker.ConnState(server, http.StateActive)
			served := false
			handler := tracker.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served = true }))
			request := httptest.NewRequestWithContext(tracker.ConnContext(t.Context(), server), http.MethodGet, "/", http.NoBody)
			func() {
				defer func() { assert.Equal(t, recover() == nil, c.served) }()
				handler.ServeHTTP(httptest.NewRecorder(), request)
			}()
			assert.Equal(t, served, c.served)
		})
	}
}

// Guards against a stop that ends while a first request may still come or a request is
// served, or that waits for connections without one.
func TestConnTrackerWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := &connTracker{Logger: zerolog.Nop(), Timer: &timer.System{}}
		first, second := &net.TCPConn{}, &net.TCPConn{}
		tracker.ConnState(first, http.StateNew)
		tracker.ConnState(second, http.StateActive)
		short, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.Assert(t, !tracker.Wait(short))
		tracker.ConnState(first, http.StateClosed)
		tracker.ConnState(second, http.StateIdle)
		assert.Assert(t, tracker.Wait(t.Context()))
	})
}

// Guards against a response that was cut and looks complete to its caller: without a
// length or chunks, which HTTP/1.0 does not have, it ends with its connection.
func TestConnTrackerCutResponse(t *testing.T) {
	for _, c := range []struct {
		version string
		cut     bool
		whole   bool
	}{
		{version: "1.0", cut: true},
		{version: "1.0", whole: true},
		{version: "1.1", cut: true},
		{version: "1.1", whole: true},
	} {
		t.Run(fmt.Sprintf("%s, cut %t", c.version, c.cut), func(t *testing.T) {
			tracker := &connTracker{Logger: zerolog.Nop(), Timer: &timer.System{}}
			server := httptest.NewUnstartedServer(tracker.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "part")
				_ = http.NewResponseController(w).Flush()
				if c.cut {
					panic(http.ErrAbortHandler)
				}
			})))
			server.Config.ConnContext, server.Config.ConnState = tracker.ConnContext, tracker.ConnState
			server.Start()
			defer server.Close()
			conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp4", server.Listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "GET / HTTP/%s\r\nHost: h\r\nConnection: close\r\n\r\n", c.version)
			assert.NilError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil {
				_, err = io.ReadAll(response.Body)
			}
			assert.Equal(t, err == nil, c.whole, "%v", err)
		})
	}
}
