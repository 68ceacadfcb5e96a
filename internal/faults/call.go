package faults

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/application"
	"github.com/persimmoncart/persimmoncart/internal/engine"
	"github.com/persimmoncart/persimmoncart/internal/pipe"
)

// releaseTimeout is the longest time for which engine memory stays reserved for a
// request after its caller has cancelled.
const releaseTimeout = 2 * time.Second

// callerTimeout is the timeout of the caller. It is longer than every deadline, so
// that a call which reaches it violates WholeAnswer or GracefulStop.
const callerTimeout = 2 * time.Minute

// A call sends one request as a caller does and checks the response.
type call struct {
	cancelled bool // the caller has cancelled
	cluster   *cluster
	ended     bool
	id        persimmoncart.RequestID // empty until the response headers arrive
	node      *node                   // the node that accepted the connection; nil if none did
	outcome   persimmoncart.Outcome
	request   request
}

// run sends the request and checks the response.
func (c *call) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	if c.request.CancelAfter > 0 {
		cancelOnce := sync.OnceFunc(func() {
			c.cluster.withLock(func() { c.cancelled = true })
			cancel()
			c.cluster.timer.After(releaseTimeout, func(time.Time) { c.checkReleased() })
		})
		defer c.cluster.timer.After(c.request.CancelAfter, func(time.Time) { cancelOnce() })()
	}
	response, err := c.send(ctx)
	defer func() { c.cluster.withLock(func() { c.ended = true }) }()
	if c.node == nil {
		return
	}
	if err != nil {
		c.connectionLost("no response", err)
		return
	}
	defer response.Body.Close() //nolint:errcheck // The body was read.
	c.cluster.withLock(func() { c.id = persimmoncart.RequestID(response.Header.Get("X-Request-Id")) })
	if response.StatusCode == http.StatusOK && c.request.Kind == kindDraft {
		c.checkStream(response.Body)
		return
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.connectionLost("response truncated", err)
		return
	}
	if response.StatusCode != http.StatusOK {
		c.checkRefusal(body)
		return
	}
	c.setOutcome(persimmoncart.OutcomeAnswered)
	if !bytes.Equal(body, c.expectedBody()) {
		c.cluster.fail(WholeAnswer, "request %d got %q, want %q", c.request.Number, body, c.expectedBody())
	}
}

// checkReleased records a violation for engine memory that is still reserved
// releaseTimeout after the caller cancelled, unless a fault may delay the release.
func (c *call) checkReleased() {
	var id persimmoncart.RequestID
	c.cluster.withLock(func() { id = c.id })
	if n, _, _ := c.status(); id == "" || n == nil || n.crashed.Load() || c.cluster.plan.has(AnswerLate, NodePauses, RegionCut) {
		return
	}
	for _, work := range c.cluster.allWork() {
		if work.Attempt.Request == id {
			c.cluster.fail(MemoryReleased, "%d blocks are still reserved for %s, whose caller cancelled", work.Blocks, work.Attempt)
		}
	}
}

// connectionLost handles a connection that ended before the response was complete.
// It records a violation unless the caller cancelled, the node crashed or the
// schedule has ended.
func (c *call) connectionLost(reason string, err error) {
	c.setOutcome(persimmoncart.OutcomeUnknown)
	var cancelled bool
	c.cluster.withLock(func() { cancelled = c.cancelled })
	if cancelled || c.node.crashed.Load() || c.cluster.ended() {
		return
	}
	invariant := WholeAnswer
	if c.node.stopping.Load() {
		invariant = GracefulStop
	}
	c.cluster.fail(invariant, "request %d at %s: %s: %v", c.request.Number, c.node.self.ID, reason, err)
}

// setOutcome sets the outcome under the cluster's lock.
func (c *call) setOutcome(outcome persimmoncart.Outcome) {
	c.cluster.withLock(func() { c.outcome = outcome })
}

// status returns the node that accepted the connection (nil if none did), the
// outcome and whether the call has ended.
func (c *call) status() (n *node, outcome persimmoncart.Outcome, ended bool) {
	c.cluster.withLock(func() { n, outcome, ended = c.node, c.outcome, c.ended })
	return n, outcome, ended
}

// checkRefusal checks that body is a well-formed refusal, and that a booking that
// was refused as not run never runs, also not after a pause of the node.
func (c *call) checkRefusal(body []byte) {
	var refusal struct {
		Error struct {
			Code    persimmoncart.RefusalCode
			Outcome persimmoncart.Outcome
			Request persimmoncart.RequestID
		}
	}
	if err := json.Unmarshal(body, &refusal); err != nil || refusal.Error.Code == "" {
		c.cluster.fail(WholeAnswer, "request %d got neither a result nor a refusal: %q", c.request.Number, body)
		return
	}
	c.setOutcome(refusal.Error.Outcome)
	if c.request.Kind != kindBooking || c.outcome != persimmoncart.OutcomeNotRun {
		return
	}
	id := refusal.Error.Request
	check := func() {
		runs := 0
		c.cluster.withLock(func() { runs = c.cluster.runs[id] })
		if runs > 0 {
			c.cluster.fail(NotRunTrue, "request %d (%s) was refused as not run and ran %d times", c.request.Number, refusal.Error.Code, runs)
		}
	}
	check()
	c.cluster.timer.After(pauseDuration+10*time.Second, func(time.Time) { check() })
}

// send sends the request to the first node that accepts the connection, beginning
// with the node of the request's site.
func (c *call) send(ctx context.Context) (*http.Response, error) {
	var err error
	for i := range sites {
		n := c.cluster.nodeAt((c.request.Site + i) % len(sites))
		if n == nil {
			continue
		}
		var response *http.Response
		response, err = n.client.Do(c.httpRequest(ctx))
		if refused := errors.Is(err, pipe.ErrRefused); refused {
			continue
		}
		c.cluster.withLock(func() { c.node = n })
		return response, err
	}
	return nil, err
}

// httpRequest returns the HTTP request.
func (c *call) httpRequest(ctx context.Context) *http.Request {
	method, path, body := http.MethodGet, "/stock/"+c.lookupName(), ""
	switch c.request.Kind {
	default: // a lookup
	case kindBooking:
		method, path, body = http.MethodPost, "/bookings/weighings", c.bookingBody()
	case kindDraft:
		method, path = http.MethodPost, "/v1/completions"
		body = fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, model, c.prompt(), c.request.MaxTokens)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://entry"+path, strings.NewReader(body))
	if err != nil {
		panic(err) // the URL is fixed
	}
	request.Header.Set("Authorization", "Bearer "+accountKey)
	if c.request.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", c.request.IdempotencyKey)
	}
	return request
}

// bookingBody returns the body of a booking.
func (c *call) bookingBody() string { return fmt.Sprintf(`{"lot":%d}`, c.request.Number) }

// lookupName returns the name of the lot to look up.
func (c *call) lookupName() string { return fmt.Sprintf("lot-%d", c.request.Number) }

// prompt returns the prompt of a draft.
func (c *call) prompt() string {
	return strings.Repeat(fmt.Sprintf("dossier %d ", c.request.Number), c.request.WordCount)
}

// expectedBody returns the correct response body of a booking or a lookup.
func (c *call) expectedBody() []byte {
	if c.request.Kind == kindBooking {
		return application.FakeReceipt(c.request.IdempotencyKey, []byte(c.bookingBody()))
	}
	return application.FakeLookup("/" + c.lookupName())
}

// checkStream checks that the stream of a draft consists of the expected tokens, each
// once and in order, and of one end.
func (c *call) checkStream(body io.Reader) {
	expected := engine.NewFakeOutput(c.prompt())
	scanner := bufio.NewScanner(body)
	next, ended := 0, false
	for scanner.Scan() {
		line := scanner.Text()
		switch {
		case line == "" || strings.HasPrefix(line, ":"):
		case ended:
			// The error event's data follows its name.
			if !strings.HasPrefix(line, "data: {") || c.outcome == persimmoncart.OutcomeAnswered {
				c.cluster.fail(AnsweredOnce, "request %d got %q after its end", c.request.Number, line)
			}
		case line == "data: [DONE]":
			ended = true
			c.setOutcome(persimmoncart.OutcomeAnswered)
			if next != c.request.MaxTokens {
				c.cluster.fail(WholeAnswer, "request %d ended after %d of %d tokens", c.request.Number, next, c.request.MaxTokens)
			}
		case line == "event: error":
			ended = true
			c.setOutcome(persimmoncart.OutcomeUnknown)
		default:
			next += c.checkToken(line, expected, next)
		}
	}
	if !ended {
		err := scanner.Err()
		if err == nil {
			err = io.ErrUnexpectedEOF
		}
		c.connectionLost(fmt.Sprintf("stream truncated after %d tokens", next), err)
	}
}

// checkToken compares one chunk with the expected token at index. It returns the
// number of tokens in the chunk.
func (c *call) checkToken(line string, expected engine.FakeOutput, index int) int {
	var chunk struct {
		Choices []struct{ Text string }
	}
	if err := json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &chunk); err != nil || len(chunk.Choices) != 1 {
		c.cluster.fail(WholeAnswer, "request %d got the malformed line %q", c.request.Number, line)
		return 0
	}
	text := chunk.Choices[0].Text
	switch {
	case text == "":
		return 0
	case text == expected.Token(index):
		return 1
	case index > 0 && text == expected.Token(index-1):
		c.cluster.fail(AnsweredOnce, "request %d got token %d again", c.request.Number, index-1)
	default:
		c.cluster.fail(WholeAnswer, "request %d got %q as token %d, want %q", c.request.Number, text, index, expected.Token(index))
	}
	return 1
}
