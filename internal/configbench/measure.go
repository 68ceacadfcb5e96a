package configbench

import (
	"bytes"
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/config"
)

// A window is a time in which a version cannot reach a region.
type window struct {
	from   time.Time
	region persimmoncart.Region // empty for all
	to     time.Time
}

// A measure collects what a run shows.
type measure struct {
	accepted  map[string]uint64 // version of each accepted edit
	bytes     []int64           // sent by each slot
	conflicts int
	delays    []time.Duration
	minute    []int64 // sent by each slot in the current minute
	peak      int64   // highest bytes of a slot in one minute
	refused   map[string]bool
	reverts   int
	windows   []window
	world     *world
}

// sent counts bytes sent by a slot.
func (m *measure) sent(slot, bytes int) {
	m.bytes[slot] += int64(bytes)
	m.minute[slot] += int64(bytes)
}

// endMinute starts a new minute.
func (m *measure) endMinute() {
	for i := range m.minute {
		m.peak = max(m.peak, m.minute[i])
		m.minute[i] = 0
	}
}

// installed notes that a node has a version in force.
func (m *measure) installed(n *node, version uint64) {
	if version < n.version {
		m.reverts++
	}
	first := n.version + 1
	if n.version == 0 {
		first = version // a new instance takes one full copy
	}
	n.version = version
	now := m.world.scheduler.Now()
	for v := first; v <= version; v++ {
		m.delays = append(m.delays, m.delay(n, v, now))
	}
}

// delay returns the time that a version took to a node, without the time in
// which the store was down or the node's region had no path.
func (m *measure) delay(n *node, version uint64, now time.Time) time.Duration {
	from := m.world.platform.commits[version]
	if n.boot.After(from) {
		from = n.boot
	}
	for _, w := range m.windows {
		hit := w.region == "" || w.region == n.self.Region
		if hit && w.from.Before(now) && w.to.After(from) {
			from = w.to
		}
	}
	return max(0, now.Sub(from))
}

// finish adds the delays of versions that never arrived.
func (m *measure) finish() {
	now := m.world.scheduler.Now()
	for _, n := range m.world.nodes {
		for v := n.version + 1; v <= m.world.platform.version; v++ {
			m.delays = append(m.delays, m.delay(n, v, now))
		}
	}
}

// quantile returns a quantile of the delays.
func (m *measure) quantile(q float64) time.Duration {
	if len(m.delays) == 0 {
		return 0
	}
	s := slices.Clone(m.delays)
	slices.Sort(s)
	return s[min(int(q*float64(len(s))), len(s)-1)]
}

// lost compares the store's history and each node's state with a naive replay.
// It returns the number of accepted edits that are not in force exactly once, of
// refused ones that are, and of changes that overwrote unseen content.
func (m *measure) lost(ctx context.Context) (int, error) {
	a := &config.Archive{Store: m.world.platform.memory}
	h, err := a.Head(ctx)
	if err != nil {
		return 0, err
	}
	sets, err := a.History(ctx, h, 0, int(h.Version))
	if err != nil {
		return 0, err
	}
	slices.Reverse(sets)
	lost := 0
	seen := map[string]uint64{}
	naive := map[string][]byte{}
	for _, s := range sets {
		if _, twice := seen[s.ID]; twice || m.refused[s.ID] {
			lost++
		}
		seen[s.ID] = s.Version
		for _, c := range s.Changes {
			if !bytes.Equal(naive[c.Key], c.Before) {
				lost++ // overwrote content that its author had not seen
			}
			if c.After == nil {
				delete(naive, c.Key)
			} else {
				naive[c.Key] = c.After
			}
		}
	}
	for id, version := range m.accepted {
		if seen[id] != version {
			lost++
		}
	}
	for _, n := range m.world.nodes {
		state := n.distributor.Copy().State
		if len(state.Keys()) != len(naive) {
			lost++
		}
		for k, v := range naive {
			if !bytes.Equal(state.Get(k), v) {
				lost++
			}
		}
	}
	return lost, nil
}

// busiest returns the mean and the highest of the slots' bytes a second.
func (m *measure) busiest(elapsed time.Duration) (mean, high float64) {
	for _, b := range m.bytes {
		mean += float64(b) / float64(len(m.bytes)) / elapsed.Seconds()
	}
	return mean, float64(slices.MaxFunc(m.bytes, cmp.Compare)) / elapsed.Seconds()
}
