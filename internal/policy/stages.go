package policy

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// stageGain is the weight of one generation in the averages.
	stageGain = 0.05
	// stageLower and stageHigher are the weights of a prefill that took less or
	// more than the estimate. Waits behind other instances' prompts only lengthen
	// a prefill, so that the estimate leans towards the short ones.
	stageLower  = 0.2
	stageHigher = 0.02
	// stageSamples is how many generations a plan needs.
	stageSamples = 15
	// stageSpan is how many times the longest generation the observation lasts
	// before a plan: those that end first are the short ones.
	stageSpan = 2.5
	// stageHeadroom is the prefill capacity that is kept for each unit of demand,
	// as prompts queue one behind the other.
	stageHeadroom = 1.4
	// stageAbove and stageBelow are how far the number of prefill engines may be
	// above and below the target. Together they are more than one engine, so that
	// a plan does not go to and fro. A missing prefill engine costs less, since
	// decode engines can read prompts themselves.
	stageAbove = 0.7
	stageBelow = 1.1
)

// Stages learns how much time of a prefill and of a decode engine one generation
// takes. From that follows which part of the engines should prefill: at the
// crest both kinds are full then. It answers traffic that shifts between long
// prompts and long answers, and engines that come and go.
type Stages struct {
	decode   float64 // engine seconds
	decoded  int     // samples
	longest  time.Duration
	prefill  float64   // engine seconds
	prefills int       // samples
	since    time.Time // when the first generation known here began
}

// Decoded takes a generation that ended now and held tokens in an engine's memory
// for as long as it took.
func (s *Stages) Decoded(now time.Time, took time.Duration, held int, size persimmoncart.EngineCapacity) {
	if size.KVTokens <= 0 || size.Slots <= 0 {
		return
	}
	share := max(float64(held)/float64(size.KVTokens), 1/float64(size.Slots))
	gain := math.Max(stageGain, 1/float64(s.decoded+1)) // starts as a plain mean
	if begin := now.Add(-took); s.since.IsZero() || begin.Before(s.since) {
		s.since = begin
	}
	s.longest = max(s.longest, took)
	s.decode += gain * (took.Seconds()*share - s.decode)
	s.decoded++
}

// Prefilled takes a prefill that did not wait for another.
func (s *Stages) Prefilled(took time.Duration) {
	gain := stageHigher
	if took.Seconds() < s.prefill {
		gain = stageLower
	}
	if s.prefills == 0 {
		gain = 1
	}
	s.prefill += gain * (took.Seconds() - s.prefill)
	s.prefills++
}

// Target returns how many of a number of engines should prefill. It reports
// false while too little is known.
func (s *Stages) Target(now time.Time, engines int) (float64, bool) {
	if s.decoded < stageSamples || s.prefills < stageSamples || now.Sub(s.since) < time.Duration(stageSpan*float64(s.longest)) {
		return 0, false
	}
	prefill := stageHeadroom * s.prefill
	return float64(engines) * prefill / (prefill + s.decode), true
}

// A StageChange is a change of an engine's role that is due.
type StageChange struct {
	Endpoint persimmoncart.Endpoint
	Role     persimmoncart.Role // the new one
	Target   float64            // prefill engines that the region should have
}

// Plan returns the changes that are due in one region, the most useful first. A
// large gap is closed by half in one step, since the engines are away for seconds
// while they change. Engines that are leaving, missing or listed in busy do not
// change, and nothing does while one is busy.
func (s *Stages) Plan(now time.Time, engines []*SpreadEndpoint, busy map[persimmoncart.EndpointID]bool) []StageChange {
	var prefill, decode []*SpreadEndpoint
	for _, e := range engines {
		switch {
		case e.Endpoint.Leaving || e.Missing:
		case busy[e.Endpoint.ID]:
			return nil // its effect is not seen yet
		case e.Endpoint.Role == persimmoncart.RolePrefill:
			prefill = append(prefill, e)
		case e.Endpoint.Role == persimmoncart.RoleDecode:
			decode = append(decode, e)
		}
	}
	target, known := s.Target(now, len(prefill)+len(decode))
	if !known {
		return nil
	}
	target = max(1, target)
	have := float64(len(prefill))
	var from []*SpreadEndpoint
	role := persimmoncart.RoleDecode
	switch {
	case have-target > stageAbove && len(prefill) > 1:
		from = prefill
	case (target-have > stageBelow || len(prefill) == 0) && len(decode) > 1:
		from, role = decode, persimmoncart.RolePrefill
	}
	var changes []StageChange
	for range min(max(1, int(math.Abs(have-target)/2)), len(from)-1) {
		e := leastUsed(now, from)
		from = slices.DeleteFunc(slices.Clone(from), func(o *SpreadEndpoint) bool { return o == e })
		changes = append(changes, StageChange{Endpoint: e.Endpoint, Role: role, Target: target})
	}
	return changes
}

// leastUsed returns the engine with the least work, that of other instances
// included, of the data centre with the
// most engines of the list.
func leastUsed(now time.Time, engines []*SpreadEndpoint) *SpreadEndpoint {
	centres := make(map[persimmoncart.DataCentre]int)
	for _, e := range engines {
		centres[e.Endpoint.DataCentre]++
	}
	return slices.MinFunc(engines, func(a, b *SpreadEndpoint) int {
		return cmp.Or(
			cmp.Compare(centres[b.Endpoint.DataCentre], centres[a.Endpoint.DataCentre]),
			cmp.Compare(float64(a.InFlight)+a.others(now), float64(b.InFlight)+b.others(now)),
			cmp.Compare(a.Endpoint.ID, b.Endpoint.ID),
		)
	})
}
