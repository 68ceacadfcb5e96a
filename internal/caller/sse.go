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
	// initialBufferBytes is the initial size of the buffer of a stream, enough for
	// some tens of events.
	initialBufferBytes = 4 << 10
	// maxBufferBytes is the size at which a buffer is written without waiting for
	// Flush, and above which it is not kept for reuse.
	maxBufferBytes = 32 << 10
)

// bufferPool keeps the buffers of ended streams for reuse.
var bufferPool = sync.Pool{New: func() any {
	b := make([]byte, 0, initialBufferBytes)
	return &b
}}

// An eventStream is a sink that writes tokens as server-sent events.
type eventStream struct {
	buffer      []byte    // events that have not been written
	deadline    time.Time // current write deadline; zero for none
	eventPrefix []byte    // start of each event, up to the text
	exchange    *exchange
	format      completionFormat
	limit       int // most output tokens
	tokens      int // tokens received
}

// serveStream serves a completion as server-sent events. An error before the response
// has started becomes a refusal; a later one ends the stream with an error event.
func (e *exchange) serveStream(f completionFormat, request route.CompletionRequest) error {
	pooled := bufferPool.Get().(*[]byte)
	s := &eventStream{buffer: (*pooled)[:0], exchange: e, format: f, limit: request.MaxOutputTokens}
	s.eventPrefix = append(appendResponseStart([]byte("data: "), f.chunkObject, e.id, request.Model), f.chunkPrefix...)
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
		// The server resets an HTTP/2 stream when its deadline passes, even between writes.
		_ = e.controller.SetWriteDeadline(time.Time{})
		s.deadline = time.Time{}
	}
	return nil
}

// WriteToken implements route.Sink.
func (s *eventStream) WriteToken(text string, last bool) error {
	s.tokens++
	b := s.buffer
	b = append(b, s.eventPrefix...)
	b = appendString(b, text)
	b = append(b, s.format.textSuffix...)
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

// extendDeadline sets a new write deadline once half of the write timeout has passed,
// which costs less than one for each token.
func (s *eventStream) extendDeadline() {
	e := s.exchange
	now, timeout := e.handler.Timer.Now(), e.handler.RequestLimits.writeTimeout()
	if s.deadline.Sub(now) > timeout/2 {
		return
	}
	s.deadline = now.Add(timeout)
	// Only writers in memory do not support deadlines, and they cannot be slow.
	_ = e.controller.SetWriteDeadline(s.deadline)
}

// writeError ends a stream that has started with an error event.
func (s *eventStream) writeError(err error) {
	r := &persimmoncart.Refusal{}
	if !errors.As(err, &r) {
		return // the caller is gone
	}
	body, _ := s.exchange.refusalBody(r)
	s.buffer = append(s.buffer, "event: error\ndata: "...)
	s.buffer = append(s.buffer, body...)
	s.buffer = append(s.buffer, "\n\n"...)
	_ = s.Flush() // a failed write means that the caller is gone
}

// writeHeader writes the header of the response.
func (s *eventStream) writeHeader() {
	e := s.exchange
	e.responseStarted = true
	header := e.writer.Header()
	header.Set("Cache-Control", "no-store")
	header.Set("Content-Type", "text/event-stream")
	e.writer.WriteHeader(http.StatusOK)
}

// appendResponseStart appends the JSON fields with which each event of a response and
// each whole response starts.
func appendResponseStart(b []byte, object string, id persimmoncart.RequestID, model persimmoncart.ModelName) []byte {
	b = append(b, `{"id":`...)
	b = appendString(b, string(id))
	b = append(b, `,"object":`...)
	b = appendString(b, object)
	b = append(b, `,"model":`...)
	b = appendString(b, string(model))
	return append(b, ',')
}

// appendReason appends a finish reason as a JSON string.
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
