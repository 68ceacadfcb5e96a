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
	// rateReturn is the time in which a rate without samples returns to normal,
	// from rateStale after the last sample on.
	rateReturn = 8 * time.Second
	rateStale  = 2 * time.Second
	// normalGain is the weight of one new sample in the normal rate.
	normalGain = 0.02
	// typicalPrompt is the prompt length that waits are compared with.
	typicalPrompt = 4096
	// rateGain is the weight of one new sample in a measured rate.
	rateGain = 0.3
)

// A Replica is the state of one engine replica whose slots are granted here.
type Replica struct {
	Blocks   int // memory blocks that may be granted
	Endpoint persimmoncart.Endpoint
	Owned    bool
	Probe    bool    // ejected, and one batch request may try it
	Rate     float64 // prompt tokens a second, measured
	Slots    int     // slots that may be granted
	Weight   float64 // 1 is healthy, 0 is ejected

	busy       time.Time    // when the granted prefills are expected to end
	cached     int          // scratch of the current decision: prompt tokens cached
	drifted    time.Time    // last call of drift
	normal     float64      // rate over a longer time
	failed     bool         // ejected because a call failed
	prefills   []prefilling // granted and not yet ended, oldest first
	sampled    time.Time    // last sample of the rate
	slowness   float64      // factor by which the oldest prefill is overdue; at least 1
	usedBlocks int
	usedSlots  int
}

// A prefilling is one granted prefill.
type prefilling struct {
	begin  time.Time
	due    time.Time
	id     uint64
	tokens int
}

// NewReplica returns a healthy Replica that nothing was granted on.
func NewReplica(endpoint persimmoncart.Endpoint, slots, blocks int) *Replica {
	return &Replica{Blocks: blocks, Endpoint: endpoint, Rate: DefaultPrefillRate, Slots: slots, Weight: 1, normal: DefaultPrefillRate, slowness: 1}
}

// Free returns the slots and memory blocks that can still be granted; both are
// negative while a lowered capacity is exceeded.
func (r *Replica) Free() (slots, blocks int) {
	return r.Slots - r.usedSlots, r.Blocks - r.usedBlocks
}

// Queue adds the prefill of tokens prompt tokens under the identifier of its
// holding and returns the expected time until it ends.
func (r *Replica) Queue(now time.Time, id uint64, tokens int) time.Duration {
	d := r.Wait(now) + r.duration(tokens)
	r.busy = now.Add(d)
	r.prefills = append(r.prefills, prefilling{begin: now, due: r.busy, id: id, tokens: tokens})
	return d
}

// Serves reports whether the replica has the model loaded.
func (r *Replica) Serves(model persimmoncart.ModelName) bool {
	return slices.Contains(r.Endpoint.Models, model)
}

// Unqueue ends a prefill that took took, or that was cancelled if took is zero.
// The measured rate is corrected by the difference to what was expected.
func (r *Replica) Unqueue(now time.Time, id uint64, took time.Duration) {
	i := slices.IndexFunc(r.prefills, func(p prefilling) bool { return p.id == id })
	if i < 0 {
		return
	}
	p := r.prefills[i]
	r.prefills = slices.Delete(r.prefills, i, i+1)
	if took <= 0 {
		r.busy = r.busy.Add(-r.duration(p.tokens))
		return
	}
	expected := p.due.Sub(p.begin) + prefillSlack
	if took < expected && p.due.Sub(p.begin) < prefillSlack {
		return // too short to tell
	}
	ratio := min(max(float64(expected)/float64(took+prefillSlack), 0.1), 2)
	r.Rate *= 1 + rateGain*(ratio-1)
	r.normal += normalGain * (r.Rate - r.normal)
	r.sampled = now
	r.slowness = 1
}

// Wait returns the expected time until the prefills granted so far end.
func (r *Replica) Wait(now time.Time) time.Duration {
	wait := max(r.busy.Sub(now), 0)
	if r.slowness <= 1 {
		return wait
	}
	tokens := 0
	for _, p := range r.prefills {
		tokens += p.tokens
	}
	return max(wait, r.duration(tokens))
}

// typical returns the expected time until a prompt of typicalPrompt tokens would
// be prefilled, which compares replicas of different speed; zero for decode.
func (r *Replica) typical(now time.Time) time.Duration {
	if r.Endpoint.Role != persimmoncart.RolePrefill {
		return 0
	}
	return r.Wait(now) + r.duration(typicalPrompt)
}

// drift moves a rate that was measured during a slow phase back to normal: a
// replica that gets no work gives no samples of its recovery.
func (r *Replica) drift(now time.Time) {
	if d := now.Sub(r.sampled); r.Rate < r.normal && d > rateStale && len(r.prefills) == 0 {
		r.Rate += (r.normal - r.Rate) * min(float64(now.Sub(r.drifted))/float64(rateReturn), 1)
	}
	r.drifted = now
}

// overdue notices a prefill that should have ended long ago, so that a slow
// replica is known before its first late result.
func (r *Replica) overdue(now time.Time) {
	r.slowness = 1
	if len(r.prefills) == 0 {
		return
	}
	p := r.prefills[0]
	if late := now.Sub(p.due) - prefillSlack; late > 0 {
		expected := max(p.due.Sub(p.begin), prefillSlack)
		r.slowness = 1 + float64(late)/float64(expected)
	}
}

// duration returns the expected time to prefill tokens prompt tokens.
func (r *Replica) duration(tokens int) time.Duration {
	return time.Duration(float64(max(tokens, 0)) / max(r.Rate*r.weight(), 1) * r.slowness * float64(time.Second))
}

// fits reports whether the replica can take a request now.
func (r *Replica) fits(blocks int, ask *Ask) bool {
	if r.Weight <= 0 && !r.probes(ask.Class) {
		return false
	}
	if ask.Region != "" && ask.Region != r.Endpoint.Region {
		return false
	}
	return r.Slots > r.usedSlots && r.Blocks-r.usedBlocks >= blocks && !r.Endpoint.Leaving &&
		r.Serves(ask.Model) && !slices.Contains(ask.Avoid, r.Endpoint.ID)
}

// probes reports whether a request may try an ejected replica: one at a time,
// and a slow one only for batch requests, which can wait for a slow answer.
func (r *Replica) probes(class persimmoncart.Class) bool {
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

// weight returns the weight that expected times are divided by.
func (r *Replica) weight() float64 {
	if r.Weight <= 0 {
		return 1
	}
	return r.Weight
}
