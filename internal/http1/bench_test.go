package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/internal/http1"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// echo responds to each request on a connection with the same text. It does not
// use net/http, whose allocations would count as the client's.
func echo(c net.Conn, text string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		for {
			line, err := r.ReadSlice('\n')
			if err != nil {
				return
			}
			if len(line) == 2 {
				break
			}
		}
		if _, err := r.Discard(1); err != nil { // the body
			return
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

// BenchmarkDo measures one request and its response on an idle connection.
func BenchmarkDo(b *testing.B) {
	client := &http1.Client{Timer: &timer.System{}, Dial: func(context.Context, netip.AddrPort) (net.Conn, error) {
		c, server := net.Pipe()
		go echo(server, reply("0", "a"))
		return c, nil
	}}
	defer client.CloseIdle(addr)
	request := &http1.Request{Body: []byte("b"), Header: http.Header{"Id": {"0"}}, Host: "h", Method: http.MethodPost, Target: "/x"}
	b.ReportAllocs()
	for b.Loop() {
		response, err := client.Do(b.Context(), addr, request)
		assert.NilError(b, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(b, err)
		assert.NilError(b, response.Body.Close())
	}
}
