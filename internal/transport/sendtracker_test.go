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

// get sends one request to a listener and reports whether any byte of it was
// sent.
func get(t *testing.T, l net.Listener) (sent bool, err error) {
	t.Helper()
	client := transport.NewClient(nil)
	defer client.CloseIdleConnections()
	ctx, tracker := transport.TrackSend(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Addr().String(), strings.NewReader("body"))
	assert.NilError(t, err)
	response, err := client.Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
	return tracker.Sent(), err
}

// Guards against a call that was sent and counts as not sent, and against the
// reverse.
func TestSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			_, err = io.ReadFull(c, make([]byte, 4)) // "POST"
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

// Guards against responses that are too large or invalid and are accepted as
// JSON.
func TestReadJSON(t *testing.T) {
	tooLarge, invalid := &transport.ResponseTooLargeError{}, &transport.ProtocolError{}
	var v struct{ A int }
	assert.Assert(t, errors.As(transport.ReadJSON(strings.NewReader(`{"a":1}   `), 8, &v), &tooLarge))
	assert.Assert(t, errors.As(transport.ReadJSON(strings.NewReader(`{"a":1}x`), 9, &v), &invalid))
	assert.NilError(t, transport.ReadJSON(strings.NewReader(`{"a":1}`), 7, &v))
	assert.Equal(t, v.A, 1)
}
