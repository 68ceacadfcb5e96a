package inbound

import (
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// relayShare is the share of the bound that one response may hold, from minRelayBytes
	// to maxRelayBytes. Where the machine's memory is unknown it is unknownRelayBytes.
	relayShare        = 1.0 / 8
	minRelayBytes     = 64 << 10
	maxRelayBytes     = 4 << 20
	unknownRelayBytes = 32 << 10
	// smallChunk and largeChunk are the capacities of the chunks of a response, bytes: of
	// the first one, and of those after it.
	smallChunk = 4 << 10
	largeChunk = 16 << 10
)

// errSlowReader is the error of a response whose caller did not read while the endpoint
// waited.
var errSlowReader = errors.New("caller does not read the response")

// A Relay reads a response from its endpoint while its client reads slower: it holds up to
// a share of the Budget, and aborts the client's connection if that is full and the
// endpoint has waited for stallTime.
type Relay struct {
	most    int
	next    func() ([]byte, error)
	request *Request
	timer   persimmoncart.Timer

	chunks  []*chunk // in order; the last one grows until it is full
	closed  bool
	done    chan struct{} // closed when next is not called any more
	err     error         // that next returned
	held    int           // capacity of the chunks that are counted
	mutex   sync.Mutex
	ready   *sync.Cond // signals chunks, err and closed
	room    *sync.Cond // signals that a chunk was sent, closed, and time that has passed
	sending *chunk     // that Next returned
	spare   *chunk     // that is not in use, so that streams need only two
}

// A chunk is a part of a response.
type chunk struct {
	counted bool // in Relay.held
	data    []byte
}

// Relay starts to read a response: first is its beginning, which is counted, and next
// returns one piece after the other, as forward.Body does.
func (q *Request) Relay(timer persimmoncart.Timer, first []byte, next func() ([]byte, error)) *Relay {
	r := &Relay{done: make(chan struct{}), most: unknownRelayBytes, next: next, request: q, timer: timer}
	if q.conn != nil && q.conn.guard.Budget.Bytes > 0 {
		r.most = int(min(max(share(q.conn.guard.Budget.Bytes, relayShare), minRelayBytes), maxRelayBytes))
	}
	r.ready, r.room = sync.NewCond(&r.mutex), sync.NewCond(&r.mutex)
	if len(first) > 0 {
		r.chunks = []*chunk{{data: first[:len(first):len(first)]}}
	}
	go r.run()
	return r
}

// Close ends the response. Next of the endpoint's body has to return early by itself.
func (r *Relay) Close() {
	r.mutex.Lock()
	r.closed = true
	r.ready.Broadcast()
	r.room.Broadcast()
	r.mutex.Unlock()
	<-r.done
}

// Next returns the next bytes of the response, which are valid until the next call. After
// the last ones it returns the error of the endpoint's body.
func (r *Relay) Next() ([]byte, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.release()
	for len(r.chunks) == 0 && r.err == nil && !r.closed {
		r.ready.Wait()
	}
	if len(r.chunks) == 0 {
		return nil, r.err
	}
	r.sending = r.chunks[0]
	r.chunks = append(r.chunks[:0], r.chunks[1:]...)
	return r.sending.data, nil
}

// run reads the response until its end.
func (r *Relay) run() {
	defer close(r.done)
	for {
		piece, err := r.next()
		if err == nil && !r.put(piece) {
			err = errSlowReader
			if c := r.request.conn; c != nil && !r.isClosed() {
				c.guard.reportCut(persimmoncart.RefusalProgress, phaseServe)
				c.abort()
			}
		}
		if err != nil {
			r.mutex.Lock()
			r.err = err
			r.ready.Broadcast()
			r.mutex.Unlock()
			return
		}
	}
}

// put adds a piece. It reports false if there was no room for stallTime, or the relay is
// closed.
func (r *Relay) put(piece []byte) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for len(piece) > 0 {
		if (len(r.chunks) == 0 || r.last().full()) && !r.awaitChunk(len(piece)) {
			return false
		}
		last := r.last()
		n := min(len(piece), cap(last.data)-len(last.data))
		last.data = append(last.data, piece[:n]...)
		piece = piece[n:]
		r.ready.Signal()
	}
	return !r.closed
}

// awaitChunk adds an empty chunk, for which it waits up to stallTime.
func (r *Relay) awaitChunk(size int) bool {
	if r.addChunk(size) {
		return true
	}
	expired := false
	stop := r.timer.After(stallTime, func(time.Time) {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		expired = true
		r.room.Broadcast()
	})
	defer stop()
	for !r.closed && !expired {
		r.room.Wait()
		if r.addChunk(size) {
			return true
		}
	}
	return false
}

// addChunk adds an empty chunk, if it fits. One small chunk always fits when no other one
// waits: otherwise the response would not go on.
func (r *Relay) addChunk(size int) bool {
	if r.closed {
		return false
	}
	if r.spare != nil {
		r.chunks, r.spare = append(r.chunks, r.spare), nil
		return true
	}
	capacity := largeChunk
	if len(r.chunks) == 0 && size <= smallChunk {
		capacity = smallChunk
	}
	if r.held+capacity <= r.most && r.request.take(KindResponse, capacity) {
		r.held += capacity
		r.chunks = append(r.chunks, &chunk{counted: true, data: make([]byte, 0, capacity)})
		return true
	}
	if len(r.chunks) == 0 && r.sending == nil {
		r.chunks = append(r.chunks, &chunk{data: make([]byte, 0, smallChunk)})
		return true
	}
	return false
}

// isClosed reports whether Close was called.
func (r *Relay) isClosed() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.closed
}

// last returns the last chunk.
func (r *Relay) last() *chunk { return r.chunks[len(r.chunks)-1] }

// release gives back the chunk that was sent, or keeps it as the spare one.
func (r *Relay) release() {
	sent := r.sending
	r.sending = nil
	switch {
	case sent == nil:
		return
	case sent.counted && r.spare == nil && len(r.chunks) == 0:
		sent.data = sent.data[:0]
		r.spare = sent
	case sent.counted:
		r.held -= cap(sent.data)
		r.request.give(KindResponse, cap(sent.data))
	}
	r.room.Signal()
}

// full reports whether nothing can be added to the chunk.
func (c *chunk) full() bool { return len(c.data) == cap(c.data) }
