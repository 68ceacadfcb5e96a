package persimmoncart

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"
)

// A CacheSource names exported KV cache.
type CacheSource struct {
	Addr   netip.AddrPort // of the engine that exported it
	Handle string
}

// An EndpointLoad is what an endpoint says about its load with an answer.
type EndpointLoad struct {
	Running  int
	Slots    int
	Slowdown float64 // time that work takes there relative to the usual; zero if unknown
	Waiting  int
}

// An Upstream passes forwarded requests on to endpoints.
//
// Errors are *EndpointRefusedError and *EndpointReplacedError if the request has
// provably not run there; after any other error it may have run.
type Upstream interface {
	// Hold reserves a slot and memory for tokens on an engine and returns the
	// reservation's identifier. It lapses after lifetime, or with its use.
	Hold(ctx context.Context, endpoint *Endpoint, tokens int, lifetime time.Duration) (string, error)
	// Prefill has an engine compute and export the KV cache of a prompt.
	Prefill(ctx context.Context, call UpstreamCall) (PrefilledCache, error)
	// Release frees exported KV cache that nobody will fetch.
	Release(ctx context.Context, endpoint *Endpoint, handle string) error
	// ReleaseHold frees a reservation that nobody will use.
	ReleaseHold(ctx context.Context, endpoint *Endpoint, hold string) error
	// Send returns the answer once its header has arrived. The body has to be
	// closed; closing it early makes the endpoint stop.
	Send(ctx context.Context, call UpstreamCall) (*UpstreamResponse, error)
}

// An UpstreamResponse is an endpoint's own answer. Reads of Body fail with another
// error than io.EOF if it breaks off.
type UpstreamResponse struct {
	Authenticated bool // carries the endpoint's proof that it made the answer
	Body          io.ReadCloser
	BodyLength    int64         // of the body; negative if unknown
	Header        http.Header   // end to end
	Load          *EndpointLoad // nil if the endpoint did not state it
	Status        int
}

// An UpstreamCall is one request to one endpoint.
type UpstreamCall struct {
	Cache       *CacheSource // KV cache to fetch; nil means none
	Deadline    time.Time
	Endpoint    *Endpoint
	Hold        string // reservation to use; empty means none
	LastEventID uint64 // last event that the caller has; zero sends what the caller sent
	Priority    int    // 0 is the most urgent
	Request     *ForwardRequest
}

// A PrefilledCache is KV cache that an engine has exported.
type PrefilledCache struct {
	Load   *EndpointLoad
	Source CacheSource
	Tokens int
}

// An EndpointReplacedError reports that another endpoint answers at an address.
// The request has not run.
type EndpointReplacedError struct {
	Addr netip.AddrPort
	Want EndpointID
}

// Error implements error.
func (e *EndpointReplacedError) Error() string {
	return fmt.Sprintf("endpoint %s is no longer at %s", e.Want, e.Addr)
}
