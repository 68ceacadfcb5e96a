package persimmoncart

import "context"

// ClaimPeers sends claims to the instance that writes their bucket.
//
// Every error leaves open whether the peer recorded the claim. Repeating a call
// with the same nonce is safe.
type ClaimPeers interface {
	// Claim asks the instance to to record the claim.
	Claim(ctx context.Context, to Instance, key ClaimKey, nonce Nonce) (ClaimGrant, error)
	// Settle asks the instance to to record the end of the call.
	Settle(ctx context.Context, to Instance, settlement Settlement) error
}

// ClaimWriter is the receiving side of ClaimPeers.
type ClaimWriter interface {
	// WriteClaim records the claim.
	WriteClaim(ctx context.Context, key ClaimKey, nonce Nonce) (ClaimGrant, error)
	// WriteSettlement records the end of the call.
	WriteSettlement(ctx context.Context, settlement Settlement) error
}

// A Settlement is the end of a granted call.
type Settlement struct {
	Answer *CallResponse // nil unless answered
	Key    ClaimKey
	Nonce  Nonce
	State  ClaimState
}
