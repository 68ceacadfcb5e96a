package persimmoncart

import "context"

// ClaimPeers sends claims to the instance that writes the bucket of their key.
//
// After any error the peer may have recorded the claim. A call may be repeated
// with the same nonce.
type ClaimPeers interface {
	// Claim requests that the writer record the claim.
	Claim(ctx context.Context, writer Instance, key ClaimKey, nonce Nonce) (ClaimGrant, error)
	// Settle requests that the writer record the final state of the call.
	Settle(ctx context.Context, writer Instance, settlement Settlement) error
}

// A ClaimWriter is the receiving side of ClaimPeers.
type ClaimWriter interface {
	// WriteClaim records the claim.
	WriteClaim(ctx context.Context, key ClaimKey, nonce Nonce) (ClaimGrant, error)
	// WriteSettlement records the final state of the call.
	WriteSettlement(ctx context.Context, settlement Settlement) error
}

// A Settlement is the final state of a granted call.
type Settlement struct {
	Key      ClaimKey
	Nonce    Nonce
	Response *CallResponse // nil if there is no response
	State    ClaimState
}
