package transport

import (
	"net/http"

	"github.com/go-faster/errors"
)

// maxStatus is the highest status of HTTP.
const maxStatus = 599

// A statusTransport is an http.Transport whose calls fail with a *ProtocolError if the
// final response has a status that HTTP does not have, or 101: no call asks for another
// protocol, and net/http lets the bytes of one go on after the end of the call's context.
type statusTransport struct {
	*http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t *statusTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if status := response.StatusCode; status < http.StatusOK || status > maxStatus {
		_ = response.Body.Close() // closes the connection unless the body has ended
		return nil, errors.Wrap(NewProtocolError("invalid status", []byte(response.Status)), "check response")
	}
	return response, nil
}
