package caller

import (
	"net/http"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/route"
)

const (
	// initialBufferBytes is the first size of a stream's buffer; it holds some tens of frames.
	initialBufferBytes = 4 << 10
	// maxBufferBytes bounds what is kept for reuse and when a batch is written early.
	maxBufferBytes = 32 << 10
)

// bufferPool keeps the bufferPool of ended streams.
var bufferPool = sync.Pool{New: func() any {
	b := make([]byte, 0, initialBufferBytes)
	return &b
}}

// An eventStream is a sink that writes server-sent events.
type eventStream struct {
	buffer      []byte
	deadline    time.Time // for writes, as last set
	exchange    *exchange
	form        completionFormat
	framePrefix []byte // of each frame, up to the text
	limit       int
	tokens      int
}

// serveStream serves a completion by server-sent events. An error before the first
// token becomes a plain refusal; later ones end the serveStream with an error event.
func (e *exchange) serveStream(f completionFormat, request route.CompletionRequest) error {
	pooled := bufferPool.Get().(*[]byte)
	s := &eventStream{buffer: (*pooled)[:0], exchange: e, form: f, limit: request.MaxOutputTokens}
	s.framePrefix = append(appendResponseStart([]byte("data: "), f.chunkObject, e.id, request.Model), f.chunkPrefix...)
	defer func() {
		if cap(s.buffer) <= maxBufferBytes {
			*pooled = s.buffer
			bufferPool.Put(pooled)
		}
	}()
	var err error
	if e.summary, err = e.handler.Router.Complete(e.request.Context(), request, s); err != nil && e.responseStarted {
		s.writeError(err)
	}
	return err
}

// Flush implements route.Sink.
func (s *eventStream) Flush() error {
	if len(s.buffer) == 0 {
		return nil
	}
	e := s.exchange
	if !e.responseStarted {
		s.writeHeader()
	}
	s.extendDeadline()
	_, err := e.writer.Write(s.buffer)
	s.buffer = s.buffer[:0]
	if err != nil {
		return errors.Wrap(err, "write events")
	}
	if err := e.controller.Flush(); err != nil {
		return errors.Wrap(err, "flush events")
	}
	if e.request.ProtoMajor > 1 {
		// An HTTP/2 stream is reset when its deadline passes, even between writes.
		_ = e.controller.SetWriteDeadline(time.Time{})
		s.deadline = time.Time{}
	}
	return nil
}

// WriteToken implements route.Sink.
func (s *eventStream) WriteToken(text string, last bool) error {
	s.tokens++
	b := s.buffer
	b = append(b, s.framePrefix...)
	b = appendString(b, text)
	b = append(b, s.form.textSuffix...)
	if last {
		b = appendReason(b, finishReason(s.tokens, s.limit))
		b = append(b, "}]}\n\ndata: [DONE]\n\n"...)
	} else {
		b = append(b, "null}]}\n\n"...)
	}
	s.buffer = b
	if len(b) >= maxBufferBytes {
		return s.Flush()
	}
	return nil
}

// extendDeadline moves the write deadline when half of it has passed, which is cheaper
// than a new one for each token.
func (s *eventStream) extendDeadline() {
	e := s.exchange
	now, span := e.handler.Timer.Now(), e.handler.RequestLimits.writeTimeout()
	if s.deadline.Sub(now) > span/2 {
		return
	}
	s.deadline = now.Add(span)
	// Writers without deadlines are in-memory ones, which cannot be slow.
	_ = e.controller.SetWriteDeadline(s.deadline)
}

// writeError ends a stream that has begun with an error event.
func (s *eventStream) writeError(err error) {
	r := &persimmoncart.Refusal{}
	if !errors.As(err, &r) {
		return // the caller is gone
	}
	body, _ := s.exchange.refusalBody(r)
	s.buffer = append(s.buffer, "event: error\ndata: "...)
	s.buffer = append(s.buffer, body...)
	s.buffer = append(s.buffer, "\n\n"...)
	_ = s.Flush() // nobody is left to tell about a failure
}

// writeHeader writes the header of the answer.
func (s *eventStream) writeHeader() {
	e := s.exchange
	e.responseStarted = true
	header := e.writer.Header()
	header.Set("Cache-Control", "no-store")
	header.Set("Content-Type", "text/event-stream")
	e.writer.WriteHeader(http.StatusOK)
}

// appendResponseStart appends the part of an answer that all its frames share.
func appendResponseStart(b []byte, object string, id persimmoncart.RequestID, model persimmoncart.ModelName) []byte {
	b = append(b, `{"id":`...)
	b = appendString(b, string(id))
	b = append(b, `,"object":`...)
	b = appendString(b, object)
	b = append(b, `,"model":`...)
	b = appendString(b, string(model))
	return append(b, ',')
}

// appendReason appends a finish reason.
func appendReason(b []byte, reason string) []byte {
	b = append(b, '"')
	b = append(b, reason...)
	return append(b, '"')
}

// appendString appends s as a JSON string. Invalid UTF-8 becomes U+FFFD.
func appendString(b []byte, s string) []byte {
	const hex = "0123456789abcdef"
	b = append(b, '"')
	start := 0
	for i := 0; i < len(s); {
		c := s[i]
		if c >= ' ' && c != '"' && c != '\\' && c < utf8.RuneSelf {
			i++
			continue
		}
		if c >= utf8.RuneSelf {
			r, n := utf8.DecodeRuneInString(s[i:])
			if r == utf8.RuneError && n == 1 {
				b = append(append(b, s[start:i]...), "\ufffd"...)
				start = i + n
			}
			i += n
			continue
		}
		b = append(b, s[start:i]...)
		switch c {
		case '"', '\\':
			b = append(b, '\\', c)
		case '\n':
			b = append(b, '\\', 'n')
		default:
			b = append(b, '\\', 'u', '0', '0', hex[c>>4], hex[c&0xf])
		}
		i++
		start = i
	}
	return append(append(b, s[start:]...), '"')
}
