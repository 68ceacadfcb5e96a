package persimmoncart

import (
	"context"
	"time"
)

// A ClaimKey identifies one call that may not be repeated: a hash over account,
// route and idempotency key.
type ClaimKey [16]byte

// States of a claim.
const (
	ClaimAnswered ClaimState = "answered"
	ClaimClaimed  ClaimState = "claimed"
	ClaimNotRun   ClaimState = "not_run"
	ClaimUnknown  ClaimState = "unknown"
)

// A ClaimState is the state of a claim. Only a claim in state ClaimNotRun may be
// claimed again.
type ClaimState string

// A ClaimRecord is what the store keeps about one call.
type ClaimRecord struct {
	Answer *CallResponse // nil unless answered and small enough to keep
	Fence  uint64
	Nonce  Nonce
	State  ClaimState
	Time   time.Time
}

// Claims records calls that may not be repeated before they are dispatched.
type Claims interface {
	// Claim records the call. Granted is true if this call, and no other with
	// the same key, may now be dispatched until the grant expires; otherwise
	// the result holds the earlier record. It returns an *UnavailableError if
	// nothing was recorded, or if it is unknown whether something was recorded;
	// in both cases the caller must not dispatch.
	Claim(ctx context.Context, key ClaimKey) (ClaimGrant, error)
	// Outcome returns the record of key, or a *NotFoundError.
	Outcome(ctx context.Context, key ClaimKey) (ClaimRecord, error)
	// Settle records the end of a granted call. Settling with ClaimNotRun
	// allows the key to be claimed again.
	Settle(ctx context.Context, grant ClaimGrant, state ClaimState, answer *CallResponse) error
}

// A ClaimGrant is the result of a claim.
type ClaimGrant struct {
	Expires time.Time // local time after which the call must not be dispatched
	Granted bool
	Key     ClaimKey
	Record  ClaimRecord
}

// A Nonce identifies one claim across instances and restarts.
type Nonce struct {
	Sequence uint64
	Tag      Tag
}
