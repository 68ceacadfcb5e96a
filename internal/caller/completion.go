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

// A completionFormat is the format of requests and responses of one completion path.
type completionFormat struct {
	chunkObject    string // value of the field object in the chunks of a stream
	chunkPrefix    string // JSON before the text of a chunk
	isChat         bool   // requests have messages instead of a prompt
	responseObject string // value of the field object in a response without streaming
	responsePrefix string // JSON before the text of a response without streaming
	textSuffix     string // JSON between the text and the finish reason
}

// Formats of the two completion paths.
var (
	chatFormat = completionFormat{
		chunkObject:    "chat.completion.chunk",
		chunkPrefix:    `"choices":[{"index":0,"delta":{"content":`,
		isChat:         true,
		responseObject: "chat.completion",
		responsePrefix: `"choices":[{"index":0,"message":{"role":"assistant","content":`,
		textSuffix:     `},"finish_reason":`,
	}
	textFormat = completionFormat{
		chunkObject:    "text_completion",
		chunkPrefix:    `"choices":[{"index":0,"text":`,
		responseObject: "text_completion",
		responsePrefix: `"choices":[{"index":0,"text":`,
		textSuffix:     `,"finish_reason":`,
	}
)

// A completionBody is the body of a completion request. Unknown fields are
// ignored, because clients send sampling settings, which are fixed in the engines.
type completionBody struct {
	MaxCompletionTokens int                     `json:"max_completion_tokens"`
	MaxTokens           int                     `json:"max_tokens"`
	Messages            []message               `json:"messages"`
	Model               persimmoncart.ModelName `json:"model"`
	N                   int                     `json:"n"`
	Prompt              content                 `json:"prompt"`
	Stream              bool                    `json:"stream"`
}

// parseCompletion decodes and checks the body of a completion request. It returns a
// *persimmoncart.Refusal for a body that is invalid.
func parseCompletion(f completionFormat, data []byte) (completionBody, error) {
	var b completionBody
	if err := json.Unmarshal(data, &b); err != nil {
		return b, bodyInvalid("the body is not valid JSON of a completion request")
	}
	switch {
	case b.Model == "":
		return b, bodyInvalid("the model is missing")
	case b.N > 1:
		return b, bodyInvalid("only one choice is supported")
	case b.MaxTokens < 0 || b.MaxCompletionTokens < 0:
		return b, bodyInvalid("the number of tokens is negative")
	case f.isChat && len(b.Messages) == 0:
		return b, bodyInvalid("the messages are missing")
	case !f.isChat && b.Prompt == "":
		return b, bodyInvalid("the prompt is missing")
	}
	return b, nil
}

// maxOutputTokens returns the limit on output tokens that the caller requests; zero
// means none.
func (b *completionBody) maxOutputTokens() int {
	return max(b.MaxTokens, b.MaxCompletionTokens)
}

// prompt returns the prompt. Messages become one line each, so that conversations
// with the same first messages have the same prompt prefix.
func (b *completionBody) prompt(f completionFormat) string {
	if !f.isChat {
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

// A content is text that is encoded as a JSON string or as a list of strings and text
// objects.
type content string

// UnmarshalJSON implements json.Unmarshaler.
func (c *content) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '"' {
		return json.Unmarshal(data, (*string)(c))
	}
	var parts []contentPart
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

// A message is one message of a chat completion request.
type message struct {
	Content content `json:"content"`
	Role    string  `json:"role"`
}

// A contentPart is one element of a content that is encoded as a list.
type contentPart struct {
	Text string `json:"text"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *contentPart) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '"' {
		return json.Unmarshal(data, &p.Text)
	}
	type object contentPart // has no UnmarshalJSON method
	return json.Unmarshal(data, (*object)(p))
}

// serveCompletions returns the function that serves completions in the given format.
func (h *Handler) serveCompletions(f completionFormat) func(*exchange) error {
	return func(e *exchange) error {
		data, err := e.readBody(h.RequestLimits.maxBodyBytes(nil))
		if err != nil {
			return err
		}
		body, err := parseCompletion(f, data)
		if err != nil {
			return err
		}
		request, err := e.completionRequest(body, body.prompt(f))
		if err != nil {
			return err
		}
		if body.Stream {
			return e.serveStream(f, request)
		}
		return e.serveWhole(f, request)
	}
}

// completionRequest returns the request to route for a body. It returns a
// *persimmoncart.Refusal if no route serves it or a limit is exceeded.
func (e *exchange) completionRequest(body completionBody, prompt string) (route.CompletionRequest, error) {
	limits := e.handler.RequestLimits
	if err := limits.checkPrompt(prompt); err != nil {
		return route.CompletionRequest{}, err
	}
	r := e.routes.completionRoute(body.Model, e.account)
	if r == nil {
		return route.CompletionRequest{}, &persimmoncart.Refusal{Code: persimmoncart.RefusalModelUnknown, Message: "no route serves this model"}
	}
	e.route = r.Name
	pool := e.routes.snapshot.Pools[r.Pool]
	if pool == nil {
		return route.CompletionRequest{}, poolEmpty()
	}
	maxTokens := limits.maxOutputTokens(r, body.maxOutputTokens())
	if err := e.takeRate(route.EstimateTokens(prompt) + maxTokens); err != nil {
		return route.CompletionRequest{}, err
	}
	class := r.Class
	if class == 0 {
		class = max(e.account.Class, persimmoncart.ClassInteractive)
	}
	return route.CompletionRequest{
		Account:         e.account,
		Arrived:         e.arrived,
		Class:           class,
		Deadline:        e.arrived.Add(limits.timeout(r)),
		ID:              e.id,
		MaxOutputTokens: maxTokens,
		Model:           body.Model,
		Pool:            pool,
		Prompt:          prompt,
		Route:           r,
	}, nil
}

// serveWhole serves a completion with one JSON response, without streaming.
func (e *exchange) serveWhole(f completionFormat, request route.CompletionRequest) error {
	s := &textCollector{limit: request.MaxOutputTokens}
	var err error
	if e.summary, err = e.handler.Router.Complete(e.request.Context(), request, s); err != nil {
		return err
	}
	b := appendResponseStart(nil, f.responseObject, e.id, request.Model)
	b = append(b, f.responsePrefix...)
	b = appendString(b, s.text.String())
	b = append(b, f.textSuffix...)
	b = appendReason(b, s.reason)
	b = append(b, `}],"usage":{"prompt_tokens":`...)
	promptTokens := route.EstimateTokens(request.Prompt)
	b = strconv.AppendInt(b, int64(promptTokens), 10)
	b = append(b, `,"completion_tokens":`...)
	b = strconv.AppendInt(b, int64(s.tokens), 10)
	b = append(b, `,"total_tokens":`...)
	b = strconv.AppendInt(b, int64(promptTokens+s.tokens), 10)
	b = append(b, "}}\n"...)
	e.writer.Header().Set("Content-Type", "application/json")
	e.writeResponse(http.StatusOK, b)
	return nil
}

// writeResponse writes a whole response within the write timeout.
func (e *exchange) writeResponse(status int, body []byte) {
	e.responseStarted = true
	e.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	// Only writers in memory do not support deadlines, and they cannot be slow.
	_ = e.controller.SetWriteDeadline(e.handler.Timer.Now().Add(e.handler.RequestLimits.writeTimeout()))
	e.writer.WriteHeader(status)
	if _, err := e.writer.Write(body); err != nil {
		e.cause = "caller_gone"
	}
}

// poolEmpty returns the refusal of a route whose pool does not exist.
func poolEmpty() error {
	return &persimmoncart.Refusal{Code: persimmoncart.RefusalPoolEmpty, Message: "the route has no pool", RetryAfter: 5 * time.Second}
}

// A textCollector is a sink that collects the text of a completion.
type textCollector struct {
	limit  int    // most output tokens
	reason string // finish reason; empty until the last token
	text   strings.Builder
	tokens int // tokens received
}

// Flush implements route.Sink.
func (*textCollector) Flush() error { return nil }

// WriteToken implements route.Sink.
func (c *textCollector) WriteToken(text string, last bool) error {
	c.text.WriteString(text)
	c.tokens++
	if last {
		c.reason = finishReason(c.tokens, c.limit)
	}
	return nil
}

// finishReason returns the finish reason of a completion of n tokens.
func finishReason(n, limit int) string {
	if n >= limit {
		return "length"
	}
	return "stop"
}
