package inbound

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// smallestMemory is the memory of the smallest machines, and smallestDescriptors the number
// of their descriptors.
const (
	smallestMemory      = 112e6
	smallestDescriptors = 3075
)

// Guards against a body within the limits that is refused on an idle machine of the
// smallest size, in one piece and in chunks.
func TestLargestBody(t *testing.T) {
	withFixture(t, smallestMemory, smallestDescriptors, func(t *testing.T, f *fixture) {
		body := strings.Repeat("x", bodyLimit)
		for _, text := range []string{
			post(fmt.Sprintf("Content-Length: %d", bodyLimit)) + body,
			post("Transfer-Encoding: chunked") + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", bodyLimit, body),
		} {
			c := f.dial()
			c.send(text)
			assert.Equal(t, c.response().StatusCode, http.StatusOK)
			assert.Assert(t, !c.closed())
		}
	})
}

// Guards against bodies over the limit that are held or served.
func TestBodyTooLarge(t *testing.T) {
	withFixture(t, smallestMemory, smallestDescriptors, func(t *testing.T, f *fixture) {
		body := strings.Repeat("x", bodyLimit+1)
		for _, text := range []string{
			post(fmt.Sprintf("Content-Length: %d", bodyLimit+1)) + body,
			post("Transfer-Encoding: chunked") + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", bodyLimit+1, body),
		} {
			c := f.dial()
			c.send(text)
			response := c.response()
			assert.Equal(t, response.Header.Get("X-Code"), "body_too_large")
			assert.Assert(t, response.Close)
		}
	})
}

// Guards against a body that stops short of its end and is waited for without end, and
// against one that is cut although it goes on within the time for progress.
func TestBodyProgress(t *testing.T) {
	withFixture(t, 0, 0, func(t *testing.T, f *fixture) {
		c := f.dial()
		c.send(post("Content-Length: 4"))
		for range 3 {
			time.Sleep(14 * time.Second)
			c.send("x")
		}
		time.Sleep(14 * time.Second)
		c.send("x")
		assert.Equal(t, c.response().StatusCode, http.StatusOK)
		c.send(post("Content-Length: 4") + "xxx")
		started := time.Now()
		response := c.response()
		assert.Equal(t, response.Header.Get("X-Code"), "progress")
		assert.Equal(t, time.Since(started), 15*time.Second)
		assert.Assert(t, response.Close)
		time.Sleep(2 * drainTime)
		assert.Assert(t, c.closed())
	})
}

// Guards against a refusal that waits for the rest of a body which nobody reads.
func TestRefusalWithoutBody(t *testing.T) {
	withFixture(t, 0, 0, func(t *testing.T, f *fixture) {
		f.Handler = func(w http.ResponseWriter, r *http.Request) {
			LeaveBody(w, r, false)
			w.WriteHeader(http.StatusNotFound)
		}
		for _, length := range []string{"Content-Length: 100", "Transfer-Encoding: chunked"} {
			started := time.Now()
			c := f.dial()
			c.send(post(length) + "4\r\nxx")
			assert.Equal(t, c.response().StatusCode, http.StatusNotFound)
			assert.Assert(t, c.closed())
			assert.Assert(t, time.Since(started) <= 2*drainTime)
		}
		c := f.dial()
		for range 2 { // the connection is kept if the body is short
			c.send(post("Content-Length: 100") + strings.Repeat("x", 100))
			assert.Equal(t, c.response().StatusCode, http.StatusNotFound)
		}
	})
}

// Guards against heads that trickle without end, against a time for heads that differs from
// that of the configuration, and against kept connections that are closed early.
func TestHeadTime(t *testing.T) {
	withFixture(t, 0, 0, func(t *testing.T, f *fixture) {
		f.Limits.HeaderTimeout = 10 * time.Second
		c := f.dial()
		for range 2 {
			c.send("GET / HTTP/1.1\r\n")
			time.Sleep(9 * time.Second)
			c.send("Host: x\r\n\r\n")
			assert.Equal(t, c.response().StatusCode, http.StatusOK)
			time.Sleep(110 * time.Second)
		}
		f.Limits.HeaderTimeout = time.Second
		c.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n") // the new limit applies from the next request on
		assert.Equal(t, c.response().StatusCode, http.StatusOK)
		time.Sleep(110 * time.Second)
		for range 6 {
			c.send("G")
			time.Sleep(time.Second / 2)
		}
		assert.Equal(t, c.response().StatusCode, http.StatusBadRequest)
		assert.Assert(t, c.closed())
	})
}

// Guards against heads within the limit that are refused, and against larger ones that are
// held.
func TestHeadSize(t *testing.T) {
	withFixture(t, smallestMemory, smallestDescriptors, func(t *testing.T, f *fixture) {
		c := f.dial()
		c.send("GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\r\n", 4090) + "\r\n")
		assert.Equal(t, c.response().StatusCode, http.StatusOK)
		c.send("GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 25<<10))
		assert.Equal(t, c.response().StatusCode, http.StatusRequestHeaderFieldsTooLarge)
		time.Sleep(dismissTime)
		assert.Assert(t, c.closed())
		assert.Equal(t, f.Served, 1)
	})
}

// Guards against heads of many fields that take the memory, and against a refusal of one
// that was served.
func TestManyFields(t *testing.T) {
	withFixture(t, smallestMemory, smallestDescriptors, func(t *testing.T, f *fixture) {
		refused := 0
		for range 150 {
			c := f.dial()
			c.send("GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\r\n", 4000))
			if f.Guard.Budget.Held(KindHead) > f.Guard.Budget.Bytes {
				t.Fatal("more than the bound")
			}
			_ = c.SetReadDeadline(time.Now().Add(time.Millisecond)) // fails on a closed connection
			if response, err := http.ReadResponse(c.reader, nil); err == nil {
				assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
				assert.Equal(t, response.Header.Get("Retry-After"), "1.000")
				refused++
			}
		}
		assert.Assert(t, refused > 0)
		assert.Equal(t, f.Served, 0)
		time.Sleep(idleGrace)
		c := f.dial()
		c.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		assert.Equal(t, c.response().StatusCode, http.StatusOK)
	})
}

// Guards against pipelined requests that are lost or answered in another order, and against
// a head that was read ahead and is not bounded in time.
func TestPipelined(t *testing.T) {
	withFixture(t, smallestMemory, smallestDescriptors, func(t *testing.T, f *fixture) {
		f.Handler = func(w http.ResponseWriter, r *http.Request) { w.Header().Set("X-Path", r.URL.Path) }
		c := f.dial()
		var text strings.Builder
		for n := range 100 {
			fmt.Fprintf(&text, "GET /%d HTTP/1.1\r\nHost: x\r\n\r\n", n)
		}
		c.send(text.String() + "GET /half")
		for n := range 100 {
			assert.Equal(t, c.response().Header.Get("X-Path"), fmt.Sprintf("/%d", n))
		}
		time.Sleep(5 * time.Second)
		assert.Equal(t, c.response().StatusCode, http.StatusBadRequest)
		assert.Assert(t, c.closed())
	})
}

// Guards against a response that is not read and holds its memory without end, and against
// a stream that is cut because its events are far apart.
func TestWriteProgress(t *testing.T) {
	withFixture(t, 0, 0, func(t *testing.T, f *fixture) {
		failed := make(chan time.Duration, 1)
		f.Handler = func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/stream" {
				for range 3 {
					time.Sleep(5 * time.Minute)
					_, err := io.WriteString(w, "event")
					assert.Check(t, err)
					assert.Check(t, http.NewResponseController(w).Flush())
				}
				return
			}
			started := time.Now()
			_, err := w.Write(make([]byte, megabyte))
			assert.Check(t, err != nil)
			failed <- time.Since(started)
		}
		c := f.dial()
		c.send("GET /stream HTTP/1.1\r\nHost: x\r\n\r\n")
		assert.Equal(t, c.response().StatusCode, http.StatusOK)
		c.send("GET /large HTTP/1.1\r\nHost: x\r\n\r\n")
		time.Sleep(10 * time.Second)
		_, err := io.CopyN(io.Discard, c.reader, 100<<10) // progress
		assert.NilError(t, err)
		time.Sleep(20 * time.Second)
		took := <-failed
		assert.Assert(t, took >= 25*time.Second && took <= 29*time.Second, "%s", took)
	})
}

// Guards against a machine full of bodies without progress that serves nobody else, and
// against a refusal of a body that was served.
func TestIdleBodiesAreCut(t *testing.T) {
	withFixture(t, smallestMemory, smallestDescriptors, func(t *testing.T, f *fixture) {
		var clients []*testClient
		for range 20 {
			c := f.dial()
			c.send(post(fmt.Sprintf("Content-Length: %d", bodyLimit)) + strings.Repeat("x", bodyLimit-1))
			clients = append(clients, c)
		}
		time.Sleep(idleGrace)
		c := f.dial()
		c.send(post(fmt.Sprintf("Content-Length: %d", bodyLimit)) + strings.Repeat("x", bodyLimit))
		assert.Equal(t, c.response().StatusCode, http.StatusOK)
		refused := 0
		for _, c := range clients {
			assert.NilError(t, c.SetReadDeadline(time.Now().Add(time.Millisecond)))
			if response, err := http.ReadResponse(c.reader, nil); err == nil {
				assert.Equal(t, response.Header.Get("X-Code"), "memory")
				refused++
			}
		}
		assert.Assert(t, refused > 15 && refused < 20, "%d", refused)
	})
}
