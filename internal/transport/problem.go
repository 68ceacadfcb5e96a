package transport

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// MaxProblemBytes is the largest body of an error response that a client reads.
const MaxProblemBytes = 16 << 10

// A Problem is the error in the JSON body of an error response:
// {"error":{"code":"…"}}.
type Problem struct {
	Code       string   `json:"code"`
	Have       uint64   `json:"have,omitempty"` // current version of the object in the store, for conflicts
	Message    string   `json:"message,omitempty"`
	RetryAfter Duration `json:"retry,omitzero"` // zero if the server named no time
	Status     int      `json:"-"`              // HTTP status
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("status %d, code %q: %s", p.Status, p.Code, p.Message)
}

// A problemBody is the body of an error response.
type problemBody struct {
	Error *Problem `json:"error"`
}

// ReadProblem decodes the body of an error response. It returns a
// *ProtocolError if the body has another form.
func ReadProblem(r *http.Response) (*Problem, error) {
	var body problemBody
	if err := ReadJSON(r.Body, MaxProblemBytes, &body); err != nil {
		return nil, errors.Wrapf(err, "status %d", r.StatusCode)
	}
	if body.Error == nil {
		return nil, &ProtocolError{Reason: "error response without an error"}
	}
	body.Error.Status = r.StatusCode
	return body.Error, nil
}

// WriteProblem writes p as an error response with p's status.
func WriteProblem(w http.ResponseWriter, p *Problem) {
	WriteJSON(w, p.Status, problemBody{Error: p})
}

// ReadJSON reads one JSON value of at most limit bytes from r. It returns a
// *ProtocolError for bytes that are not valid JSON for value, a
// *ResponseTooLargeError for more than limit bytes, and otherwise the reader's
// error.
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

// ReadAll reads r to its end. It returns a *ResponseTooLargeError if there are
// more than limit bytes.
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

// WriteJSON writes value as a JSON response.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the client is gone.
	_, _ = w.Write(b)
}

// sampleBytes is the highest number of bytes of an invalid response that an error
// includes.
const sampleBytes = 64

// sample returns the first bytes of b for an error message.
func sample(b []byte) string {
	return string(b[:min(len(b), sampleBytes)])
}

// NewProtocolError returns a ProtocolError with the first of the invalid bytes.
func NewProtocolError(reason string, b []byte) *ProtocolError {
	return &ProtocolError{Reason: reason, Sample: sample(b)}
}

// A ProtocolError reports a response that does not follow the protocol.
type ProtocolError struct {
	Reason string
	Sample string // first bytes of the invalid data
}

// Error implements error. Fakes send the text in responses to invalid requests.
func (e *ProtocolError) Error() string {
	return fmt.Sprintf("answer breaks the protocol: %s: %q", e.Reason, e.Sample)
}

// A ResponseTooLargeError reports a response that is larger than a client
// accepts.
type ResponseTooLargeError struct {
	Limit int64 // bytes
}

// Error implements error. Fakes send the text in responses to requests that are
// too large.
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
