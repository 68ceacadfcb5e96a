package transport

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// MaxProblemBytes bounds the body of an error answer that a client reads.
const MaxProblemBytes = 16 << 10

// A Problem is the JSON body of an error answer: {"error":{"code":"…"}}.
type Problem struct {
	Code       string   `json:"code"`
	Have       uint64   `json:"have,omitempty"` // version of the store's object
	Message    string   `json:"message,omitempty"`
	RetryAfter Duration `json:"retry,omitzero"`
	Status     int      `json:"-"`
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("status %d, code %q: %s", p.Status, p.Code, p.Message)
}

// A problemBody is the outer object of an error answer.
type problemBody struct {
	Error *Problem `json:"error"`
}

// ReadProblem reads the body of an error answer. It returns a *ProtocolError if
// the body is no such object.
func ReadProblem(r *http.Response) (*Problem, error) {
	var body problemBody
	if err := ReadJSON(r.Body, MaxProblemBytes, &body); err != nil {
		return nil, errors.Wrapf(err, "status %d", r.StatusCode)
	}
	if body.Error == nil {
		return nil, &ProtocolError{Reason: "error answer without an error"}
	}
	body.Error.Status = r.StatusCode
	return body.Error, nil
}

// WriteProblem sends p as an error answer with p's status.
func WriteProblem(w http.ResponseWriter, p *Problem) {
	WriteJSON(w, p.Status, problemBody{Error: p})
}

// ReadJSON reads one JSON value of at most limit bytes from r. It returns a
// *ProtocolError for bytes that are no such value, a *ResponseTooLargeError above
// the limit, and the reader's error otherwise.
func ReadJSON(r io.Reader, limit int64, value any) error {
	b, err := ReadAll(r, limit)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(b, value); err != nil {
		return &ProtocolError{Reason: err.Error(), Sample: sample(b)}
	}
	return nil
}

// ReadAll reads at most limit bytes from r. It returns a *ResponseTooLargeError
// if there are more.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(b)) > limit {
		return nil, &ResponseTooLargeError{Limit: limit}
	}
	return b, nil
}

// WriteJSON sends value as a JSON answer.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the caller is gone; there is nobody to tell.
	_, _ = w.Write(b)
}

// sampleBytes bounds the part of a faulty answer that an error keeps.
const sampleBytes = 64

// sample returns the start of b for an error message.
func sample(b []byte) string {
	return string(b[:min(len(b), sampleBytes)])
}

// NewProtocolError returns a ProtocolError with the start of the faulty bytes.
func NewProtocolError(reason string, b []byte) *ProtocolError {
	return &ProtocolError{Reason: reason, Sample: sample(b)}
}

// A ProtocolError reports an answer that does not follow the protocol.
type ProtocolError struct {
	Reason string
	Sample string // start of the faulty bytes
}

// Error implements error.
func (e *ProtocolError) Error() string {
	return fmt.Sprintf("answer breaks the protocol: %s: %q", e.Reason, e.Sample)
}

// A ResponseTooLargeError reports an answer above the size that a client reads.
type ResponseTooLargeError struct {
	Limit int64 // bytes
}

// Error implements error.
func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("answer has more than %d bytes", e.Limit)
}

// A Duration is a time.Duration that is written as text such as "1.5s" in JSON.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}
