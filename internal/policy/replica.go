package policy

import (
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// Defaults until a replica's own speed has been measured.
const (
	// DefaultPrefillRate is in prompt tokens a second.
	DefaultPrefillRate = 20000
	// prefillSlack covers messages and rounding in the time of a prefill.
	prefillSlack = 60 * time.Millisecond
	// rateRecoveryTime is the time in which a rate without samples returns to normal,
	// from rateStale after the last sample on.
	rateRecoveryTime = 8 * time.Second
	rateStaleAfter   = 2 * time.Second
	// normalRateGain is the weight of one new sample in the normal rate.
	normalRateGain = 0.02
	// typicalPrompt is the prompt length that waits are compared with.
	typicalPrompt = 4096
	// rateGain is the weight of one new sample in a measured rate.
	rateGain = 0.3
)

// A Replica is the state of one engine replica whose slots are granted here.
type Replica struct {
	Blocks      int // memory blocks that may be granted
	Endpoint    persimmoncart.Endpoint
	Owned       bool
	Probe       bool    // ejected, and one batch request may try it
	PrefillRate float64 // prompt tokens a second, measured
	Slots       int     // slots that may be granted
	Weight      float64 // 1 is healthy, 0 is ejected

	busyUntil    time.Time       // when the granted prefills are expected to end
	cachedTokens int             // scratch of the current decision: prompt tokens cached
	recoveredAt  time.Time       // last call of drift
	normalRate   float64         // rate over a longer time
	failed       bool            // ejected because a call failed
	prefills     []queuedPrefill // granted and not yet ended, oldest first
	sampledAt    time.Time       // last sample of the rate
	slowness     float64         // factor by which the oldest prefill is overdue; at least 1
	usedBlocks   int
	usedSlots    int
}

// A queuedPrefill is one granted prefill.
type queuedPrefill struct {
	start  time.Time
	due    time.Time
	id     uint64
	tokens int
}

// NewReplica returns a healthy Replica that nothing was granted on.
func NewReplica(endpoint persimmoncart.Endpoint, slots, blocks int) *Replica {
	return &Replica{Blocks: blocks, Endpoint: endpoint, PrefillRate: DefaultPrefillRate, Slots: slots, Weight: 1, normalRate: DefaultPrefillRate, slowness: 1}
}

// Free returns the slots and memory blocks that can still be granted; both are
// negative while a lowered capacity is exceeded.
func (r *Replica) Free() (slots, blocks int) {
	return r.Slots - r.usedSlots, r.Blocks - r.usedBlocks
}

// QueuePrefill adds the prefill of tokens prompt tokens under the identifier of its
// holding and returns the expected time until it ends.
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

// EndPrefill ends a prefill that took took, or that was cancelled if took is zero.
// The measured rate is corrected by the difference to what was expected.
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
		return // too short to tell
	}
	ratio := min(max(float64(expected)/float64(took+prefillSlack), 0.1), 2)
	r.PrefillRate *= 1 + rateGain*(ratio-1)
	r.normalRate += normalRateGain * (r.PrefillRate - r.normalRate)
	r.sampledAt = now
	r.slowness = 1
}

// Wait returns the expected time until the prefills granted so far end.
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

// typicalWait returns the expected time until a prompt of typicalPrompt tokens would
// be prefilled, which compares replicas of different speed; zero for decode.
func (r *Replica) typicalWait(now time.Time) time.Duration {
	if r.Endpoint.Role != persimmoncart.RolePrefill {
		return 0
	}
	return r.Wait(now) + r.prefillTime(typicalPrompt)
}

// recoverRate moves a rate that was measured during a slow phase back to normal: a
// replica that gets no work gives no samples of its recovery.
func (r *Replica) recoverRate(now time.Time) {
	if d := now.Sub(r.sampledAt); r.PrefillRate < r.normalRate && d > rateStaleAfter && len(r.prefills) == 0 {
		r.PrefillRate += (r.normalRate - r.PrefillRate) * min(float64(now.Sub(r.recoveredAt))/float64(rateRecoveryTime), 1)
	}
	r.recoveredAt = now
}

// updateSlowness notices a prefill that should have ended long ago, so that a slow
// replica is known before its first late result.
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

// fits reports whether the replica can take a request now.
func (r *Replica) fits(blocks int, ask *PlacementRequest) bool {
	if r.Weight <= 0 && !r.mayProbe(ask.Class) {
		return false
	}
	if ask.Region != "" && ask.Region != r.Endpoint.Region {
		return false
	}
	return r.Slots > r.usedSlots && r.Blocks-r.usedBlocks >= blocks && !r.Endpoint.Leaving &&
		r.Serves(ask.Model) && !slices.Contains(ask.Avoid, r.Endpoint.ID)
}

// mayProbe reports whether a request may try an ejected replica: one at a time,
// and a slow one only for batch requests, which can wait for a slow answer.
func (r *Replica) mayProbe(class persimmoncart.Class) bool {
	return r.Probe && r.usedSlots == 0 && (r.failed || class == persimmoncart.ClassBatch)
}

// inService reports whether the replica takes requests now or after a probe
// that is due.
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

// rateWeight returns the rateWeight that expected times are divided by.
func (r *Replica) rateWeight() float64 {
	if r.Weight <= 0 {
		return 1
	}
	return r.Weight
}
