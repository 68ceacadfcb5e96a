package persimmoncart

import (
	"context"
	"time"
)

// A ClaimKey identifies one call that must not run twice. It is a hash over the
// account, route and idempotency key.
type ClaimKey [16]byte

// States of a claim.
const (
	ClaimAnswered ClaimState = "answered" // the endpoint answered
	ClaimClaimed  ClaimState = "claimed"  // recorded; the call may be running
	ClaimNotRun   ClaimState = "not_run"  // the call provably did not run
	ClaimUnknown  ClaimState = "unknown"  // the call was dispatched and has no known response
)

// A ClaimState is the state of a claim. Only a claim in state ClaimNotRun may be
// claimed again.
type ClaimState string

// A ClaimRecord is the stored record of one claimed call.
type ClaimRecord struct {
	Fence    uint64
	Nonce    Nonce
	Response *CallResponse // nil if there is no response or it is too large to store
	State    ClaimState
	Time     time.Time
}

// Claims records calls that must not run twice, before they are dispatched.
type Claims interface {
	// Claim records the call. If the returned grant has Granted set, this call,
	// and no other with the same key, may be dispatched until the grant expires.
	// Otherwise the grant holds the earlier record. Claim returns an
	// *UnavailableError if nothing was recorded, or if it is unknown whether the
	// claim was recorded; in both cases the call must not be dispatched.
	Claim(ctx context.Context, key ClaimKey) (ClaimGrant, error)
	// Outcome returns the record of the key, or a *NotFoundError.
	Outcome(ctx context.Context, key ClaimKey) (ClaimRecord, error)
	// Settle records the final state of a granted call. After ClaimNotRun the key
	// can be claimed again.
	Settle(ctx context.Context, grant ClaimGrant, state ClaimState, response *CallResponse) error
}

// A ClaimGrant is the result of a claim.
type ClaimGrant struct {
	Expires time.Time // local time after which the call must not be dispatched
	Granted bool
	Key     ClaimKey
	Record  ClaimRecord
}

// A Nonce identifies one claim uniquely across instances and restarts.
type Nonce struct {
	Sequence uint64
	Tag      Tag
}
