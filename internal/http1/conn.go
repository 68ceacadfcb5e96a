package http1

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart/internal/transport"
)

const (
	// maxHeaderSize bounds the header of one response, bytes.
	maxHeaderSize = 64 << 10
	// readBufferSize is the size of a connection's read buffer, bytes.
	readBufferSize = 4 << 10
	// maxMismatched is the number of responses read for one request, interim ones
	// included. If none of them matches, the connection is closed.
	maxMismatched = 4
	// maxMismatchedBody bounds the body of a dropped response, bytes. If it is
	// reached, the connection is closed.
	maxMismatchedBody = 1 << 20
	// maxInlineBody is the size in bytes up to which a request body is written before
	// the response is read. Larger bodies are written concurrently, because an
	// endpoint may respond before it has read the body.
	maxInlineBody = 8 << 10
	// largeBody is the size in bytes of a request body from which the endpoint may have
	// no room for the rest of it while it responds. Until the end of the response, the
	// connection then does not fail for want of acknowledgements.
	largeBody = 64 << 10
	// maxStatus is the highest status of HTTP.
	maxStatus = 599
	// maxCarried is the number of requests with an identifier after which a connection is
	// not used again, so that their identifiers need little memory.
	maxCarried = 256
)

// An InvalidStatusError reports a response with a status that HTTP does not have, signs and
// leading zeros included, or with 101: no request asks for another protocol.
type InvalidStatusError struct {
	Addr   netip.AddrPort
	Status string // with the reason
}

// Error implements error.
func (e *InvalidStatusError) Error() string {
	return fmt.Sprintf("%s responded with invalid status %.64q", e.Addr, e.Status)
}

// A MismatchedResponseError reports a connection on which only responses to other
// requests arrived.
type MismatchedResponseError struct {
	Addr netip.AddrPort
}

// Error implements error.
func (e *MismatchedResponseError) Error() string {
	return "connection to " + e.Addr.String() + " returned responses to other requests"
}

// A Response is a response whose header has arrived. Reads of its Body fail with
// io.ErrUnexpectedEOF if the connection ends before the body.
type Response struct {
	Body   io.ReadCloser
	Header http.Header
	Status int
}

// A conn is one connection. It carries one request at a time.
type conn struct {
	addr       netip.AddrPort
	carried    map[string]struct{} // identifiers of its requests; up to maxCarried
	client     *Client
	closed     atomic.Bool
	expires    time.Time        // end of its use as an idle connection
	large      bool             // carries a request with a largeBody
	limited    io.LimitedReader // of network; bounds the header of a response
	mismatched bool             // a response to another request has arrived on it
	network    net.Conn
	reader     *bufio.Reader
}

// newConn returns a conn for an open network connection.
func newConn(c *Client, addr netip.AddrPort, n net.Conn) *conn {
	k := &conn{addr: addr, client: c, network: n}
	k.limited = io.LimitedReader{R: n, N: math.MaxInt64}
	k.reader = bufio.NewReaderSize(&k.limited, readBufferSize)
	return k
}

// clean reports whether an idle connection is open and has no unread bytes.
func (k *conn) clean() bool {
	return k.reader.Buffered() == 0 && socketClean(k.network)
}

// hasCarried reports whether the connection has carried a request with the identifier.
func (k *conn) hasCarried(id string) bool {
	_, found := k.carried[id]
	return found
}

// carry records that the connection carries a request with the identifier.
func (k *conn) carry(id string) {
	if id == "" {
		return
	}
	if k.carried == nil {
		k.carried = make(map[string]struct{})
	}
	k.carried[id] = struct{}{}
}

// close closes the connection.
func (k *conn) close() {
	if k.closed.CompareAndSwap(false, true) {
		_ = k.network.Close() // the connection is no longer used
	}
}

// roundTrip sends a request and reads the header of its response.
func (k *conn) roundTrip(ctx context.Context, r *Request) (*Response, error) {
	// When ctx ends, a deadline in the past makes reads and writes fail.
	stop := context.AfterFunc(ctx, func() { _ = k.network.SetDeadline(time.Unix(1, 0)) })
	k.carry(r.ID)
	written, err := k.send(r)
	if err != nil {
		stop()
		return nil, err
	}
	response, err := k.readResponse(r) //nolint:bodyclose // the Response's body closes the connection
	if err != nil {
		stop()
		return nil, err
	}
	idle, reuse := idleTimeout(response)
	b := &body{
		conn: k, ctx: ctx, idle: idle, reader: response.Body, reuse: reuse && !k.mismatched && len(k.carried) < maxCarried, stop: stop,
		closeDelimited: response.ContentLength < 0 && len(response.TransferEncoding) == 0, written: written,
	}
	if response.ContentLength == 0 || r.Method == http.MethodHead {
		b.finish()
	}
	return &Response{Body: b, Header: response.Header, Status: response.StatusCode}, nil
}

// send writes the request, a body of more than maxInlineBody concurrently. The
// channel receives whether the complete body has been written. The error is a
// *NotSentError if no byte was written.
func (k *conn) send(r *Request) (chan bool, error) {
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
	if k.large = len(r.Body) >= largeBody; k.large {
		if err := transport.LimitUnacknowledged(k.network, false); err != nil {
			return nil, k.writeError(0, err)
		}
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

// endLarge ends the use of the connection for a large body, and reports whether it may
// carry another request.
func (k *conn) endLarge() bool {
	if !k.large {
		return true
	}
	k.large = false
	return transport.LimitUnacknowledged(k.network, true) == nil // otherwise it is closed
}

// writeError returns the error of a first write that wrote n bytes before err: a
// *NotSentError if n is zero.
func (k *conn) writeError(n int, err error) error {
	if n == 0 {
		return &NotSentError{Addr: k.addr, Err: err}
	}
	return errors.Wrap(err, "write request")
}

// readResponse reads the header of the response to r. It drops interim responses
// and those to other requests, and returns a *MismatchedResponseError if none of
// maxMismatched responses is the one to r, and an *InvalidStatusError for a status that no
// response to r has.
func (k *conn) readResponse(r *Request) (*http.Response, error) {
	for range maxMismatched {
		k.limited.N = maxHeaderSize
		response, err := http.ReadResponse(k.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, errors.Wrap(err, "read response")
		}
		k.limited.N = math.MaxInt64
		switch status := response.StatusCode; {
		case status < http.StatusContinue, status > maxStatus, status == http.StatusSwitchingProtocols:
			return nil, &InvalidStatusError{Addr: k.addr, Status: response.Status}
		case status < http.StatusOK: // net/http reads no body of it
			continue
		}
		if r.Matches == nil || r.Matches(response.Header) {
			return response, nil
		}
		k.mismatched = true
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxMismatchedBody))
		if err != nil || n == maxMismatchedBody || response.Close {
			break
		}
	}
	return nil, &MismatchedResponseError{Addr: k.addr}
}

// encodeHead returns the request line and header.
func encodeHead(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + min(len(r.Body), maxInlineBody)) // a larger body is not appended
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = r.Header.Write(&b) // writes to a bytes.Buffer do not fail
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// idleTimeout returns how long the connection may be idle after a response and be
// used again. It reports false if the connection may not be used again.
func idleTimeout(response *http.Response) (time.Duration, bool) {
	if response.Close {
		return 0, false
	}
	for parameter := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(parameter), "timeout=")
		if !found {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil {
			continue // ignore an invalid timeout
		}
		timeout := time.Duration(seconds) * time.Second
		return max(timeout-idleMargin, timeout/2), true
	}
	return defaultIdleTimeout, true
}
