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
	// planHold is how long a need must last before a replica is moved.
	planHold = 20 * time.Second
	// planRest is how long a moved replica stays as it is: a move costs the
	// fetch of weights and the replica's work.
	planRest = 5 * time.Minute
	// planUse is the use that replicas are planned for; above planLose the
	// giving side has nothing to spare.
	planUse  = 0.75
	planLose = 0.80
	// planShare is the share of a pool that may be in a move at a time.
	planShare = 0.1
)

// A Planned is one replica as the planner sees it.
type Planned struct {
	ID     persimmoncart.EndpointID
	Model  persimmoncart.ModelName
	Moving bool // an order is still being carried out
	Pinned bool // an operator fixed its role and model
	Role   persimmoncart.Role
	Used   int // slots in use
}

// A Need is the expected work of one role of a model, in replicas at full use.
type Need struct {
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
	Loads int // fetches that the weight store allows at the same time

	moved map[persimmoncart.EndpointID]time.Time
	short map[share]time.Time // since when a share has been too small
}

// A share is one role of one model.
type share struct {
	model persimmoncart.ModelName
	role  persimmoncart.Role
}

// NewPlanner returns a Planner that allows loads fetches at the same time.
func NewPlanner(loads int) *Planner {
	return &Planner{Loads: loads, moved: make(map[persimmoncart.EndpointID]time.Time), short: make(map[share]time.Time)}
}

// Plan returns the moves to start now. It takes replicas only from shares that
// stay below planLose without them, only as many as the weight store can fetch
// and at most planShare of the pool, and never the last one of a share that
// has work.
func (p *Planner) Plan(now time.Time, replicas []Planned, needs []Need) []Move {
	have, moving := count(replicas)
	budget := min(p.Loads, max(int(float64(len(replicas))*planShare), 1)) - moving
	needs = slices.Clone(needs)
	slices.SortStableFunc(needs, func(a, b Need) int {
		return cmp.Compare(use(b, have), use(a, have)) // the most loaded first
	})
	var moves []Move
	for _, n := range needs {
		s := share{model: n.Model, role: n.Role}
		if wanted(n) <= have[s] {
			delete(p.short, s)
			continue
		}
		if since, found := p.short[s]; !found {
			p.short[s] = now
			continue
		} else if now.Sub(since) < planHold {
			continue
		}
		for wanted(n) > have[s] && budget > 0 {
			i := p.donor(now, replicas, needs, have, s)
			if i < 0 {
				break
			}
			r := &replicas[i]
			have[share{model: r.Model, role: r.Role}]--
			have[s]++
			budget--
			p.moved[r.ID] = now
			moves = append(moves, Move{ID: r.ID, Model: n.Model, Role: n.Role})
		}
	}
	p.forget(now)
	return moves
}

// donor returns the index of the replica to move to a share, or -1. The
// least used replica of the least loaded share goes first.
func (p *Planner) donor(now time.Time, replicas []Planned, needs []Need, have map[share]int, to share) int {
	best, bestUse := -1, math.Inf(1)
	for i, r := range replicas {
		from := share{model: r.Model, role: r.Role}
		if t, found := p.moved[r.ID]; r.Moving || r.Pinned || from == to || found && now.Sub(t) < planRest {
			continue
		}
		left := have[from] - 1
		work := workOf(needs, from)
		if work > 0 && (left < 1 || work/float64(left) > planLose) {
			continue
		}
		u := work/math.Max(float64(left), 1) + float64(r.Used)/1000
		if u < bestUse || u == bestUse && r.ID < replicas[best].ID {
			best, bestUse = i, u
		}
	}
	return best
}

// forget drops moves that no longer hold replicas back.
func (p *Planner) forget(now time.Time) {
	for id, t := range p.moved {
		if now.Sub(t) >= planRest {
			delete(p.moved, id)
		}
	}
}

// count returns the replicas of each share and how many are being moved.
func count(replicas []Planned) (have map[share]int, moving int) {
	have = make(map[share]int)
	for _, r := range replicas {
		have[share{model: r.Model, role: r.Role}]++
		if r.Moving {
			moving++
		}
	}
	return have, moving
}

// use returns the expected use of the replicas of a need.
func use(n Need, have map[share]int) float64 {
	h := have[share{model: n.Model, role: n.Role}]
	if h == 0 {
		return math.Inf(1)
	}
	return n.Work / float64(h)
}

// wanted returns the replicas that a need is planned with.
func wanted(n Need) int { return int(math.Ceil(n.Work/planUse - 1e-9)) }

// workOf returns the expected work of a share.
func workOf(needs []Need, s share) float64 {
	for _, n := range needs {
		if n.Model == s.model && n.Role == s.role {
			return n.Work
		}
	}
	return 0
}
