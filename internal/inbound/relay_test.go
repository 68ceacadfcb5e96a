package inbound

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// A source is the body of an endpoint's response.
type source struct {
	left   int // bytes
	piece  int // bytes of each call
	read   atomic.Int64
	waited time.Duration // longest time between two calls
	last   time.Time
}

// next returns the next piece.
func (s *source) next() ([]byte, error) {
	if now := time.Now(); !s.last.IsZero() {
		s.waited = max(s.waited, now.Sub(s.last))
	}
	s.last = time.Now()
	n := min(s.left, s.piece)
	if n == 0 {
		return nil, io.EOF
	}
	s.left -= n
	s.read.Add(int64(n))
	return bytes.Repeat([]byte("x"), n), nil
}

// relayTo returns a handler that relays the responses of s.
func relayTo(s *source) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		q := NewRequest(r.Context())
		defer q.Close()
		relay := q.Relay(&timer.System{}, nil, s.next)
		defer relay.Close()
		for {
			piece, err := relay.Next()
			if err != nil {
				if err != io.EOF { //nolint:errorlint // next returns nothing else
					panic(http.ErrAbortHandler)
				}
				return
			}
			if _, err := w.Write(piece); err != nil {
				panic(http.ErrAbortHandler)
			}
		}
	}
}

// Guards against an endpoint that waits for a caller who does not read for some time, and
// against a response that is cut although the process has room for it.
func TestRelayReadsAhead(t *testing.T) {
	withFixture(t, smallestMemory, 0, func(t *testing.T, f *fixture) {
		s := &source{left: 3 * megabyte, piece: 1000}
		f.Handler = relayTo(s)
		c := f.dial()
		c.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		synctest.Wait()
		assert.Equal(t, s.read.Load(), int64(3*megabyte))
		time.Sleep(14 * time.Second)
		response, err := http.ReadResponse(c.reader, nil)
		assert.NilError(t, err)
		n, err := io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.Equal(t, n, int64(3*megabyte))
		assert.Equal(t, s.waited, time.Duration(0))
	})
}

// Guards against a caller who does not read and holds more than a bound, or for whom an
// endpoint waits until it cuts its response, and against one that is cut although it reads.
func TestRelaySlowReader(t *testing.T) {
	withFixture(t, smallestMemory, 0, func(t *testing.T, f *fixture) {
		s := &source{left: 100 * megabyte, piece: 1000}
		f.Handler = relayTo(s)
		c := f.dial()
		c.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		for range 10 { // it reads slowly
			_, err := io.CopyN(io.Discard, c.reader, 2*largeChunk)
			assert.NilError(t, err)
			time.Sleep(stallTime / 2)
		}
		most := share(f.Guard.Budget.Bytes, relayShare)
		assert.Assert(t, f.Guard.Budget.Held(KindResponse) <= most)
		started := time.Now()
		time.Sleep(time.Minute)
		_, err := io.Copy(io.Discard, c.reader)
		assert.NilError(t, err)
		assert.Assert(t, c.closed())
		assert.Assert(t, s.last.Sub(started) <= stallTime)
		assert.Assert(t, s.waited <= stallTime)
		assert.Equal(t, f.Guard.Budget.Held(KindResponse), int64(0))
	})
}

// Guards against a response that does not go on because the process is full.
func TestRelayWithoutRoom(t *testing.T) {
	withFixture(t, smallestMemory, 0, func(t *testing.T, f *fixture) {
		full := f.Guard.Budget.Register(func() {})
		assert.Assert(t, full.Take(KindHead, share(f.Guard.Budget.Bytes, 0.85)))
		defer full.Close()
		f.Handler = relayTo(&source{left: megabyte, piece: 1000})
		c := f.dial()
		c.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		response, err := http.ReadResponse(c.reader, nil)
		assert.NilError(t, err)
		n, err := io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.Equal(t, n, int64(megabyte))
	})
}

// Guards against bytes of a response that are lost, repeated or reordered, and against
// chunks that are counted but never given back.
func TestRelayBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pieces := rapid.SliceOf(rapid.SliceOfN(rapid.Byte(), 1, 20<<10)).Draw(t, "pieces")
		first := rapid.SliceOf(rapid.Byte()).Draw(t, "first")
		want := append(bytes.Clone(first), bytes.Join(pieces, nil)...)
		q := &Request{}
		buffer := make([]byte, 0, 20<<10)
		relay := q.Relay(&timer.System{}, first, func() ([]byte, error) {
			if len(pieces) == 0 {
				return nil, io.ErrUnexpectedEOF
			}
			buffer = append(buffer[:0], pieces[0]...) // valid until the next call
			pieces = pieces[1:]
			return buffer, nil
		})
		defer relay.Close()
		var got []byte
		for {
			piece, err := relay.Next()
			if err != nil {
				assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
				break
			}
			got = append(got, piece...)
		}
		assert.Assert(t, bytes.Equal(got, want))
		spare := 0
		if relay.spare != nil {
			spare = cap(relay.spare.data)
		}
		assert.Equal(t, relay.held, spare)
	})
}
