package inbound

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// fieldCost is what a field of a head costs besides its bytes, in bytes: its entry in
	// the map of net/http and its strings.
	fieldCost = 96
	// requestCost is what a request in flight costs besides its head and body, in bytes:
	// goroutines and the connection to an endpoint.
	requestCost = 24 << 10
	// smallHead is the cost of a head up to which a check is always served.
	smallHead = 16 << 10
	// headCopies is the number of copies of a head while its request is served: one of them
	// is being sent to an endpoint.
	headCopies = 2
	// readAhead is the size of the buffer of net/http, which may hold the beginning of the
	// next request.
	readAhead = 4 << 10
	// writePiece is the size of the pieces in which responses are written. Each of them has
	// to be taken within the time for progress.
	writePiece = 16 << 10
	// progressBytes is the number of bytes of a body that count as progress when the process
	// is full.
	progressBytes = 4 << 10
)

// Phases of a connection.
const (
	phaseNew    phase = iota // is being accepted
	phaseHead                // waits for a head or the rest of one
	phaseServe               // its request is served
	phaseBody                // a body is being read
	phaseEnding              // the handler has returned, net/http ends the response
	phaseIdle                // waits for the next request
)

// A phase is what a connection does.
type phase uint8

// String returns the name of the phase in logs.
func (p phase) String() string {
	return [...]string{"connection", "head", "response", "body", "response", "idle"}[p]
}

var (
	// errCut is the error of a connection that is cut to make room for others.
	errCut = errors.New("connection is cut")
	// past is a deadline that has passed.
	past = time.Unix(1, 0)
)

// A Conn is a connection of a client. It counts what the client makes the process hold, and
// bounds the time for heads and between pieces of a response.
type Conn struct {
	net.Conn

	guard    *Guard
	hold     *Hold
	kind     Kind // of the heads on it
	limits   limits
	listener *Listener

	// The goroutine of net/http that serves the connection uses the following.
	headBytes  int   // of the head that is being read
	headCharge int64 // taken for heads
	headStart  time.Time
	progress   int // bytes of a body since the hold began to wait

	mutex     sync.Mutex // guards the following
	broken    bool       // nothing is written any more
	closed    bool
	dismissed bool  // the underlying connection belongs to Guard.dismiss
	idleReads int   // read deadlines set since the connection is idle
	lastRead  int64 // cost of what was last read, which may belong to the next request
	phase     phase
	readsCut  bool      // nothing is read any more
	writeBy   time.Time // deadline of writes
	writing   bool
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mutex.Lock()
	first, dismissed := !c.closed, c.dismissed
	c.closed = true
	c.mutex.Unlock()
	if first {
		c.listener.remove(c)
		c.hold.Close()
	}
	if dismissed {
		return nil
	}
	return c.Conn.Close()
}

// CloseWrite ends what is sent.
func (c *Conn) CloseWrite() error {
	closeWrite(c.Conn)
	return nil
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.isDismissed() { // net/http may read again after an error
		return 0, c.readError(errCut)
	}
	if c.currentPhase() == phaseIdle {
		// Net/http has used up what it read ahead.
		c.giveHead(0)
	}
	n, err := c.Conn.Read(p)
	phase := c.recordRead(p[:n], len(p))
	switch {
	case phase == phaseIdle && c.isCut():
		return 0, c.readError(errCut)
	case phase == phaseIdle && n > 0:
		c.startHead()
		return c.readHead(p[:n], err)
	case phase == phaseHead:
		return c.readHead(p[:n], err)
	case phase == phaseBody:
		if c.progress += n; c.progress >= progressBytes {
			c.progress = 0
			c.hold.Wait(c.guard.Timer.Now())
		}
	}
	return n, err
}

// SetReadDeadline implements net.Conn. Net/http has the same time for all heads; the one
// that is set is that of the configuration in force.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.dismissed {
		return nil
	}
	if c.phase == phaseIdle {
		// The first deadline after a request is that of the idle connection, the second one
		// that of the next head, which net/http has read ahead.
		if c.idleReads++; c.idleReads > 1 {
			c.awaitHead()
		}
	}
	switch {
	case c.readsCut:
		t = past
	case c.phase == phaseHead && !t.IsZero():
		t = c.headStart.Add(c.limits.headerTime)
	}
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn. It does nothing: Write sets the deadline.
func (*Conn) SetWriteDeadline(time.Time) error { return nil }

// Write implements net.Conn. It writes in pieces that each have to be taken within the time
// for progress.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	defer c.endWrite()
	for len(p) > 0 {
		piece := p[:min(len(p), writePiece)]
		if !c.beginWrite() {
			return written, c.writeError(errCut)
		}
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil {
			if isTimeout(err) {
				c.guard.reportCut(persimmoncart.RefusalProgress, phaseServe)
			}
			return written, err
		}
		p = p[n:]
	}
	return written, nil
}

// abort makes reads and writes fail.
func (c *Conn) abort() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.broken, c.readsCut = true, true
	if !c.dismissed {
		_ = c.Conn.Close() // net/http closes the Conn
	}
}

// becomeIdle records that the response has been written and the connection is kept.
func (c *Conn) becomeIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.phase, c.idleReads = phaseIdle, 0
	since := c.guard.Timer.Now()
	if !c.listener.checks {
		since = since.Add(c.limits.keptTime)
	}
	c.hold.Wait(since)
}

// beginBody records that the body of the request is being read.
func (c *Conn) beginBody() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.phase, c.progress = phaseBody, 0
	c.hold.Wait(c.guard.Timer.Now())
}

// endBody records the end of beginBody.
func (c *Conn) endBody() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.phase = phaseServe
	c.hold.Work()
}

// beginRequest takes what a request costs whose head has been read, and reports whether it
// fits.
func (c *Conn) beginRequest(r *http.Request) bool {
	c.mutex.Lock()
	c.phase, c.limits = phaseServe, c.guard.limits()
	c.hold.Work()
	fits := !c.readsCut
	c.mutex.Unlock()
	if !fits {
		return false
	}
	size, fields := len(r.RequestURI), 0
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
			fields++
		}
	}
	cost := headCopies * int64(size+fields*fieldCost)
	return c.takeHead(requestCost+cost) || c.listener.checks && cost <= smallHead
}

// endRequest gives back what the request has taken. What was read ahead of the next one
// stays counted.
func (c *Conn) endRequest() {
	c.mutex.Lock()
	c.phase = phaseEnding
	c.hold.Wait(c.guard.Timer.Now())
	readAhead := c.lastRead
	c.mutex.Unlock()
	c.hold.GiveAll(KindBody, KindResponse)
	c.giveHead(readAhead)
}

// beginWrite sets the deadline of a piece. It reports false if nothing is written any more.
func (c *Conn) beginWrite() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.broken {
		return false
	}
	now := c.guard.Timer.Now()
	c.writing = true
	c.hold.Wait(now)
	if c.writeBy.Sub(now) >= c.limits.progressTime {
		return true
	}
	c.writeBy = now.Add(c.limits.progressTime + c.limits.progressTime/4) // is not set for each piece
	return c.Conn.SetWriteDeadline(c.writeBy) == nil
}

// endWrite records the end of a write.
func (c *Conn) endWrite() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.writing = false
	if c.phase == phaseServe {
		c.hold.Work()
	}
}

// cut ends what the connection does, to make room for others.
func (c *Conn) cut() {
	c.mutex.Lock()
	phase := c.phase
	switch {
	case c.closed || c.dismissed:
	case c.writing || phase == phaseEnding:
		c.broken, c.readsCut = true, true
		_ = c.Conn.Close() // net/http closes the Conn
	case phase == phaseServe:
		c.broken = true // its next write fails
	default:
		c.readsCut = true
		_ = c.Conn.SetReadDeadline(past) // fails only on a closed connection
	}
	c.mutex.Unlock()
	c.guard.reportCut(persimmoncart.RefusalMemory, phase)
}

// currentPhase returns the phase.
func (c *Conn) currentPhase() phase {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.phase
}

// isCut reports whether the connection is cut.
func (c *Conn) isCut() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.broken || c.readsCut
}

// isDismissed reports whether the connection is dismissed.
func (c *Conn) isDismissed() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.dismissed
}

// readError returns an error of a read that net/http does not respond to.
func (c *Conn) readError(err error) error {
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: err}
}

// writeError returns an error of a write.
func (c *Conn) writeError(err error) error {
	return &net.OpError{Op: "write", Net: "tcp", Addr: c.RemoteAddr(), Err: err}
}

// isTimeout reports whether an error is that of a deadline.
func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}
