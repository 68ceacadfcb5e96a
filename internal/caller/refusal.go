package caller

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/route"
)

// retryJitter is the share by which retry times are lengthened at random, so
// that refused callers do not come back at the same moment.
const retryJitter = 0.5

// An errorBody is the JSON body of every refusal.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// An errorDetail says what was refused and whether it ran.
type errorDetail struct {
	Code       persimmoncart.RefusalCode `json:"code"`
	Message    string                    `json:"message"`
	Outcome    persimmoncart.Outcome     `json:"outcome"`
	Request    persimmoncart.RequestID   `json:"request"`
	RetryAfter string                    `json:"retry,omitempty"`
}

// refuse ends the exchange with err. Text of errors other than refusals never
// reaches the caller.
func (e *exchange) refuse(err error) {
	e.cause = route.CauseLabel(err)
	gone := &route.CallerGoneError{}
	if errors.As(err, &gone) {
		e.outcome, e.cause = persimmoncart.OutcomeUnknown, "caller_gone"
		return
	}
	r := &persimmoncart.Refusal{}
	if !errors.As(err, &r) {
		r = &persimmoncart.Refusal{Code: persimmoncart.RefusalInternal, Message: "internal error", Outcome: persimmoncart.OutcomeUnknown}
	} else {
		e.cause = route.CauseLabel(r.Err)
	}
	if r.Outcome == 0 {
		r.Outcome = persimmoncart.OutcomeNotRun
	}
	e.code, e.outcome = r.Code, r.Outcome
	e.handler.Metrics.CountRefusal(r.Code)
	if e.responseStarted {
		return // the stream has written its own end
	}
	e.writeRefusal(r)
}

// refusalBody returns the JSON refusalBody of r, and its retry time after spreading.
func (e *exchange) refusalBody(r *persimmoncart.Refusal) ([]byte, time.Duration) {
	retry := e.handler.jitter(r.RetryAfter)
	detail := errorDetail{Code: r.Code, Message: r.Message, Outcome: r.Outcome, Request: e.id}
	if retry > 0 {
		detail.RetryAfter = retry.String()
	}
	body, err := json.Marshal(errorBody{Error: detail})
	if err != nil { // only an outcome that is not declared fails
		return []byte(`{"error":{"code":"internal","message":"internal error","outcome":"unknown"}}`), retry
	}
	return body, retry
}

// writeRefusal writes r as the whole answer.
func (e *exchange) writeRefusal(r *persimmoncart.Refusal) {
	e.responseStarted = true
	body, retry := e.refusalBody(r)
	header := e.writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if retry > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(retry.Seconds()))))
	}
	if r.Code == persimmoncart.RefusalAccountUnknown {
		header.Set("WWW-Authenticate", "Bearer")
	}
	if r.Code == persimmoncart.RefusalBodyTooLarge || r.Code == persimmoncart.RefusalBodyInvalid {
		header.Set("Connection", "close") // what is left of the body is not read
	}
	e.writer.WriteHeader(RefusalStatus(r.Code))
	_, _ = e.writer.Write(body) // nobody is left to tell about a failure
}

// jitter lengthens a retry time at random, to whole milliseconds.
func (h *Handler) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	random := rand.Float64
	if h.Random != nil {
		random = h.Random
	}
	return (d + time.Duration(float64(d)*retryJitter*random())).Round(time.Millisecond)
}

// RefusalStatus returns the HTTP status that a refusal has towards callers.
func RefusalStatus(code persimmoncart.RefusalCode) int {
	switch code {
	case persimmoncart.RefusalAccountUnknown:
		return http.StatusUnauthorized
	case persimmoncart.RefusalBodyInvalid, persimmoncart.RefusalKeyInvalid, persimmoncart.RefusalKeyMissing:
		return http.StatusBadRequest
	case persimmoncart.RefusalModelUnknown, persimmoncart.RefusalRouteUnknown:
		return http.StatusNotFound
	case persimmoncart.RefusalClaimed:
		return http.StatusConflict
	case persimmoncart.RefusalBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case persimmoncart.RefusalAccountLimited:
		return http.StatusTooManyRequests
	case persimmoncart.RefusalInternal:
		return http.StatusInternalServerError
	case persimmoncart.RefusalEndpointFailed, persimmoncart.RefusalEndpointInvalid, persimmoncart.RefusalStreamBroken:
		return http.StatusBadGateway
	case persimmoncart.RefusalDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}
