package inbound

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// knownPiece and unknownPiece are the sizes of the first piece of a body with and
	// without a stated length, bytes.
	knownPiece   = 64 << 10
	unknownPiece = 4 << 10
)

var _ persimmoncart.ByteHold = (*Request)(nil)

// A Request is what the process holds for one request, until it is closed. It belongs to a
// connection of a protected server; without one, nothing is counted.
type Request struct {
	conn *Conn // nil for none

	closed bool
	mutex  sync.Mutex
}

// NewRequest returns the Request of a request that is being served. It has to be closed.
func NewRequest(ctx context.Context) *Request { return &Request{conn: connOf(ctx)} }

// Close ends the counting. What the request holds is given back by the connection.
func (q *Request) Close() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.closed = true
}

// Take implements persimmoncart.ByteHold.
func (q *Request) Take(n int) bool { return q.take(KindResponse, n) }

// Give implements persimmoncart.ByteHold.
func (q *Request) Give(n int) { q.give(KindResponse, n) }

// take takes n bytes of a kind and reports whether they fit.
func (q *Request) take(kind Kind, n int) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return !q.closed && (q.conn == nil || q.conn.hold.Take(kind, int64(n)))
}

// give gives back n bytes of a kind.
func (q *Request) give(kind Kind, n int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if !q.closed && q.conn != nil {
		q.conn.hold.Give(kind, int64(n))
	}
}

// ReadBody reads the body of the request, of up to limit bytes. The error is a
// *persimmoncart.Refusal: the body is too large, does not fit, or makes no progress.
// Nobody waits for it after the deadline.
func (q *Request) ReadBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, tooLarge()
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	b := &bodyReader{body: http.MaxBytesReader(w, r.Body, limit), deadline: deadline, most: int(limit), request: q}
	first := unknownPiece
	if r.ContentLength > 0 {
		first, b.most = knownPiece, int(r.ContentLength)
	}
	if q.conn != nil {
		b.deadline = later(deadline, q.conn.guard.Timer.Now().Add(drainTime))
		q.conn.beginBody()
		defer q.conn.endBody()
	}
	return b.readAll(min(first, b.most))
}

// A bodyReader reads one body and takes its bytes as they arrive.
type bodyReader struct {
	body     io.Reader
	buffer   []byte
	deadline time.Time
	most     int // highest length
	request  *Request
}

// readAll reads the body. Its first piece has the given size.
func (b *bodyReader) readAll(first int) ([]byte, error) {
	if !b.grow(first) {
		return nil, b.refuse(persimmoncart.RefusalMemory, nil)
	}
	for {
		if len(b.buffer) == cap(b.buffer) && cap(b.buffer) < b.most && !b.grow(min(2*cap(b.buffer), b.most)) {
			return nil, b.refuse(persimmoncart.RefusalMemory, nil)
		}
		free := b.buffer[len(b.buffer):cap(b.buffer)]
		if len(free) == 0 {
			free = make([]byte, 1) // only the end of the body is left, or it is too large
		}
		b.extend()
		n, err := b.body.Read(free)
		b.buffer = b.buffer[:min(len(b.buffer)+n, cap(b.buffer))]
		switch {
		case errors.Is(err, io.EOF):
			return b.buffer, nil
		case err != nil:
			return nil, b.failure(err)
		}
	}
}

// extend sets the time until which the next read has to make progress.
func (b *bodyReader) extend() {
	c := b.request.conn
	if c == nil {
		return
	}
	t := c.guard.Timer.Now().Add(c.limits.progressTime)
	if b.deadline.Before(t) {
		t = b.deadline
	}
	_ = c.SetReadDeadline(t) // fails only on a closed connection
}

// failure returns the refusal of a body that was not read to its end.
func (b *bodyReader) failure(err error) error {
	large := (*http.MaxBytesError)(nil)
	switch {
	case errors.As(err, &large):
		return tooLarge()
	case b.request.conn != nil && b.request.conn.isCut():
		return b.refuse(persimmoncart.RefusalMemory, err)
	case isTimeout(err):
		return b.refuse(persimmoncart.RefusalProgress, err)
	default:
		return &persimmoncart.Refusal{
			Code: persimmoncart.RefusalBodyInvalid, Err: err, Message: "body is incomplete", Outcome: persimmoncart.OutcomeNotRun,
		}
	}
}

// grow gives the buffer a capacity of n bytes, and reports whether they fit.
func (b *bodyReader) grow(n int) bool {
	if !b.request.take(KindBody, n) {
		return false
	}
	buffer := make([]byte, len(b.buffer), n)
	copy(buffer, b.buffer)
	b.request.give(KindBody, cap(b.buffer))
	b.buffer = buffer
	return true
}

// refuse returns a refusal for want of memory or progress, and logs it.
func (b *bodyReader) refuse(code persimmoncart.RefusalCode, err error) error {
	refusal := &persimmoncart.Refusal{Code: code, Err: err, Message: "body makes no progress", Outcome: persimmoncart.OutcomeNotRun}
	if code == persimmoncart.RefusalMemory {
		refusal.Message, refusal.RetryAfter = "too many bodies at once", retryAfter
	}
	if c := b.request.conn; c != nil && !c.isCut() { // cut has logged it
		c.guard.report(code, phaseBody)
	}
	return refusal
}

// tooLarge returns the refusal of a body that is too large.
func tooLarge() error {
	return &persimmoncart.Refusal{
		Code: persimmoncart.RefusalBodyTooLarge, Message: "body is too large", Outcome: persimmoncart.OutcomeNotRun,
	}
}

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
