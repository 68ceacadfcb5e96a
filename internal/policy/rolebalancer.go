package policy

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// roleDecodeGain is the weight of one generation in the average decode
	// time.
	roleDecodeGain = 0.05
	// roleShorterGain and roleLongerGain are the weights of a prefill that took
	// less or more than the average. Waits behind other instances' prompts only
	// lengthen a prefill, so the average favours the short ones.
	roleShorterGain = 0.2
	roleLongerGain  = 0.02
	// roleMinSamples is the number of decodes, and of prefills, that a plan
	// needs.
	roleMinSamples = 15
	// roleMinObservation is the observation time that a plan needs, as a
	// multiple of the longest generation: those that end first are the short
	// ones.
	roleMinObservation = 2.5
	// rolePrefillHeadroom is the prefill capacity planned for each unit of
	// demand, because prompts queue one behind the other.
	rolePrefillHeadroom = 1.4
	// roleMaxSurplus and roleMaxShortfall are how far the number of prefill
	// engines may be above and below the target. Together they are more than
	// one engine, so that plans do not oscillate. A missing prefill engine
	// costs less, since decode engines can prefill prompts themselves.
	roleMaxSurplus   = 0.7
	roleMaxShortfall = 1.1
)

// A RoleBalancer measures how much time of a prefill and of a decode engine one
// generation takes, and plans how many engines should prefill, so that at peak
// load both roles are fully used. It follows shifts between long prompts and
// long responses, and engines that join or leave.
type RoleBalancer struct {
	decodeSamples  int
	decodeSeconds  float64       // average engine time of one decode
	longestDecode  time.Duration // longest generation
	observedSince  time.Time     // start of the first recorded generation
	prefillSamples int
	prefillSeconds float64 // average engine time of one prefill
}

// AddDecode records a generation that ends at now, took the given time and held
// the given tokens of the engine's memory.
func (b *RoleBalancer) AddDecode(now time.Time, took time.Duration, held int, size persimmoncart.EngineCapacity) {
	if size.KVTokens <= 0 || size.Slots <= 0 {
		return
	}
	share := max(float64(held)/float64(size.KVTokens), 1/float64(size.Slots))
	gain := math.Max(roleDecodeGain, 1/float64(b.decodeSamples+1)) // starts as a plain mean
	if start := now.Add(-took); b.observedSince.IsZero() || start.Before(b.observedSince) {
		b.observedSince = start
	}
	b.longestDecode = max(b.longestDecode, took)
	b.decodeSeconds += gain * (took.Seconds()*share - b.decodeSeconds)
	b.decodeSamples++
}

// AddPrefill records the duration of a prefill that did not wait for another.
func (b *RoleBalancer) AddPrefill(took time.Duration) {
	gain := roleLongerGain
	if took.Seconds() < b.prefillSeconds {
		gain = roleShorterGain
	}
	if b.prefillSamples == 0 {
		gain = 1
	}
	b.prefillSeconds += gain * (took.Seconds() - b.prefillSeconds)
	b.prefillSamples++
}

// Target returns how many of a number of engines should prefill. It reports
// false until there are enough samples.
func (b *RoleBalancer) Target(now time.Time, engines int) (float64, bool) {
	if b.decodeSamples < roleMinSamples || b.prefillSamples < roleMinSamples || now.Sub(b.observedSince) < time.Duration(roleMinObservation*float64(b.longestDecode)) {
		return 0, false
	}
	prefill := rolePrefillHeadroom * b.prefillSeconds
	return float64(engines) * prefill / (prefill + b.decodeSeconds), true
}

// A RoleChange is a change of an engine's role that is due.
type RoleChange struct {
	Endpoint persimmoncart.Endpoint
	Role     persimmoncart.Role // the new one
	Target   float64            // number of prefill engines that the region should have
}

// Plan returns the changes that are due in one region, the most useful first. A
// large gap is halved in one step, since engines serve nothing for seconds
// while they change. Engines that are leaving, missing or listed in busy do not
// change, and no engine does while one is busy.
func (b *RoleBalancer) Plan(now time.Time, engines []*EndpointState, busy map[persimmoncart.EndpointID]bool) []RoleChange {
	var prefill, decode []*EndpointState
	for _, e := range engines {
		switch {
		case e.Endpoint.Leaving || e.Missing:
		case busy[e.Endpoint.ID]:
			return nil // the samples do not show its effect yet
		case e.Endpoint.Role == persimmoncart.RolePrefill:
			prefill = append(prefill, e)
		case e.Endpoint.Role == persimmoncart.RoleDecode:
			decode = append(decode, e)
		}
	}
	target, ok := b.Target(now, len(prefill)+len(decode))
	if !ok {
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

// leastUsed returns the engine with the fewest requests, including those of
// other instances, in the data centre with the most engines of the list.
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
