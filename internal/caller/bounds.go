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
	// DefaultBody holds a prompt of some tens of thousands of tokens several times over.
	DefaultBody = 4 << 20
	// DefaultPrompt is above the longest planned prompt of tens of thousands of tokens.
	DefaultPrompt = 131072
	// DefaultRead is ample for DefaultBody over a slow link of 4 Mbit/s.
	DefaultRead = 10 * time.Second
	// DefaultRequests is about ten times the planned load of a node: 40 requests
	// a second that take up to ten seconds each.
	DefaultRequests = 4096
	// DefaultTimeout applies to routes that name no timeout.
	DefaultTimeout = 60 * time.Second
	// DefaultTokens is the output limit of routes that name none.
	DefaultTokens = 4096
	// DefaultWrite is how long a caller may stop reading. Its decode slot is
	// occupied meanwhile.
	DefaultWrite = 10 * time.Second

	// maxKey bounds an idempotency key, in bytes.
	maxKey = 255
)

// Bounds are limits on what one caller may send and how slowly. Zero values
// mean the defaults.
type Bounds struct {
	Body     int64         // bytes of a request body
	Prompt   int           // estimated tokens of a prompt
	Read     time.Duration // for the whole request body
	Requests int           // in flight on this instance
	Timeout  time.Duration // of routes that name none
	Tokens   int           // output tokens of routes that name none
	Write    time.Duration // for one write to a caller that does not read
}

// body returns the bound on the body of a route.
func (b Bounds) body(r *persimmoncart.Route) int64 {
	limit := or(b.Body, DefaultBody)
	if r != nil && r.MaxBodyBytes > 0 {
		limit = r.MaxBodyBytes
	}
	return limit
}

// read returns the time for a whole request body.
func (b Bounds) read() time.Duration { return or(b.Read, DefaultRead) }

// requests returns the bound on requests in flight.
func (b Bounds) requests() int { return or(b.Requests, DefaultRequests) }

// timeout returns the time that a request of a route may take.
func (b Bounds) timeout(r *persimmoncart.Route) time.Duration {
	return or(r.Timeout, or(b.Timeout, DefaultTimeout))
}

// tokens returns the output limit for a caller that asked for n tokens; zero
// stands for no wish.
func (b Bounds) tokens(r *persimmoncart.Route, n int) int {
	limit := or(r.MaxOutputTokens, or(b.Tokens, DefaultTokens))
	if n > 0 {
		return min(n, limit)
	}
	return limit
}

// write returns the time for one write.
func (b Bounds) write() time.Duration { return or(b.Write, DefaultWrite) }

// or returns v if it is positive and other if not.
func or[T ~int | ~int64](v, other T) T {
	if v > 0 {
		return v
	}
	return other
}

// readBody reads the whole request body within its bounds.
func (e *exchange) readBody(limit int64) ([]byte, error) {
	q := e.request
	if q.ContentLength > limit {
		return nil, tooLarge()
	}
	// Writers without deadlines are in-memory ones, which cannot be slow.
	_ = e.control.SetReadDeadline(e.handler.Timer.Now().Add(e.handler.Bounds.read()))
	body, err := readAll(http.MaxBytesReader(e.writer, q.Body, limit), q.ContentLength)
	if err != nil {
		return nil, bodyError(err)
	}
	// The server goes on reading to notice that the caller has gone, so that a
	// deadline left in place would end the request.
	_ = e.control.SetReadDeadline(time.Time{})
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

// bodyError returns the refusal for a body that could not be read.
func bodyError(err error) error {
	large := &http.MaxBytesError{}
	if errors.As(err, &large) {
		return tooLarge()
	}
	return invalid("the body could not be read in time")
}

// checkPrompt bounds the prompt.
func (b Bounds) checkPrompt(prompt string) error {
	if route.EstimateTokens(prompt) > or(b.Prompt, DefaultPrompt) {
		return tooLarge()
	}
	return nil
}

// invalid returns the refusal of a malformed request.
func invalid(message string) error {
	return &persimmoncart.Refusal{Code: persimmoncart.RefusalBodyInvalid, Message: message}
}

// routeUnknown returns the refusal of a path that leads nowhere.
func routeUnknown() error {
	return &persimmoncart.Refusal{Code: persimmoncart.RefusalRouteUnknown, Message: "no such route"}
}

// tooLarge returns the refusal of a request above its bounds.
func tooLarge() error {
	return &persimmoncart.Refusal{Code: persimmoncart.RefusalBodyTooLarge, Message: "the request is larger than the route allows"}
}
