package order

import (
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

const (
	// DefaultMoveTime is the time that a move of a replica is taken to last.
	DefaultMoveTime = time.Minute
	// DefaultParallelFetches is the number of weight fetches at the same time.
	DefaultParallelFetches = 4
	// targetUtilisation turns a size in replicas into the work that the planner of
	// internal/policy provides that many replicas for.
	targetUtilisation = 0.75
)

var _ persimmoncart.RolePlanner = (*RolePlanner)(nil)

// A RolePlanner plans the roles of the engines of one pool with the decision code of
// internal/policy. It remembers recent moves, so each pool has its own.
type RolePlanner struct {
	MoveTime time.Duration // DefaultMoveTime if zero
	Planner  *policy.Planner
}

// Plan implements persimmoncart.RolePlanner.
func (r *RolePlanner) Plan(request persimmoncart.PlanRequest) []persimmoncart.DesiredState {
	fetch := r.MoveTime
	if fetch == 0 {
		fetch = DefaultMoveTime
	}
	out := make([]persimmoncart.DesiredState, len(request.Endpoints))
	planned := make([]policy.PlannerReplica, len(request.Endpoints))
	index := map[persimmoncart.EndpointID]int{}
	for i, e := range request.Endpoints {
		d, found := request.Previous[e.ID]
		if !found {
			d = persimmoncart.DesiredState{Endpoint: e.ID, Models: e.Models, Role: e.Role}
		}
		pin := request.Pins[e.ID]
		d = pinned(d, pin, request.Now)
		planned[i] = policy.PlannerReplica{ID: e.ID, Moving: request.Now.Sub(d.Since) < fetch, Pinned: pin != nil, Role: d.Role}
		if len(d.Models) > 0 {
			planned[i].Model = d.Models[0]
		}
		out[i], index[e.ID] = d, i
	}
	var needs []policy.Demand
	for _, s := range request.Sizes {
		needs = append(needs,
			policy.Demand{Model: s.Model, Role: persimmoncart.RoleDecode, Work: float64(s.Decode) * targetUtilisation},
			policy.Demand{Model: s.Model, Role: persimmoncart.RolePrefill, Work: float64(s.Prefill) * targetUtilisation})
	}
	for _, m := range r.Planner.Plan(request.Now, planned, needs) {
		out[index[m.ID]] = persimmoncart.DesiredState{
			Endpoint: m.ID, Models: []persimmoncart.ModelName{m.Model}, Role: m.Role, Since: request.Now,
		}
	}
	return out
}

// pinned returns the desired state with a pin applied.
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
