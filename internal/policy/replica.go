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
	// rateGain is the weight of one new sample in a measured rate.
	rateGain = 0.2
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

	busy       time.Time // when the granted prefills are expected to end
	cached     int       // scratch of the current decision: prompt tokens cached
	usedBlocks int
	usedSlots  int
}

// NewReplica returns a healthy Replica that nothing was granted on.
func NewReplica(endpoint persimmoncart.Endpoint, slots, blocks int) *Replica {
	return &Replica{Blocks: blocks, Endpoint: endpoint, Rate: DefaultPrefillRate, Slots: slots, Weight: 1}
}

// Free returns the slots and memory blocks that can still be granted; both are
// negative while a lowered capacity is exceeded.
func (r *Replica) Free() (slots, blocks int) {
	return r.Slots - r.usedSlots, r.Blocks - r.usedBlocks
}

// Queue adds the prefill of tokens prompt tokens and returns the expected time
// until it ends.
func (r *Replica) Queue(now time.Time, tokens int) time.Duration {
	d := r.Wait(now) + r.duration(tokens)
	r.busy = now.Add(d)
	return d
}

// Sample corrects the measured rate by a prefill that took actual where
// expected was predicted.
func (r *Replica) Sample(expected, actual time.Duration) {
	if expected <= 0 || actual <= 0 {
		return
	}
	ratio := min(max(float64(expected)/float64(actual), 0.25), 2)
	r.Rate *= 1 + rateGain*(ratio-1)
}

// Serves reports whether the replica has the model loaded.
func (r *Replica) Serves(model persimmoncart.ModelName) bool {
	return slices.Contains(r.Endpoint.Models, model)
}

// Unqueue takes a prefill back that was cancelled before it ran.
func (r *Replica) Unqueue(tokens int) {
	r.busy = r.busy.Add(-r.duration(tokens))
}

// Wait returns the expected time until the prefills granted so far end.
func (r *Replica) Wait(now time.Time) time.Duration {
	return max(r.busy.Sub(now), 0)
}

// duration returns the expected time to prefill tokens prompt tokens.
func (r *Replica) duration(tokens int) time.Duration {
	return time.Duration(float64(max(tokens, 0)) / max(r.Rate*r.weight(), 1) * float64(time.Second))
}

// fits reports whether the replica can take a request now.
func (r *Replica) fits(blocks int, ask *Ask) bool {
	if r.Weight <= 0 && (!r.Probe || r.usedSlots > 0 || ask.Class != persimmoncart.ClassBatch) {
		return false
	}
	if ask.Region != "" && ask.Region != r.Endpoint.Region {
		return false
	}
	return r.Slots > r.usedSlots && r.Blocks-r.usedBlocks >= blocks && !r.Endpoint.Leaving &&
		r.Serves(ask.Model) && !slices.Contains(ask.Avoid, r.Endpoint.ID)
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
