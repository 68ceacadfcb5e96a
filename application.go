package persimmoncart

import (
	"context"
	"net/http"
	"net/netip"
	"time"
)

// An Application is a client of one application endpoint.
//
// Its methods return an *EndpointRefusedError if the endpoint refused the call
// before running it, an *UnavailableError if the call was not sent, and an
// *AttemptMismatchError if the response belongs to another attempt. After any
// other error the call may have run.
type Application interface {
	// Call sends one call and reads the whole response.
	Call(ctx context.Context, request CallRequest) (*CallResponse, error)
	// Load returns the newest load report, which lags behind the actual load.
	Load(ctx context.Context) (LoadReport, error)
}

// Applications provides clients of application endpoints.
type Applications interface {
	// Application returns the client of the endpoint at addr. It does not wait
	// for a connection.
	Application(addr netip.AddrPort) Application
}

// A CallRequest is one call to an application endpoint.
type CallRequest struct {
	Attempt  AttemptID
	Body     []byte
	Deadline time.Time
	Fence    uint64 // fencing token of the claim; zero if the call has none
	Header   http.Header
	Key      string // idempotency key; empty if the call has none
	Method   string
	Path     string // relative to the route's path, with the query
}

// A CallResponse is the whole response of an application endpoint.
type CallResponse struct {
	Attempt AttemptID
	Body    []byte
	Header  http.Header
	Status  int
}
