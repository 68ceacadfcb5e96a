package persimmoncart

import (
	"context"
	"time"
)

// A Balancer chooses application endpoints and learns from results.
type Balancer interface {
	// Pick chooses an endpoint. It returns a *Refusal if there is none.
	Pick(ctx context.Context, request PickRequest) (Endpoint, error)
	// Report reports the end of a call that Pick chose the endpoint for.
	Report(result CallResult)
}

// A CallResult is the end of one call, or of a part of a long decode, as its
// sender saw it.
type CallResult struct {
	Cancelled bool // cancelled by the sender; says nothing about the endpoint
	Endpoint  EndpointID
	Failed    bool
	Latency   time.Duration
	Pool      PoolName
	Role      Role
	Tokens    int // tokens that Latency covers; zero if unknown
}

// A Grant is a secured pair of slots for one completion.
type Grant struct {
	Blocks             int // decode memory
	CachedTokens       int // prompt tokens expected in the prefill replica's cache
	Decode             Endpoint
	ExpectedFirstToken time.Duration // expected time to the first token
	Expires            time.Time     // local time when an uncommitted grant lapses
	ID                 GrantID
	Prefill            Endpoint
}

// A GrantID identifies a grant; it is unique across instances.
type GrantID string

// A PickRequest asks for an application endpoint.
type PickRequest struct {
	Avoid []EndpointID // endpoints already tried
	Pool  PoolName
	Route RouteName
}

// SlotAllocator hands out decode and prefill slots with their memory.
type SlotAllocator interface {
	// Commit keeps the grant until Release, beyond its expiry.
	Commit(ctx context.Context, id GrantID) error
	// PrefillDone releases the prefill slot of the grant and keeps the decode slot.
	PrefillDone(id GrantID)
	// Release frees the grant. Releasing an unknown or expired grant is no error.
	Release(id GrantID)
	// Done reports how a phase on an endpoint went. It may be called several
	// times during one decode, each time with the tokens and the time since the
	// last call, so that a slow engine is noticed before the answer ends.
	Report(result CallResult)
	// Reserve secures a decode slot, its memory and a prefill slot together. It
	// waits in the admission queue and returns a *Refusal as soon as the
	// request cannot be served in time.
	Reserve(ctx context.Context, request ReserveRequest) (Grant, error)
}

// A ReserveRequest asks for the slots of one completion.
type ReserveRequest struct {
	Account            AccountID
	Attempt            AttemptID
	Avoid              []EndpointID // endpoints that already failed this request
	Class              Class
	Deadline           time.Time // when the whole answer is due
	FirstTokenDeadline time.Time // when the first token is due; zero for drafts
	MaxOutputTokens    int       // tokens still to generate
	Model              ModelName
	Pool               PoolName
	Prefixes           []uint64 // hashes of the prompt up to each block, shortest first
	PromptTokens       int      // prompt tokens, estimated
}
