package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/internal/http1"
	"github.com/persimmoncart/persimmoncart/internal/timer"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

// userTimeout returns TCP_USER_TIMEOUT of a connection, milliseconds.
func userTimeout(t *testing.T, conn net.Conn) int {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	var timeout int
	var optionErr error
	assert.NilError(t, raw.Control(func(fd uintptr) {
		timeout, optionErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	assert.NilError(t, optionErr)
	return timeout
}

// Guards against a connection that fails in the middle of a response, because the
// endpoint reads the rest of a large request body only later; and against one that keeps
// waiting for a silent endpoint after that, or for one that takes small requests.
func TestLargeBodyReadLate(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	readOn := make(chan struct{})
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfi")
			<-readOn
			n, _ := io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, map[bool]string{true: "ne", false: "xx"}[n == request.ContentLength])
		}
	}
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			serving.Go(func() { serve(conn) })
		}
	})
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	var opened []net.Conn
	client := &http1.Client{Timer: &timer.System{}, Dial: func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
		conn, err := transport.DialKeepAlive(ctx, addr)
		opened = append(opened, conn)
		return conn, err
	}}
	for _, c := range []struct {
		size    int
		limited bool
	}{{size: 16 << 10, limited: true}, {size: 4 << 20}, {size: 1 << 10, limited: true}} {
		response, err := client.Do(t.Context(), addr, &http1.Request{
			Body: make([]byte, c.size), Header: http.Header{}, Host: "h", Method: http.MethodPost, Target: "/",
		})
		assert.NilError(t, err)
		used := opened[len(opened)-1] // an endpoint that responds early may close its connection
		assert.Equal(t, userTimeout(t, used) > 0, c.limited, "%d bytes", c.size)
		readOn <- struct{}{}
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "fine")
	}
	client.CloseIdle(addr)
	assert.NilError(t, l.Close())
	serving.Wait()
}
