package persimmoncart

import "time"

// An Override replaces the numbers of replicas that the sheet plans for one pool.
type Override struct {
	Decode  int
	Pool    PoolName
	Prefill int
	Until   time.Time // end of the override; zero if it lasts until it is deleted
}

// A Pin fixes the role and models of one endpoint, overriding the planner.
type Pin struct {
	Endpoint EndpointID
	Models   []ModelName // nil leaves the models to the planner
	Role     Role        // zero leaves the role to the planner
}
