package quota_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/quota"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

const (
	window = 8 * time.Second
	// tableLag bounds the time until an instance applies a new configuration.
	tableLag = 4 * time.Second
	// watchLag bounds how late a watch reports a change of a record, and watchPeriod is
	// the time between its responses.
	watchLag    = 5 * time.Second
	watchPeriod = 500 * time.Millisecond
	// freshPeriod is the time between two reads of the store that do not lag.
	freshPeriod = 3 * time.Second
	// beatPeriod, beatRetry and expiry are those of forward.Heartbeats.
	beatPeriod = time.Minute
	beatRetry  = 2 * time.Second
	expiry     = 4 * beatPeriod
	// demandPeriod is the time between two requests of each account at an instance.
	demandPeriod = 250 * time.Millisecond
)

// A storedRecord is a record in the world's store.
type storedRecord struct {
	incarnation persimmoncart.Incarnation
	record      quota.Record
	version     int
}

// A storeChange is a change of a record; nil if it was removed.
type storeChange struct {
	at     time.Time
	id     persimmoncart.InstanceID
	stored *storedRecord
}

// A spend is a use of units.
type spend struct {
	at    time.Time
	units int
}

// A limitChange is a limit of an account that was in force from a time.
type limitChange struct {
	account *persimmoncart.Account
	at      time.Time
}

// A world simulates instances with a store and a network, in virtual time. It breaks the
// rules of none of them, and takes every freedom that they leave.
type world struct {
	calm       bool // every request runs, and no datagram is delivered twice
	clock      *timer.Virtual
	changes    []storeChange
	epoch      uint64
	joinDelay  time.Duration // of the rings, if not zero
	latency    time.Duration // longest of a datagram
	limits     map[persimmoncart.AccountID][]limitChange
	lossShare  float64
	nodes      []*node
	random     *rand.Rand
	records    map[persimmoncart.InstanceID]*storedRecord
	references map[uint64]*reference // by quota.Key
	spends     map[persimmoncart.AccountID][]spend
	units      int // largest request
	version    int
	violation  string // the first one of the grants; empty for none
	waits      int    // requests that were refused
}

// newWorld returns a world without instances.
func newWorld(seed uint64) *world {
	return &world{
		clock: timer.NewVirtual(time.Unix(1_000_000, 0)), limits: make(map[persimmoncart.AccountID][]limitChange), random: rand.New(rand.NewPCG(seed, 1)),
		references: make(map[uint64]*reference), records: make(map[persimmoncart.InstanceID]*storedRecord), spends: make(map[persimmoncart.AccountID][]spend),
	}
}

// A reference is one bucket with the whole limit of an account.
type reference struct {
	level   float64
	updated time.Time
}

// granted counts what all holders grant of an account. Together they grant no more than
// one holder of the whole limit would, in any span of time.
func (w *world) granted(now time.Time, key uint64, units int) {
	for _, id := range w.accountIDs() {
		if quota.Key(id) != key || len(w.limits[id]) > 1 {
			continue // a limit that changes has no reference
		}
		limit, _ := quota.LimitOf(w.limits[id][0].account)
		excess, _ := quota.Excess(limit, w.units)
		capacity := limit.Burst + excess
		r := w.references[key]
		if r == nil {
			r = &reference{level: capacity, updated: now}
			w.references[key] = r
		}
		r.level = min(capacity, r.level+limit.Rate*now.Sub(r.updated).Seconds())
		r.level = min(capacity, r.level-float64(units))
		r.updated = now
		if r.level < -0.01 && w.violation == "" {
			w.violation = fmt.Sprintf("%.0f units of account %s more than its limit were granted at %s", -r.level, id, now.Sub(time.Unix(1_000_000, 0)))
		}
	}
}

// after calls f after a time if the process of a node still runs then.
func (w *world) after(n *node, d time.Duration, f func(now time.Time)) {
	incarnation := n.incarnation
	w.clock.After(d, func(now time.Time) {
		if n.instance != nil && n.incarnation == incarnation {
			f(now)
		}
	})
}

// upTo returns a random duration.
func (w *world) upTo(d time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(d) + 1))
}

// addNode adds an instance without a process.
func (w *world) addNode() *node {
	n := &node{
		addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(len(w.nodes) + 1)}), 7000), cut: make(map[*node]bool),
		id: persimmoncart.InstanceID(fmt.Sprintf("edge-%d", len(w.nodes))), world: w,
	}
	w.nodes = append(w.nodes, n)
	return n
}

// accountIDs returns the accounts in a fixed order.
func (w *world) accountIDs() []persimmoncart.AccountID {
	return slices.Sorted(maps.Keys(w.limits))
}

// put writes a record; nil removes it.
func (w *world) put(id persimmoncart.InstanceID, stored *storedRecord) {
	w.changes = append(w.changes, storeChange{at: w.clock.Now(), id: id, stored: stored})
	if stored == nil {
		delete(w.records, id)
		return
	}
	w.records[id] = stored
}

// send delivers a datagram late, twice or not at all.
func (w *world) send(from *node, addr netip.AddrPort, deliver func(now time.Time, to *node)) {
	for _, to := range w.nodes {
		if to.addr != addr || from.cut[to] || w.random.Float64() < w.lossShare {
			continue
		}
		copies := 1
		if !w.calm && w.random.IntN(20) == 0 {
			copies = 2
		}
		for range copies {
			w.clock.After(w.upTo(w.latency), func(now time.Time) {
				if to.instance != nil {
					deliver(now, to)
				}
			})
		}
	}
}

// setLimit changes the limit of an account. The instances apply it within tableLag.
func (w *world) setLimit(a *persimmoncart.Account) {
	w.limits[a.Name] = append(w.limits[a.Name], limitChange{account: a, at: w.clock.Now()})
	version := len(w.limits[a.Name])
	for _, n := range w.nodes {
		w.after(n, w.upTo(tableLag), func(time.Time) {
			if version > n.tables[a.Name] {
				n.tables[a.Name] = version
				n.accounts[a.Name] = a
			}
		})
	}
}
