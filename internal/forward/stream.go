package forward

import (
	"bytes"
	"context"
	"io"
	"math"
	"time"

	"github.com/go-faster/errors"
)

const (
	// eventBufferSize is the initial size in bytes of a stream's buffer. The buffer
	// grows to hold an event of up to maxEventSize, of some thousand tokens: each stream of
	// a faulty engine may fill it.
	eventBufferSize = 4 << 10
	maxEventSize    = 64 << 10
)

// errTruncated reports a stream that ended within an event.
var errTruncated = errors.New("stream ended inside an event")

// A stream passes on the complete events of a generation. If its engine breaks off
// and the route allows it, the stream resumes at another engine.
type stream struct {
	*exchange

	assigned      *assignment
	body          io.ReadCloser
	brokeEarly    bool // the last engine broke off at the beginning of its response
	buffer        []byte
	ctx           context.Context //nolint:containedctx // Body has no context
	end           int             // bytes at the start of buffer that the last call of read passed on
	filled        int             // bytes in buffer
	noSuccessor   bool            // it was logged that no engine can take over
	pieces        int             // number of pieces passed on
	receivedFirst time.Time       // when the first of them was received
	received      int             // events of the current engine, those that are dropped included
	skipReceived  bool            // drop events that the caller has, which another engine may send again
	started       time.Time       // when the request was sent to the current engine
	watch         *stallWatch     // of the current engine; nil if the stream may not resume
}

// Close implements Body.
func (s *stream) Close() error {
	s.abandon()
	if s.pieces > 0 {
		gap := s.router.Timer.Now().Sub(s.progress.first) / time.Duration(max(1, s.pieces-1))
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
			s.recordOutput()
			if s.received > 0 {
				s.router.Quarantine.RecordCompletion(s.parts)
			}
			s.assigned.Streamed(s.router.Timer.Now().Sub(s.receivedFirst), s.received)
			s.assigned.Succeeded(s.router.Timer.Now().Sub(s.started), 1)
			s.abandon()
			return nil, io.EOF
		case s.ctx.Err() != nil:
			s.abandon()
			return nil, s.contextError(s.ctx, true)
		}
		s.assigned.Failed()
		next := s.closeEngine()
		stalled := next != nil
		s.withParts(s.router.Logger.Warn()).Str("endpoint", string(s.endpoint)).Stringer("last", s.progress.position).Bool("stalled", stalled).
			Err(err).Msg("stream broke")
		s.tried = append(s.tried, s.endpoint)
		s.brokeEarly = !stalled && s.received <= maxEarlyEvents
		if s.brokeEarly {
			s.checkCrash(&s.assigned.Endpoint)
		}
		if err := s.resume(err, next); err != nil {
			return nil, err
		}
	}
}

// closeEngine closes the connection to the engine, if it is open, and ends the
// assignment. It returns the engine that takes over after a stall, or nil.
func (s *stream) closeEngine() *successor {
	if s.body == nil {
		return nil
	}
	var next *successor
	if s.watch != nil {
		next = s.watch.Stop()
	}
	_ = s.body.Close() // closing the connection is enough to stop the engine
	s.body, s.watch = nil, nil
	s.assigned.Done()
	return next
}

// abandon closes the engine and gives up the one that was to take over.
func (s *stream) abandon() { s.closeEngine().Abandon() }

// countPiece counts a piece and records the time to the first one in the metrics.
func (s *stream) countPiece() {
	if s.pieces++; s.pieces == 1 {
		s.router.Metrics.ObserveFirstToken(s.route.Name, s.progress.first.Sub(s.request.Arrived))
	}
}

// recordOutput records the number of output tokens of a stream that began here.
func (s *stream) recordOutput() {
	if s.engine.EventTokens > 0 && s.progress.events > 0 && !s.request.Position.Begun() {
		s.router.Directory.RecordOutput(s.pool, s.request.Generation, min(s.progress.events, math.MaxInt32/s.engine.EventTokens)*s.engine.EventTokens)
	}
}

// open starts to read events from an engine's response, and watches it if the stream
// may resume at another engine.
func (s *stream) open(b io.ReadCloser) {
	s.body, s.end, s.filled, s.received = b, 0, 0, 0
	if s.buffer == nil {
		s.buffer = make([]byte, eventBufferSize)
	}
	if s.mayResume() && s.route.GapTarget > 0 {
		s.watch = &stallWatch{Body: b, Limit: stallGaps * s.route.GapTarget, Reserve: s.reserveSuccessor, Timer: s.router.Timer}
		s.watch.Start(s.ctx)
	}
}

// read reads once from the engine and returns the complete events in the buffer,
// which may be none. It returns io.EOF after the clean end of the stream.
func (s *stream) read() ([]byte, error) {
	copy(s.buffer, s.buffer[s.end:s.filled])
	s.filled, s.end = s.filled-s.end, 0
	if s.filled == len(s.buffer) {
		if s.filled >= maxEventSize {
			return nil, errors.Errorf("event is larger than %d bytes", maxEventSize)
		}
		s.buffer = append(s.buffer, make([]byte, len(s.buffer))...)
	}
	if s.watch != nil {
		s.watch.BeginRead()
	}
	n, err := s.body.Read(s.buffer[s.filled:])
	s.filled += n
	piece := s.wholeEvents()
	if s.watch != nil {
		s.watch.EndRead(len(piece) > 0)
	}
	if len(piece) > 0 || err == nil {
		return piece, nil // the next read returns the error again
	}
	if isEOF(err) && s.filled > s.end {
		return nil, errTruncated
	}
	return nil, err
}

// wholeEvents returns the complete events in the buffer, without those that the caller
// has, adds them to the progress and sets end.
func (s *stream) wholeEvents() []byte {
	whole := bytes.LastIndex(s.buffer[:s.filled], eventEnd)
	if whole < 0 {
		return nil
	}
	s.end = whole + len(eventEnd)
	piece := s.buffer[:s.end]
	count := bytes.Count(piece, eventEnd)
	if s.received == 0 {
		s.receivedFirst = s.router.Timer.Now()
	}
	s.received += count
	if s.skipReceived {
		piece = s.progress.dropReceived(piece)
		s.skipReceived, count = len(piece) == 0, bytes.Count(piece, eventEnd)
	}
	s.progress.Add(s.router.Timer, piece, count)
	return piece
}
