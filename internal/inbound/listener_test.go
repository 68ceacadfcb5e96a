package inbound

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against more connections than the descriptors allow, against connections in use or
// kept ones that are closed for new ones, and against a full machine that accepts nobody
// although its clients do nothing.
func TestConnectionsBounded(t *testing.T) {
	withFixture(t, 0, 50, func(t *testing.T, f *fixture) {
		bound := callerConnections(50)
		var kept []*testClient
		for range bound / 2 {
			c := f.dial()
			c.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
			assert.Equal(t, c.response().StatusCode, http.StatusOK)
			kept = append(kept, c)
		}
		var idle []*testClient
		for len(kept)+len(idle) < bound {
			idle = append(idle, f.dial())
			time.Sleep(time.Millisecond)
		}
		c := f.dial()
		c.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		response := c.response()
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, response.Header.Get("Retry-After"), "1.000")
		time.Sleep(headGrace)
		c = f.dial()
		c.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		assert.Equal(t, c.response().StatusCode, http.StatusOK)
		assert.Equal(t, idle[0].response().StatusCode, http.StatusServiceUnavailable)
		assert.Assert(t, !idle[1].closed())
		time.Sleep(4 * time.Second)
		for _, c := range kept {
			c.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
			assert.Equal(t, c.response().StatusCode, http.StatusOK)
		}
		assert.Equal(t, f.Served, 2*len(kept)+1)
	})
}

// Guards against a crowd at the listener of readiness checks that keeps the load balancer
// out, or whose bodies are read.
func TestChecksBounded(t *testing.T) {
	withFixture(t, smallestMemory, smallestDescriptors, func(t *testing.T, f *fixture) {
		f.Handler = func(http.ResponseWriter, *http.Request) {}
		for range 200 {
			c := f.dialTo(f.checks)
			go func() { _, _ = io.Copy(io.Discard, c.Conn) }() // a connection in memory takes only what is read
			c.send("GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\r\n", 4000))
		}
		assert.Assert(t, f.Guard.Budget.Held(KindCheck) <= share(f.Guard.Budget.Bytes, totalShares[KindCheck]))
		c := f.dialTo(f.checks)
		c.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		assert.Equal(t, c.response().StatusCode, http.StatusOK)
		c.send(post("Content-Length: 1000000") + "xx")
		response := c.response()
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Assert(t, response.Close)
		time.Sleep(2 * drainTime)
		assert.Assert(t, c.closed())
	})
}
