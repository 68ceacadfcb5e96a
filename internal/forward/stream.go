package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// eventBuffer is the first size of a stream's buffer, and eventLimit the
	// largest event, bytes.
	eventBuffer = 4 << 10
	eventLimit  = 1 << 20
	// stallGaps is how many of the route's longest pauses a stream that may
	// resume elsewhere waits for its next event.
	stallGaps = 4
	// stallLooks is how often in that time a stream is looked at. A timer for each
	// event would cost more than the event.
	stallLooks = 8
)

// eventEnd ends every event.
var eventEnd = []byte("\n\n")

// errTorn reports a stream that ended inside an event.
var errTorn = errors.New("stream ended inside an event")

// A stream passes on the events of a generation, whole ones only. If its engine
// breaks off and the route allows it, the stream goes on at another engine.
type stream struct {
	*exchange

	body    io.ReadCloser
	buffer  []byte
	ctx     context.Context //nolint:containedctx // Body has no context
	end     int             // of the bytes passed on with the last call
	filled  int
	first   time.Time // of the first piece; zero before it
	last    uint64    // last event passed on
	lease   *lease
	pieces  int          // passed on
	reading atomic.Int64 // when the read began that waits, after watched; zero if none does
	skip    bool         // drop events up to last, as another engine may repeat them
	started time.Time
	unwatch func()    // ends the watch over the reads; nil without one
	watched time.Time // begin of that watch
}

// Close implements Body.
func (s *stream) Close() error {
	s.leave()
	if s.pieces > 0 {
		gap := s.router.Timer.Now().Sub(s.first) / time.Duration(max(1, s.pieces-1))
		s.router.Metrics.EndStream(s.pieces, gap)
		s.pieces = 0
	}
	return nil
}

// Next implements Body.
func (s *stream) Next() ([]byte, error) {
	for {
		piece, err := s.read()
		switch {
		case err == nil && len(piece) > 0:
			s.count()
			return piece, nil
		case err == nil:
			continue
		case isEOF(err):
			s.lease.Decoded(s.router.Timer.Now().Sub(s.started), *s.engine)
			s.lease.Succeeded(s.router.Timer.Now().Sub(s.started), 1)
			s.leave()
			return nil, io.EOF
		case s.ctx.Err() != nil:
			s.leave()
			return nil, s.ended(s.ctx, true)
		}
		s.lease.Failed()
		s.log(s.router.Logger.Warn()).Str("endpoint", string(s.endpoint)).Uint64("last", s.last).Err(err).Msg("stream broke")
		s.tried = append(s.tried, s.endpoint)
		s.leave()
		if err := s.resume(err); err != nil {
			return nil, err
		}
	}
}

// count counts a piece for the metrics.
func (s *stream) count() {
	if s.pieces++; s.pieces == 1 {
		s.first = s.router.Timer.Now()
		s.router.Metrics.ObserveFirstToken(s.rule.Name, s.first.Sub(s.request.Arrived))
	}
}

// events returns the whole events in the buffer that have not been passed on.
func (s *stream) events() []byte {
	whole := bytes.LastIndex(s.buffer[:s.filled], eventEnd)
	if whole < 0 {
		return nil
	}
	s.end = whole + len(eventEnd)
	piece := s.buffer[:s.end]
	if s.skip {
		piece = s.unseen(piece)
	}
	if id, found := lastEvent(piece); found {
		s.last = id
	}
	return piece
}

// leave closes the connection to the engine, if it is open.
func (s *stream) leave() {
	if s.body == nil {
		return
	}
	if s.unwatch != nil {
		s.unwatch()
	}
	_ = s.body.Close() // the engine stops by the close alone
	s.body, s.unwatch = nil, nil
	s.lease.Done()
}

// open starts to read an engine's events.
func (s *stream) open(b io.ReadCloser) {
	s.body, s.end, s.filled = b, 0, 0
	if s.buffer == nil {
		s.buffer = make([]byte, eventBuffer)
	}
	if s.rule.Repeat == persimmoncart.RepeatResume && s.rule.GapTarget > 0 {
		s.watch(b)
	}
}

// read reads at least once and returns the whole events that are there. It
// returns io.EOF after the clean end of the stream.
func (s *stream) read() ([]byte, error) {
	copy(s.buffer, s.buffer[s.end:s.filled])
	s.filled, s.end = s.filled-s.end, 0
	if s.filled == len(s.buffer) {
		if s.filled >= eventLimit {
			return nil, errors.Errorf("event of more than %d bytes", eventLimit)
		}
		s.buffer = append(s.buffer, make([]byte, len(s.buffer))...)
	}
	if s.unwatch != nil {
		s.reading.Store(int64(s.router.Timer.Now().Sub(s.watched)))
	}
	n, err := s.body.Read(s.buffer[s.filled:])
	s.reading.Store(0)
	s.filled += n
	if piece := s.events(); len(piece) > 0 || err == nil {
		return piece, nil // an error comes again with the next read
	}
	if isEOF(err) && s.filled > s.end {
		return nil, errTorn
	}
	return nil, err
}

// resume continues the stream at another engine, or returns why it cannot.
func (s *stream) resume(cause error) error {
	if s.rule.Repeat != persimmoncart.RepeatResume {
		return &persimmoncart.Refusal{
			Code: persimmoncart.RefusalStreamBroken, Err: cause, Message: "the engine broke off",
			Outcome: persimmoncart.OutcomeUnknown,
		}
	}
	for s.ctx.Err() == nil && s.arrive(persimmoncart.RetryResume) {
		l := s.router.Directory.Take(s.pool, s.decodeRequest())
		if l == nil {
			break
		}
		call := s.call(&l.Endpoint)
		call.LastEventID = s.last
		s.started = s.router.Timer.Now()
		answer, err := s.router.Upstream.Send(s.ctx, call)
		if err == nil {
			if err = s.check(answer); err == nil && answer.Status != http.StatusOK {
				err = &StatusError{Status: answer.Status}
			}
			if err != nil {
				_ = answer.Body.Close()
			}
		}
		if err != nil {
			s.failure(s.ctx, l, err)
			l.Done()
			s.tried = append(s.tried, l.Endpoint.ID)
			continue
		}
		s.lease, s.endpoint, s.skip = l, l.Endpoint.ID, true
		s.open(answer.Body)
		return nil
	}
	return &persimmoncart.Refusal{
		Code: persimmoncart.RefusalStreamBroken, Err: cause, Message: "no engine resumed the stream",
		Outcome: persimmoncart.OutcomeUnknown,
	}
}

// unseen drops the events at the start of piece that the caller already has.
func (s *stream) unseen(piece []byte) []byte {
	for len(piece) > 0 {
		end := bytes.Index(piece, eventEnd) + len(eventEnd)
		id, found := lastEvent(piece[:end])
		if !found || id > s.last {
			s.skip = false
			return piece
		}
		piece = piece[end:]
	}
	return nil
}

// watch closes a body when a read of it waits for longer than stallGaps.
func (s *stream) watch(b io.Closer) {
	limit := stallGaps * s.rule.GapTarget
	// Spans since the begin of the watch do not change when the clock is set.
	begin := s.router.Timer.Now()
	s.watched = begin.Add(-time.Nanosecond) // no read begins at zero
	s.unwatch = s.router.Timer.Subscribe(limit/stallLooks, func(now time.Time) {
		if since := time.Duration(s.reading.Load()); since != 0 && now.Sub(begin)-since >= limit {
			_ = b.Close() // the read fails by it
		}
	})
}

// lastEvent returns the identifier of the last event in piece that has one.
func lastEvent(piece []byte) (uint64, bool) {
	for len(piece) > 0 {
		start := bytes.LastIndex(bytes.TrimRight(piece, "\n"), []byte("\n")) + 1
		line := bytes.TrimRight(piece[start:], "\n")
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
			return id, err == nil
		}
		piece = piece[:start]
	}
	return 0, false
}
