package persimmoncart

import "context"

// A RoleState is the state of an engine's role, and its load, as reported by the
// engine.
type RoleState struct {
	Busy       bool // the engine is carrying out an order
	Role       Role
	Running    int    // requests
	Sequence   uint64 // number of orders accepted since the engine's start
	Tokens     int    // size of the KV cache in tokens; zero if not reported
	UsedTokens int    // tokens of the KV cache that are in use or reserved
	Waiting    int    // requests
}

// A RoleOrder orders an engine to change its role.
type RoleOrder struct {
	Fence    uint64 // fencing token of the sender's lease
	Role     Role
	Sender   InstanceID
	Sequence uint64 // required RoleState.Sequence of the engine, so that a late order has no effect
}

// A RoleController reads and changes the roles of engines.
type RoleController interface {
	// SetRole orders a change of role. After an error other than an
	// *EndpointRefusedError the engine may still carry out the order, even later.
	SetRole(ctx context.Context, endpoint *Endpoint, order RoleOrder) error
	// State requests the current state of the engine's role.
	State(ctx context.Context, endpoint *Endpoint) (RoleState, error)
}
