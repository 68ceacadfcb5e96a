package inbound

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/pipe"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// bodyLimit is the largest body of a fixture's handlers, bytes.
const bodyLimit = 4 * megabyte

// A fixture is a protected server and its clients, which are connected in memory: the
// kernel holds no bytes.
type fixture struct {
	Guard   *Guard
	Handler http.HandlerFunc // nil means to read the body and to respond with its length
	Limits  persimmoncart.ForwardLimits
	Served  int // requests that were passed to Handler

	checks, callers *pipe.Listener
	servers         []*http.Server
	t               *testing.T
}

// withFixture runs a test in virtual time with a server on a machine with the given memory,
// and checks that everything is given back at its end.
func withFixture(t *testing.T, memory int64, descriptors int, test func(t *testing.T, f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		clock := &timer.System{}
		f := &fixture{
			Limits:  persimmoncart.ForwardLimits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second, MaxHeaderBytes: 16 << 10},
			callers: pipe.NewListener(), checks: pipe.NewListener(), t: t,
		}
		f.Guard = &Guard{
			Budget: NewBudget(memory, clock), Descriptors: descriptors, Limits: func() persimmoncart.ForwardLimits { return f.Limits }, Timer: clock,
		}
		for _, protect := range []func(*http.Server) net.Listener{
			func(s *http.Server) net.Listener { return f.Guard.Callers(s, f.callers) },
			func(s *http.Server) net.Listener { return f.Guard.Checks(s, f.checks, "ready") },
		} {
			s := &http.Server{Handler: http.HandlerFunc(f.serve), IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 64 << 10, ReadHeaderTimeout: 5 * time.Second}
			l := protect(s)
			f.servers = append(f.servers, s)
			go func() { _ = s.Serve(l) }() // returns when the server is closed
		}
		func() {
			defer f.close()
			test(t, f)
		}()
		f.Guard.Budget.mutex.Lock()
		defer f.Guard.Budget.mutex.Unlock()
		assert.Equal(t, f.Guard.Budget.held, bytesByKind{})
		assert.Equal(t, f.Guard.Budget.cutting, bytesByKind{})
		assert.Equal(t, len(f.Guard.Budget.holds), 0)
	})
}

// close closes the servers and waits until what they do has ended.
func (f *fixture) close() {
	for _, s := range f.servers {
		_ = s.Close()
	}
	f.callers.CloseAll()
	f.checks.CloseAll()
	time.Sleep(10 * time.Second)
}

// serve passes a request to Handler.
func (f *fixture) serve(w http.ResponseWriter, r *http.Request) {
	f.Served++
	if f.Handler != nil {
		f.Handler(w, r)
		return
	}
	body, ok := readBody(w, r)
	if ok {
		_, _ = io.WriteString(w, strings.Repeat("x", min(len(body), 100)))
	}
}

// readBody reads the body of a request, or writes its refusal and reports false.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	q := NewRequest(r.Context())
	defer q.Close()
	body, err := q.ReadBody(w, r, bodyLimit, time.Now().Add(time.Minute))
	if err == nil {
		return body, true
	}
	code := err.(*persimmoncart.Refusal).Code //nolint:errorlint // ReadBody returns nothing else
	LeaveBody(w, r, code == persimmoncart.RefusalMemory || code == persimmoncart.RefusalProgress)
	w.Header().Set("X-Code", string(code))
	w.WriteHeader(http.StatusServiceUnavailable)
	return nil, false
}

// dial connects to the listener of callers.
func (f *fixture) dial() *testClient { return f.dialTo(f.callers) }

// dialTo connects to a listener.
func (f *fixture) dialTo(l *pipe.Listener) *testClient {
	f.t.Helper()
	conn, err := l.Dial(context.Background(), "", "")
	assert.NilError(f.t, err)
	return &testClient{Conn: conn, reader: bufio.NewReaderSize(conn, 16), t: f.t}
}

// A testClient is a connection of a client.
type testClient struct {
	net.Conn

	reader *bufio.Reader
	t      *testing.T
}

// send sends text in the background: a connection in memory takes only what is read.
func (c *testClient) send(text string) {
	go func() { _, _ = io.WriteString(c.Conn, text) }() // fails when the server closes the connection
	synctest.Wait()
}

// response reads a response with its body.
func (c *testClient) response() *http.Response {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	assert.NilError(c.t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(c.t, err)
	assert.NilError(c.t, response.Body.Close())
	return response
}

// closed reports whether the server has closed the connection.
func (c *testClient) closed() bool {
	c.t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond)) // fails on a closed connection
	sent, err := io.ReadAll(c.reader)
	assert.Equal(c.t, string(sent), "")
	_ = c.SetReadDeadline(time.Time{})
	return err == nil || !isTimeout(err)
}

// A request with a body of the given length.
func post(length string) string {
	return "POST /x HTTP/1.1\r\nHost: x\r\n" + length + "\r\n\r\n"
}
