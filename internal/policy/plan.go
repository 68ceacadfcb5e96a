package policy

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// planDelay is how long a shortage must last before replicas are moved.
	planDelay = 20 * time.Second
	// planCooldown is how long a moved replica keeps its role and model: a move
	// costs the fetch of weights and the replica's work meanwhile.
	planCooldown = 5 * time.Minute
	// planUtilisation is the utilisation that replicas are planned for.
	planUtilisation = 0.75
	// planMaxDonorUtilisation is the highest utilisation of the remaining
	// replicas at which one may be moved away.
	planMaxDonorUtilisation = 0.80
	// planMovingShare is the share of a pool that may be moving at the same
	// time.
	planMovingShare = 0.1
)

// A PlannerReplica is the state of one replica that a plan starts from.
type PlannerReplica struct {
	ID     persimmoncart.EndpointID
	Model  persimmoncart.ModelName
	Moving bool // a move is in progress
	Pinned bool // an operator fixed its role and model
	Role   persimmoncart.Role
	Used   int // slots in use
}

// A Demand is the expected work for one role of a model.
type Demand struct {
	Model persimmoncart.ModelName
	Role  persimmoncart.Role
	Work  float64 // in fully utilised replicas
}

// A Move changes the role or model of one replica.
type Move struct {
	ID    persimmoncart.EndpointID
	Model persimmoncart.ModelName
	Role  persimmoncart.Role
}

// A Planner turns expected work into moves of replicas. A delay before a move
// and a cooldown after it prevent oscillation.
type Planner struct {
	MaxFetches int // weight fetches that the weight store allows at the same time

	movedAt    map[persimmoncart.EndpointID]time.Time // last move of each replica
	shortSince map[modelRole]time.Time                // start of each shortage of replicas
}

// A modelRole is one role of one model.
type modelRole struct {
	model persimmoncart.ModelName
	role  persimmoncart.Role
}

// NewPlanner returns a Planner that allows maxFetches weight fetches at the
// same time.
func NewPlanner(maxFetches int) *Planner {
	return &Planner{MaxFetches: maxFetches, movedAt: make(map[persimmoncart.EndpointID]time.Time), shortSince: make(map[modelRole]time.Time)}
}

// Plan returns the moves to start now. It takes replicas only from roles whose
// utilisation stays at or below planMaxDonorUtilisation without them, and never
// the last replica of a role that has work. It moves only as many as the weight
// store can fetch, and at most planMovingShare of the pool but at least one.
func (p *Planner) Plan(now time.Time, replicas []PlannerReplica, demands []Demand) []Move {
	counts, moving := countReplicas(replicas)
	budget := min(p.MaxFetches, max(int(float64(len(replicas))*planMovingShare), 1)) - moving
	demands = slices.Clone(demands)
	slices.SortStableFunc(demands, func(a, b Demand) int {
		return cmp.Compare(utilisation(b, counts), utilisation(a, counts)) // the highest utilisation first
	})
	var moves []Move
	for _, d := range demands {
		s := modelRole{model: d.Model, role: d.Role}
		if wantedReplicas(d) <= counts[s] {
			delete(p.shortSince, s)
			continue
		}
		if since, found := p.shortSince[s]; !found {
			p.shortSince[s] = now
			continue
		} else if now.Sub(since) < planDelay {
			continue
		}
		for wantedReplicas(d) > counts[s] && budget > 0 {
			i := p.donor(now, replicas, demands, counts, s)
			if i < 0 {
				break
			}
			r := &replicas[i]
			counts[modelRole{model: r.Model, role: r.Role}]--
			counts[s]++
			budget--
			p.movedAt[r.ID] = now
			moves = append(moves, Move{ID: r.ID, Model: d.Model, Role: d.Role})
		}
	}
	p.dropOldMoves(now)
	return moves
}

// donor returns the index of the replica to move to a role, or -1 if none can
// be moved. The replica with the fewest slots in use of the least utilised role
// goes first.
func (p *Planner) donor(now time.Time, replicas []PlannerReplica, demands []Demand, counts map[modelRole]int, to modelRole) int {
	best, bestUse := -1, math.Inf(1)
	for i, r := range replicas {
		from := modelRole{model: r.Model, role: r.Role}
		if t, found := p.movedAt[r.ID]; r.Moving || r.Pinned || from == to || found && now.Sub(t) < planCooldown {
			continue
		}
		left := counts[from] - 1
		work := workOf(demands, from)
		if work > 0 && (left < 1 || work/float64(left) > planMaxDonorUtilisation) {
			continue
		}
		use := work/math.Max(float64(left), 1) + float64(r.Used)/1000
		if use < bestUse || use == bestUse && r.ID < replicas[best].ID {
			best, bestUse = i, use
		}
	}
	return best
}

// dropOldMoves drops moves whose cooldown is over.
func (p *Planner) dropOldMoves(now time.Time) {
	for id, t := range p.movedAt {
		if now.Sub(t) >= planCooldown {
			delete(p.movedAt, id)
		}
	}
}

// countReplicas returns the number of replicas of each role and the number of
// those that are moving.
func countReplicas(replicas []PlannerReplica) (counts map[modelRole]int, moving int) {
	counts = make(map[modelRole]int)
	for _, r := range replicas {
		counts[modelRole{model: r.Model, role: r.Role}]++
		if r.Moving {
			moving++
		}
	}
	return counts, moving
}

// utilisation returns the expected utilisation of the replicas that serve a
// demand; infinite if there are none.
func utilisation(d Demand, counts map[modelRole]int) float64 {
	h := counts[modelRole{model: d.Model, role: d.Role}]
	if h == 0 {
		return math.Inf(1)
	}
	return d.Work / float64(h)
}

// wantedReplicas returns the number of replicas planned for a demand.
func wantedReplicas(d Demand) int { return int(math.Ceil(d.Work/planUtilisation - 1e-9)) }

// workOf returns the expected work of a role, in fully utilised replicas.
func workOf(demands []Demand, s modelRole) float64 {
	for _, d := range demands {
		if d.Model == s.model && d.Role == s.role {
			return d.Work
		}
	}
	return 0
}
