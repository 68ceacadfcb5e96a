package persimmoncart

import (
	"context"
	"time"
)

// A Balancer chooses application endpoints and weights them by the reported results.
type Balancer interface {
	// Pick chooses an endpoint. It returns a *Refusal if no endpoint is usable.
	Pick(ctx context.Context, request PickRequest) (Endpoint, error)
	// Report reports the end of a call to an endpoint that Pick chose.
	Report(result CallResult)
}

// A CallResult is the result of one call, or of a section of a long decode, as
// observed by its sender.
type CallResult struct {
	Cancelled bool // cancelled by the sender, so no evidence about the endpoint
	Endpoint  EndpointID
	Failed    bool
	Latency   time.Duration
	Pool      PoolName
	Role      Role
	Tokens    int // tokens that Latency covers; zero if unknown
}

// A Grant reserves a decode slot and a prefill slot for one completion.
type Grant struct {
	Blocks             int // decode memory in blocks
	CachedTokens       int // prompt tokens expected in the prefill replica's cache
	Decode             Endpoint
	ExpectedFirstToken time.Duration // expected time to the first token
	Expires            time.Time     // local time when an uncommitted grant expires
	ID                 GrantID
	Prefill            Endpoint
}

// A GrantID identifies a grant; it is unique across instances.
type GrantID string

// A PickRequest is the request for an application endpoint.
type PickRequest struct {
	Avoid []EndpointID // endpoints already tried
	Pool  PoolName
	Route RouteName
}

// A SlotAllocator grants decode and prefill slots with their memory.
type SlotAllocator interface {
	// Commit keeps the grant until Release, also after its expiry.
	Commit(ctx context.Context, id GrantID) error
	// PrefillDone releases the prefill slot of the grant and keeps the decode slot.
	PrefillDone(id GrantID)
	// Release frees the grant. Releasing an unknown or expired grant has no effect.
	Release(id GrantID)
	// Report reports the result of a prefill or decode on an endpoint. It may be
	// called several times during one decode, each time with the tokens and the
	// time since the preceding call, so that a slow engine is detected before the
	// response ends.
	Report(result CallResult)
	// Reserve reserves a decode slot, its memory and a prefill slot together. It
	// waits in the admission queue and returns a *Refusal as soon as the
	// request cannot be served in time.
	Reserve(ctx context.Context, request ReserveRequest) (Grant, error)
}

// A ReserveRequest is the request for the slots of one completion.
type ReserveRequest struct {
	Account            AccountID
	Attempt            AttemptID
	Avoid              []EndpointID // endpoints that already failed this request
	Class              Class
	Deadline           time.Time // when the whole response is due
	FirstTokenDeadline time.Time // zero if there is none
	MaxOutputTokens    int       // highest number of tokens still to generate
	Model              ModelName
	Pool               PoolName
	Prefixes           []uint64 // hashes of the prompt up to the end of each block, shortest first
	PromptTokens       int      // estimated
}
