package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/route"
)

// A form is the shape of requests and answers of one completion path.
type form struct {
	chunk  string // object of a streamed chunk
	close  string // JSON after the text, up to the finish reason
	object string // object of a whole answer
	open   string // JSON before the text of a chunk
	whole  string // JSON before the text of a whole answer
	chat   bool
}

// The two completion paths.
var (
	chat = form{
		chat: true, chunk: "chat.completion.chunk", close: `},"finish_reason":`, object: "chat.completion",
		open: `"choices":[{"index":0,"delta":{"content":`, whole: `"choices":[{"index":0,"message":{"role":"assistant","content":`,
	}
	text = form{
		chunk: "text_completion", close: `,"finish_reason":`, object: "text_completion",
		open: `"choices":[{"index":0,"text":`, whole: `"choices":[{"index":0,"text":`,
	}
)

// A completionBody is the body of a completion request. Unknown fields are
// ignored, because clients send sampling settings that engines fix.
type completionBody struct {
	MaxCompletionTokens int                     `json:"max_completion_tokens"`
	MaxTokens           int                     `json:"max_tokens"`
	Messages            []message               `json:"messages"`
	Model               persimmoncart.ModelName `json:"model"`
	N                   int                     `json:"n"`
	Prompt              content                 `json:"prompt"`
	Stream              bool                    `json:"stream"`
}

// parseCompletion reads a completion body. It returns a *persimmoncart.Refusal
// for bodies that cannot be served.
func parseCompletion(f form, data []byte) (completionBody, error) {
	var b completionBody
	if err := json.Unmarshal(data, &b); err != nil {
		return b, invalid("the body is not valid JSON of a completion request")
	}
	switch {
	case b.Model == "":
		return b, invalid("the model is missing")
	case b.N > 1:
		return b, invalid("only one choice is supported")
	case b.MaxTokens < 0 || b.MaxCompletionTokens < 0:
		return b, invalid("the number of tokens is negative")
	case f.chat && len(b.Messages) == 0:
		return b, invalid("the messages are missing")
	case !f.chat && b.Prompt == "":
		return b, invalid("the prompt is missing")
	}
	return b, nil
}

// limit returns the wished number of output tokens; zero stands for no wish.
func (b *completionBody) limit() int {
	return max(b.MaxTokens, b.MaxCompletionTokens)
}

// prompt returns the prompt. Messages become one line each, so that equal
// beginnings of conversations have equal prefixes.
func (b *completionBody) prompt(f form) string {
	if !f.chat {
		return string(b.Prompt)
	}
	var s strings.Builder
	for _, m := range b.Messages {
		s.WriteString(m.Role)
		s.WriteString(": ")
		s.WriteString(string(m.Content))
		s.WriteByte('\n')
	}
	s.WriteString("assistant: ")
	return s.String()
}

// A content is text that is written as a string, a list of strings or a list of
// text parts.
type content string

// UnmarshalJSON implements json.Unmarshaler.
func (c *content) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '"' {
		return json.Unmarshal(data, (*string)(c))
	}
	var parts []part
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	var s strings.Builder
	for _, p := range parts {
		s.WriteString(p.Text)
	}
	*c = content(s.String())
	return nil
}

// A message is one message of a conversation.
type message struct {
	Content content `json:"content"`
	Role    string  `json:"role"`
}

// A part is one text of a content.
type part struct {
	Text string `json:"text"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *part) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '"' {
		return json.Unmarshal(data, &p.Text)
	}
	type plain part
	return json.Unmarshal(data, (*plain)(p))
}

// completions returns the function that serves completions of the given form.
func (h *Handler) completions(f form) func(*exchange) error {
	return func(e *exchange) error {
		data, err := e.readBody(h.Bounds.body(nil))
		if err != nil {
			return err
		}
		body, err := parseCompletion(f, data)
		if err != nil {
			return err
		}
		request, err := e.completion(body, body.prompt(f))
		if err != nil {
			return err
		}
		if body.Stream {
			return e.stream(f, request)
		}
		return e.whole(f, request)
	}
}

// completion returns the request to route for a body.
func (e *exchange) completion(body completionBody, prompt string) (route.CompletionRequest, error) {
	bounds := e.handler.Bounds
	if err := bounds.checkPrompt(prompt); err != nil {
		return route.CompletionRequest{}, err
	}
	r := e.view.completion(body.Model, e.account)
	if r == nil {
		return route.CompletionRequest{}, &persimmoncart.Refusal{Code: persimmoncart.RefusalModelUnknown, Message: "no route serves this model"}
	}
	e.route = r.Name
	pool := e.view.snapshot.Pools[r.Pool]
	if pool == nil {
		return route.CompletionRequest{}, poolEmpty()
	}
	limit := bounds.tokens(r, body.limit())
	if err := e.limit(route.EstimateTokens(prompt) + limit); err != nil {
		return route.CompletionRequest{}, err
	}
	class := r.Class
	if class == 0 {
		class = max(e.account.Class, persimmoncart.ClassInteractive)
	}
	return route.CompletionRequest{
		Account:         e.account,
		Arrived:         e.start,
		Class:           class,
		Deadline:        e.start.Add(bounds.timeout(r)),
		ID:              e.id,
		MaxOutputTokens: limit,
		Model:           body.Model,
		Pool:            pool,
		Prompt:          prompt,
		Route:           r,
	}, nil
}

// whole serves a completion with one JSON answer.
func (e *exchange) whole(f form, request route.CompletionRequest) error {
	s := &collector{limit: request.MaxOutputTokens}
	var err error
	if e.result, err = e.handler.Router.Complete(e.request.Context(), request, s); err != nil {
		return err
	}
	b := appendHead(nil, f.object, e.id, request.Model)
	b = append(b, f.whole...)
	b = appendString(b, s.text.String())
	b = append(b, f.close...)
	b = appendReason(b, s.reason)
	b = append(b, `}],"usage":{"prompt_tokens":`...)
	prompt := route.EstimateTokens(request.Prompt)
	b = strconv.AppendInt(b, int64(prompt), 10)
	b = append(b, `,"completion_tokens":`...)
	b = strconv.AppendInt(b, int64(s.tokens), 10)
	b = append(b, `,"total_tokens":`...)
	b = strconv.AppendInt(b, int64(prompt+s.tokens), 10)
	b = append(b, "}}\n"...)
	e.writer.Header().Set("Content-Type", "application/json")
	e.answer(http.StatusOK, b)
	return nil
}

// answer writes a whole answer within the time for slow callers.
func (e *exchange) answer(status int, body []byte) {
	e.started = true
	e.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	// Writers without deadlines are in-memory ones, which cannot be slow.
	_ = e.control.SetWriteDeadline(e.handler.Timer.Now().Add(e.handler.Bounds.write()))
	e.writer.WriteHeader(status)
	if _, err := e.writer.Write(body); err != nil {
		e.cause = "caller_gone"
	}
}

// poolEmpty returns the refusal of a route whose pool does not exist.
func poolEmpty() error {
	return &persimmoncart.Refusal{Code: persimmoncart.RefusalPoolEmpty, Message: "the route has no pool", RetryAfter: 5 * time.Second}
}

// A collector is a sink that keeps the whole text.
type collector struct {
	limit  int
	reason string
	text   strings.Builder
	tokens int
}

// Flush implements route.Sink.
func (*collector) Flush() error { return nil }

// WriteToken implements route.Sink.
func (c *collector) WriteToken(text string, last bool) error {
	c.text.WriteString(text)
	c.tokens++
	if last {
		c.reason = finishReason(c.tokens, c.limit)
	}
	return nil
}

// finishReason returns why an answer of n tokens ended.
func finishReason(n, limit int) string {
	if n >= limit {
		return "length"
	}
	return "stop"
}
