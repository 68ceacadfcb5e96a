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

// releaseTime is the time in which the memory of a caller that left is released.
const releaseTime = 2 * time.Second

// callerPatience ends a call that the node never answers; it is longer than any
// deadline, so that reaching it is a fault.
const callerPatience = 2 * time.Minute

// A call is one request as its caller sees it.
type call struct {
	cancelled bool
	ended     bool
	id        persimmoncart.RequestID // empty until the answer begins
	node      *node                   // that accepted the connection; nil if none did
	outcome   persimmoncart.Outcome
	request   request
	world     *world
}

// run sends the request and checks the answer.
func (c *call) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callerPatience)
	defer cancel()
	if c.request.Cancel > 0 {
		leave := sync.OnceFunc(func() {
			c.world.set(func() { c.cancelled = true })
			cancel()
			c.world.timer.After(releaseTime, func(time.Time) { c.checkReleased() })
		})
		defer c.world.timer.After(c.request.Cancel, func(time.Time) { leave() })()
	}
	response, err := c.send(ctx)
	defer func() { c.world.set(func() { c.ended = true }) }()
	if c.node == nil {
		return
	}
	if err != nil {
		c.broken("no answer", err)
		return
	}
	defer response.Body.Close() //nolint:errcheck // The body was read.
	c.world.set(func() { c.id = persimmoncart.RequestID(response.Header.Get("X-Request-Id")) })
	if response.StatusCode == http.StatusOK && c.request.Kind == kindDraft {
		c.stream(response.Body)
		return
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.broken("answer cut", err)
		return
	}
	if response.StatusCode != http.StatusOK {
		c.refused(body)
		return
	}
	c.end(persimmoncart.OutcomeAnswered)
	if !bytes.Equal(body, c.want()) {
		c.world.fail(WholeAnswer, "request %d got %q, want %q", c.request.Number, body, c.want())
	}
}

// checkReleased fails for engine memory that is held although the caller left
// some time ago and nothing keeps the node from releasing it.
func (c *call) checkReleased() {
	var id persimmoncart.RequestID
	c.world.set(func() { id = c.id })
	if n, _, _ := c.finished(); id == "" || n == nil || n.crashed.Load() || c.world.plan.has(AnswerLate, NodePauses, RegionCut) {
		return
	}
	for _, k := range c.world.work() {
		if k.Attempt.Request == id {
			c.world.fail(MemoryReleased, "%d blocks are held for %s, whose caller left", k.Blocks, k.Attempt)
		}
	}
}

// broken notes a connection that ended without an answer. That is a fault
// unless the caller left or the node died.
func (c *call) broken(what string, err error) {
	c.end(persimmoncart.OutcomeUnknown)
	var cancelled bool
	c.world.set(func() { cancelled = c.cancelled })
	if cancelled || c.node.crashed.Load() || c.world.over() {
		return
	}
	promise := WholeAnswer
	if c.node.stopping.Load() {
		promise = GracefulStop
	}
	c.world.fail(promise, "request %d at %s: %s: %v", c.request.Number, c.node.self.ID, what, err)
}

// end notes the outcome.
func (c *call) end(outcome persimmoncart.Outcome) {
	c.world.set(func() { c.outcome = outcome })
}

// finished returns the node that took the call, nil if none did, the outcome,
// and whether the call has ended.
func (c *call) finished() (n *node, outcome persimmoncart.Outcome, ended bool) {
	c.world.set(func() { n, outcome, ended = c.node, c.outcome, c.ended })
	return n, outcome, ended
}

// refused checks a refusal.
func (c *call) refused(body []byte) {
	var refusal struct {
		Error struct {
			Code    persimmoncart.RefusalCode
			Outcome persimmoncart.Outcome
			Request persimmoncart.RequestID
		}
	}
	if err := json.Unmarshal(body, &refusal); err != nil || refusal.Error.Code == "" {
		c.world.fail(WholeAnswer, "request %d got neither an answer nor a refusal: %q", c.request.Number, body)
		return
	}
	c.end(refusal.Error.Outcome)
	if c.request.Kind != kindBooking || c.outcome != persimmoncart.OutcomeNotRun {
		return
	}
	id := refusal.Error.Request
	check := func() {
		runs := 0
		c.world.set(func() { runs = c.world.runs[id] })
		if runs > 0 {
			c.world.fail(NotRunTrue, "request %d (%s) was refused as not run and ran %d times", c.request.Number, refusal.Error.Code, runs)
		}
	}
	check()
	c.world.timer.After(pauseTime+10*time.Second, func(time.Time) { check() })
}

// send sends the request to the first node that accepts the connection.
func (c *call) send(ctx context.Context) (*http.Response, error) {
	var err error
	for i := range sites {
		n := c.world.at((c.request.Site + i) % len(sites))
		if n == nil {
			continue
		}
		var response *http.Response
		response, err = n.client.Do(c.httpRequest(ctx))
		if refused := errors.Is(err, pipe.ErrRefused); refused {
			continue
		}
		c.world.set(func() { c.node = n })
		return response, err
	}
	return nil, err
}

// httpRequest returns the request as sent.
func (c *call) httpRequest(ctx context.Context) *http.Request {
	method, path, body := http.MethodGet, "/stock/"+c.name(), ""
	switch c.request.Kind {
	default: // a lookup
	case kindBooking:
		method, path, body = http.MethodPost, "/bookings/weighings", c.body()
	case kindDraft:
		method, path = http.MethodPost, "/v1/completions"
		body = fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, model, c.prompt(), c.request.Limit)
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://entry"+path, strings.NewReader(body))
	if err != nil {
		panic(err) // the URL is fixed
	}
	q.Header.Set("Authorization", "Bearer "+accountKey)
	if c.request.Key != "" {
		q.Header.Set("Idempotency-Key", c.request.Key)
	}
	return q
}

// body returns the body of a booking.
func (c *call) body() string { return fmt.Sprintf(`{"lot":%d}`, c.request.Number) }

// name returns the name of what is looked up.
func (c *call) name() string { return fmt.Sprintf("lot-%d", c.request.Number) }

// prompt returns the prompt of a draft.
func (c *call) prompt() string {
	return strings.Repeat(fmt.Sprintf("dossier %d ", c.request.Number), c.request.Words)
}

// want returns the right answer of a plain call.
func (c *call) want() []byte {
	if c.request.Kind == kindBooking {
		return application.FakeReceipt(c.request.Key, []byte(c.body()))
	}
	return application.FakeLookup("/" + c.name())
}

// stream checks the tokens of a draft one by one.
func (c *call) stream(body io.Reader) {
	answer := engine.NewFakeOutput(c.prompt())
	scanner := bufio.NewScanner(body)
	next, ended := 0, false
	for scanner.Scan() {
		line := scanner.Text()
		switch {
		case line == "" || strings.HasPrefix(line, ":"):
		case ended:
			// The error event's data follows its name.
			if !strings.HasPrefix(line, "data: {") || c.outcome == persimmoncart.OutcomeAnswered {
				c.world.fail(AnsweredOnce, "request %d got %q after its end", c.request.Number, line)
			}
		case line == "data: [DONE]":
			ended = true
			c.end(persimmoncart.OutcomeAnswered)
			if next != c.request.Limit {
				c.world.fail(WholeAnswer, "request %d ended after %d of %d tokens", c.request.Number, next, c.request.Limit)
			}
		case line == "event: error":
			ended = true
			c.end(persimmoncart.OutcomeUnknown)
		default:
			next += c.token(line, answer, next)
		}
	}
	if !ended {
		err := scanner.Err()
		if err == nil {
			err = io.ErrUnexpectedEOF
		}
		c.broken(fmt.Sprintf("stream cut after %d tokens", next), err)
	}
}

// token checks one chunk and returns the number of its tokens.
func (c *call) token(line string, answer engine.FakeOutput, index int) int {
	var chunk struct {
		Choices []struct{ Text string }
	}
	if err := json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &chunk); err != nil || len(chunk.Choices) != 1 {
		c.world.fail(WholeAnswer, "request %d got the line %q", c.request.Number, line)
		return 0
	}
	text := chunk.Choices[0].Text
	switch {
	case text == "":
		return 0
	case text == answer.Token(index):
		return 1
	case index > 0 && text == answer.Token(index-1):
		c.world.fail(AnsweredOnce, "request %d got token %d again", c.request.Number, index-1)
	default:
		c.world.fail(WholeAnswer, "request %d got %q as token %d, want %q", c.request.Number, text, index, answer.Token(index))
	}
	return 1
}
