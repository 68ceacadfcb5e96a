package crowd_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"time"

	"github.com/persimmoncart/persimmoncart/platform/standin"
)

const (
	// sendTimeout is the time without progress after which a client stops to send. It
	// stays connected.
	sendTimeout = time.Second
	// receiveBuffer is the size of the receive buffer of clients that do not read, in
	// bytes, so that the kernel takes little from the process.
	receiveBuffer = 4 << 10
	// tricklePeriod is the time between two bytes of a slow sender.
	tricklePeriod = 100 * time.Millisecond
)

// A client is one connection of a crowd. Its methods give up silently when the process
// closes the connection, which it may.
type client struct {
	addr netip.AddrPort
	conn net.Conn // nil if it was not accepted
}

// newClient opens a connection. One that does not read has a small receive buffer.
func newClient(ctx context.Context, addr netip.AddrPort, reads bool) *client {
	dialer := net.Dialer{Timeout: sendTimeout}
	if !reads {
		dialer.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer) // a larger one only weakens the crowd
			})
		}
	}
	conn, err := dialer.DialContext(ctx, "tcp4", addr.String())
	if err != nil {
		return &client{addr: addr}
	}
	return &client{addr: addr, conn: conn}
}

// close closes the connection.
func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close() // the connection is no longer used
	}
}

// send sends bytes and reports whether the process has taken all of them.
func (c *client) send(b []byte) bool {
	if c.conn == nil || c.conn.SetWriteDeadline(time.Now().Add(sendTimeout)) != nil {
		return false
	}
	_, err := c.conn.Write(b)
	return err == nil
}

// sendPieces sends n bytes in pieces of the given size, framed as chunks or not, and
// reports whether the process has taken all of them.
func (c *client) sendPieces(n, size int, chunked bool) bool {
	data := bytes.Repeat([]byte("x"), size)
	if chunked {
		data = fmt.Appendf(nil, "%x\r\n%s\r\n", size, data)
	}
	for sent := 0; sent < n; sent += size {
		if !c.send(data) {
			return false
		}
	}
	return true
}

// trickle sends a byte each tricklePeriod until ctx is done or the connection is closed.
func (c *client) trickle(ctx context.Context, text string) {
	for n := range len(text) {
		if !c.send([]byte{text[n]}) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(tricklePeriod):
		}
	}
}

// head returns the head of a request with the given further lines, without its end.
func head(method, path, id string, lines ...string) string {
	fields := append([]string{"Host: " + standin.Host, "X-Attempt-Id: " + id, "X-Deadline-Ms: 14000"}, lines...)
	return method + " " + path + " HTTP/1.1\r\n" + strings.Join(fields, "\r\n") + "\r\n"
}

// shortFields returns as many different fields as fit a head of maxHeaderBytes beside
// those of head, without the end of the last line.
func shortFields() string {
	const digits = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for n := 0; b.Len() < maxHeaderBytes-512; n++ {
		fmt.Fprintf(&b, "%c%c%c:\r\n", digits[n/36/36%26], digits[n/36%36], digits[n%36])
	}
	return strings.TrimSuffix(b.String(), "\r\n")
}

// askOrdinary sends an ordinary request and returns the status of its response, or an
// error.
func askOrdinary(ctx context.Context, addr netip.AddrPort, id string) (int, error) {
	request, err := (&standin.Request{Addr: addr, Body: "ordinary", ID: id, Path: "/look/1", Timeout: 4 * time.Second}).HTTP(ctx)
	if err != nil {
		return 0, err
	}
	c := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := c.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// dialCounting returns a function that opens connections and counts them in opened.
func dialCounting(opened *int) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		*opened++
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	}
}
