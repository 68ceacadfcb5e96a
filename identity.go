package persimmoncart

import (
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// An AccountID names one caller account.
type AccountID string

// An AttemptID identifies one attempt to serve a request.
//
// Receivers discard a response that carries the identifier of another attempt.
type AttemptID struct {
	Number  int
	Request RequestID
}

// ParseAttemptID parses an AttemptID of the form "request/number". It returns an
// *AttemptIDError if s has another form.
func ParseAttemptID(s string) (AttemptID, error) {
	request, number, found := strings.Cut(s, "/")
	if !found || request == "" {
		return AttemptID{}, &AttemptIDError{Value: s}
	}
	n, err := strconv.Atoi(number)
	if err != nil || n < 0 {
		return AttemptID{}, &AttemptIDError{Value: s}
	}
	return AttemptID{Number: n, Request: RequestID(request)}, nil
}

// String returns the identifier as "request/number".
func (a AttemptID) String() string {
	return string(a.Request) + "/" + strconv.Itoa(a.Number)
}

// MarshalText implements encoding.TextMarshaler.
func (a AttemptID) MarshalText() ([]byte, error) {
	return []byte(a.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It returns a wrapped
// *AttemptIDError if the text has another form.
func (a *AttemptID) UnmarshalText(text []byte) error {
	parsed, err := ParseAttemptID(string(text))
	if err != nil {
		return errors.Wrap(err, "unmarshal attempt")
	}
	*a = parsed
	return nil
}

// An AttemptIDError reports a malformed attempt identifier.
type AttemptIDError struct {
	Value string
}

// Error implements error.
func (e *AttemptIDError) Error() string {
	return "invalid attempt identifier " + strconv.Quote(e.Value)
}

// A DataCentre names one data centre.
type DataCentre string

// An EndpointID names one replica of a pool.
type EndpointID string

// An Incarnation numbers the starts of one instance or endpoint; a later start
// has a higher number.
type Incarnation uint64

// An InstanceID names one entry instance.
type InstanceID string

// A ModelName names a model, or a model with an adapter as "model:adapter".
type ModelName string

// A PoolName names one pool of endpoints.
type PoolName string

// A Region names one region.
type Region string

// A RequestID identifies one caller request; it is unique across instances.
type RequestID string

// A RouteName names one route.
type RouteName string

// A SoftwareVersion names the version of the software that an endpoint runs. Versions
// are compared for equality only.
type SoftwareVersion string

// A Tag identifies one incarnation of an instance. Work and records carry the tag
// of the incarnation that created them.
type Tag struct {
	Incarnation Incarnation
	Instance    InstanceID
}
