package policy

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// roleLoadTime is the time over which loads are averaged: longer than the
	// swings within a generation, shorter than a lasting shift of the traffic.
	roleLoadTime = 4 * time.Second
	// roleMaxRise is the excess of the decode load over its average, as a share of
	// it, above which prefill engines are not yet missing: decode engines fill for
	// the whole time of a generation after the prefill engines are at work.
	roleMaxRise = 0.1
	// roleMinDecodeLoad and roleMinPrefillLoad are the mean loads from which engines
	// of that role may be too few. Below, a change gains nothing.
	roleMinDecodeLoad  = 0.85
	roleMinPrefillLoad = 0.6
	// roleMaxPrefillLoad is the mean load that prefill engines may have after one of
	// them has changed. With fewer, decode engines read prompts themselves, which
	// looks like decode load and would take even more of them away.
	roleMaxPrefillLoad = 0.8
	// roleMaxSurplus and roleMaxShortfall are how far the number of prefill
	// engines may be above and below the target. Together they are more than
	// one engine, so that plans do not oscillate. A missing prefill engine
	// costs less, since decode engines can prefill prompts themselves.
	roleMaxSurplus   = 0.7
	roleMaxShortfall = 1.1
)

// An EngineLoad is the load of one engine, as it reported it.
type EngineLoad struct {
	Endpoint persimmoncart.Endpoint
	Requests int     // running and waiting
	Share    float64 // of the engine that is in use, from 0 to 1
}

// NewEngineLoad returns the load of an engine that reported the state. A prefill
// engine is in use while it has a prompt, a decode engine in proportion to its
// memory or slots, whichever is scarcer.
func NewEngineLoad(e persimmoncart.Endpoint, s *persimmoncart.RoleState) EngineLoad {
	l := EngineLoad{Endpoint: e, Requests: s.Running + s.Waiting}
	if e.Role == persimmoncart.RolePrefill {
		l.Share = min(1, float64(l.Requests))
		return l
	}
	if s.Tokens > 0 {
		l.Share = float64(s.UsedTokens) / float64(s.Tokens)
	}
	if e.Slots > 0 {
		l.Share = max(l.Share, float64(s.Running)/float64(e.Slots))
	}
	l.Share = min(1, l.Share)
	return l
}

// FullEngineLoad returns the load of an engine that wants no requests. It keeps its
// role while another engine can change.
func FullEngineLoad(e persimmoncart.Endpoint) EngineLoad {
	return EngineLoad{Endpoint: e, Requests: math.MaxInt, Share: 1}
}

// A RoleBalancer plans how many engines of a pool should prefill, so that at peak
// load both roles are fully used. It compares the loads of both roles, which the
// same requests cause: while one role is the bottleneck, the other has the load of
// the requests that pass. It follows lasting shifts between long prompts and long
// responses, and engines that join or leave, but not bursts that are shorter than a
// change of roles takes.
type RoleBalancer struct {
	decode     loadAverage // in engines
	lastDecode float64     // last sample of decode
	observed   time.Time   // last call of Observe
	prefill    loadAverage // in engines
	total      int         // engines at the last call of Observe
}

// Observe records the loads of engines of the pool at now. Loads may be those of a
// random selection; decode and prefill are the numbers of engines of each role.
func (b *RoleBalancer) Observe(now time.Time, loads []EngineLoad, decode, prefill int) {
	if b.observed.IsZero() {
		b.observed = now // the averages start from zero, so that a first sample shows no steady load
	}
	passed := now.Sub(b.observed)
	b.observed, b.total = now, decode+prefill
	if share, ok := meanShare(loads, persimmoncart.RolePrefill); ok {
		b.prefill.add(share*float64(prefill), passed)
	}
	if share, ok := meanShare(loads, persimmoncart.RoleDecode); ok {
		b.lastDecode = share * float64(decode)
		b.decode.add(b.lastDecode, passed)
	}
}

// Loads returns the average loads of both roles, in engines.
func (b *RoleBalancer) Loads() (decode, prefill float64) { return b.decode.value, b.prefill.value }

// Target returns how many of a number of engines should prefill. It reports
// false while there is no load.
func (b *RoleBalancer) Target(engines int) (float64, bool) {
	load := b.prefill.value + b.decode.value
	if load <= 0 {
		return 0, false
	}
	share := max(b.prefill.value/load, b.prefill.value/roleMaxPrefillLoad/float64(max(1, b.total)))
	return float64(engines) * min(1, share), true
}

// A RoleChange is a change of an engine's role that is due.
type RoleChange struct {
	Endpoint persimmoncart.Endpoint
	Role     persimmoncart.Role // the new one
	Target   float64            // number of prefill engines that the region should have
}

// Plan returns the changes that are due in one region, the most useful first.
// Engines serve nothing for seconds while they change. So idle prefill engines
// change all at once, but of missing ones only half. No engine changes while one of
// the region is in changing: the loads do not show its effect yet.
func (b *RoleBalancer) Plan(loads []EngineLoad, changing int) []RoleChange {
	if changing > 0 {
		return nil
	}
	prefill, decode := loadsOf(loads, persimmoncart.RolePrefill), loadsOf(loads, persimmoncart.RoleDecode)
	target, ok := b.Target(len(prefill) + len(decode))
	if !ok {
		return nil
	}
	target = max(1, target)
	gap := float64(len(prefill)) - target
	switch {
	case gap > roleMaxSurplus && b.decodeShort(decode):
		return changesOf(prefill, persimmoncart.RoleDecode, max(1, int(gap)), target)
	case len(prefill) == 0:
		return changesOf(decode, persimmoncart.RolePrefill, 1, target)
	case -gap > roleMaxShortfall && b.prefillShort(prefill):
		return changesOf(decode, persimmoncart.RolePrefill, max(1, int(-gap/2)), target)
	}
	return nil
}

// decodeShort reports whether the decode engines may be too few.
func (b *RoleBalancer) decodeShort(decode []EngineLoad) bool {
	share, ok := meanShare(decode, persimmoncart.RoleDecode)
	return !ok || share >= roleMinDecodeLoad
}

// prefillShort reports whether the prefill engines may be too few.
func (b *RoleBalancer) prefillShort(prefill []EngineLoad) bool {
	share, _ := meanShare(prefill, persimmoncart.RolePrefill)
	rising := b.lastDecode > (1+roleMaxRise)*b.decode.value
	return share >= roleMinPrefillLoad && !rising
}

// changesOf returns changes of up to count of the engines to a role, those with the
// fewest requests first. One engine keeps its role.
func changesOf(engines []EngineLoad, role persimmoncart.Role, count int, target float64) []RoleChange {
	var changes []RoleChange
	for range min(count, len(engines)-1) {
		e := leastUsed(engines)
		engines = slices.DeleteFunc(slices.Clone(engines), func(o EngineLoad) bool { return o.Endpoint.ID == e.Endpoint.ID })
		changes = append(changes, RoleChange{Endpoint: e.Endpoint, Role: role, Target: target})
	}
	return changes
}

// leastUsed returns the engine with the fewest requests in the data centre with the
// most engines of the list.
func leastUsed(engines []EngineLoad) EngineLoad {
	centres := make(map[persimmoncart.DataCentre]int)
	for _, e := range engines {
		centres[e.Endpoint.DataCentre]++
	}
	return slices.MinFunc(engines, func(a, b EngineLoad) int {
		return cmp.Or(
			cmp.Compare(centres[b.Endpoint.DataCentre], centres[a.Endpoint.DataCentre]),
			cmp.Compare(a.Requests, b.Requests),
			cmp.Compare(a.Endpoint.ID, b.Endpoint.ID),
		)
	})
}

// loadsOf returns the loads of the engines with a role.
func loadsOf(loads []EngineLoad, role persimmoncart.Role) []EngineLoad {
	var out []EngineLoad
	for _, l := range loads {
		if l.Endpoint.Role == role {
			out = append(out, l)
		}
	}
	return out
}

// meanShare returns the mean load of the engines with a role, and false if there is
// none.
func meanShare(loads []EngineLoad, role persimmoncart.Role) (float64, bool) {
	sum, count := 0.0, 0
	for _, l := range loads {
		if l.Endpoint.Role == role {
			sum += l.Share
			count++
		}
	}
	if count == 0 {
		return 0, false
	}
	return sum / float64(count), true
}

// A loadAverage is an average over roleLoadTime in which older samples count less.
type loadAverage struct {
	value float64
}

// add adds a sample taken the given time after the one before.
func (a *loadAverage) add(sample float64, passed time.Duration) {
	a.value += (1 - math.Exp(-float64(passed)/float64(roleLoadTime))) * (sample - a.value)
}
