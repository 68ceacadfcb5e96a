package capacity

import (
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

const (
	checkPeriod  = 500 * time.Millisecond // between checks for two owners
	samplePeriod = 10 * time.Second
	window       = 6 // samples of a minute
)

// A run is one event in one fleet.
type run struct {
	before    map[persimmoncart.EndpointID]persimmoncart.InstanceID
	detected  []float64 // seconds until a node of the same cell, or else of the region, knew
	double    int
	drive     time.Duration
	event     event
	fleet     *fleet
	gateways  map[persimmoncart.InstanceID]bool
	lost      []*node
	perSecond [2]float64 // highest reads and writes in one second
	samples   []sample
	seed      uint64
	unowned   float64 // seconds in which some replica had no owner
}

// A sample holds what the nodes have sent at one time.
type sample struct {
	bytes    map[persimmoncart.InstanceID]int
	messages map[persimmoncart.InstanceID]int
	used     map[persimmoncart.InstanceID]time.Duration
}

// newRun settles a fleet.
func newRun(nodes int, seed uint64, e event) *run {
	r := &run{event: e, fleet: newFleet(nodes, seed), gateways: map[persimmoncart.InstanceID]bool{}, seed: seed}
	for _, n := range r.fleet.nodes {
		r.watch(n)
	}
	r.fleet.timer.Advance(settleTime)
	return r
}

// watch notes when n learns that a process has ended.
func (r *run) watch(n *node) {
	n.members.Subscribe(func(members []persimmoncart.Member) {
		for _, m := range members {
			at, ended := r.fleet.ended[m.Instance.Tag()]
			if m.State != persimmoncart.MemberDead || !ended || m.Instance.Region != n.self.Region {
				continue
			}
			if m.Instance.DataCentre == n.self.DataCentre || r.event.name == "dc-loss" {
				r.detected = append(r.detected, r.fleet.timer.Now().Sub(at).Seconds())
			}
		}
	})
}

// do applies the event and measures.
func (r *run) do() {
	f := r.fleet
	r.before, _ = f.owners()
	r.sample()
	r.event.apply(r)
	reads, writes := calls(f.memory)
	var unowned time.Duration
	for t := time.Duration(0); t < r.event.length; t += checkPeriod {
		begin := time.Now()
		f.timer.Advance(checkPeriod)
		r.drive += time.Since(begin)
		owners, double := f.owners()
		r.double += double
		if len(owners) < len(r.before) {
			unowned += checkPeriod
		}
		if (t+checkPeriod)%time.Second == 0 {
			x, y := calls(f.memory)
			r.perSecond[0], r.perSecond[1] = max(r.perSecond[0], x-reads), max(r.perSecond[1], y-writes)
			reads, writes = x, y
		}
		if (t+checkPeriod)%samplePeriod == 0 {
			r.sample()
		}
	}
	r.unowned = unowned.Seconds()
}

// sample notes the counters of all nodes.
func (r *run) sample() {
	s := sample{
		bytes:    map[persimmoncart.InstanceID]int{},
		messages: map[persimmoncart.InstanceID]int{},
		used:     map[persimmoncart.InstanceID]time.Duration{},
	}
	for _, n := range r.fleet.alive() {
		s.bytes[n.self.ID] = n.port.TotalBytesSent()
		s.messages[n.self.ID] = n.port.MessagesSent()
		s.used[n.self.ID] = n.used
		if n.members.Machine.IsGateway() {
			r.gateways[n.self.ID] = true
		}
	}
	r.samples = append(r.samples, s)
}

// rates returns the mean over nodes and the highest mean over a minute of one
// node, a second, for a counter of the samples.
func rates[V int | time.Duration](r *run, counter func(sample) map[persimmoncart.InstanceID]V, only func(persimmoncart.InstanceID) bool) (mean, highest float64) {
	total, count := 0.0, 0
	for i := window; i < len(r.samples); i++ {
		now, then := counter(r.samples[i]), counter(r.samples[i-window])
		for id, v := range now {
			before, known := then[id]
			if !known || !only(id) {
				continue
			}
			rate := float64(v-before) / (window * samplePeriod.Seconds())
			highest = max(highest, rate)
			total += rate
			count++
		}
	}
	return total / float64(max(count, 1)), highest
}

// moved returns the share of replicas that have another owner than before.
func (r *run) moved() float64 {
	after, _ := r.fleet.owners()
	moved := 0
	for id, owner := range r.before {
		if after[id] != owner {
			moved++
		}
	}
	return float64(moved) / float64(max(len(r.before), 1))
}

// quantile returns the q-quantile of values, or zero if there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
