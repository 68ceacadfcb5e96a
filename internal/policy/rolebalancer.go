package policy

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// roleDecodeGain is the weight of one generation in the averages.
	roleDecodeGain = 0.05
	// roleShorterGain and stageHigher are the weights of a prefill that took less or
	// more than the estimate. Waits behind other instances' prompts only lengthen
	// a prefill, so that the estimate leans towards the short ones.
	roleShorterGain = 0.2
	roleLongerGain  = 0.02
	// roleMinSamples is how many generations a plan needs.
	roleMinSamples = 15
	// roleMinObservation is how many times the longest generation the observation lasts
	// before a plan: those that end first are the short ones.
	roleMinObservation = 2.5
	// rolePrefillHeadroom is the prefill capacity that is kept for each unit of demand,
	// as prompts queue one behind the other.
	rolePrefillHeadroom = 1.4
	// roleMaxSurplus and stageBelow are how far the number of prefill engines may be
	// above and below the target. Together they are more than one engine, so that
	// a plan does not go to and fro. A missing prefill engine costs less, since
	// decode engines can read prompts themselves.
	roleMaxSurplus   = 0.7
	roleMaxShortfall = 1.1
)

// RoleBalancer learns how much time of a prefill and of a decode engine one generation
// takes. From that follows which part of the engines should prefill: at the
// crest both kinds are full then. It answers traffic that shifts between long
// prompts and long answers, and engines that come and go.
type RoleBalancer struct {
	decodeSeconds  float64 // engine seconds
	decodeSamples  int     // samples
	longestDecode  time.Duration
	prefillSeconds float64   // engine seconds
	prefillSamples int       // samples
	observedSince  time.Time // when the first generation known here began
}

// AddDecode takes a generation that ended now and held tokens in an engine's memory
// for as long as it took.
func (s *RoleBalancer) AddDecode(now time.Time, took time.Duration, held int, size persimmoncart.EngineCapacity) {
	if size.KVTokens <= 0 || size.Slots <= 0 {
		return
	}
	share := max(float64(held)/float64(size.KVTokens), 1/float64(size.Slots))
	gain := math.Max(roleDecodeGain, 1/float64(s.decodeSamples+1)) // starts as a plain mean
	if begin := now.Add(-took); s.observedSince.IsZero() || begin.Before(s.observedSince) {
		s.observedSince = begin
	}
	s.longestDecode = max(s.longestDecode, took)
	s.decodeSeconds += gain * (took.Seconds()*share - s.decodeSeconds)
	s.decodeSamples++
}

// AddPrefill takes a prefill that did not wait for another.
func (s *RoleBalancer) AddPrefill(took time.Duration) {
	gain := roleLongerGain
	if took.Seconds() < s.prefillSeconds {
		gain = roleShorterGain
	}
	if s.prefillSamples == 0 {
		gain = 1
	}
	s.prefillSeconds += gain * (took.Seconds() - s.prefillSeconds)
	s.prefillSamples++
}

// Target returns how many of a number of engines should prefill. It reports
// false while too little is known.
func (s *RoleBalancer) Target(now time.Time, engines int) (float64, bool) {
	if s.decodeSamples < roleMinSamples || s.prefillSamples < roleMinSamples || now.Sub(s.observedSince) < time.Duration(roleMinObservation*float64(s.longestDecode)) {
		return 0, false
	}
	prefill := rolePrefillHeadroom * s.prefillSeconds
	return float64(engines) * prefill / (prefill + s.decodeSeconds), true
}

// A RoleChange is a change of an engine's role that is due.
type RoleChange struct {
	Endpoint persimmoncart.Endpoint
	Role     persimmoncart.Role // the new one
	Target   float64            // prefill engines that the region should have
}

// Plan returns the changes that are due in one region, the most useful first. A
// large gap is closed by half in one step, since the engines are away for seconds
// while they change. Engines that are leaving, missing or listed in busy do not
// change, and nothing does while one is busy.
func (s *RoleBalancer) Plan(now time.Time, engines []*EndpointState, busy map[persimmoncart.EndpointID]bool) []RoleChange {
	var prefill, decode []*EndpointState
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
	var from []*EndpointState
	role := persimmoncart.RoleDecode
	switch {
	case have-target > roleMaxSurplus && len(prefill) > 1:
		from = prefill
	case (target-have > roleMaxShortfall || len(prefill) == 0) && len(decode) > 1:
		from, role = decode, persimmoncart.RolePrefill
	}
	var changes []RoleChange
	for range min(max(1, int(math.Abs(have-target)/2)), len(from)-1) {
		e := leastUsed(now, from)
		from = slices.DeleteFunc(slices.Clone(from), func(o *EndpointState) bool { return o == e })
		changes = append(changes, RoleChange{Endpoint: e.Endpoint, Role: role, Target: target})
	}
	return changes
}

// leastUsed returns the engine with the least work, that of other instances
// included, of the data centre with the
// most engines of the list.
func leastUsed(now time.Time, engines []*EndpointState) *EndpointState {
	centres := make(map[persimmoncart.DataCentre]int)
	for _, e := range engines {
		centres[e.Endpoint.DataCentre]++
	}
	return slices.MinFunc(engines, func(a, b *EndpointState) int {
		return cmp.Or(
			cmp.Compare(centres[b.Endpoint.DataCentre], centres[a.Endpoint.DataCentre]),
			cmp.Compare(float64(a.InFlight)+a.otherRequests(now), float64(b.InFlight)+b.otherRequests(now)),
			cmp.Compare(a.Endpoint.ID, b.Endpoint.ID),
		)
	})
}
