package forward

import (
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// bufferLimit is the size in bytes up to which a response is buffered before its
	// first byte goes to the caller. If a response breaks off within it, the request
	// can be sent again.
	bufferLimit = 256 << 10
	// minBuffer is the size in bytes up to which a response is buffered first whose length
	// is not known.
	minBuffer = 4 << 10
	// pieceSize is the size in bytes of the pieces of a response that is not buffered.
	pieceSize = 16 << 10
)

// A Body reads the body of a response piece by piece. Next returns io.EOF after
// the last piece and another error if the response is incomplete.
type Body interface {
	// Close ends the response. If it is not complete, the endpoint stops its work.
	Close() error
	// Next returns the next piece, which is valid until the next call.
	Next() ([]byte, error)
}

// A Response is the response to a forwarded request.
type Response struct {
	Body   Body
	Header http.Header
	Length int64 // of the body; negative if unknown
	Status int
	Stream bool // each piece has to reach the caller without delay
	Whole  bool // the body is in memory

	buffered *bufferedBody // in Body; nil for streams
}

// TakeBuffered returns the beginning of the body that is in memory. Body goes on after it.
func (r *Response) TakeBuffered() []byte {
	if r.buffered == nil {
		return nil
	}
	beginning := r.buffered.buffered
	r.buffered.buffered = nil
	return beginning
}

// A bufferedBody is the buffered start of a response and its unread rest.
type bufferedBody struct {
	buffered []byte
	piece    []byte        // that Next returned
	rest     io.ReadCloser // nil if the whole body is buffered
}

// Close implements Body.
func (b *bufferedBody) Close() error {
	if b.rest == nil {
		return nil
	}
	if err := b.rest.Close(); err != nil {
		return errors.Wrap(err, "close response")
	}
	return nil
}

// Next implements Body.
func (b *bufferedBody) Next() ([]byte, error) {
	if len(b.buffered) > 0 {
		buffered := b.buffered
		b.buffered = nil
		return buffered, nil
	}
	if b.rest == nil {
		return nil, io.EOF
	}
	if b.piece == nil {
		b.piece = make([]byte, pieceSize)
	}
	n, err := b.rest.Read(b.piece)
	if n > 0 {
		return b.piece[:n], nil
	}
	return nil, err
}

// readResponse buffers up to bufferLimit bytes of a response, or as many as there is room
// for. It returns an error if the response is not valid or breaks off within them.
func (x *exchange) readResponse(response *persimmoncart.UpstreamResponse) (*Response, error) {
	if err := x.checkResponse(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	if x.request.Method == http.MethodHead || response.Status == http.StatusNotModified {
		// The length is that of a body that the response does not have.
		_ = response.Body.Close()
		return &Response{Body: &bufferedBody{}, Header: response.Header, Length: response.BodyLength, Status: response.Status}, nil
	}
	size := bufferLimit
	if response.BodyLength >= 0 && response.BodyLength < bufferLimit {
		size = int(response.BodyLength)
	}
	buffered, full, err := x.readHeld(response.Body, size, response.BodyLength >= 0)
	if err != nil {
		_ = response.Body.Close()
		return nil, errors.Wrap(err, "read response")
	}
	result := &Response{Header: response.Header, Length: response.BodyLength, Status: response.Status}
	if full && len(buffered) < bufferLimit {
		// The connection can be reused only after its response has been read to the end.
		if n, err := io.Copy(io.Discard, io.LimitReader(response.Body, 1)); err != nil || n > 0 {
			_ = response.Body.Close()
			return nil, errors.Wrap(errors.Join(err, errTrailing), "read end of response")
		}
		_ = response.Body.Close()
		if response.BodyLength >= 0 && int64(len(buffered)) != response.BodyLength {
			return nil, errors.Wrap(io.ErrUnexpectedEOF, "read response")
		}
		result.Length, result.Whole = int64(len(buffered)), true
		result.Body = &bufferedBody{buffered: buffered}
		return result, nil
	}
	result.buffered = &bufferedBody{buffered: buffered, rest: response.Body}
	result.Body = result.buffered
	return result, nil
}

// readHeld reads up to size bytes of a response. Known states that the response has as
// many. It reports false if there was no room for all of them.
func (x *exchange) readHeld(from io.Reader, size int, known bool) (read []byte, full bool, err error) {
	memory := x.request.Memory
	for {
		// Grows slowly: many responses of faulty endpoints may be held at the same time.
		capacity := min(size, max(minBuffer, cap(read)+cap(read)/4))
		if known {
			capacity = size
		}
		if memory != nil && !memory.Take(capacity) {
			if known && size > minBuffer && cap(read) == 0 {
				known = false // as much as there is room for
				continue
			}
			if cap(read) > 0 || size > minBuffer {
				return read, false, nil
			}
		}
		larger := make([]byte, len(read), capacity)
		copy(larger, read)
		if memory != nil {
			memory.Give(cap(read))
		}
		read = larger
		for len(read) < cap(read) {
			n, err := from.Read(read[len(read):cap(read)])
			read = read[:len(read)+n]
			switch {
			case isEOF(err):
				return read, true, nil
			case err != nil:
				return nil, false, err
			}
		}
		if len(read) == size {
			return read, true, nil
		}
	}
}
