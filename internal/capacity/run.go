package capacity

import (
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

const (
	checkPeriod   = 500 * time.Millisecond // between checks for two owners
	samplePeriod  = 10 * time.Second
	windowSamples = 6 // samples of a minute
)

// A run is one event in one fleet.
type run struct {
	ownersBefore   map[persimmoncart.EndpointID]persimmoncart.InstanceID
	detectionTimes []float64 // seconds until a node of the same cell, or else of the region, knew
	doubleOwners   int
	driveTime      time.Duration
	event          event
	fleet          *fleet
	gateways       map[persimmoncart.InstanceID]bool
	lostNodes      []*node
	maxStoreRates  [2]float64 // highest reads and writes in one second
	samples        []sample
	seed           uint64
	unownedSeconds float64 // seconds in which some replica had no owner
}

// A sample holds what the nodes have sent at one time.
type sample struct {
	bytes         map[persimmoncart.InstanceID]int
	messages      map[persimmoncart.InstanceID]int
	processorTime map[persimmoncart.InstanceID]time.Duration
}

// newRun settles a fleet.
func newRun(nodes int, seed uint64, e event) *run {
	r := &run{event: e, fleet: newFleet(nodes, seed), gateways: map[persimmoncart.InstanceID]bool{}, seed: seed}
	for _, n := range r.fleet.nodes {
		r.recordDetection(n)
	}
	r.fleet.timer.Advance(settleTime)
	return r
}

// recordDetection records when n learns that a process has ended.
func (r *run) recordDetection(n *node) {
	n.members.Subscribe(func(members []persimmoncart.Member) {
		for _, m := range members {
			at, ended := r.fleet.endTimes[m.Instance.Tag()]
			if m.State != persimmoncart.MemberDead || !ended || m.Instance.Region != n.self.Region {
				continue
			}
			if m.Instance.DataCentre == n.self.DataCentre || r.event.name == "dc-loss" {
				r.detectionTimes = append(r.detectionTimes, r.fleet.timer.Now().Sub(at).Seconds())
			}
		}
	})
}

// execute applies the event and measures.
func (r *run) execute() {
	f := r.fleet
	r.ownersBefore, _ = f.owners()
	r.sample()
	r.event.apply(r)
	reads, writes := storeCalls(f.memory)
	var unowned time.Duration
	for t := time.Duration(0); t < r.event.duration; t += checkPeriod {
		begin := time.Now()
		f.timer.Advance(checkPeriod)
		r.driveTime += time.Since(begin)
		owners, double := f.owners()
		r.doubleOwners += double
		if len(owners) < len(r.ownersBefore) {
			unowned += checkPeriod
		}
		if (t+checkPeriod)%time.Second == 0 {
			x, y := storeCalls(f.memory)
			r.maxStoreRates[0], r.maxStoreRates[1] = max(r.maxStoreRates[0], x-reads), max(r.maxStoreRates[1], y-writes)
			reads, writes = x, y
		}
		if (t+checkPeriod)%samplePeriod == 0 {
			r.sample()
		}
	}
	r.unownedSeconds = unowned.Seconds()
}

// sample notes the counters of all nodes.
func (r *run) sample() {
	s := sample{
		bytes:         map[persimmoncart.InstanceID]int{},
		messages:      map[persimmoncart.InstanceID]int{},
		processorTime: map[persimmoncart.InstanceID]time.Duration{},
	}
	for _, n := range r.fleet.alive() {
		s.bytes[n.self.ID] = n.port.TotalSent()
		s.messages[n.self.ID] = n.port.Messages()
		s.processorTime[n.self.ID] = n.processorTime
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
	for i := windowSamples; i < len(r.samples); i++ {
		now, then := counter(r.samples[i]), counter(r.samples[i-windowSamples])
		for id, v := range now {
			before, known := then[id]
			if !known || !only(id) {
				continue
			}
			rate := float64(v-before) / (windowSamples * samplePeriod.Seconds())
			highest = max(highest, rate)
			total += rate
			count++
		}
	}
	return total / float64(max(count, 1)), highest
}

// movedShare returns the share of replicas that have another owner than before.
func (r *run) movedShare() float64 {
	after, _ := r.fleet.owners()
	moved := 0
	for id, owner := range r.ownersBefore {
		if after[id] != owner {
			moved++
		}
	}
	return float64(moved) / float64(max(len(r.ownersBefore), 1))
}

// quantile returns the q-quantile of values, or zero if there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
