package http1

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxHeaderSize bounds the header of one answer, bytes.
	maxHeaderSize = 64 << 10
	// readBufferSize is the size of a connection's read buffer, bytes.
	readBufferSize = 4 << 10
	// maxMismatched is how many answers to other requests are dropped before a
	// connection is given up.
	maxMismatched = 4
	// maxMismatchedBody bounds the body of a dropped answer.
	maxMismatchedBody = 1 << 20
	// maxInlineBody is the largest body that is written before the answer is read.
	// Longer ones are written beside it, because an endpoint may answer early.
	maxInlineBody = 8 << 10
)

// A MismatchedResponseError reports a connection that gave only answers to other requests.
type MismatchedResponseError struct {
	Addr netip.AddrPort
}

// Error implements error.
func (e *MismatchedResponseError) Error() string {
	return "connection to " + e.Addr.String() + " answers other requests"
}

// A Response is an answer whose header has arrived. Reads of its Body fail
// with io.ErrUnexpectedEOF if the endpoint breaks off.
type Response struct {
	Body   io.ReadCloser
	Header http.Header
	Status int
}

// A conn is one connection. It carries one request at a time.
type conn struct {
	addr       netip.AddrPort
	client     *Client
	closed     atomic.Bool
	expires    time.Time // when it is no longer used
	limited    io.LimitedReader
	mismatched bool // an answer to another request has arrived on it
	network    net.Conn
	reader     *bufio.Reader
}

// newConn returns a conn on an open connection.
func newConn(c *Client, addr netip.AddrPort, n net.Conn) *conn {
	k := &conn{addr: addr, client: c, network: n}
	k.limited = io.LimitedReader{R: n, N: math.MaxInt64}
	k.reader = bufio.NewReaderSize(&k.limited, readBufferSize)
	return k
}

// clean reports whether an idle connection is open and nothing has arrived on it.
func (k *conn) clean() bool {
	return k.reader.Buffered() == 0 && socketClean(k.network)
}

// close closes the connection.
func (k *conn) close() {
	if k.closed.CompareAndSwap(false, true) {
		_ = k.network.Close() // nothing depends on the last bytes
	}
}

// roundTrip sends a request and reads the header of its answer.
func (k *conn) roundTrip(ctx context.Context, r *Request) (*Response, error) {
	// A deadline in the past ends reads and writes when ctx ends.
	stop := context.AfterFunc(ctx, func() { _ = k.network.SetDeadline(time.Unix(1, 0)) })
	written, err := k.send(r)
	if err != nil {
		stop()
		return nil, err
	}
	answer, err := k.readResponse(r) //nolint:bodyclose // the Response's body closes the connection
	if err != nil {
		stop()
		return nil, err
	}
	idle, reuse := idleTimeout(answer)
	b := &body{conn: k, ctx: ctx, idle: idle, reader: answer.Body, reuse: reuse && !k.mismatched, stop: stop, written: written}
	if answer.ContentLength == 0 || r.Method == http.MethodHead {
		b.finish()
	}
	return &Response{Body: b, Header: answer.Header, Status: answer.StatusCode}, nil
}

// send writes the request. The channel reports whether the whole body has been
// written.
func (k *conn) send(r *Request) (<-chan bool, error) {
	head := encodeHead(r)
	written := make(chan bool, 1)
	if len(r.Body) <= maxInlineBody {
		n, err := k.network.Write(append(head, r.Body...))
		if err != nil {
			return nil, k.writeError(n, err)
		}
		written <- true
		return written, nil
	}
	if n, err := k.network.Write(head); err != nil {
		return nil, k.writeError(n, err)
	}
	go func() {
		_, err := k.network.Write(r.Body)
		written <- err == nil
	}()
	return written, nil
}

// writeError returns the error of a write of which n bytes were taken.
func (k *conn) writeError(n int, err error) error {
	if n == 0 {
		return &NotSentError{Addr: k.addr, Err: err}
	}
	return errors.Wrap(err, "write request")
}

// readResponse reads the header of the readResponse to r and drops answers to others.
func (k *conn) readResponse(r *Request) (*http.Response, error) {
	for range maxMismatched {
		k.limited.N = maxHeaderSize
		answer, err := http.ReadResponse(k.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		k.limited.N = math.MaxInt64
		if answer.StatusCode < http.StatusOK && answer.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if r.Matches == nil || r.Matches(answer.Header) {
			return answer, nil
		}
		k.mismatched = true
		n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxMismatchedBody))
		if err != nil || n == maxMismatchedBody || answer.Close {
			break
		}
	}
	return nil, &MismatchedResponseError{Addr: k.addr}
}

// encodeHead returns the request line and header.
func encodeHead(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = r.Header.Write(&b) // a bytes.Buffer takes every write
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// idleTimeout returns how long the connection may be idle after an answer, and
// whether it may be used again at all.
func idleTimeout(answer *http.Response) (time.Duration, bool) {
	if answer.Close {
		return 0, false
	}
	for part := range strings.SplitSeq(answer.Header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil {
			continue // a time that cannot be read counts as none
		}
		named := time.Duration(seconds) * time.Second
		return max(named-idleMargin, named/2), true
	}
	return defaultIdleTimeout, true
}

// A body reads an answer's body and returns the connection after its end.
type body struct {
	closed  bool // before its end
	conn    *conn
	ctx     context.Context //nolint:containedctx // io.Reader has no context
	done    bool
	idle    time.Duration
	mutex   sync.Mutex // Close may be called during Read
	reader  io.ReadCloser
	reuse   bool
	stop    func() bool
	written <-chan bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	b.mutex.Lock()
	done, closed := b.done, b.closed
	b.mutex.Unlock()
	switch {
	case closed:
		return 0, errors.Wrap(net.ErrClosed, "read body") // not the end of the answer
	case done:
		return 0, io.EOF
	}
	n, err := b.reader.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		b.finish()
		return n, io.EOF
	case b.ctx.Err() != nil:
		return n, errors.Wrap(b.ctx.Err(), "read body")
	default:
		return n, errors.Wrap(err, "read body")
	}
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.done {
		b.done, b.closed = true, true
		b.stop()
		b.conn.close()
	}
	return nil
}

// finish returns the connection if the whole exchange has ended cleanly.
func (b *body) finish() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.done {
		return
	}
	b.done = true
	whole := false
	select {
	case whole = <-b.written:
	default: // the endpoint answered before it read the body
	}
	if b.stop() && whole && b.reuse && b.conn.reader.Buffered() == 0 {
		b.conn.client.put(b.conn, b.idle)
		return
	}
	b.conn.close()
}
