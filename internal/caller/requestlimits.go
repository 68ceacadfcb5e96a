package caller

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/route"
)

// Defaults of Bounds.
const (
	// DefaultMaxBodyBytes holds a prompt of some tens of thousands of tokens several times over.
	DefaultMaxBodyBytes = 4 << 20
	// DefaultMaxPromptTokens is above the longest planned prompt of tens of thousands of tokens.
	DefaultMaxPromptTokens = 131072
	// DefaultReadTimeout is ample for DefaultBody over a slow link of 4 Mbit/s.
	DefaultReadTimeout = 10 * time.Second
	// DefaultMaxRequests is about ten times the planned load of a node: 40 requests
	// a second that take up to ten seconds each.
	DefaultMaxRequests = 4096
	// DefaultTimeout applies to routes that name no timeout.
	DefaultTimeout = 60 * time.Second
	// DefaultMaxOutputTokens is the output limit of routes that name none.
	DefaultMaxOutputTokens = 4096
	// DefaultWriteTimeout is how long a caller may stop reading. Its decode slot is
	// occupied meanwhile.
	DefaultWriteTimeout = 10 * time.Second

	// maxKeyBytes bounds an idempotency key, in bytes.
	maxKeyBytes = 255
)

// RequestLimits are limits on what one caller may send and how slowly. Zero values
// mean the defaults.
type RequestLimits struct {
	MaxBodyBytes    int64         // bytes of a request body
	MaxOutputTokens int           // output tokens of routes that name none
	MaxPromptTokens int           // estimated tokens of a prompt
	MaxRequests     int           // in flight on this instance
	ReadTimeout     time.Duration // for the whole request body
	Timeout         time.Duration // of routes that name none
	WriteTimeout    time.Duration // for one write to a caller that does not read
}

// maxBodyBytes returns the bound on the maxBodyBytes of a route.
func (b RequestLimits) maxBodyBytes(r *persimmoncart.Route) int64 {
	limit := positiveOr(b.MaxBodyBytes, DefaultMaxBodyBytes)
	if r != nil && r.MaxBodyBytes > 0 {
		limit = r.MaxBodyBytes
	}
	return limit
}

// maxOutputTokens returns the output limit for a caller that asked for n maxOutputTokens; zero
// stands for no wish.
func (b RequestLimits) maxOutputTokens(r *persimmoncart.Route, n int) int {
	limit := positiveOr(r.MaxOutputTokens, positiveOr(b.MaxOutputTokens, DefaultMaxOutputTokens))
	if n > 0 {
		return min(n, limit)
	}
	return limit
}

// maxRequests returns the bound on maxRequests in flight.
func (b RequestLimits) maxRequests() int { return positiveOr(b.MaxRequests, DefaultMaxRequests) }

// readTimeout returns the time for a whole request body.
func (b RequestLimits) readTimeout() time.Duration {
	return positiveOr(b.ReadTimeout, DefaultReadTimeout)
}

// timeout returns the time that a request of a route may take.
func (b RequestLimits) timeout(r *persimmoncart.Route) time.Duration {
	return positiveOr(r.Timeout, positiveOr(b.Timeout, DefaultTimeout))
}

// writeTimeout returns the time for one writeTimeout.
func (b RequestLimits) writeTimeout() time.Duration {
	return positiveOr(b.WriteTimeout, DefaultWriteTimeout)
}

// positiveOr returns v if it is positive and other if not.
func positiveOr[T ~int | ~int64](v, other T) T {
	if v > 0 {
		return v
	}
	return other
}

// readBody reads the whole request body within its bounds.
func (e *exchange) readBody(limit int64) ([]byte, error) {
	q := e.request
	if q.ContentLength > limit {
		return nil, bodyTooLarge()
	}
	// Writers without deadlines are in-memory ones, which cannot be slow.
	_ = e.controller.SetReadDeadline(e.handler.Timer.Now().Add(e.handler.RequestLimits.readTimeout()))
	body, err := readAll(http.MaxBytesReader(e.writer, q.Body, limit), q.ContentLength)
	if err != nil {
		return nil, bodyRefusal(err)
	}
	// The server goes on reading to notice that the caller has gone, so that a
	// deadline left in place would end the request.
	_ = e.controller.SetReadDeadline(time.Time{})
	return body, nil
}

// readAll reads r; length is a hint, negative if unknown.
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
	large := &http.MaxBytesError{}
	if errors.As(err, &large) {
		return bodyTooLarge()
	}
	return bodyInvalid("the body could not be read in time")
}

// checkPrompt bounds the prompt.
func (b RequestLimits) checkPrompt(prompt string) error {
	if route.EstimateTokens(prompt) > positiveOr(b.MaxPromptTokens, DefaultMaxPromptTokens) {
		return bodyTooLarge()
	}
	return nil
}

// bodyInvalid returns the refusal of a malformed request.
func bodyInvalid(message string) error {
	return &persimmoncart.Refusal{Code: persimmoncart.RefusalBodyInvalid, Message: message}
}

// routeUnknown returns the refusal of a path that leads nowhere.
func routeUnknown() error {
	return &persimmoncart.Refusal{Code: persimmoncart.RefusalRouteUnknown, Message: "no such route"}
}

// bodyTooLarge returns the refusal of a request above its bounds.
func bodyTooLarge() error {
	return &persimmoncart.Refusal{Code: persimmoncart.RefusalBodyTooLarge, Message: "the request is larger than the route allows"}
}
