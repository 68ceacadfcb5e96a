package configbench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/config"
	"github.com/persimmoncart/persimmoncart/internal/peer"
	"github.com/persimmoncart/persimmoncart/internal/rendezvous"
)

// Sizes and delays of section 4 of docs/design.md.
const (
	regionCount  = 10
	centreCount  = 35
	nearLatency  = time.Millisecond
	farLatency   = 12 * time.Millisecond
	farRate      = 30e6 / 8 // bytes a second
	callTimeout  = 2 * time.Second
	gateways     = 2
	joinDelay    = time.Second
	suspectDelay = 3 * time.Second
	forgetDelay  = 30 * time.Second
	startDelay   = 5 * time.Second
)

// A world holds the instances, their view of each other and the network.
type world struct {
	byAddr      map[netip.AddrPort]*node
	centres     []persimmoncart.DataCentre
	cut         map[[2]persimmoncart.Region]bool
	known       []*known // instances that appear in views, in order of their start
	nodes       []*node
	order       int
	random      *rand.Rand
	regions     map[persimmoncart.DataCentre]persimmoncart.Region
	scheduler   *Scheduler
	storeRegion persimmoncart.Region
	platform    *platform
	views       map[persimmoncart.DataCentre][]persimmoncart.Member
	warm        bool // the first start of all instances
	watchPeak   int
	watchReads  int
	measure     *measure
}

// A known is an instance with its state in the views.
type known struct {
	member persimmoncart.Member
	node   *node
}

// A node is one running instance.
type node struct {
	alive       bool
	boot        time.Time
	cancel      context.CancelFunc
	distributor *config.Distributor
	handler     *peer.ConfigHandler
	next        int // next peer to probe
	self        persimmoncart.Instance
	slot        int
	stops       []func()
	version     uint64
	world       *world
}

// newWorld returns the regions and data centres without instances. Fewer than
// 35 nodes use fewer data centres.
func newWorld(scheduler *Scheduler, random *rand.Rand, nodes int) *world {
	w := &world{
		byAddr: map[netip.AddrPort]*node{}, cut: map[[2]persimmoncart.Region]bool{}, random: random,
		regions: map[persimmoncart.DataCentre]persimmoncart.Region{}, scheduler: scheduler, storeRegion: "region-0",
	}
	for i := range min(centreCount, max(3, nodes/8)) {
		c := persimmoncart.DataCentre(fmt.Sprintf("centre-%02d", i))
		w.centres = append(w.centres, c)
		w.regions[c] = persimmoncart.Region(fmt.Sprintf("region-%d", i%regionCount))
	}
	return w
}

// start starts an instance in a slot.
func (w *world) start(slot int) {
	w.order++
	centre := w.centres[slot%len(w.centres)]
	n := &node{
		alive: true, boot: w.scheduler.Now(), slot: slot, world: w,
		self: persimmoncart.Instance{
			Addr:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(w.order >> 16), byte(w.order >> 8), byte(w.order)}), 9000),
			DataCentre: centre, ID: persimmoncart.InstanceID(fmt.Sprintf("n%03d-%d", slot, w.order)),
			Incarnation: persimmoncart.Incarnation(w.order), Region: w.regions[centre],
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.distributor = &config.Distributor{
		Archive: &config.Archive{Store: &store{platform: w.platform, region: n.self.Region}},
		Go:      w.scheduler.Go,
		Log:     zerolog.Nop(),
		Members: n,
		Peers:   &peer.Config{Client: n.client, Self: n.Self},
		Random:  rand.New(rand.NewPCG(w.random.Uint64(), w.random.Uint64())),
		Timer:   w.scheduler,
	}
	n.handler = &peer.ConfigHandler{Server: n.distributor}
	n.distributor.Subscribe(func(s *persimmoncart.Snapshot) { w.measure.installed(n, s.Version) })
	w.nodes[slot] = n
	w.byAddr[n.self.Addr] = n
	w.scheduler.After(time.Duration(w.random.Int64N(int64(time.Second))), func(time.Time) {
		if n.alive {
			n.stops = append(n.stops, w.scheduler.Subscribe(time.Second, func(time.Time) { n.probe() }))
		}
	})
	delay := joinDelay
	if w.warm {
		delay = 0 // the instance list names all instances of a first start
	}
	w.scheduler.After(delay, func(time.Time) {
		if n.alive {
			w.known = append(w.known, &known{member: persimmoncart.Member{Instance: n.self, State: persimmoncart.MemberAlive}, node: n})
			w.views = nil
		}
	})
	w.scheduler.After(time.Duration(w.random.Int64N(int64(time.Second))), func(time.Time) {
		w.scheduler.Go(func() { _ = n.distributor.Run(ctx) }) // ends with the context's error
	})
}

// stop ends an instance; a planned stop is announced, a failure is noticed late.
func (w *world) stop(n *node, planned bool) {
	n.alive = false
	n.cancel()
	for _, f := range n.stops {
		f()
	}
	for _, x := range w.platform.open() {
		if x.store == n.distributor.Archive.Store {
			x.end()
		}
	}
	delete(w.byAddr, n.self.Addr)
	delay := suspectDelay
	if planned {
		delay = 0
	}
	w.scheduler.After(delay, func(time.Time) { w.state(n, persimmoncart.MemberSuspect) })
	w.scheduler.After(forgetDelay, func(time.Time) {
		w.known = slices.DeleteFunc(w.known, func(k *known) bool { return k.node == n })
		w.views = nil
	})
}

// state sets the state of an instance in all views.
func (w *world) state(n *node, s persimmoncart.MemberState) {
	for _, k := range w.known {
		if k.node == n {
			k.member.State = s
		}
	}
	w.views = nil
}

// view returns what the instances of a data centre know: their region, and the
// gateways of other regions' data centres.
func (w *world) view(centre persimmoncart.DataCentre) []persimmoncart.Member {
	if v, found := w.views[centre]; found {
		return v
	}
	cells := map[persimmoncart.DataCentre][]persimmoncart.InstanceID{}
	for _, k := range w.known {
		if k.member.State == persimmoncart.MemberAlive {
			i := k.member.Instance
			cells[i.DataCentre] = append(cells[i.DataCentre], i.ID)
		}
	}
	gate := map[persimmoncart.InstanceID]bool{}
	for c, ids := range cells {
		ranked := rendezvous.Rank("gateway/"+string(c), ids)
		for _, id := range ranked[:min(gateways, len(ranked))] {
			gate[id] = true
		}
	}
	var v []persimmoncart.Member
	for _, k := range w.known {
		if k.member.Instance.Region == w.regions[centre] || gate[k.member.Instance.ID] {
			v = append(v, k.member)
		}
	}
	slices.SortFunc(v, func(a, b persimmoncart.Member) int {
		if a.Instance.ID < b.Instance.ID {
			return -1
		}
		return 1
	})
	if w.views == nil {
		w.views = map[persimmoncart.DataCentre][]persimmoncart.Member{}
	}
	w.views[centre] = v
	return v
}

// Self implements persimmoncart.Members.
func (n *node) Self() persimmoncart.Instance { return n.self }

// Subscribe implements persimmoncart.Members; the distributor polls the view.
func (n *node) Subscribe(func([]persimmoncart.Member)) (stop func()) { return func() {} }

// View implements persimmoncart.Members.
func (n *node) View() []persimmoncart.Member { return n.world.view(n.self.DataCentre) }

// probe exchanges digests with the next cell peer, as membership's probes do.
func (n *node) probe() {
	const bytes = 18 // the digest as a field of the probe
	view := n.View()
	for range view {
		n.next = (n.next + 1) % len(view)
		i := view[n.next].Instance
		if i.DataCentre != n.self.DataCentre || i.ID == n.self.ID {
			continue
		}
		n.world.measure.sent(n.slot, bytes)
		if p := n.world.byAddr[i.Addr]; p != nil {
			n.world.measure.sent(p.slot, bytes)
			p.distributor.Heard(n.self, n.distributor.Digest())
			n.distributor.Heard(p.self, p.distributor.Digest())
		}
		return
	}
}

// reachable reports whether two regions have a path.
func (w *world) reachable(a, b persimmoncart.Region) bool {
	return !w.cut[[2]persimmoncart.Region{a, b}] && !w.cut[[2]persimmoncart.Region{b, a}]
}

// latency returns the time one way between two regions.
func (w *world) latency(a, b persimmoncart.Region) time.Duration {
	if a == b {
		return nearLatency
	}
	return farLatency
}

// noteWatches keeps the highest number of waiting watches of one region.
func (w *world) noteWatches() {
	counts := map[persimmoncart.Region]int{}
	for x := range w.platform.watches {
		counts[x.store.region]++
		w.watchPeak = max(w.watchPeak, counts[x.store.region])
	}
}

// sortedBy returns the keys of m in the order of rank.
func sortedBy[K comparable](m map[K]bool, rank func(K) int) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b K) int { return rank(a) - rank(b) })
	return keys
}
