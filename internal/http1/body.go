package http1

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart/internal/transport"
)

// endPause is the pause between two looks at a connection at whose end a response
// ends. A process that ends its responses and closes the connection with a part of the
// request unread sends a FIN and right after it a reset.
const endPause = 5 * time.Millisecond

// A body reads the body of a response and returns the connection to the client at
// its end.
type body struct {
	closeDelimited bool // the body has no length and ends with the connection
	closed         bool // Close was called before the end
	conn           *conn
	ctx            context.Context //nolint:containedctx // io.Reader has no context
	done           bool            // the end was reached or Close was called
	failure        error           // of a read; nil if none has failed
	idle           time.Duration   // how long the connection may be idle afterwards
	mutex          sync.Mutex      // Close may be called during Read
	reader         io.ReadCloser
	reuse          bool        // the connection may carry another request
	stop           func() bool // detaches the connection from ctx; false if ctx has ended
	written        chan bool   // receives whether the complete request body was written
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	b.mutex.Lock()
	done, closed, failure := b.done, b.closed, b.failure
	b.mutex.Unlock()
	switch {
	case failure != nil:
		return 0, failure
	case closed:
		return 0, errors.Wrap(net.ErrClosed, "read body") // not io.EOF: the body is incomplete
	case done:
		return 0, io.EOF
	}
	n, err := b.reader.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		if err = b.checkEnd(); err == nil {
			b.finish()
			return n, io.EOF
		}
	case b.ctx.Err() != nil:
		err = b.ctx.Err()
	}
	return n, b.fail(errors.Wrap(err, "read body"))
}

// fail makes all later reads return err, and closes the connection. Without it, a second
// read would end with io.EOF: the kernel reports a reset once, and net/http a missing rest
// of a body once.
func (b *body) fail(err error) error {
	b.mutex.Lock()
	b.failure = err
	b.mutex.Unlock()
	_ = b.Close()
	return err
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.done {
		b.done, b.closed = true, true
		b.stop()
		b.conn.close()
	}
	return nil
}

// checkEnd returns an error if the connection, at whose end a response without a length
// ends, was not ended in order by an endpoint that had received the whole request. The
// read has ended with io.EOF, which proves neither (see transport.EndStateOf).
func (b *body) checkEnd() error {
	if !b.closeDelimited {
		return nil
	}
	if !b.requestWritten() {
		return errors.Wrap(io.ErrUnexpectedEOF, "request was not written")
	}
	for ended := false; ; {
		switch state := transport.EndStateOf(b.conn.network); {
		case state == transport.EndReset:
			return errors.Wrap(io.ErrUnexpectedEOF, "connection was reset")
		case state == transport.EndUnknown, state == transport.EndOrderly && ended:
			return nil
		default:
			ended = state == transport.EndOrderly
		}
		if err := b.conn.client.Timer.Sleep(b.ctx, endPause); err != nil {
			return errors.Wrap(err, "wait until the endpoint has received the request")
		}
	}
}

// requestWritten waits for the end of the request's write and reports whether the
// complete body was written.
func (b *body) requestWritten() bool {
	complete := <-b.written
	b.written <- complete // for finish
	return complete
}

// finish returns the connection to the client if it is clean after the response,
// and closes it otherwise.
func (b *body) finish() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.done {
		return
	}
	b.done = true
	complete := false
	select {
	case complete = <-b.written:
	default: // the endpoint responded before the request body was written
	}
	if b.stop() && complete && b.reuse && b.conn.reader.Buffered() == 0 && b.conn.endLarge() {
		b.conn.client.put(b.conn, b.idle)
		return
	}
	b.conn.close()
}
