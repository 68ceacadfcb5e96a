package policy

import (
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// DefaultPrefillRate is the prefill rate that is assumed until a replica's
	// own is measured, in prompt tokens a second.
	DefaultPrefillRate = 20000
	// prefillSlack is added to the expected time of a prefill for messages and
	// rounding.
	prefillSlack = 60 * time.Millisecond
	// rateRecoveryTime is how long a lowered rate takes to return to normal
	// without samples, beginning rateStaleAfter after the last one.
	rateRecoveryTime = 8 * time.Second
	rateStaleAfter   = 2 * time.Second
	// normalRateGain is the weight of one new sample in the normal rate.
	normalRateGain = 0.02
	// typicalPrompt is the length of the prompt that the waits of replicas are
	// compared with, in tokens.
	typicalPrompt = 4096
	// rateGain is the weight of one new sample in the measured rate.
	rateGain = 0.3
)

// A Replica is the state of one engine replica whose slots this instance
// grants.
type Replica struct {
	Blocks      int // memory blocks that may be granted
	Endpoint    persimmoncart.Endpoint
	Owned       bool    // false for a static share, which is never lent
	PrefillRate float64 // prompt tokens a second, measured
	Probe       bool    // ejected, and one request may probe it
	Slots       int     // slots that may be granted
	Weight      float64 // 1 is healthy, 0 is ejected

	busyUntil    time.Time       // expected end of the granted prefills
	cachedTokens int             // scratch of the current decision: prompt tokens cached
	failed       bool            // ejected because a call failed
	normalRate   float64         // average of PrefillRate over a longer time
	prefills     []queuedPrefill // granted and not yet ended, oldest first
	recoveredAt  time.Time       // last call of recoverRate
	sampledAt    time.Time       // last sample of PrefillRate
	slowness     float64         // factor by which the oldest prefill is overdue; at least 1
	usedBlocks   int
	usedSlots    int
}

// A queuedPrefill is one granted prefill.
type queuedPrefill struct {
	due    time.Time // expected end
	id     uint64    // of the reservation
	start  time.Time
	tokens int // prompt tokens to prefill
}

// NewReplica returns a healthy Replica without granted slots.
func NewReplica(endpoint persimmoncart.Endpoint, slots, blocks int) *Replica {
	return &Replica{Blocks: blocks, Endpoint: endpoint, PrefillRate: DefaultPrefillRate, Slots: slots, Weight: 1, normalRate: DefaultPrefillRate, slowness: 1}
}

// EndPrefill ends a prefill that took the given time, or that was cancelled if
// the time is zero. The measured rate is corrected by the ratio of the expected
// to the actual time.
func (r *Replica) EndPrefill(now time.Time, id uint64, took time.Duration) {
	i := slices.IndexFunc(r.prefills, func(p queuedPrefill) bool { return p.id == id })
	if i < 0 {
		return
	}
	p := r.prefills[i]
	r.prefills = slices.Delete(r.prefills, i, i+1)
	if took <= 0 {
		r.busyUntil = r.busyUntil.Add(-r.prefillTime(p.tokens))
		return
	}
	expected := p.due.Sub(p.start) + prefillSlack
	if took < expected && p.due.Sub(p.start) < prefillSlack {
		return // too short to measure
	}
	ratio := min(max(float64(expected)/float64(took+prefillSlack), 0.1), 2)
	r.PrefillRate *= 1 + rateGain*(ratio-1)
	r.normalRate += normalRateGain * (r.PrefillRate - r.normalRate)
	r.sampledAt = now
	r.slowness = 1
}

// Free returns the slots and memory blocks that can still be granted; both are
// negative while a lowered capacity is exceeded.
func (r *Replica) Free() (slots, blocks int) {
	return r.Slots - r.usedSlots, r.Blocks - r.usedBlocks
}

// QueuePrefill adds the prefill of tokens prompt tokens under the identifier of
// its reservation and returns the expected time until it ends.
func (r *Replica) QueuePrefill(now time.Time, id uint64, tokens int) time.Duration {
	d := r.Wait(now) + r.prefillTime(tokens)
	r.busyUntil = now.Add(d)
	r.prefills = append(r.prefills, queuedPrefill{start: now, due: r.busyUntil, id: id, tokens: tokens})
	return d
}

// Serves reports whether the replica has the model loaded.
func (r *Replica) Serves(model persimmoncart.ModelName) bool {
	return slices.Contains(r.Endpoint.Models, model)
}

// Wait returns the expected time until the granted prefills end.
func (r *Replica) Wait(now time.Time) time.Duration {
	wait := max(r.busyUntil.Sub(now), 0)
	if r.slowness <= 1 {
		return wait
	}
	tokens := 0
	for _, p := range r.prefills {
		tokens += p.tokens
	}
	return max(wait, r.prefillTime(tokens))
}

// typicalWait returns the expected time until a prompt of typicalPrompt tokens
// would be prefilled, by which replicas of different speed are compared; zero
// for decode replicas.
func (r *Replica) typicalWait(now time.Time) time.Duration {
	if r.Endpoint.Role != persimmoncart.RolePrefill {
		return 0
	}
	return r.Wait(now) + r.prefillTime(typicalPrompt)
}

// recoverRate raises a rate that was measured during a slow phase back to
// normal: a replica that gets no work gives no samples of its recovery.
func (r *Replica) recoverRate(now time.Time) {
	if d := now.Sub(r.sampledAt); r.PrefillRate < r.normalRate && d > rateStaleAfter && len(r.prefills) == 0 {
		r.PrefillRate += (r.normalRate - r.PrefillRate) * min(float64(now.Sub(r.recoveredAt))/float64(rateRecoveryTime), 1)
	}
	r.recoveredAt = now
}

// updateSlowness measures how overdue the oldest prefill is, so that a slow
// replica is detected before its first late result.
func (r *Replica) updateSlowness(now time.Time) {
	r.slowness = 1
	if len(r.prefills) == 0 {
		return
	}
	p := r.prefills[0]
	if late := now.Sub(p.due) - prefillSlack; late > 0 {
		expected := max(p.due.Sub(p.start), prefillSlack)
		r.slowness = 1 + float64(late)/float64(expected)
	}
}

// prefillTime returns the expected time to prefill tokens prompt tokens.
func (r *Replica) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(max(tokens, 0)) / max(r.PrefillRate*r.rateWeight(), 1) * r.slowness * float64(time.Second))
}

// fits reports whether the replica can take a request that needs the given
// memory blocks now.
func (r *Replica) fits(blocks int, request *PlacementRequest) bool {
	if r.Weight <= 0 && !r.mayProbe(request.Class) {
		return false
	}
	if request.Region != "" && request.Region != r.Endpoint.Region {
		return false
	}
	return r.Slots > r.usedSlots && r.Blocks-r.usedBlocks >= blocks && !r.Endpoint.Leaving &&
		r.Serves(request.Model) && !slices.Contains(request.Avoid, r.Endpoint.ID)
}

// mayProbe reports whether a request may probe an ejected replica. Only one
// does so at a time, and a slow replica is probed only by batch requests, which
// can wait for a slow response.
func (r *Replica) mayProbe(class persimmoncart.Class) bool {
	return r.Probe && r.usedSlots == 0 && (r.failed || class == persimmoncart.ClassBatch)
}

// inService reports whether the replica takes requests now or is due for a
// probe.
func (r *Replica) inService() bool {
	return !r.Endpoint.Leaving && (r.Weight > 0 || r.Probe)
}

// loadCost returns the cost of the replica's present batch. A replica to be
// probed costs nothing, because only a request shows whether it has recovered.
func (r *Replica) loadCost() time.Duration {
	if r.Weight <= 0 {
		return 0
	}
	load := float64(r.usedSlots) / float64(r.Slots)
	return time.Duration(load * float64(loadPenalty) / r.Weight)
}

// rateWeight returns the factor of the rate in expected times. An ejected
// replica, which only probes use, is assumed to work at its full rate.
func (r *Replica) rateWeight() float64 {
	if r.Weight <= 0 {
		return 1
	}
	return r.Weight
}
