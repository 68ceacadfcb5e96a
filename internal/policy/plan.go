package policy

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// Constants of role and model planning.
const (
	// planDelay is how long a need must last before a replica is moved.
	planDelay = 20 * time.Second
	// planCooldown is how long a moved replica stays as it is: a move costs the
	// fetch of weights and the replica's work.
	planCooldown = 5 * time.Minute
	// planUtilisation is the use that replicas are planned for; above planLose the
	// giving side has nothing to spare.
	planUtilisation         = 0.75
	planMaxDonorUtilisation = 0.80
	// planMovingShare is the share of a pool that may be in a move at a time.
	planMovingShare = 0.1
)

// A PlannerReplica is one replica as the planner sees it.
type PlannerReplica struct {
	ID     persimmoncart.EndpointID
	Model  persimmoncart.ModelName
	Moving bool // an order is still being carried out
	Pinned bool // an operator fixed its role and model
	Role   persimmoncart.Role
	Used   int // slots in use
}

// A Demand is the expected work of one role of a model, in replicas at full use.
type Demand struct {
	Model persimmoncart.ModelName
	Role  persimmoncart.Role
	Work  float64
}

// A Move changes the role or model of one replica.
type Move struct {
	ID    persimmoncart.EndpointID
	Model persimmoncart.ModelName
	Role  persimmoncart.Role
}

// A Planner turns expected work into moves of replicas, with hysteresis.
type Planner struct {
	MaxFetches int // fetches that the weight store allows at the same time

	movedAt    map[persimmoncart.EndpointID]time.Time
	shortSince map[modelRole]time.Time // since when a share has been too small
}

// A modelRole is one role of one model.
type modelRole struct {
	model persimmoncart.ModelName
	role  persimmoncart.Role
}

// NewPlanner returns a Planner that allows loads fetches at the same time.
func NewPlanner(loads int) *Planner {
	return &Planner{MaxFetches: loads, movedAt: make(map[persimmoncart.EndpointID]time.Time), shortSince: make(map[modelRole]time.Time)}
}

// Plan returns the moves to start now. It takes replicas only from shares that
// stay below planLose without them, only as many as the weight store can fetch
// and at most planShare of the pool, and never the last one of a share that
// has work.
func (p *Planner) Plan(now time.Time, replicas []PlannerReplica, needs []Demand) []Move {
	have, moving := countReplicas(replicas)
	budget := min(p.MaxFetches, max(int(float64(len(replicas))*planMovingShare), 1)) - moving
	needs = slices.Clone(needs)
	slices.SortStableFunc(needs, func(a, b Demand) int {
		return cmp.Compare(utilisation(b, have), utilisation(a, have)) // the most loaded first
	})
	var moves []Move
	for _, n := range needs {
		s := modelRole{model: n.Model, role: n.Role}
		if wantedReplicas(n) <= have[s] {
			delete(p.shortSince, s)
			continue
		}
		if since, found := p.shortSince[s]; !found {
			p.shortSince[s] = now
			continue
		} else if now.Sub(since) < planDelay {
			continue
		}
		for wantedReplicas(n) > have[s] && budget > 0 {
			i := p.donor(now, replicas, needs, have, s)
			if i < 0 {
				break
			}
			r := &replicas[i]
			have[modelRole{model: r.Model, role: r.Role}]--
			have[s]++
			budget--
			p.movedAt[r.ID] = now
			moves = append(moves, Move{ID: r.ID, Model: n.Model, Role: n.Role})
		}
	}
	p.dropOldMoves(now)
	return moves
}

// donor returns the index of the replica to move to a share, or -1. The
// least used replica of the least loaded share goes first.
func (p *Planner) donor(now time.Time, replicas []PlannerReplica, needs []Demand, have map[modelRole]int, to modelRole) int {
	best, bestUse := -1, math.Inf(1)
	for i, r := range replicas {
		from := modelRole{model: r.Model, role: r.Role}
		if t, found := p.movedAt[r.ID]; r.Moving || r.Pinned || from == to || found && now.Sub(t) < planCooldown {
			continue
		}
		left := have[from] - 1
		work := workOf(needs, from)
		if work > 0 && (left < 1 || work/float64(left) > planMaxDonorUtilisation) {
			continue
		}
		u := work/math.Max(float64(left), 1) + float64(r.Used)/1000
		if u < bestUse || u == bestUse && r.ID < replicas[best].ID {
			best, bestUse = i, u
		}
	}
	return best
}

// dropOldMoves drops moves that no longer hold replicas back.
func (p *Planner) dropOldMoves(now time.Time) {
	for id, t := range p.movedAt {
		if now.Sub(t) >= planCooldown {
			delete(p.movedAt, id)
		}
	}
}

// countReplicas returns the replicas of each share and how many are being moved.
func countReplicas(replicas []PlannerReplica) (have map[modelRole]int, moving int) {
	have = make(map[modelRole]int)
	for _, r := range replicas {
		have[modelRole{model: r.Model, role: r.Role}]++
		if r.Moving {
			moving++
		}
	}
	return have, moving
}

// utilisation returns the expected utilisation of the replicas of a need.
func utilisation(n Demand, have map[modelRole]int) float64 {
	h := have[modelRole{model: n.Model, role: n.Role}]
	if h == 0 {
		return math.Inf(1)
	}
	return n.Work / float64(h)
}

// wantedReplicas returns the replicas that a need is planned with.
func wantedReplicas(n Demand) int { return int(math.Ceil(n.Work/planUtilisation - 1e-9)) }

// workOf returns the expected work of a share.
func workOf(needs []Demand, s modelRole) float64 {
	for _, n := range needs {
		if n.Model == s.model && n.Role == s.role {
			return n.Work
		}
	}
	return 0
}
