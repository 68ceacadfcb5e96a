package forward

import (
	"context"
	"net/http"
	"slices"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
)

// A successor is the engine that continues a stream.
type successor struct {
	assigned    *assignment
	exchange    *exchange
	reservation string // identifier of its reservation; empty without one
}

// TakeRetry takes the retry for the resumption, unless it has been taken already, and
// reports whether the budget allows it.
func (s *successor) TakeRetry() bool {
	x := s.exchange
	x.retryPaid = x.retryPaid || x.router.Directory.TakeRetry(x.pool)
	return x.retryPaid
}

// Abandon frees the engine if it is not used. It does nothing for nil.
func (s *successor) Abandon() {
	if s == nil {
		return
	}
	s.assigned.Done()
	if s.reservation != "" {
		s.exchange.releaseReservation(&s.assigned.Endpoint, s.reservation)
	}
}

// reserveSuccessor reserves another engine for the rest of the stream. It returns nil
// if the retry budget or the engines do not allow that.
func (s *stream) reserveSuccessor(ctx context.Context) *successor {
	if s.interruptionRefusal() != nil {
		s.logNoSuccessor("the instance is stopping")
		return nil
	}
	if !s.retryPaid && !s.router.Directory.MayRetry(s.pool) {
		s.logNoSuccessor("retry budget is used up")
		return nil
	}
	request := s.decodeRequest()
	request.Avoid = append(slices.Clone(s.tried), s.endpoint)
	request.MinFreeTokens = request.Tokens
	assigned := s.router.Directory.Assign(s.pool, request)
	if assigned == nil {
		s.logNoSuccessor("no engine has room")
		return nil
	}
	if assigned.Endpoint.ID == s.endpoint {
		assigned.Done()
		s.logNoSuccessor("no other engine has room")
		return nil
	}
	reservation, ok := s.reserve(ctx, assigned, request.Tokens, 0)
	if !ok {
		s.logNoSuccessor("the other engine made no reservation")
		return nil
	}
	return &successor{assigned: assigned, exchange: s.exchange, reservation: reservation}
}

// logNoSuccessor logs, once for each stream, that it stays with a stalled engine.
func (s *stream) logNoSuccessor(reason string) {
	if s.noSuccessor {
		return
	}
	s.noSuccessor = true
	s.log(s.router.Logger.Info()).Str("endpoint", string(s.endpoint)).Str("reason", reason).Msg("stalled stream stays at its engine")
}

// resume continues the stream at next or, if that is nil, at another engine. It
// returns a refusal with the given cause if the route's number of runs, the retry
// budget or the engines do not allow it, or the instance stops before its end.
func (s *stream) resume(cause error, next *successor) error {
	if s.route.Repeat != persimmoncart.RepeatResume || !s.progress.MayResume() {
		return &persimmoncart.Refusal{
			Code: persimmoncart.RefusalStreamBroken, Err: cause, Message: "the engine broke off",
			Outcome: persimmoncart.OutcomeUnknown,
		}
	}
	for s.ctx.Err() == nil && s.mayRun() {
		if s.brokeEarly && s.awaitSuspicion() {
			cause = errSuspected
			break
		}
		if s.interruptionRefusal() != nil {
			cause = ErrStopped
			break
		}
		if next == nil {
			next = s.assignSuccessor()
		}
		if next == nil || !s.startRun(persimmoncart.RetryResume) {
			break
		}
		err := s.resumeAt(next)
		if err == nil {
			return nil
		}
		outcome := s.recordFailure(s.ctx, next.assigned, err)
		s.recordOutcome(outcome)
		if outcome != sendNotRun && s.ctx.Err() == nil {
			s.brokeEarly = true
			s.checkCrash(&next.assigned.Endpoint)
		}
		next.Abandon()
		s.tried = append(s.tried, next.assigned.Endpoint.ID)
		next = nil
	}
	next.Abandon()
	if s.ctx.Err() != nil {
		return s.contextError(s.ctx, true)
	}
	return &persimmoncart.Refusal{
		Code: persimmoncart.RefusalStreamBroken, Err: cause, Message: "the stream was not resumed",
		Outcome: persimmoncart.OutcomeUnknown,
	}
}

// assignSuccessor chooses another engine for the rest of the stream, without a
// reservation. It returns nil if there is none.
func (s *stream) assignSuccessor() *successor {
	for range maxSends {
		assigned := s.router.Directory.Assign(s.pool, s.decodeRequest())
		if assigned == nil {
			return nil
		}
		if s.identify(s.ctx, assigned) {
			return &successor{assigned: assigned, exchange: s.exchange}
		}
		s.tried = append(s.tried, assigned.Endpoint.ID)
	}
	return nil
}

// resumeAt sends the request for the rest of the stream to an engine.
func (s *stream) resumeAt(next *successor) error {
	call := s.upstreamCall(&next.assigned.Endpoint)
	call.Position, call.Reservation = s.progress.position, next.reservation
	s.started = s.router.Timer.Now()
	response, err := s.router.Upstream.Send(s.ctx, call)
	if err != nil {
		return errors.Wrap(err, "resume")
	}
	next.reservation = "" // the engine has used it
	err = s.checkResponse(response)
	if err == nil && response.Status != http.StatusOK {
		err = &StatusError{Status: response.Status}
	}
	if err != nil {
		_ = response.Body.Close()
		return err
	}
	s.assigned, s.endpoint, s.skipReceived = next.assigned, next.assigned.Endpoint.ID, true
	s.open(response.Body)
	return nil
}
