package persimmoncart

import (
	"context"
	"net/http"
	"net/netip"
	"time"
)

// An Application is one application endpoint.
//
// Errors are *EndpointRefusedError (provably not run), *UnavailableError
// (provably not sent) and *AttemptMismatchError; any other error leaves open
// whether the call ran.
type Application interface {
	// Call sends one call and reads its whole answer.
	Call(ctx context.Context, request CallRequest) (*CallResponse, error)
	// Load returns the newest load report; it lags behind the real load.
	Load(ctx context.Context) (LoadReport, error)
}

// Applications connects to application endpoints.
type Applications interface {
	// Application returns the endpoint at addr. It does not wait for a connection.
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
	Path     string // with the query, below the route
}

// A CallResponse is the whole answer of an application endpoint.
type CallResponse struct {
	Attempt AttemptID
	Body    []byte
	Header  http.Header
	Status  int
}
