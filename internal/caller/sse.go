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
	// frameBuffer is the first size of a stream's buffer; it holds some tens of frames.
	frameBuffer = 4 << 10
	// maxBuffer bounds what is kept for reuse and when a batch is written early.
	maxBuffer = 32 << 10
)

// buffers keeps the buffers of ended streams.
var buffers = sync.Pool{New: func() any {
	b := make([]byte, 0, frameBuffer)
	return &b
}}

// An eventStream is a sink that writes server-sent events.
type eventStream struct {
	buffer   []byte
	deadline time.Time // for writes, as last set
	exchange *exchange
	form     form
	head     []byte // of each frame, up to the text
	limit    int
	tokens   int
}

// stream serves a completion by server-sent events. An error before the first
// token becomes a plain refusal; later ones end the stream with an error event.
func (e *exchange) stream(f form, request route.CompletionRequest) error {
	pooled := buffers.Get().(*[]byte)
	s := &eventStream{buffer: (*pooled)[:0], exchange: e, form: f, limit: request.MaxOutputTokens}
	s.head = append(appendHead([]byte("data: "), f.chunk, e.id, request.Model), f.open...)
	defer func() {
		if cap(s.buffer) <= maxBuffer {
			*pooled = s.buffer
			buffers.Put(pooled)
		}
	}()
	var err error
	if e.result, err = e.handler.Router.Complete(e.request.Context(), request, s); err != nil && e.started {
		s.fail(err)
	}
	return err
}

// Flush implements route.Sink.
func (s *eventStream) Flush() error {
	if len(s.buffer) == 0 {
		return nil
	}
	e := s.exchange
	if !e.started {
		s.start()
	}
	s.extend()
	_, err := e.writer.Write(s.buffer)
	s.buffer = s.buffer[:0]
	if err != nil {
		return errors.Wrap(err, "write events")
	}
	if err := e.control.Flush(); err != nil {
		return errors.Wrap(err, "flush events")
	}
	if e.request.ProtoMajor > 1 {
		// An HTTP/2 stream is reset when its deadline passes, even between writes.
		_ = e.control.SetWriteDeadline(time.Time{})
		s.deadline = time.Time{}
	}
	return nil
}

// WriteToken implements route.Sink.
func (s *eventStream) WriteToken(text string, last bool) error {
	s.tokens++
	b := s.buffer
	b = append(b, s.head...)
	b = appendString(b, text)
	b = append(b, s.form.close...)
	if last {
		b = appendReason(b, finishReason(s.tokens, s.limit))
		b = append(b, "}]}\n\ndata: [DONE]\n\n"...)
	} else {
		b = append(b, "null}]}\n\n"...)
	}
	s.buffer = b
	if len(b) >= maxBuffer {
		return s.Flush()
	}
	return nil
}

// extend moves the write deadline when half of it has passed, which is cheaper
// than a new one for each token.
func (s *eventStream) extend() {
	e := s.exchange
	now, span := e.handler.Timer.Now(), e.handler.Bounds.write()
	if s.deadline.Sub(now) > span/2 {
		return
	}
	s.deadline = now.Add(span)
	// Writers without deadlines are in-memory ones, which cannot be slow.
	_ = e.control.SetWriteDeadline(s.deadline)
}

// fail ends a stream that has begun with an error event.
func (s *eventStream) fail(err error) {
	r := &persimmoncart.Refusal{}
	if !errors.As(err, &r) {
		return // the caller is gone
	}
	body, _ := s.exchange.body(r)
	s.buffer = append(s.buffer, "event: error\ndata: "...)
	s.buffer = append(s.buffer, body...)
	s.buffer = append(s.buffer, "\n\n"...)
	_ = s.Flush() // nobody is left to tell about a failure
}

// start writes the header of the answer.
func (s *eventStream) start() {
	e := s.exchange
	e.started = true
	header := e.writer.Header()
	header.Set("Cache-Control", "no-store")
	header.Set("Content-Type", "text/event-stream")
	e.writer.WriteHeader(http.StatusOK)
}

// appendHead appends the part of an answer that all its frames share.
func appendHead(b []byte, object string, id persimmoncart.RequestID, model persimmoncart.ModelName) []byte {
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
