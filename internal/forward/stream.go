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
	// eventBufferSize is the first size of a stream's buffer, and eventLimit the
	// largest event, bytes.
	eventBufferSize = 4 << 10
	maxEventSize    = 1 << 20
	// stallGaps is how many of the route's longest pauses a stream that may
	// resume elsewhere waits for its next event.
	stallGaps = 4
	// stallChecks is how often in that time a stream is looked at. A timer for each
	// event would cost more than the event.
	stallChecks = 8
)

// eventEnd ends every event.
var eventEnd = []byte("\n\n")

// errTruncated reports a stream that ended inside an event.
var errTruncated = errors.New("stream ended inside an event")

// A stream passes on the events of a generation, whole ones only. If its engine
// breaks off and the route allows it, the stream goes on at another engine.
type stream struct {
	*exchange

	assigned      *assignment
	body          io.ReadCloser
	buffer        []byte
	ctx           context.Context //nolint:containedctx // Body has no context
	end           int             // of the bytes passed on with the last call
	filled        int
	first         time.Time    // of the first piece; zero before it
	lastID        uint64       // last event passed on
	pieces        int          // passed on
	readStart     atomic.Int64 // when the read began that waits, after watched; zero if none does
	skipSeen      bool         // drop events up to last, as another engine may repeat them
	started       time.Time
	stopWatchdog  func()    // ends the watch over the reads; nil without one
	watchdogStart time.Time // begin of that watch
}

// Close implements Body.
func (s *stream) Close() error {
	s.closeEngine()
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
			s.countPiece()
			return piece, nil
		case err == nil:
			continue
		case isEOF(err):
			s.assigned.Decoded(s.router.Timer.Now().Sub(s.started), *s.engine)
			s.assigned.Succeeded(s.router.Timer.Now().Sub(s.started), 1)
			s.closeEngine()
			return nil, io.EOF
		case s.ctx.Err() != nil:
			s.closeEngine()
			return nil, s.contextError(s.ctx, true)
		}
		s.assigned.Failed()
		s.log(s.router.Logger.Warn()).Str("endpoint", string(s.endpoint)).Uint64("last", s.lastID).Err(err).Msg("stream broke")
		s.tried = append(s.tried, s.endpoint)
		s.closeEngine()
		if err := s.resume(err); err != nil {
			return nil, err
		}
	}
}

// closeEngine closes the connection to the engine, if it is open.
func (s *stream) closeEngine() {
	if s.body == nil {
		return
	}
	if s.stopWatchdog != nil {
		s.stopWatchdog()
	}
	_ = s.body.Close() // the engine stops by the close alone
	s.body, s.stopWatchdog = nil, nil
	s.assigned.Done()
}

// countPiece counts a piece for the metrics.
func (s *stream) countPiece() {
	if s.pieces++; s.pieces == 1 {
		s.first = s.router.Timer.Now()
		s.router.Metrics.ObserveFirstToken(s.route.Name, s.first.Sub(s.request.Arrived))
	}
}

// dropSeen drops the events at the start of piece that the caller already has.
func (s *stream) dropSeen(piece []byte) []byte {
	for len(piece) > 0 {
		end := bytes.Index(piece, eventEnd) + len(eventEnd)
		id, found := lastEventID(piece[:end])
		if !found || id > s.lastID {
			s.skipSeen = false
			return piece
		}
		piece = piece[end:]
	}
	return nil
}

// open starts to read an engine's events.
func (s *stream) open(b io.ReadCloser) {
	s.body, s.end, s.filled = b, 0, 0
	if s.buffer == nil {
		s.buffer = make([]byte, eventBufferSize)
	}
	if s.route.Repeat == persimmoncart.RepeatResume && s.route.GapTarget > 0 {
		s.startWatchdog(b)
	}
}

// read reads at least once and returns the whole events that are there. It
// returns io.EOF after the clean end of the stream.
func (s *stream) read() ([]byte, error) {
	copy(s.buffer, s.buffer[s.end:s.filled])
	s.filled, s.end = s.filled-s.end, 0
	if s.filled == len(s.buffer) {
		if s.filled >= maxEventSize {
			return nil, errors.Errorf("event of more than %d bytes", maxEventSize)
		}
		s.buffer = append(s.buffer, make([]byte, len(s.buffer))...)
	}
	if s.stopWatchdog != nil {
		s.readStart.Store(int64(s.router.Timer.Now().Sub(s.watchdogStart)))
	}
	n, err := s.body.Read(s.buffer[s.filled:])
	s.readStart.Store(0)
	s.filled += n
	if piece := s.wholeEvents(); len(piece) > 0 || err == nil {
		return piece, nil // an error comes again with the next read
	}
	if isEOF(err) && s.filled > s.end {
		return nil, errTruncated
	}
	return nil, err
}

// resume continues the stream at another engine, or returns why it cannot.
func (s *stream) resume(cause error) error {
	if s.route.Repeat != persimmoncart.RepeatResume {
		return &persimmoncart.Refusal{
			Code: persimmoncart.RefusalStreamBroken, Err: cause, Message: "the engine broke off",
			Outcome: persimmoncart.OutcomeUnknown,
		}
	}
	for s.ctx.Err() == nil && s.countSend(persimmoncart.RetryResume) {
		assigned := s.router.Directory.Assign(s.pool, s.decodeRequest())
		if assigned == nil {
			break
		}
		call := s.upstreamCall(&assigned.Endpoint)
		call.LastEventID = s.lastID
		s.started = s.router.Timer.Now()
		answer, err := s.router.Upstream.Send(s.ctx, call)
		if err == nil {
			if err = s.checkResponse(answer); err == nil && answer.Status != http.StatusOK {
				err = &StatusError{Status: answer.Status}
			}
			if err != nil {
				_ = answer.Body.Close()
			}
		}
		if err != nil {
			s.recordFailure(s.ctx, assigned, err)
			assigned.Done()
			s.tried = append(s.tried, assigned.Endpoint.ID)
			continue
		}
		s.assigned, s.endpoint, s.skipSeen = assigned, assigned.Endpoint.ID, true
		s.open(answer.Body)
		return nil
	}
	return &persimmoncart.Refusal{
		Code: persimmoncart.RefusalStreamBroken, Err: cause, Message: "no engine resumed the stream",
		Outcome: persimmoncart.OutcomeUnknown,
	}
}

// startWatchdog closes a body when a read of it waits for longer than stallGaps.
func (s *stream) startWatchdog(b io.Closer) {
	limit := stallGaps * s.route.GapTarget
	// Spans since the begin of the watch do not change when the clock is set.
	begin := s.router.Timer.Now()
	s.watchdogStart = begin.Add(-time.Nanosecond) // no read begins at zero
	s.stopWatchdog = s.router.Timer.Subscribe(limit/stallChecks, func(now time.Time) {
		if since := time.Duration(s.readStart.Load()); since != 0 && now.Sub(begin)-since >= limit {
			_ = b.Close() // the read fails by it
		}
	})
}

// wholeEvents returns the whole wholeEvents in the buffer that have not been passed on.
func (s *stream) wholeEvents() []byte {
	whole := bytes.LastIndex(s.buffer[:s.filled], eventEnd)
	if whole < 0 {
		return nil
	}
	s.end = whole + len(eventEnd)
	piece := s.buffer[:s.end]
	if s.skipSeen {
		piece = s.dropSeen(piece)
	}
	if id, found := lastEventID(piece); found {
		s.lastID = id
	}
	return piece
}

// lastEventID returns the identifier of the last event in piece that has one.
func lastEventID(piece []byte) (uint64, bool) {
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
