package persimmoncart

import "time"

// A DesiredState is the recorded desired state of one engine.
type DesiredState struct {
	Endpoint EndpointID
	Models   []ModelName
	Role     Role
	Since    time.Time // when this state was decided
}

// A PlanRequest is what the planner of roles decides on for one pool.
type PlanRequest struct {
	Endpoints []*Endpoint // engines of the pool, sorted by identifier
	Now       time.Time
	Pins      map[EndpointID]*Pin
	Previous  map[EndpointID]DesiredState // what was decided before
	Sizes     []SheetRow                  // sizes in force, one row for each model
}

// A RolePlanner decides which engine has which role and models.
type RolePlanner interface {
	// Plan returns the desired state of every endpoint of the request, in the
	// same order. It changes only what the sizes need.
	Plan(request PlanRequest) []DesiredState
}
