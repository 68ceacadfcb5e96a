package forward

import (
	"bytes"
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// eventBufferSize is the initial size in bytes of a stream's buffer. The buffer
	// grows to hold an event of up to maxEventSize.
	eventBufferSize = 4 << 10
	maxEventSize    = 1 << 20
	// stallGaps is the multiple of the route's GapTarget for which a stream that may
	// resume at another engine waits for its next event.
	stallGaps = 4
	// stallChecks is the number of checks of a stream within the time of stallGaps.
	// A timer for each event would cost more than the event.
	stallChecks = 8
)

// eventEnd terminates every event.
var eventEnd = []byte("\n\n")

// errTruncated reports a stream that ended within an event.
var errTruncated = errors.New("stream ended inside an event")

// A stream passes on the complete events of a generation. If its engine breaks off
// and the route allows it, the stream resumes at another engine.
type stream struct {
	*exchange

	assigned      *assignment
	body          io.ReadCloser
	buffer        []byte
	ctx           context.Context //nolint:containedctx // Body has no context
	end           int             // bytes at the start of buffer that the last call of read passed on
	filled        int             // bytes in buffer
	first         time.Time       // when the first piece was passed on; zero before
	lastID        uint64          // identifier of the last event passed on
	pieces        int             // number of pieces passed on
	readStart     atomic.Int64    // start of the pending read, in nanoseconds after watchdogStart; zero if none is pending
	skipSeen      bool            // drop events up to lastID, which another engine may send again
	started       time.Time       // when the request was sent to the current engine
	stalled       atomic.Int64    // time spent in reads since the last whole event, without the pending read, in nanoseconds
	stopWatchdog  func()          // stops the watchdog; nil without one
	watchdogStart time.Time       // origin of readStart, before the first read
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
			s.recordOutput()
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

// closeEngine closes the connection to the engine, if it is open, and ends the
// assignment.
func (s *stream) closeEngine() {
	if s.body == nil {
		return
	}
	if s.stopWatchdog != nil {
		s.stopWatchdog()
	}
	_ = s.body.Close() // closing the connection is enough to stop the engine
	s.body, s.stopWatchdog = nil, nil
	s.assigned.Done()
}

// countPiece counts a piece and records the time to the first one in the metrics.
func (s *stream) countPiece() {
	if s.pieces++; s.pieces == 1 {
		s.first = s.router.Timer.Now()
		s.router.Metrics.ObserveFirstToken(s.route.Name, s.first.Sub(s.request.Arrived))
	}
}

// recordOutput records the number of output tokens of the whole stream. Events have
// consecutive identifiers from 1.
func (s *stream) recordOutput() {
	if s.engine.EventTokens > 0 && s.lastID > 0 {
		s.router.Directory.RecordOutput(s.pool, s.request.Generation, int(min(s.lastID, math.MaxInt32))*s.engine.EventTokens)
	}
}

// dropSeen drops the events at the start of piece up to lastID, which the caller
// already has.
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

// open starts to read events from an engine's response. The watchdog runs only for
// a stream that may resume.
func (s *stream) open(b io.ReadCloser) {
	s.body, s.end, s.filled = b, 0, 0
	if s.buffer == nil {
		s.buffer = make([]byte, eventBufferSize)
	}
	if s.route.Repeat == persimmoncart.RepeatResume && s.route.GapTarget > 0 {
		s.startWatchdog(b)
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
	if s.stopWatchdog != nil {
		s.readStart.Store(int64(s.router.Timer.Now().Sub(s.watchdogStart)))
	}
	n, err := s.body.Read(s.buffer[s.filled:])
	began := s.readStart.Swap(0)
	s.filled += n
	piece := s.wholeEvents()
	switch {
	case len(piece) > 0:
		s.stalled.Store(0)
	case began != 0:
		s.stalled.Add(int64(s.router.Timer.Now().Sub(s.watchdogStart)) - began)
	}
	if len(piece) > 0 || err == nil {
		return piece, nil // the next read returns the error again
	}
	if isEOF(err) && s.filled > s.end {
		return nil, errTruncated
	}
	return nil, err
}

// resume continues the stream at another engine. It returns a refusal with the
// given cause if the route's number of runs, the retry budget or the engines do not
// allow it.
func (s *stream) resume(cause error) error {
	if s.route.Repeat != persimmoncart.RepeatResume {
		return &persimmoncart.Refusal{
			Code: persimmoncart.RefusalStreamBroken, Err: cause, Message: "the engine broke off",
			Outcome: persimmoncart.OutcomeUnknown,
		}
	}
	for s.ctx.Err() == nil && s.mayRun() {
		assigned := s.router.Directory.Assign(s.pool, s.decodeRequest())
		if assigned == nil {
			break
		}
		if !s.startRun(persimmoncart.RetryResume) {
			assigned.Done()
			break
		}
		call := s.upstreamCall(&assigned.Endpoint)
		call.LastEventID = s.lastID
		s.started = s.router.Timer.Now()
		response, err := s.router.Upstream.Send(s.ctx, call)
		if err == nil {
			if err = s.checkResponse(response); err == nil && response.Status != http.StatusOK {
				err = &StatusError{Status: response.Status}
			}
			if err != nil {
				_ = response.Body.Close()
			}
		}
		if err != nil {
			s.recordOutcome(s.recordFailure(s.ctx, assigned, err))
			assigned.Done()
			s.tried = append(s.tried, assigned.Endpoint.ID)
			continue
		}
		s.assigned, s.endpoint, s.skipSeen = assigned, assigned.Endpoint.ID, true
		s.open(response.Body)
		return nil
	}
	return &persimmoncart.Refusal{
		Code: persimmoncart.RefusalStreamBroken, Err: cause, Message: "no engine resumed the stream",
		Outcome: persimmoncart.OutcomeUnknown,
	}
}

// startWatchdog closes a body when reads of it have taken stallGaps times the route's
// GapTarget without a whole event: an engine that has stalled may send a byte now
// and then. Time in which the caller does not read does not count.
func (s *stream) startWatchdog(b io.Closer) {
	limit := stallGaps * s.route.GapTarget
	s.stalled.Store(0)
	// Durations since a fixed start do not change when the clock is set.
	start := s.router.Timer.Now()
	s.watchdogStart = start.Add(-time.Nanosecond) // keeps readStart from being zero during a read
	s.stopWatchdog = s.router.Timer.Subscribe(limit/stallChecks, func(now time.Time) {
		if began := time.Duration(s.readStart.Load()); began != 0 && time.Duration(s.stalled.Load())+now.Sub(start)-began >= limit {
			_ = b.Close() // makes the pending read fail
		}
	})
}

// wholeEvents returns the complete events in the buffer, without those that
// dropSeen drops, and sets end and lastID.
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

// lastEventID returns the identifier of the last event in piece that has one. It
// reports false if there is none or it is not a number.
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
