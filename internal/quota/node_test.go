package quota_test

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/quota"
)

// A heartbeat is the last one that a node knows of an instance.
type heartbeat struct {
	at      time.Time
	version int
}

// A node is one instance, over all its processes.
type node struct {
	addr        netip.AddrPort
	cut         map[*node]bool
	id          persimmoncart.InstanceID
	incarnation persimmoncart.Incarnation
	instance    *quota.Instance // nil while no process runs
	found       bool            // see forward.Heartbeats
	frozen      bool            // reads of the store do not show new changes
	noReads     bool            // of the store
	noWrites    bool
	seen        map[persimmoncart.InstanceID]heartbeat
	tables      map[persimmoncart.AccountID]int // number of limits applied
	accounts    map[persimmoncart.AccountID]*persimmoncart.Account
	version     int
	watched     int       // changes applied
	watchTo     time.Time // changes before it are reported
	world       *world
}

// start starts a process of a node.
func (n *node) start(bootstrap bool) {
	w := n.world
	if n.instance != nil {
		return
	}
	n.incarnation++
	ring := &quota.Ring{Bootstrap: bootstrap, Self: n.id}
	ring.SetJoinDelay(w.joinDelay)
	n.instance = quota.NewInstance(w.clock.Now(), ring, n.incarnation, quota.BatchLife(window), rand.New(rand.NewPCG(w.random.Uint64(), 1)))
	n.instance.OnGrant(w.granted)
	n.found, n.version, n.watched = false, 0, -1
	n.seen, n.accounts = make(map[persimmoncart.InstanceID]heartbeat), make(map[persimmoncart.AccountID]*persimmoncart.Account)
	n.tables = make(map[persimmoncart.AccountID]int)
	for id, changes := range w.limits {
		n.accounts[id], n.tables[id] = changes[len(changes)-1].account, len(changes)
	}
	w.after(n, w.upTo(100*time.Millisecond), n.beat)
	w.after(n, w.upTo(time.Second), n.watch)
	w.after(n, time.Second, n.sweep)
	w.after(n, w.upTo(freshPeriod), n.fresh)
	for _, id := range w.accountIDs() {
		w.after(n, w.upTo(demandPeriod), func(time.Time) { n.demand(id) })
	}
}

// kill ends the process of a node. What its buckets were overdrawn by is forgotten.
func (n *node) kill() {
	if n.instance == nil {
		return
	}
	now := n.world.clock.Now()
	for id, account := range n.accounts {
		limit, _ := quota.LimitOf(account)
		if r := n.world.references[quota.Key(id)]; r != nil {
			r.level += n.instance.Debt(now, limit, quota.Key(id))
		}
	}
	n.instance = nil
}

// beat writes a heartbeat as forward.Heartbeats does.
func (n *node) beat(now time.Time) {
	w, ring := n.world, n.instance.Ring
	if n.noWrites || n.noReads {
		w.after(n, beatRetry/2+w.upTo(beatRetry), n.beat)
		return
	}
	stored := w.records[n.id]
	if stored != nil && n.version == 0 && !n.found {
		n.found = true
		if stored.incarnation != n.incarnation {
			ring.Found(now, &stored.record, w.epoch)
		}
	}
	created := stored == nil
	r := ring.Record(now, quota.Record{Addr: n.addr, Epoch: w.epoch})
	w.version++
	n.version = w.version
	w.put(n.id, &storedRecord{incarnation: n.incarnation, record: r, version: n.version})
	if w.random.IntN(20) == 0 { // the response is lost
		n.version = 0
		w.after(n, beatRetry/2+w.upTo(beatRetry), n.beat)
		return
	}
	w.after(n, w.upTo(200*time.Millisecond), func(acknowledged time.Time) {
		n.found = true
		if ring.Written(now, acknowledged, r, created, w.epoch); ring.MustConfirm() {
			n.list(acknowledged)
			ring.Confirmed(acknowledged)
		}
		pause := beatPeriod/2 + w.upTo(beatPeriod)
		if due, found := ring.Due(acknowledged); found {
			pause = min(pause, max(due, 100*time.Millisecond))
		}
		n.removeExpired(acknowledged)
		w.after(n, pause, n.beat)
	})
}

// removeExpired removes the records of instances without heartbeats.
func (n *node) removeExpired(now time.Time) {
	for _, other := range n.world.nodes {
		seen, found := n.seen[other.id]
		if !found || other == n || now.Sub(seen.at) < expiry || n.noReads || n.noWrites {
			continue
		}
		delete(n.seen, other.id)
		if stored := n.world.records[other.id]; stored != nil && stored.version == seen.version {
			n.world.put(other.id, nil)
			n.instance.Ring.Gone(now, other.id)
		}
	}
}

// list lists all records.
func (n *node) list(now time.Time) {
	for _, other := range n.world.nodes {
		if stored := n.world.records[other.id]; stored != nil {
			n.observe(now, other.id, stored)
		}
	}
	n.instance.Ring.Listed(now)
}

// observe handles a record.
func (n *node) observe(now time.Time, id persimmoncart.InstanceID, stored *storedRecord) {
	n.seen[id] = heartbeat{at: now, version: stored.version}
	n.instance.Ring.Observe(now, id, stored.incarnation, &stored.record)
}

// watch reads the changes of records, with a lag after a first list.
func (n *node) watch(now time.Time) {
	w := n.world
	w.after(n, watchPeriod, n.watch)
	switch {
	case n.noReads:
		for id, seen := range n.seen {
			n.seen[id] = heartbeat{at: now, version: seen.version} // as forward.Heartbeats.SetStoreReachable does
		}
		return
	case n.watched < 0:
		n.list(now)
		n.watched = len(w.changes)
		return
	}
	if !n.frozen {
		n.watchTo = now.Add(-w.upTo(watchLag))
	}
	until := n.watchTo
	for ; n.watched < len(w.changes) && w.changes[n.watched].at.Before(until); n.watched++ {
		c := w.changes[n.watched]
		switch {
		case c.stored != nil:
			n.observe(now, c.id, c.stored)
		case c.id == n.id:
			n.instance.Ring.Lost()
			n.instance.Ring.Gone(now, c.id)
		default:
			delete(n.seen, c.id)
			n.instance.Ring.Gone(now, c.id)
		}
	}
	n.instance.Ring.Contact(now, persimmoncart.Version(n.watched))
}

// fresh reads the version of the store without a lag, as the watch of the configuration
// does.
func (n *node) fresh(now time.Time) {
	if !n.noReads {
		n.instance.Ring.Fresh(now, persimmoncart.Version(len(n.world.changes)))
	}
	n.world.after(n, freshPeriod, n.fresh)
}

// sweep is the periodic call of Instance.Sweep.
func (n *node) sweep(now time.Time) {
	var e quota.Effects
	n.instance.Sweep(now, &e)
	n.perform(&e)
	n.world.after(n, time.Second, n.sweep)
}

// demand makes a request of an account, and the next one later.
func (n *node) demand(id persimmoncart.AccountID) {
	w, now := n.world, n.world.clock.Now()
	w.after(n, w.upTo(2*demandPeriod), func(time.Time) { n.demand(id) })
	account := n.accounts[id]
	limit, limited := quota.LimitOf(account)
	if !limited {
		return
	}
	for range 1 + w.random.IntN(3) {
		n.request(now, account, limit, 1+w.random.IntN(w.units))
	}
}

// request makes one request.
func (n *node) request(now time.Time, account *persimmoncart.Account, limit quota.Limit, units int) {
	w := n.world
	var e quota.Effects
	ticket, ok := n.instance.Take(now, account, limit, units, &e)
	n.perform(&e)
	if ok {
		n.use(now, ticket)
		return
	}
	e = quota.Effects{}
	waiter := n.instance.Wait(now, account, limit, units, &e)
	n.perform(&e)
	w.after(n, quota.WaitLimit, func(now time.Time) { n.instance.Cancel(now, waiter) })
}

// use spends the units of a ticket or, at times, gives them back.
func (n *node) use(now time.Time, ticket persimmoncart.QuotaTicket) {
	w := n.world
	if w.calm || w.random.IntN(10) > 0 {
		id := ticket.Account.Name
		w.spends[id] = append(w.spends[id], spend{at: now, units: ticket.Units})
		return
	}
	w.after(n, w.upTo(time.Second), func(now time.Time) {
		limit, _ := quota.LimitOf(ticket.Account)
		var e quota.Effects
		n.instance.Return(now, ticket, limit, &e)
		n.perform(&e)
	})
}

// perform sends the datagrams of a decision.
func (n *node) perform(e *quota.Effects) {
	w := n.world
	for _, done := range e.Done {
		if done.Outcome == quota.OutcomeGranted {
			n.use(w.clock.Now(), done.Ticket)
		} else {
			w.waits++
		}
	}
	for _, q := range e.Asks {
		w.send(n, q.Addr, func(now time.Time, to *node) {
			limit, limited := quota.LimitOf(to.account(q.Ask.Account))
			if !limited || !to.instance.Member(n.addr) {
				return
			}
			reply := to.instance.HandleAsk(now, n.addr, limit, q.Ask)
			w.send(to, n.addr, func(now time.Time, back *node) {
				var e quota.Effects
				back.instance.HandleReply(now, to.addr, reply, &e)
				back.perform(&e)
			})
		})
		w.after(n, quota.AskTimeout, func(now time.Time) {
			var e quota.Effects
			n.instance.Timeout(now, q.Ask.ID, &e)
			n.perform(&e)
		})
	}
	for _, wake := range e.Wakes {
		w.after(n, wake.After, func(now time.Time) {
			var e quota.Effects
			n.instance.Wake(now, wake.Account, &e)
			n.perform(&e)
		})
	}
	for _, r := range e.Returns {
		w.send(n, r.Addr, func(now time.Time, to *node) {
			if limit, limited := quota.LimitOf(to.account(r.Account)); limited {
				to.instance.HandleReturn(now, n.addr, limit, r)
			}
		})
	}
}

// account returns the account with a key.
func (n *node) account(key uint64) *persimmoncart.Account {
	for id, a := range n.accounts {
		if quota.Key(id) == key {
			return a
		}
	}
	return &persimmoncart.Account{}
}
