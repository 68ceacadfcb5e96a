package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// draft is a request for a stream of 100 tokens, which takes about two seconds.
const draft = `{"model":"hull-llm","prompt":"p","max_tokens":100,"stream":true}`

// do sends one request to the instance in use: a POST, or a GET if body is empty.
func (f *fleet) do(ctx context.Context, t *testing.T, path, body string) (*http.Response, error) {
	t.Helper()
	method := http.MethodGet
	if body != "" {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://entry"+path, strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer key")
	return f.client.Do(request)
}

// Guards against an instance whose parts are not connected to each other.
func TestInstanceServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		for path, want := range map[string]string{"/healthz": "ok\n", "/readyz": "ready\n"} {
			response, err := f.do(t.Context(), t, path, "")
			assert.NilError(t, err)
			assert.Equal(t, read(t, response), want)
		}
		response, err := f.do(t.Context(), t, "/v1/completions", draft)
		assert.NilError(t, err)
		text := read(t, response)
		assert.Equal(t, strings.Count(text, `"index":0`), 100)
		assert.Assert(t, strings.HasSuffix(text, "data: [DONE]\n\n"))
		assert.NilError(t, f.stop())
	})
}

// Guards against a planned stop that truncates a stream, does not wait until the load
// balancer has noticed it, or does not end once nothing is in flight.
func TestInstanceStopsGracefully(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		time.Sleep(time.Second)
		response, err := f.do(t.Context(), t, "/v1/completions", draft) // still streams when the stop begins
		assert.NilError(t, err)
		begin := time.Now()
		f.cancel()
		time.Sleep(500 * time.Millisecond)
		ready, err := f.do(t.Context(), t, "/readyz", "")
		assert.NilError(t, err)
		assert.Equal(t, ready.StatusCode, http.StatusServiceUnavailable)
		read(t, ready)
		late, err := f.do(t.Context(), t, "/v1/completions", draft) // before the load balancer has noticed
		assert.NilError(t, err)
		assert.Assert(t, late.Close)
		assert.Equal(t, strings.Count(read(t, response), `"index":0`), 100)
		assert.Equal(t, strings.Count(read(t, late), `"index":0`), 100)
		assert.NilError(t, <-f.done)
		assert.Assert(t, time.Since(begin) < 5*time.Second, "%s", time.Since(begin))
		f.done <- nil
		assert.NilError(t, f.stop())
	})
}

// Guards against a request that is dropped without a response because its connection
// was accepted just before the listener closed and the request arrived after that.
func TestInstanceStopAnswersNewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		connection, err := f.client.Transport.(*http.Transport).DialContext(t.Context(), "", "")
		assert.NilError(t, err)
		f.cancel()
		time.Sleep(2 * time.Second) // longer than the grace time, after which the listener closes
		request := "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n%s"
		_, err = fmt.Fprintf(connection, request, len(draft), draft)
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		assert.NilError(t, err)
		assert.Equal(t, strings.Count(read(t, response), `"index":0`), 100)
		connection.Close()
		assert.NilError(t, <-f.done)
		f.done <- nil
		assert.NilError(t, f.stop())
	})
}

// Guards against a kept connection that is closed at the end of a response which had not
// announced it, while the instance still waits for first requests: the next request of its
// caller would be lost.
func TestInstanceStopKeepsConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		time.Sleep(time.Second)
		dial := func() net.Conn {
			c, err := f.client.Transport.(*http.Transport).DialContext(t.Context(), "", "")
			assert.NilError(t, err)
			return c
		}
		kept, unused := dial(), dial()
		reader := bufio.NewReader(kept)
		request := "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n%s"
		_, err := fmt.Fprintf(kept, request, len(draft), draft)
		assert.NilError(t, err)
		first, err := http.ReadResponse(reader, nil) // begins before the stop
		assert.NilError(t, err)
		f.cancel()
		time.Sleep(1500 * time.Millisecond) // the listener is closed
		assert.Equal(t, strings.Count(read(t, first), `"index":0`), 100)
		assert.Assert(t, !first.Close)
		_, err = fmt.Fprintf(kept, request, len(draft), draft)
		assert.NilError(t, err)
		second, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		assert.Assert(t, second.Close)
		assert.Equal(t, strings.Count(read(t, second), `"index":0`), 100)
		kept.Close()
		unused.Close()
		assert.NilError(t, <-f.done)
		f.done <- nil
		assert.NilError(t, f.stop())
	})
}

// Guards against memory that is not released when a caller disconnects.
func TestInstanceCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		ctx, cancel := context.WithCancel(t.Context())
		response, err := f.do(ctx, t, "/v1/completions", draft)
		assert.NilError(t, err)
		_, err = bufio.NewReader(response.Body).ReadString('\n')
		assert.NilError(t, err)
		assert.Assert(t, len(f.heldWork(t)) > 0)
		cancel()
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, len(f.heldWork(t)), 0)
		assert.NilError(t, f.stop())
	})
}

// Guards against requests that stay in flight because their callers send or read
// slowly.
func TestInstanceSlowCallers(t *testing.T) {
	tests := map[string]struct {
		send string
		read bool
	}{
		"header":  {send: "POST /v1/completions HTTP/1.1\r\nHost: entry\r\n", read: true},
		"body":    {send: "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer key\r\nContent-Length: 100\r\n\r\n{", read: true},
		"reading": {send: fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n%s", len(draft), draft)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				connection, err := f.client.Transport.(*http.Transport).DialContext(t.Context(), "", "")
				assert.NilError(t, err)
				_, err = io.WriteString(connection, test.send)
				assert.NilError(t, err)
				if test.read {
					go io.Copy(io.Discard, connection)
				}
				time.Sleep(20 * time.Second)
				assert.Equal(t, len(f.heldWork(t)), 0)
				begin := time.Now()
				f.cancel()
				assert.NilError(t, <-f.done)
				assert.Assert(t, time.Since(begin) < 2*time.Second, "the caller still occupied the instance")
				connection.Close()
				f.done <- nil
				assert.NilError(t, f.stop())
			})
		})
	}
}

// read returns the whole body of a response.
func read(t *testing.T, response *http.Response) string {
	t.Helper()
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return string(data)
}
