package capacity

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/objectapi"
)

// An event is a disturbance of a settled fleet.
type event struct {
	apply    func(*run)    // schedules the disturbance
	duration time.Duration // of the measurement
	name     string
}

const (
	eventDelay          = 5 * time.Second // from the start of the measurement to the disturbance
	restartWaveDuration = time.Minute
	settleTime          = 45 * time.Second // before the measurement; then the ownership epochs are in effect and the load is steady
)

// events returns the events of docs/design.md, section 12, with an outage of the store of
// the given duration; it is an hour unless a run shortens it.
func events(outage time.Duration) []event {
	return []event{
		{name: "quiet", duration: 70 * time.Second, apply: func(*run) {}},
		{name: "node-loss", duration: 80 * time.Second, apply: func(r *run) { r.after(eventDelay, r.loseNodes) }},
		{name: "rack-loss", duration: 100 * time.Second, apply: func(r *run) { r.after(eventDelay, r.loseRack) }},
		{name: "dc-loss", duration: 120 * time.Second, apply: func(r *run) { r.after(eventDelay, r.loseCentre) }},
		{name: "region-cut", duration: 150 * time.Second, apply: partitionRegion},
		{name: "restart-wave", duration: 110 * time.Second, apply: restartWave},
		{name: "store-hour", duration: outage + time.Minute, apply: func(r *run) { r.storeDown(outage) }},
	}
}

// after calls f at d from the start of the measurement.
func (r *run) after(d time.Duration, f func()) {
	r.fleet.timer.After(d, func(time.Time) { f() })
}

// loseNodes ends the processes of one node in a hundred, at least one, in different data
// centres. Their hosts stay up.
func (r *run) loseNodes() {
	for i := range max(1, r.fleet.topology.nodes/100) {
		n := r.fleet.nodes[i%r.fleet.topology.centres]
		r.lostNodes = append(r.lostNodes, n)
		r.fleet.endProcess(n, true)
	}
}

// loseRack fails the hosts of a third of the nodes of one data centre.
func (r *run) loseRack() {
	nodes := r.inCentre(r.fleet.nodes[0].self.DataCentre)
	for _, n := range nodes[:(len(nodes)+2)/3] {
		r.lostNodes = append(r.lostNodes, n)
		r.fleet.endProcess(n, false)
	}
}

// loseCentre fails the hosts of all nodes of one data centre.
func (r *run) loseCentre() {
	for _, n := range r.inCentre(r.fleet.nodes[0].self.DataCentre) {
		r.lostNodes = append(r.lostNodes, n)
		r.fleet.endProcess(n, false)
	}
}

// inCentre returns the nodes of a data centre.
func (r *run) inCentre(dc persimmoncart.DataCentre) []*node {
	var nodes []*node
	for _, n := range r.fleet.nodes {
		if n.self.DataCentre == dc {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// partitionRegion partitions the last region from all others and from the store for
// 100 s.
func partitionRegion(r *run) {
	f := r.fleet
	r.after(eventDelay, func() { f.partitionedRegion = f.nodes[f.topology.centres-1].self.Region })
	r.after(eventDelay+100*time.Second, func() { f.partitionedRegion = "" })
}

// restartWave replaces a quarter of the nodes within a minute. Each node announces that
// it is leaving, ends once its requests have ended, and starts again a second later.
func restartWave(r *run) {
	f := r.fleet
	count := max(1, len(f.nodes)/4)
	for i := range count {
		n := f.nodes[i*4%len(f.nodes)]
		start := eventDelay + restartWaveDuration*time.Duration(i)/time.Duration(count)
		r.after(start, n.members.Leave)
		r.after(start+requestDuration, func() { f.endProcess(n, true) })
		r.after(start+requestDuration+time.Second, func() {
			self := n.self
			self.Incarnation++
			f.replaceNode(n, self)
		})
	}
}

// replaceNode starts a new process in place of an ended one. The new node keeps the
// processor time of the old one, so that the counter doesn't decrease.
func (f *fleet) replaceNode(n *node, self persimmoncart.Instance) {
	processorTime := n.processorTime
	f.startNode(self, f.newRandom())
	fresh := f.nodes[len(f.nodes)-1]
	f.nodes = f.nodes[:len(f.nodes)-1]
	fresh.processorTime = processorTime
	for i := range f.nodes {
		if f.nodes[i] == n {
			f.nodes[i] = fresh
		}
	}
}

// storeDown makes the store unavailable for the outage. Nodes are lost 20 s after its
// start, which requires a change of owners that cannot be written.
func (r *run) storeDown(outage time.Duration) {
	r.after(eventDelay, func() { r.fleet.store.SetDown(true) })
	r.after(eventDelay+20*time.Second, r.loseNodes)
	r.after(eventDelay+outage, func() { r.fleet.store.SetDown(false) })
}

// errPartitioned is the cause of an *UnavailableError in a partitioned region.
var errPartitioned = errors.New("region is partitioned from the store")

// A nodeStore is the access of one node to the store. It fails while the region of the
// node is partitioned.
type nodeStore struct {
	persimmoncart.Store
	fleet  *fleet
	region persimmoncart.Region
}

// Create implements persimmoncart.Store.
func (s *nodeStore) Create(ctx context.Context, key string, value []byte) (persimmoncart.Version, error) {
	if s.fleet.partitionedRegion == s.region {
		return 0, &persimmoncart.UnavailableError{Err: errPartitioned, Operation: "create"}
	}
	return s.Store.Create(ctx, key, value)
}

// Get implements persimmoncart.Store.
func (s *nodeStore) Get(ctx context.Context, key string) (persimmoncart.Object, error) {
	if s.fleet.partitionedRegion == s.region {
		return persimmoncart.Object{}, &persimmoncart.UnavailableError{Err: errPartitioned, Operation: "get"}
	}
	return s.Store.Get(ctx, key)
}

// Update implements persimmoncart.Store.
func (s *nodeStore) Update(ctx context.Context, key string, value []byte, version persimmoncart.Version) (persimmoncart.Version, error) {
	if s.fleet.partitionedRegion == s.region {
		return 0, &persimmoncart.UnavailableError{Err: errPartitioned, Operation: "update"}
	}
	return s.Store.Update(ctx, key, value, version)
}

// storeCalls returns the number of reads and writes that the store has received.
func storeCalls(m *objectapi.Memory) (reads, writes float64) {
	c := m.Counters()
	return float64(c.Reads), float64(c.Writes)
}
