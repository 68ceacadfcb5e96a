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

// retryJitter is the largest random addition to a retry time, as a share of it, so
// that refused callers do not all retry at the same time.
const retryJitter = 0.5

// An errorBody is the JSON body of every refusal.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// An errorDetail states why a request was refused and whether it ran.
type errorDetail struct {
	Code       persimmoncart.RefusalCode `json:"code"`
	Message    string                    `json:"message"`
	Outcome    persimmoncart.Outcome     `json:"outcome"`
	Request    persimmoncart.RequestID   `json:"request"`
	RetryAfter string                    `json:"retry,omitempty"`
}

// refuse responds to the request with err. The texts of errors other than refusals are
// not sent to the caller.
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
		return // too late for a refusal; a stream ends with an error event
	}
	e.writeRefusal(r)
}

// refusalBody returns the JSON body of a refusal, and its retry time with jitter.
func (e *exchange) refusalBody(r *persimmoncart.Refusal) ([]byte, time.Duration) {
	retryAfter := e.handler.jitter(r.RetryAfter)
	detail := errorDetail{Code: r.Code, Message: r.Message, Outcome: r.Outcome, Request: e.id}
	if retryAfter > 0 {
		detail.RetryAfter = retryAfter.String()
	}
	body, err := json.Marshal(errorBody{Error: detail})
	if err != nil { // only an undeclared outcome cannot be encoded
		return []byte(`{"error":{"code":"internal","message":"internal error","outcome":"unknown"}}`), retryAfter
	}
	return body, retryAfter
}

// writeRefusal writes a refusal as the whole response.
func (e *exchange) writeRefusal(r *persimmoncart.Refusal) {
	e.responseStarted = true
	body, retryAfter := e.refusalBody(r)
	header := e.writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	if r.Code == persimmoncart.RefusalAccountUnknown {
		header.Set("WWW-Authenticate", "Bearer")
	}
	if r.Code == persimmoncart.RefusalBodyTooLarge || r.Code == persimmoncart.RefusalBodyInvalid {
		header.Set("Connection", "close") // the rest of the body is not read
	}
	e.writer.WriteHeader(RefusalStatus(r.Code))
	_, _ = e.writer.Write(body) // a failed write means that the caller is gone
}

// jitter returns a retry time with a random addition, rounded to milliseconds.
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

// RefusalStatus returns the HTTP status of responses to callers with a refusal.
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
	case persimmoncart.RefusalHeadTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case persimmoncart.RefusalProgress:
		return http.StatusRequestTimeout
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
