package transport_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/internal/transport"
)

// Guards against a response without a length that is complete to its reader although the
// server reset the connection: the concurrent write of the request takes the error of the
// reset, and after a FIN no read reports one.
func TestResponseWithoutLength(t *testing.T) {
	const rounds = 20 // in a reset, the reader or the writer receives the error
	for _, c := range []struct {
		name  string
		size  int // of the request body
		play  func(conn *net.TCPConn, r io.Reader, size int)
		whole bool
	}{
		{name: "reset while the request is written", size: 16 << 20, play: func(conn *net.TCPConn, _ io.Reader, _ int) {
			_ = conn.SetLinger(0)
		}},
		{name: "FIN while the request is written", size: 16 << 20, play: func(conn *net.TCPConn, _ io.Reader, _ int) {
			_ = conn.CloseWrite()
		}},
		{name: "end", size: 16 << 20, whole: true, play: func(_ *net.TCPConn, r io.Reader, size int) {
			_, _ = io.CopyN(io.Discard, r, int64(size))
		}},
		{name: "end, no body", whole: true, play: func(*net.TCPConn, io.Reader, int) {}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
			assert.NilError(t, err)
			var serving sync.WaitGroup
			defer serving.Wait()
			defer func() { _ = l.Close() }()
			client := transport.NewClient(nil)
			defer client.CloseIdleConnections()
			for range rounds {
				seen, done := make(chan struct{}), make(chan struct{})
				serving.Go(func() {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					defer func() { _ = conn.Close() }()
					r := bufio.NewReaderSize(conn, 16)
					for line := "start"; len(line) > 2; {
						if line, err = r.ReadString('\n'); err != nil {
							return
						}
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
					<-seen
					c.play(conn.(*net.TCPConn), r, c.size)
					_ = conn.Close()
					<-done
				})
				request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+l.Addr().String(), bytes.NewReader(make([]byte, c.size)))
				assert.NilError(t, err)
				response, err := client.Do(request)
				assert.NilError(t, err)
				_, err = io.ReadFull(response.Body, make([]byte, 2))
				assert.NilError(t, err)
				close(seen)
				_, err = io.ReadAll(response.Body)
				_ = response.Body.Close()
				close(done)
				assert.Equal(t, err == nil, c.whole, "%v", err)
			}
		})
	}
}
