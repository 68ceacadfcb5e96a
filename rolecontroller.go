package persimmoncart

import "context"

// An RoleState is what an engine says about its role.
type RoleState struct {
	Busy     bool // an order is being carried out
	Role     Role
	Sequence uint64 // orders that it has accepted since its start
}

// A RoleOrder changes the role of an engine.
type RoleOrder struct {
	Fence    uint64 // fencing token of the sender's lease
	Role     Role
	Sender   InstanceID
	Sequence uint64 // that the engine has to be at, so that a late order has no effect
}

// RoleController gives orders to engines.
type RoleController interface {
	// SetRole orders a change of role. After an error other than an
	// *EndpointRefusedError the order may be carried out, also later.
	SetRole(ctx context.Context, endpoint *Endpoint, order RoleOrder) error
	// State returns what the engine says about its role now.
	State(ctx context.Context, endpoint *Endpoint) (RoleState, error)
}
