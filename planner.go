package persimmoncart

import "time"

// A DesiredState is the recorded desired state of one engine.
type DesiredState struct {
	Endpoint EndpointID
	Models   []ModelName
	Role     Role
	Since    time.Time // when this state was decided
}

// A PlanRequest is the input of a RolePlanner for one pool.
type PlanRequest struct {
	Endpoints []*Endpoint // engines of the pool, sorted by identifier
	Now       time.Time
	Pins      map[EndpointID]*Pin
	Previous  map[EndpointID]DesiredState // desired states in force so far
	Sizes     []SheetRow                  // planned sizes now, one row for each model
}

// A RolePlanner assigns roles and models to the engines of a pool.
type RolePlanner interface {
	// Plan returns the desired state of every endpoint of the request, in the
	// same order. It changes no more engines than the sizes need.
	Plan(request PlanRequest) []DesiredState
}
