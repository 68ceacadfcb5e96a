package persimmoncart

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"
)

// A CacheSource locates exported KV cache.
type CacheSource struct {
	Addr   netip.AddrPort // of the engine that exported the cache
	Handle string
}

// An EndpointLoad is the load that an endpoint reports with a response.
type EndpointLoad struct {
	Running  int
	Slots    int
	Slowdown float64 // duration of requests relative to the normal duration; zero if unknown
	Waiting  int
}

// An EndpointNotice is what an endpoint states about itself with a response.
type EndpointNotice struct {
	Leaving    bool          // it will stop; it wants no new requests
	RateLimit  float64       // requests a second that it takes from all instances together; zero if it states none
	RetryAfter time.Duration // it wants no requests of this instance for so long; zero for none
	Unlimited  bool          // the response to a request that has run states no RateLimit
}

// An Upstream sends forwarded requests to endpoints.
//
// Errors are *EndpointRefusedError and *EndpointReplacedError if the request
// provably did not run on the endpoint; after any other error it may have run.
type Upstream interface {
	// Identify asks an engine for its incarnation. It returns an
	// *EndpointReplacedError if another process responds at the address. An
	// application endpoint states no incarnation: there it only connects.
	Identify(ctx context.Context, endpoint *Endpoint) error
	// Prefill has an engine compute and export the KV cache of a prompt.
	Prefill(ctx context.Context, call UpstreamCall) (PrefilledCache, error)
	// Release frees exported KV cache that will not be fetched.
	Release(ctx context.Context, endpoint *Endpoint, handle string) error
	// ReleaseReservation frees a reservation that will not be used.
	ReleaseReservation(ctx context.Context, endpoint *Endpoint, reservation string) error
	// Reserve reserves a slot and memory for the given number of tokens on an engine
	// and returns the reservation's identifier. The reservation ends after
	// lifetime, or when a request uses it.
	Reserve(ctx context.Context, endpoint *Endpoint, tokens int, lifetime time.Duration) (string, error)
	// Send returns the response once its header has arrived. The caller must close
	// the body; closing it early cancels the request on the endpoint.
	Send(ctx context.Context, call UpstreamCall) (*UpstreamResponse, error)
}

// An UpstreamResponse is the response of an endpoint. Reads of Body return an
// error other than io.EOF if the connection breaks before the end.
type UpstreamResponse struct {
	Authenticated bool // carries the endpoint's proof that it produced the response
	Body          io.ReadCloser
	BodyLength    int64         // bytes; negative if unknown
	Header        http.Header   // end-to-end headers
	Load          *EndpointLoad // nil if the endpoint did not state it
	Status        int
}

// An UpstreamCall is one request to one endpoint.
type UpstreamCall struct {
	Account     AccountID    // of the caller; empty for none
	Cache       *CacheSource // KV cache to fetch; nil for none
	Deadline    time.Time
	Endpoint    *Endpoint
	HasAccounts bool           // callers have accounts: the endpoint gets Account in place of the caller's key
	Position    StreamPosition // of the caller in a stream that goes on here; one before the first event sends the caller's own
	Priority    int            // 0 is the most urgent
	Request     *ForwardRequest
	Reservation string // reservation to use; empty for none
}

// A PrefilledCache is KV cache that an engine has exported.
type PrefilledCache struct {
	Load   *EndpointLoad
	Source CacheSource
	Tokens int
}

// An EndpointReplacedError reports that another endpoint now uses the address of
// the intended one. The request has not run.
type EndpointReplacedError struct {
	Addr netip.AddrPort
	Want EndpointID
}

// Error implements error.
func (e *EndpointReplacedError) Error() string {
	return fmt.Sprintf("endpoint %s is no longer at %s", e.Want, e.Addr)
}
