package caller

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/route"
)

// Defaults of the fields of RequestLimits.
const (
	// DefaultMaxBodyBytes is several times the size of a prompt of some tens of
	// thousands of tokens.
	DefaultMaxBodyBytes = 4 << 20
	// DefaultMaxOutputTokens applies to routes without a limit of their own.
	DefaultMaxOutputTokens = 4096
	// DefaultMaxPromptTokens is above the longest planned prompts, which have tens of
	// thousands of tokens.
	DefaultMaxPromptTokens = 131072
	// DefaultMaxRequests is about ten times the planned load of an instance: 40
	// requests per second that take up to ten seconds each.
	DefaultMaxRequests = 4096
	// DefaultReadTimeout suffices for DefaultMaxBodyBytes over a link of 4 Mbit/s.
	DefaultReadTimeout = 10 * time.Second
	// DefaultTimeout applies to routes without a timeout of their own.
	DefaultTimeout = 60 * time.Second
	// DefaultWriteTimeout is how long a caller may stop reading. Its request keeps a
	// decode slot occupied meanwhile.
	DefaultWriteTimeout = 10 * time.Second

	// maxKeyBytes bounds the length of an idempotency key.
	maxKeyBytes = 255
)

// RequestLimits bound the size, number and duration of requests. Zero values mean the
// defaults.
type RequestLimits struct {
	MaxBodyBytes    int64         // size of a request body, for routes without a limit of their own
	MaxOutputTokens int           // output tokens of a completion, for routes without a limit of their own
	MaxPromptTokens int           // estimated tokens of a prompt
	MaxRequests     int           // requests in flight on this instance
	ReadTimeout     time.Duration // for reading a whole request body
	Timeout         time.Duration // for a whole request, for routes without a timeout of their own
	WriteTimeout    time.Duration // for one write to a caller
}

// maxBodyBytes returns the size limit of request bodies of a route, which may be nil.
func (l RequestLimits) maxBodyBytes(r *persimmoncart.Route) int64 {
	limit := positiveOr(l.MaxBodyBytes, DefaultMaxBodyBytes)
	if r != nil && r.MaxBodyBytes > 0 {
		limit = r.MaxBodyBytes
	}
	return limit
}

// maxOutputTokens returns the most output tokens of a completion for which the caller
// requests a limit of n tokens, or none if n is zero.
func (l RequestLimits) maxOutputTokens(r *persimmoncart.Route, n int) int {
	limit := positiveOr(r.MaxOutputTokens, positiveOr(l.MaxOutputTokens, DefaultMaxOutputTokens))
	if n > 0 {
		return min(n, limit)
	}
	return limit
}

// maxRequests returns the limit on requests in flight.
func (l RequestLimits) maxRequests() int { return positiveOr(l.MaxRequests, DefaultMaxRequests) }

// readTimeout returns the timeout for reading a whole request body.
func (l RequestLimits) readTimeout() time.Duration {
	return positiveOr(l.ReadTimeout, DefaultReadTimeout)
}

// timeout returns the timeout of requests of a route.
func (l RequestLimits) timeout(r *persimmoncart.Route) time.Duration {
	return positiveOr(r.Timeout, positiveOr(l.Timeout, DefaultTimeout))
}

// writeTimeout returns the timeout for one write.
func (l RequestLimits) writeTimeout() time.Duration {
	return positiveOr(l.WriteTimeout, DefaultWriteTimeout)
}

// positiveOr returns v if it is positive and fallback otherwise.
func positiveOr[T ~int | ~int64](v, fallback T) T {
	if v > 0 {
		return v
	}
	return fallback
}

// readBody reads the whole request body of at most limit bytes within the read
// timeout. It returns a *persimmoncart.Refusal if that fails.
func (e *exchange) readBody(limit int64) ([]byte, error) {
	r := e.request
	if r.ContentLength > limit {
		return nil, bodyTooLarge()
	}
	// Only writers in memory do not support deadlines, and they cannot be slow.
	_ = e.controller.SetReadDeadline(e.handler.Timer.Now().Add(e.handler.RequestLimits.readTimeout()))
	body, err := readAll(http.MaxBytesReader(e.writer, r.Body, limit), r.ContentLength)
	if err != nil {
		return nil, bodyRefusal(err)
	}
	// The server keeps reading to notice when the caller disconnects, so the deadline
	// has to be removed or it would end the request.
	_ = e.controller.SetReadDeadline(time.Time{})
	return body, nil
}

// readAll reads r to its end. Length is the number of bytes, negative if unknown.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

// bodyRefusal returns the refusal for a body that could not be read.
func bodyRefusal(err error) error {
	tooLarge := &http.MaxBytesError{}
	if errors.As(err, &tooLarge) {
		return bodyTooLarge()
	}
	return bodyInvalid("the body could not be read in time")
}

// checkPrompt returns a *persimmoncart.Refusal if the prompt is too long.
func (l RequestLimits) checkPrompt(prompt string) error {
	if route.EstimateTokens(prompt) > positiveOr(l.MaxPromptTokens, DefaultMaxPromptTokens) {
		return bodyTooLarge()
	}
	return nil
}

// bodyInvalid returns the refusal of a malformed request.
func bodyInvalid(message string) error {
	return &persimmoncart.Refusal{Code: persimmoncart.RefusalBodyInvalid, Message: message}
}

// routeUnknown returns the refusal of a request whose path has no route.
func routeUnknown() error {
	return &persimmoncart.Refusal{Code: persimmoncart.RefusalRouteUnknown, Message: "no such route"}
}

// bodyTooLarge returns the refusal of a request whose body or prompt is too large.
func bodyTooLarge() error {
	return &persimmoncart.Refusal{Code: persimmoncart.RefusalBodyTooLarge, Message: "the request is larger than the route allows"}
}
