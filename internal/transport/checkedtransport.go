package transport

import (
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// maxStatus is the highest status of HTTP.
const maxStatus = 599

// A checkedTransport is an http.Transport whose calls fail with a *ProtocolError if the
// final response has a status that HTTP does not have, or 101: no call asks for another
// protocol, and net/http lets the bytes of one go on after the end of the call's context.
type checkedTransport struct {
	*http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t *checkedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body != nil && r.Body != http.NoBody {
		r = r.WithContext(httptrace.WithClientTrace(r.Context(), traceWrite()))
	}
	response, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if status := response.StatusCode; status < http.StatusOK || status > maxStatus {
		_ = response.Body.Close() // closes the connection unless the body has ended
		return nil, errors.Wrap(NewProtocolError("invalid status", []byte(response.Status)), "check response")
	}
	return response, nil
}

// A requestWrite is the write of one request with a body.
type requestWrite struct {
	complete atomic.Bool
	done     chan struct{} // closed at its end, or when its connection is closed
	once     sync.Once     // closes done
}

// end ends the write.
func (w *requestWrite) end(complete bool) {
	w.once.Do(func() {
		w.complete.Store(complete)
		close(w.done)
	})
}

// traceWrite returns functions for net/http, which tell the connection of each attempt of
// a call that a request is written on it.
func traceWrite() *httptrace.ClientTrace {
	var current atomic.Pointer[requestWrite]
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			w := &requestWrite{done: make(chan struct{})}
			current.Store(w)
			if c := countingConnOf(info.Conn); c != nil {
				c.request.Store(w)
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) { current.Load().end(info.Err == nil) },
	}
}
