package objectapi

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

// watchIdleTimeout is the time without data after which a watch is closed: three
// missed keep-alives. It detects an interrupted network path.
const watchIdleTimeout = 3*keepAliveInterval + time.Second

// errWatchIdle is the cause of the *UnavailableError of a watch that received no
// data for watchIdleTimeout.
var errWatchIdle = errors.New("watch received no data within its timeout")

// A clientWatch is an open watch over HTTP. One goroutine reads its events.
type clientWatch struct {
	cancel context.CancelFunc
	closed chan struct{}
	events chan persimmoncart.WatchEvent
	err    error // set before events is closed
	once   sync.Once
}

// newClientWatch returns a watch that reads body until cancel is called.
func newClientWatch(body io.ReadCloser, cancel context.CancelFunc, timer persimmoncart.Timer) *clientWatch {
	w := &clientWatch{
		cancel: cancel,
		closed: make(chan struct{}),
		events: make(chan persimmoncart.WatchEvent),
	}
	go w.readEvents(body, timer)
	return w
}

// Close implements persimmoncart.Watch.
func (w *clientWatch) Close() error {
	w.once.Do(func() {
		close(w.closed)
		w.cancel()
	})
	return nil
}

// Next implements persimmoncart.Watch.
func (w *clientWatch) Next(ctx context.Context) (persimmoncart.WatchEvent, error) {
	select {
	case <-w.closed:
		return persimmoncart.WatchEvent{}, &persimmoncart.UnavailableError{Err: errWatchClosed, Operation: watchOperation}
	default:
	}
	select {
	case <-ctx.Done():
		return persimmoncart.WatchEvent{}, ctx.Err()
	case e, ok := <-w.events:
		if !ok {
			return persimmoncart.WatchEvent{}, &persimmoncart.UnavailableError{Err: w.err, Operation: watchOperation}
		}
		return e, nil
	}
}

// readEvents reads events until the body ends, a read fails or no data arrives for
// watchIdleTimeout.
func (w *clientWatch) readEvents(body io.ReadCloser, timer persimmoncart.Timer) {
	defer close(w.events)
	defer w.cancel()
	defer func() { _ = body.Close() }()
	reader := bufio.NewReader(body)
	for {
		var idle atomic.Bool
		stop := timer.After(watchIdleTimeout, func(time.Time) {
			idle.Store(true)
			w.cancel()
		})
		line, err := readLine(reader)
		stop()
		if idle.Load() {
			err = errWatchIdle
		}
		if err != nil {
			w.err = err
			return
		}
		if len(line) == 0 {
			continue
		}
		e, err := parseEvent(line)
		if err != nil {
			w.err = err
			return
		}
		select {
		case <-w.closed:
			w.err = errWatchClosed
			return
		case w.events <- e:
		}
	}
}

// parseEvent parses one line. It returns a *transport.ProtocolError if the line is
// no event.
func parseEvent(line []byte) (persimmoncart.WatchEvent, error) {
	var o wireObject
	if err := json.Unmarshal(line, &o); err != nil {
		return persimmoncart.WatchEvent{}, transport.NewProtocolError(err.Error(), line)
	}
	if o.Key == "" || o.Version == 0 {
		return persimmoncart.WatchEvent{}, transport.NewProtocolError("event without key or version", line)
	}
	return persimmoncart.WatchEvent{
		Deleted: o.Deleted,
		Object:  persimmoncart.Object{Key: o.Key, Value: o.Value, Version: o.Version},
	}, nil
}

// readLine reads one line without its newline. It returns a
// *transport.ResponseTooLargeError if the line exceeds maxObjectBytes, and
// io.ErrUnexpectedEOF at the end of the stream.
func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		fragment, err := r.ReadSlice('\n')
		line = append(line, fragment...)
		if len(line) > maxObjectBytes {
			return nil, &transport.ResponseTooLargeError{Limit: maxObjectBytes}
		}
		switch {
		case err == nil:
			return line[:len(line)-1], nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}
