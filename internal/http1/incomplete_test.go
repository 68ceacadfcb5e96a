package http1_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/internal/http1"
	"github.com/persimmoncart/persimmoncart/internal/timer"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

const (
	// inlineSize is the largest request body that the client writes in one piece with the
	// header.
	inlineSize = 8 << 10
	// bufferedSize is the size of a request body that fits into the client's socket.
	bufferedSize = 200 << 10
	// longSize is the size of a request body that is still being written until the
	// endpoint reads it.
	longSize = 16 << 20
	// smallBuffer is a receive buffer that leaves most of a request in the client's socket.
	smallBuffer = 4 << 10
)

// A rawEndpoint is the endpoint's end of one TCP connection, which a test plays step by
// step. The channels are closed in the course of the exchange.
type rawEndpoint struct {
	*net.TCPConn

	closed chan struct{} // the endpoint has closed the connection
	done   chan struct{} // the client has read the end of the response
	header string        // fields of the response
	reader *bufio.Reader
	seen   chan struct{} // the client has read the first bytes of the response
	size   int           // of the request body
	wrote  chan struct{} // the client's last write has returned
}

// part writes a response without a length, the first bytes of its body included.
func (e *rawEndpoint) part() { _, _ = io.WriteString(e, "HTTP/1.1 200 OK\r\n"+e.header+"\r\npart") }

// readBody reads the request body.
func (e *rawEndpoint) readBody() { _, _ = io.CopyN(io.Discard, e.reader, int64(e.size)) }

// reset closes the connection with a reset.
func (e *rawEndpoint) reset() {
	_ = e.SetLinger(0)
	_ = e.Close()
}

// An observedConn is the client's end of a connection to a rawEndpoint.
type observedConn struct {
	*net.TCPConn

	last   error // of a read
	writes int   // writes until wrote is closed
	wrote  chan struct{}
}

// Read implements net.Conn.
func (c *observedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if err != nil && c.last == nil {
		c.last = err
	}
	return n, err
}

// Write implements net.Conn.
func (c *observedConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if c.writes--; c.writes == 0 {
		close(c.wrote)
	}
	return n, err
}

// report returns what the kernel reported at the end of the response.
func (c *observedConn) report() string {
	switch {
	case errors.Is(c.last, io.EOF):
		return "EOF"
	case errors.Is(c.last, syscall.ECONNRESET):
		return "ECONNRESET"
	default:
		return fmt.Sprint(c.last)
	}
}

// A hookedTimer is a system timer whose Sleep calls a function instead of waiting, and
// under which no call times out.
type hookedTimer struct {
	timer.System

	sleep func(ctx context.Context) error
}

// After implements persimmoncart.Timer.
func (*hookedTimer) After(time.Duration, func(time.Time)) (stop func()) { return func() {} }

// Sleep implements persimmoncart.Timer.
func (t *hookedTimer) Sleep(ctx context.Context, d time.Duration) error {
	if t.sleep == nil {
		return t.System.Sleep(ctx, d)
	}
	return t.sleep(ctx)
}

// listenRaw listens on loopback. Connections have a receive buffer of the given size;
// zero means the system's default.
func listenRaw(t *testing.T, buffer int) *net.TCPListener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		if buffer == 0 {
			return nil
		}
		var optionErr error
		err := raw.Control(func(fd uintptr) { optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, buffer) })
		return errors.Join(err, optionErr)
	}}
	l, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	return l.(*net.TCPListener)
}

// readRequestHead reads up to the end of a request's header.
func readRequestHead(r *bufio.Reader) error {
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return err
		}
		if len(line) == 2 {
			return nil
		}
	}
}

// Guards against a response that has no length and looks complete although its endpoint
// did not end it in order after it had read the request. The kernel reports a reset to
// one reader or writer only, and not at all after a FIN.
func TestResponseWithoutLength(t *testing.T) {
	const reset, eof, either = "ECONNRESET", "EOF", ""
	// gated makes the client's pauses last until the endpoint has closed the connection.
	gated := func(e *rawEndpoint, _ context.CancelFunc) func(context.Context) error {
		return func(context.Context) error {
			<-e.closed
			return nil
		}
	}
	for _, c := range []struct {
		name   string
		size   int // of the request body
		small  bool
		play   func(e *rawEndpoint)
		pause  func(e *rawEndpoint, cancel context.CancelFunc) func(context.Context) error
		report string // what the kernel reports to the reader
		whole  bool
	}{
		{name: "reset while the request is written", size: longSize, report: either, play: func(e *rawEndpoint) {
			e.part()
			<-e.seen
			e.reset()
		}},
		{name: "reset at once", size: longSize, report: either, play: func(e *rawEndpoint) {
			e.part()
			e.reset()
		}},
		{name: "reset, inline body unread", size: inlineSize, report: reset, play: func(e *rawEndpoint) {
			e.part()
			<-e.seen
			e.reset()
		}},
		{name: "reset, inline body read", size: inlineSize, report: reset, play: func(e *rawEndpoint) {
			e.readBody()
			e.part()
			<-e.seen
			e.reset()
		}},
		{name: "reset, body of 64 KB in the socket", size: 64 << 10, small: true, report: reset, play: func(e *rawEndpoint) {
			<-e.wrote
			e.part()
			<-e.seen
			e.reset()
		}},
		{name: "reset, body in the socket", size: bufferedSize, small: true, report: reset, play: func(e *rawEndpoint) {
			<-e.wrote
			e.part()
			<-e.seen
			e.reset()
		}},
		{name: "reset, body read", size: bufferedSize, report: reset, play: func(e *rawEndpoint) {
			e.readBody()
			e.part()
			<-e.seen
			e.reset()
		}},
		{name: "closed with the body in the socket", size: bufferedSize, small: true, report: reset, play: func(e *rawEndpoint) {
			<-e.wrote
			e.part()
			<-e.seen
		}},
		{name: "FIN and reset while the request is written", size: longSize, pause: gated, report: eof, play: func(e *rawEndpoint) {
			e.part()
			<-e.seen
			_ = e.CloseWrite()
		}},
		{name: "FIN and reset, inline body unread", size: inlineSize, pause: gated, report: eof, play: func(e *rawEndpoint) {
			e.part()
			_ = e.CloseWrite()
		}},
		{name: "FIN and reset, inline body in the socket", size: inlineSize, small: true, pause: gated, report: eof, play: func(e *rawEndpoint) {
			e.part()
			_ = e.CloseWrite()
		}},
		{name: "FIN and reset, body in the socket", size: bufferedSize, small: true, pause: gated, report: eof, play: func(e *rawEndpoint) {
			<-e.wrote
			e.part()
			_ = e.CloseWrite()
		}},
		{
			name: "FIN, body never read", size: bufferedSize, small: true, report: eof,
			pause: func(_ *rawEndpoint, cancel context.CancelFunc) func(context.Context) error {
				return func(ctx context.Context) error {
					cancel()
					return ctx.Err()
				}
			},
			play: func(e *rawEndpoint) {
				<-e.wrote
				e.part()
				_ = e.CloseWrite()
				<-e.done
			},
		},
		{name: "end, no body", report: eof, whole: true, play: func(e *rawEndpoint) { e.part() }},
		{name: "end, inline body", size: inlineSize, report: eof, whole: true, play: func(e *rawEndpoint) {
			e.readBody()
			e.part()
		}},
		{name: "end, concurrent body", size: bufferedSize, report: eof, whole: true, play: func(e *rawEndpoint) {
			e.readBody()
			e.part()
		}},
		{name: "end, long body", size: longSize, report: eof, whole: true, play: func(e *rawEndpoint) {
			e.readBody()
			e.part()
		}},
		{name: "FIN before the body is read", size: longSize, report: eof, whole: true, play: func(e *rawEndpoint) {
			e.part()
			_ = e.CloseWrite()
			e.readBody()
		}},
		// The endpoint's kernel has the request. That its process ends a response before it
		// reads it is not visible here until it closes the connection.
		{name: "FIN, inline body never read", size: inlineSize, report: eof, whole: true, play: func(e *rawEndpoint) {
			e.part()
			_ = e.CloseWrite()
			<-e.done
		}},
	} {
		for _, header := range []string{"", "Connection: close\r\n"} {
			t.Run(c.name+"/"+header, func(t *testing.T) {
				buffer := 0
				if c.small {
					buffer = smallBuffer
				}
				l := listenRaw(t, buffer)
				e := &rawEndpoint{
					closed: make(chan struct{}), done: make(chan struct{}), header: header, seen: make(chan struct{}), size: c.size, wrote: make(chan struct{}),
				}
				var serving sync.WaitGroup
				defer serving.Wait()
				serving.Go(func() {
					defer close(e.closed)
					conn, err := l.AcceptTCP()
					if err != nil {
						t.Error(err)
						return
					}
					defer func() { _ = conn.Close() }()
					e.TCPConn, e.reader = conn, bufio.NewReaderSize(conn, 16)
					if err := readRequestHead(e.reader); err != nil {
						t.Error(err)
						return
					}
					c.play(e)
				})
				defer func() { _ = l.Close() }()
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				ticks := &hookedTimer{}
				if c.pause != nil {
					ticks.sleep = c.pause(e, cancel)
				}
				observed := &observedConn{wrote: e.wrote, writes: 1}
				if c.size > inlineSize {
					observed.writes = 2 // the header, the body
				}
				client := &http1.Client{Timer: ticks, Dial: func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
					conn, err := transport.DialKeepAlive(ctx, addr)
					if err != nil {
						return nil, err
					}
					observed.TCPConn = conn.(*net.TCPConn)
					return observed, observed.SetWriteBuffer(4 * bufferedSize)
				}}
				defer close(e.done)
				response, err := client.Do(ctx, l.Addr().(*net.TCPAddr).AddrPort(), &http1.Request{
					Body: make([]byte, c.size), Header: http.Header{}, Host: "h", Method: http.MethodPost, Target: "/",
				})
				if err != nil {
					close(e.seen)
					assert.Assert(t, c.report == either, "%v", err)
					return
				}
				defer func() { _ = response.Body.Close() }()
				start := make([]byte, 2)
				_, err = io.ReadFull(response.Body, start)
				close(e.seen)
				if err == nil {
					var rest []byte
					rest, err = io.ReadAll(response.Body)
					assert.Equal(t, string(start)+string(rest), "part")
				}
				assert.Equal(t, err == nil, c.whole, "%v", err)
				if c.report != either {
					assert.Equal(t, observed.report(), c.report)
				}
				t.Logf("kernel: %s, client: %v", observed.report(), err)
				n, again := response.Body.Read(make([]byte, 8))
				assert.Equal(t, n, 0)
				assert.Equal(t, errors.Is(again, io.EOF), c.whole, "read again: %v", again)
			})
		}
	}
}

// Guards against a response without a length that is never complete because its
// connection has no TCP state.
func TestResponseWithoutLengthOverUnixSocket(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "unix", filepath.Join(t.TempDir(), "s"))
	assert.NilError(t, err)
	var serving sync.WaitGroup
	serving.Go(func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		if readRequestHead(bufio.NewReader(conn)) == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
		}
		_ = conn.Close()
	})
	client := &http1.Client{Timer: &hookedTimer{}, Dial: func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", l.Addr().String())
	}}
	response, err := client.Do(t.Context(), addr, &http1.Request{Header: http.Header{}, Host: "h", Method: http.MethodGet, Target: "/"})
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "whole")
	assert.NilError(t, response.Body.Close())
	assert.NilError(t, l.Close())
	serving.Wait()
}
