package http1_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/internal/http1"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

var addr = netip.MustParseAddrPort("127.0.0.1:1")

// end at the end of a script's text makes the endpoint close the connection.
const end = "<end>"

// A script is a fake endpoint: for each connection, the text that it writes after
// each request.
type script [][]string

// dial returns a function that opens the next connection of the script and counts
// the requests on it.
func (s script) dial(requests *int) func(context.Context, netip.AddrPort) (net.Conn, error) {
	next := 0
	return func(context.Context, netip.AddrPort) (net.Conn, error) {
		if next == len(s) {
			return nil, errors.New("refused")
		}
		texts := s[next]
		next++
		client, server := net.Pipe()
		go func() {
			defer func() { _ = server.Close() }()
			r := bufio.NewReader(server)
			for _, text := range texts {
				q, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, q.Body)
				*requests++
				text, last := strings.CutSuffix(text, end)
				if _, err := io.WriteString(server, text); err != nil || last {
					return
				}
			}
		}()
		return client, nil
	}
}

// reply returns a response to the request with the given identifier.
func reply(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// get sends a request with the given identifier and reads its response.
func get(ctx context.Context, c *http1.Client, id string) (string, error) {
	response, err := c.Do(ctx, addr, &http1.Request{
		Body: []byte("b"), Header: http.Header{"Id": {id}}, Host: "h", Method: http.MethodPost,
		Matches: func(h http.Header) bool { return h.Get("Id") == id }, Target: "/%2f?x",
	})
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	b, err := io.ReadAll(response.Body)
	return string(b), err
}

// Guards against reusing a connection with unread bytes, and against returning the
// response to another request.
func TestConnections(t *testing.T) {
	for _, c := range []struct {
		name     string
		script   script
		want     []string // bodies of the responses, or "!" for an error
		opened   uint64
		requests int
	}{
		{name: "kept", script: script{{reply("0", "a"), reply("1", "b")}}, want: []string{"a", "b"}, opened: 1, requests: 2},
		{
			name: "closed by the endpoint", opened: 2, requests: 2, want: []string{"a", "b"},
			script: script{{strings.Replace(reply("0", "a"), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)}, {reply("1", "b")}},
		},
		{name: "extra bytes after the answer", script: script{{reply("0", "a") + "junk"}, {reply("1", "b")}}, want: []string{"a", "b"}, opened: 2, requests: 2},
		{name: "extra answer after the answer", script: script{{reply("0", "a") + reply("0", "a")}, {reply("1", "b")}}, want: []string{"a", "b"}, opened: 2, requests: 2},
		{name: "answer to another first", script: script{{reply("x", "no") + reply("0", "a")}, {reply("1", "b")}}, want: []string{"a", "b"}, opened: 2, requests: 2},
		{name: "only answers to others", script: script{{strings.Repeat(reply("x", "no"), 9)}}, want: []string{"!"}, opened: 1, requests: 1},
		{name: "broken off", script: script{{"HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 9\r\n\r\nab" + end}}, want: []string{"!"}, opened: 1, requests: 1},
		{name: "no answer", script: script{{end}}, want: []string{"!"}, opened: 1, requests: 1},
		{name: "no HTTP", script: script{{"\x00\x01\r\n\r\n"}}, want: []string{"!"}, opened: 1, requests: 1},
		{name: "interim answer", script: script{{"HTTP/1.1 103 Early Hints\r\n\r\n" + reply("0", "a")}}, want: []string{"a"}, opened: 1, requests: 1},
		{name: "without a length", script: script{{"HTTP/1.1 200 OK\r\nId: 0\r\n\r\nab" + end}}, want: []string{"ab"}, opened: 1, requests: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				requests := 0
				client := &http1.Client{Dial: c.script.dial(&requests), Timer: &timer.System{}}
				defer client.CloseIdle(addr)
				for n, want := range c.want {
					got, err := get(t.Context(), client, fmt.Sprint(n))
					if want == "!" {
						assert.Assert(t, err != nil)
						continue
					}
					assert.NilError(t, err)
					assert.Equal(t, got, want)
				}
				synctest.Wait()
				assert.Equal(t, client.Opened(), c.opened)
				assert.Equal(t, requests, c.requests)
			})
		})
	}
}

// Guards against a NotSentError for a request that may have run: only a failed
// connection, or a first write of zero bytes, proves that nothing was sent.
func TestNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		requests := 0
		client := &http1.Client{Dial: script{{end}}.dial(&requests), Timer: &timer.System{}}
		_, err := get(t.Context(), client, "0")
		unsent := (*http1.NotSentError)(nil)
		assert.Assert(t, !errors.As(err, &unsent), "%v", err)
		_, err = get(t.Context(), client, "1") // the script has no further connection
		assert.Assert(t, errors.As(err, &unsent), "%v", err)
		assert.Equal(t, requests, 1)
	})
}

// Guards against sending a request while the endpoint closes the idle connection.
func TestIdleTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		requests := 0
		kept := strings.Replace(reply("0", "a"), "\r\n\r\n", "\r\nKeep-Alive: timeout=2\r\n\r\n", 1)
		client := &http1.Client{Dial: script{{kept, reply("1", "b")}, {reply("1", "b")}}.dial(&requests), Timer: &timer.System{}}
		_, err := get(t.Context(), client, "0")
		assert.NilError(t, err)
		time.Sleep(1500 * time.Millisecond)
		_, err = get(t.Context(), client, "1")
		assert.NilError(t, err)
		assert.Equal(t, client.Opened(), uint64(2))
		client.CloseIdle(addr)
	})
}

// Guards against waiting beyond the end of the context for an endpoint that does
// not respond, and against keeping its connection.
func TestContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &http1.Client{Timer: &timer.System{}, Dial: func(context.Context, netip.AddrPort) (net.Conn, error) {
			c, server := net.Pipe()
			go func() {
				_, _ = io.Copy(io.Discard, server) // until the client closes
				_ = server.Close()
			}()
			return c, nil
		}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		started := time.Now()
		_, err := get(ctx, client, "0")
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, time.Since(started), time.Second)
	})
}

// Guards against a body that looks complete to its reader after an early close.
func TestReadAfterClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		requests := 0
		client := &http1.Client{Dial: script{{"HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 9\r\n\r\nab", reply("1", "b")}}.dial(&requests), Timer: &timer.System{}}
		response, err := client.Do(t.Context(), addr, &http1.Request{Header: http.Header{}, Host: "h", Method: http.MethodGet, Target: "/"})
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		_, err = response.Body.Read(make([]byte, 8))
		assert.ErrorIs(t, err, net.ErrClosed)
	})
}

// Guards against a status that the protocol does not have, and that reaches a caller or
// counts as interim, so that its body is read as the next response.
func TestStatus(t *testing.T) {
	const body = "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 4\r\n\r\nfake"
	line := func(status string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nId: 0\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}
	type expectation struct {
		body   string // of the response; empty for an error
		status int
	}
	cases := map[string]expectation{
		"HTTP/1.1 100 Continue\r\n\r\n" + reply("0", "a"):                                        {body: "a", status: 200},
		"HTTP/1.1 100\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + reply("0", "a"):      {body: "a", status: 200},
		"HTTP/1.1 102 Processing\r\nContent-Length: 5\r\n\r\n" + reply("0", "a"):                 {body: "a", status: 200},
		"HTTP/1.1 199 x\r\nTransfer-Encoding: chunked\r\n\r\n" + reply("0", "a"):                 {body: "a", status: 200},
		"HTTP/1.1 100 Continue\r\n\r\nab\r\n":                                                    {},
		"HTTP/1.1 101 Switching Protocols\r\n\r\n" + reply("0", "a"):                             {},
		"HTTP/1.1 101 x\r\nConnection: upgrade\r\nUpgrade: x\r\nId: 0\r\n\r\n" + reply("0", "a"): {},
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 101 x\r\nId: 0\r\n\r\n" + reply("0", "a"):         {},
		strings.Replace(reply("0", "a"), "200 OK", "200", 1):                                     {body: "a", status: 200},
		strings.Replace(reply("0", "a"), "200 OK", "299 x", 1):                                   {body: "a", status: 299},
		strings.Replace(reply("0", "a"), "200 OK", "418 x", 1):                                   {body: "a", status: 418},
		strings.Replace(reply("0", "a"), "200 OK", "599 x", 1):                                   {body: "a", status: 599},
		strings.Replace(reply("0", "a"), "HTTP/1.1 200 OK", "HTTP/1.1", 1):                       {},
		strings.Replace(reply("0", "a"), "HTTP/1.1 200 OK", "200 OK", 1):                         {},
		strings.Replace(reply("0", "a"), "HTTP/1.1 200 OK", "HTTP/1.1 ", 1):                      {},
		strings.Replace(reply("0", "a"), "HTTP/1.1 200 OK", "HTTP/1.1 OK", 1):                    {},
		strings.Replace(reply("0", "a"), "HTTP/1.1 200 OK", "HTTP/1.1 200\tOK", 1):               {},
	}
	for _, status := range []string{
		"000", "000 OK", "001 OK", "020 OK", "099 OK", "600 OK", "666 OK", "700 OK", "899 OK", "999 OK", "+20 OK", "-20 OK", "+00 OK", "-00 OK", "2 0 OK",
		"2000 OK", "1000 OK", "0200 OK", "20 OK", "99 OK", "2 OK", "0x2 OK", "2e2 OK", "abc OK", "20O OK", "\u0662\u0660\u0660 OK", "200.0 OK", "-1 OK",
	} {
		cases[line(status)] = expectation{}
	}
	for response, want := range cases {
		name, _, _ := strings.Cut(response, "\r\n")
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				requests := 0
				client := &http1.Client{Dial: script{{response, reply("1", "b")}, {reply("1", "b")}}.dial(&requests), Timer: &timer.System{}}
				defer client.CloseIdle(addr)
				request := &http1.Request{
					Header: http.Header{}, Host: "h", Matches: func(h http.Header) bool { return h.Get("Id") == "0" }, Method: http.MethodPost, Target: "/",
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				response, err := client.Do(ctx, addr, request)
				if err == nil {
					defer func() { _ = response.Body.Close() }()
				}
				if want.body == "" {
					unsent := (*http1.NotSentError)(nil)
					assert.Assert(t, err != nil && !errors.As(err, &unsent), "%v", err)
					assert.NilError(t, ctx.Err(), "the connection was kept")
				} else {
					assert.NilError(t, err)
					assert.Equal(t, response.Status, want.status)
					b, err := io.ReadAll(response.Body)
					assert.NilError(t, err)
					assert.Equal(t, string(b), want.body)
				}
				got, err := get(ctx, client, "1")
				assert.NilError(t, err)
				assert.Equal(t, got, "b")
				assert.Equal(t, client.Opened(), map[bool]uint64{true: 2, false: 1}[want.body == ""])
			})
		})
	}
}

// Guards against a body that was cut and looks complete to whoever reads on after the
// error.
func TestReadAfterFailure(t *testing.T) {
	for name, response := range map[string]string{
		"with a length": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab" + end,
		"in chunks":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nab" + end,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				requests := 0
				client := &http1.Client{Dial: script{{response}}.dial(&requests), Timer: &timer.System{}}
				response, err := client.Do(t.Context(), addr, &http1.Request{Header: http.Header{}, Host: "h", Method: http.MethodGet, Target: "/"})
				assert.NilError(t, err)
				defer func() { _ = response.Body.Close() }()
				_, err = io.ReadAll(response.Body)
				assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
				n, err := response.Body.Read(make([]byte, 8))
				assert.Equal(t, n, 0)
				assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
			})
		})
	}
}

// Guards against an endpoint that takes the rest of a long body for the next
// request: it may respond before it has read the body.
func TestEarlyResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		closed := make(chan struct{}) // the client has read and closed the response
		client := &http1.Client{Timer: &timer.System{}, Dial: func(context.Context, netip.AddrPort) (net.Conn, error) {
			c, server := net.Pipe()
			go func() {
				defer func() { _ = server.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
					return
				}
				_, _ = io.WriteString(server, reply("0", "early"))
				<-closed                           // the rest of the body is unwritten until then
				_, _ = io.Copy(io.Discard, server) // ends only if the client closed the connection
			}()
			return c, nil
		}}
		response, err := client.Do(t.Context(), addr, &http1.Request{
			Body: bytes.Repeat([]byte("x"), 1<<20), Header: http.Header{}, Host: "h", Method: http.MethodPost, Target: "/",
		})
		assert.NilError(t, err)
		b, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(b), "early")
		assert.NilError(t, response.Body.Close())
		close(closed)
		synctest.Wait()
	})
}

// A resetConn is a connection whose peer reads the header of a request, responds and
// resets the connection: the write of the body fails, after which reads return io.EOF.
type resetConn struct {
	net.Conn

	failed   chan struct{} // closed when the write of the body has failed
	response io.Reader
	wrote    bool // the header was written
}

func (*resetConn) Close() error                { return nil }
func (*resetConn) SetDeadline(time.Time) error { return nil }

func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.response.Read(p)
	if err != nil {
		<-c.failed
	}
	return n, err
}

func (c *resetConn) Write(p []byte) (int, error) {
	if c.wrote {
		defer close(c.failed)
		return 0, errors.New("connection reset")
	}
	c.wrote = true
	return len(p), nil
}

// Guards against a response that looks complete although the endpoint reset the
// connection: it has no length, and the concurrent write of a long request body takes
// the error of the reset.
func TestResetDuringRequestBody(t *testing.T) {
	for _, c := range []struct {
		name   string
		header string
		ok     bool
	}{
		{name: "until the connection ends"},
		{name: "with a length", header: "Content-Length: 2\r\n", ok: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := &http1.Client{Timer: &timer.System{}, Dial: func(context.Context, netip.AddrPort) (net.Conn, error) {
				return &resetConn{failed: make(chan struct{}), response: strings.NewReader("HTTP/1.1 200 OK\r\n" + c.header + "\r\nab")}, nil
			}}
			response, err := client.Do(t.Context(), addr, &http1.Request{
				Body: make([]byte, 1<<20), Header: http.Header{}, Host: "h", Method: http.MethodPost, Target: "/",
			})
			assert.NilError(t, err)
			defer func() { _ = response.Body.Close() }()
			_, err = io.ReadAll(response.Body)
			assert.Equal(t, err == nil, c.ok, "%v", err)
		})
	}
}
