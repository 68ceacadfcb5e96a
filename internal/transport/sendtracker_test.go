package transport_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/internal/transport"
)

// get sends one request to a listener and reports whether bytes of it left.
func get(t *testing.T, l net.Listener) (sent bool, err error) {
	t.Helper()
	client := transport.NewClient(nil)
	defer client.CloseIdleConnections()
	ctx, s := transport.TrackSend(t.Context())
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Addr().String(), strings.NewReader("body"))
	assert.NilError(t, err)
	r, err := client.Do(q)
	if err == nil {
		_ = r.Body.Close()
	}
	return s.Sent(), err
}

// Guards against a call that left the process and counts as not sent, and
// against the opposite.
func TestSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			_, err = io.ReadFull(c, make([]byte, 4)) // of "POST"
			_ = c.Close()
		}
		done <- err
	}()
	sent, err := get(t, l)
	assert.Assert(t, err != nil && sent)
	assert.NilError(t, <-done)
	assert.NilError(t, l.Close())
	sent, err = get(t, l)
	assert.Assert(t, err != nil && !sent)
}

// Guards against answers of any size or form that pass as JSON.
func TestReadJSON(t *testing.T) {
	large, garbage := &transport.ResponseTooLargeError{}, &transport.ProtocolError{}
	var v struct{ A int }
	assert.Assert(t, errors.As(transport.ReadJSON(strings.NewReader(`{"a":1}   `), 8, &v), &large))
	assert.Assert(t, errors.As(transport.ReadJSON(strings.NewReader(`{"a":1}x`), 9, &v), &garbage))
	assert.NilError(t, transport.ReadJSON(strings.NewReader(`{"a":1}`), 7, &v))
	assert.Equal(t, v.A, 1)
}
