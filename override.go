package persimmoncart

import "time"

// An Override replaces the sheet's sizes of one pool.
type Override struct {
	Decode  int
	Pool    PoolName
	Prefill int
	Until   time.Time // zero until it is deleted
}

// A Pin holds one endpoint in a role with models, against the daily plan.
type Pin struct {
	Endpoint EndpointID
	Models   []ModelName // nil leaves the models to the plan
	Role     Role        // zero leaves the role to the plan
}
