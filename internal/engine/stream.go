package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"sync"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

// A lineReader reads the lines of an event stream. When the context of a blocked
// read is done, the whole request is cancelled.
type lineReader struct {
	body   io.ReadCloser
	cancel context.CancelFunc
	once   sync.Once
	reader *bufio.Reader
}

// newLineReader returns a lineReader that reads body until cancel is called.
func newLineReader(body io.ReadCloser, cancel context.CancelFunc) *lineReader {
	return &lineReader{body: body, cancel: cancel, reader: bufio.NewReaderSize(body, maxLineBytes)}
}

// Close cancels the request and closes the body.
func (l *lineReader) Close() error {
	l.once.Do(func() {
		l.cancel()
		_ = l.body.Close()
	})
	return nil
}

// next returns the next non-empty line without its newline. The line is valid until
// the next call. At the end of the stream it returns io.EOF.
func (l *lineReader) next(ctx context.Context) ([]byte, error) {
	for {
		line, err := l.read(ctx)
		if err != nil || len(line) > 0 {
			return line, err
		}
	}
}

// read returns the next line without its newline. It returns a
// *transport.ResponseTooLargeError if the line exceeds maxLineBytes, and
// io.ErrUnexpectedEOF if it is cut off.
func (l *lineReader) read(ctx context.Context) ([]byte, error) {
	if !l.hasLine() {
		stop := context.AfterFunc(ctx, l.cancel)
		defer stop()
	}
	line, err := l.reader.ReadSlice('\n')
	switch {
	case err == nil:
		return line[:len(line)-1], nil
	case ctx.Err() != nil:
		return nil, ctx.Err()
	case errors.Is(err, bufio.ErrBufferFull):
		return nil, &transport.ResponseTooLargeError{Limit: maxLineBytes}
	case errors.Is(err, io.EOF) && len(line) == 0:
		return nil, io.EOF
	default:
		return nil, io.ErrUnexpectedEOF
	}
}

// hasLine reports whether a whole line is buffered. Reading it cannot block and
// needs no context.
func (l *lineReader) hasLine() bool {
	b, err := l.reader.Peek(l.reader.Buffered())
	return err == nil && bytes.IndexByte(b, '\n') >= 0
}

var _ persimmoncart.BufferedTokenStream = (*clientTokenStream)(nil)

// A clientTokenStream is the token stream of one generation over HTTP.
type clientTokenStream struct {
	*lineReader
	lastRead bool
	parser   *tokenParser
}

// Buffered implements persimmoncart.BufferedTokenStream.
func (s *clientTokenStream) Buffered() bool {
	b, err := s.reader.Peek(s.reader.Buffered())
	// Empty lines only separate the events.
	return err == nil && bytes.IndexByte(bytes.TrimLeft(b, "\n"), '\n') >= 0
}

// Next implements persimmoncart.TokenStream. It also returns the errors of
// tokenParser.parse. When ctx is done, the generation is cancelled.
func (s *clientTokenStream) Next(ctx context.Context) (persimmoncart.Token, error) {
	if s.lastRead {
		return persimmoncart.Token{}, io.EOF
	}
	line, err := s.next(ctx)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return persimmoncart.Token{}, err
	}
	t, err := s.parser.parse(line)
	if err != nil {
		return persimmoncart.Token{}, err
	}
	s.lastRead = t.Last
	return t, nil
}

// A clientCacheEventStream is a stream of cache events over HTTP.
type clientCacheEventStream struct {
	*lineReader
}

// Next implements persimmoncart.CacheEventStream.
func (s *clientCacheEventStream) Next(ctx context.Context) (persimmoncart.CacheEvent, error) {
	line, err := s.next(ctx)
	if err != nil {
		if ctx.Err() != nil {
			return persimmoncart.CacheEvent{}, ctx.Err()
		}
		return persimmoncart.CacheEvent{}, &persimmoncart.UnavailableError{Err: err, Operation: "cache events"}
	}
	return parseCacheEvent(line)
}

// parseCacheEvent parses one line. It returns a *transport.ProtocolError if the
// line is no event.
func parseCacheEvent(line []byte) (persimmoncart.CacheEvent, error) {
	data, found := bytes.CutPrefix(line, []byte(dataPrefix))
	if !found {
		return persimmoncart.CacheEvent{}, transport.NewProtocolError("no data line", line)
	}
	var w wireCacheEvent
	if err := json.Unmarshal(data, &w); err != nil {
		return persimmoncart.CacheEvent{}, transport.NewProtocolError(err.Error(), line)
	}
	return persimmoncart.CacheEvent(w), nil
}
