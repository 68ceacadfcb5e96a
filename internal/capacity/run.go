package capacity

import (
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

const (
	checkPeriod   = 500 * time.Millisecond // between checks for replicas with two owners
	samplePeriod  = 10 * time.Second       // between samples of the counters
	windowSamples = 6                      // number of samples in a minute
)

// A run measures one event in one fleet.
type run struct {
	detectionTimes []float64     // seconds until a node detected the end of a process; see recordDetection
	doubleOwners   int           // additional owners of replicas, summed over all checks
	driveTime      time.Duration // wall clock time of the simulation loop
	event          event
	fleet          *fleet
	gateways       map[persimmoncart.InstanceID]bool // instances that were gateways in a sample
	lostNodes      []*node
	maxStoreRates  [2]float64                                            // highest numbers of reads and writes in one second
	ownersBefore   map[persimmoncart.EndpointID]persimmoncart.InstanceID // before the event
	samples        []sample
	seed           uint64
	unownedSeconds float64 // time in which at least one replica had no owner
}

// A sample holds the cumulative counters of the running nodes at one time.
type sample struct {
	bytes         map[persimmoncart.InstanceID]int
	messages      map[persimmoncart.InstanceID]int
	processorTime map[persimmoncart.InstanceID]time.Duration
}

// newRun starts a fleet and lets it settle.
func newRun(nodes int, seed uint64, e event) *run {
	r := &run{event: e, fleet: newFleet(nodes, seed), gateways: map[persimmoncart.InstanceID]bool{}, seed: seed}
	for _, n := range r.fleet.nodes {
		r.recordDetection(n)
	}
	r.fleet.timer.Advance(settleTime)
	return r
}

// recordDetection records the times until n detects that a process of its cell has ended,
// or one of its region in the event dc-loss, which leaves no node in the cell.
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

// execute applies the event and measures the fleet for the duration of the event.
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
			newReads, newWrites := storeCalls(f.memory)
			r.maxStoreRates[0], r.maxStoreRates[1] = max(r.maxStoreRates[0], newReads-reads), max(r.maxStoreRates[1], newWrites-writes)
			reads, writes = newReads, newWrites
		}
		if (t+checkPeriod)%samplePeriod == 0 {
			r.sample()
		}
	}
	r.unownedSeconds = unowned.Seconds()
}

// sample records the counters of all running nodes and which of them are gateways.
func (r *run) sample() {
	s := sample{
		bytes:         map[persimmoncart.InstanceID]int{},
		messages:      map[persimmoncart.InstanceID]int{},
		processorTime: map[persimmoncart.InstanceID]time.Duration{},
	}
	for _, n := range r.fleet.alive() {
		s.bytes[n.self.ID] = n.port.TotalBytesSent()
		s.messages[n.self.ID] = n.port.MessagesSent()
		s.processorTime[n.self.ID] = n.processorTime
		if n.members.Machine.IsGateway() {
			r.gateways[n.self.ID] = true
		}
	}
	r.samples = append(r.samples, s)
}

// rates returns the rate per second of a counter, averaged over a minute: the mean over
// the nodes that only selects, and the highest rate of one node.
func rates[V int | time.Duration](r *run, counter func(sample) map[persimmoncart.InstanceID]V, only func(persimmoncart.InstanceID) bool) (mean, highest float64) {
	total, count := 0.0, 0
	for i := windowSamples; i < len(r.samples); i++ {
		now, then := counter(r.samples[i]), counter(r.samples[i-windowSamples])
		for id, v := range now {
			before, ok := then[id]
			if !ok || !only(id) {
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

// movedShare returns the share of replicas whose owner differs from that before the
// event.
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

// quantile returns the q-quantile of values, or zero if values is empty.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
