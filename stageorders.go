package persimmoncart

import "context"

// An EngineState is what an engine says about its role.
type EngineState struct {
	Busy     bool // an order is being carried out
	Role     Role
	Sequence uint64 // orders that it has accepted since its start
}

// A StageOrder changes the role of an engine.
type StageOrder struct {
	Fence    uint64 // fencing token of the sender's lease
	Role     Role
	Sender   InstanceID
	Sequence uint64 // that the engine has to be at, so that a late order has no effect
}

// StageOrders gives orders to engines.
type StageOrders interface {
	// OrderStage orders a change of role. After an error other than an
	// *EndpointRefusedError the order may be carried out, also later.
	OrderStage(ctx context.Context, endpoint *Endpoint, order StageOrder) error
	// State returns what the engine says about its role now.
	State(ctx context.Context, endpoint *Endpoint) (EngineState, error)
}
