package order

import (
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

const (
	// DefaultMoveTime is the assumed duration of a move of a replica to another
	// model or role.
	DefaultMoveTime = time.Minute
	// DefaultParallelFetches is the maximum number of weight fetches at the same time.
	DefaultParallelFetches = 4
	// targetUtilisation is the work of one replica that policy.Planner plans for.
	// It converts a planned number of replicas into the demand that leads to it.
	targetUtilisation = 0.75
)

var _ persimmoncart.RolePlanner = (*RolePlanner)(nil)

// A RolePlanner plans the roles of the engines of one pool with a policy.Planner.
// The policy.Planner stores recent moves, so each pool has its own.
type RolePlanner struct {
	MoveTime time.Duration // duration of a move; zero means DefaultMoveTime
	Planner  *policy.Planner
}

// Plan implements persimmoncart.RolePlanner.
func (r *RolePlanner) Plan(request persimmoncart.PlanRequest) []persimmoncart.DesiredState {
	moveTime := r.MoveTime
	if moveTime == 0 {
		moveTime = DefaultMoveTime
	}
	desired := make([]persimmoncart.DesiredState, len(request.Endpoints))
	replicas := make([]policy.PlannerReplica, len(request.Endpoints))
	index := map[persimmoncart.EndpointID]int{}
	for i, e := range request.Endpoints {
		d, found := request.Previous[e.ID]
		if !found {
			d = persimmoncart.DesiredState{Endpoint: e.ID, Models: e.Models, Role: e.Role}
		}
		pin := request.Pins[e.ID]
		d = pinned(d, pin, request.Now)
		replicas[i] = policy.PlannerReplica{ID: e.ID, Moving: request.Now.Sub(d.Since) < moveTime, Pinned: pin != nil, Role: d.Role}
		if len(d.Models) > 0 {
			replicas[i].Model = d.Models[0]
		}
		desired[i], index[e.ID] = d, i
	}
	var demands []policy.Demand
	for _, s := range request.Sizes {
		demands = append(demands,
			policy.Demand{Model: s.Model, Role: persimmoncart.RoleDecode, Work: float64(s.Decode) * targetUtilisation},
			policy.Demand{Model: s.Model, Role: persimmoncart.RolePrefill, Work: float64(s.Prefill) * targetUtilisation})
	}
	for _, m := range r.Planner.Plan(request.Now, replicas, demands) {
		desired[index[m.ID]] = persimmoncart.DesiredState{
			Endpoint: m.ID, Models: []persimmoncart.ModelName{m.Model}, Role: m.Role, Since: request.Now,
		}
	}
	return desired
}

// pinned returns the desired state with the pin applied; a nil pin changes nothing.
func pinned(d persimmoncart.DesiredState, pin *persimmoncart.Pin, now time.Time) persimmoncart.DesiredState {
	if pin == nil {
		return d
	}
	next := d
	if pin.Role != 0 {
		next.Role = pin.Role
	}
	if len(pin.Models) > 0 {
		next.Models = pin.Models
	}
	if next.Role != d.Role || !slices.Equal(next.Models, d.Models) {
		next.Since = now
	}
	return next
}
