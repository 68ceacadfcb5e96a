package quota

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// Effects are what a decision asks its caller to do.
type Effects struct {
	Asks    []Outgoing // to send; Instance.Timeout is called AskTimeout later for each
	Done    []*Waiter  // whose Outcome was set
	Returns []Return   // to send
	Silent  []persimmoncart.InstanceID
	Wakes   []Wake
}

// A Wake asks for a call of Instance.Wake.
type Wake struct {
	Account uint64 // see Key
	After   time.Duration
}

// An Outgoing is an Ask to send to an address.
type Outgoing struct {
	Addr netip.AddrPort
	Ask  Ask
}

// A Return gives units back to the holder that granted them.
type Return struct {
	Account     uint64
	Addr        netip.AddrPort
	ID          uint64                    // higher than that of the returns before it
	Incarnation persimmoncart.Incarnation // of the holder
	Units       int
}

// An Instance decides for one instance. It is not safe for concurrent use.
type Instance struct {
	Incarnation persimmoncart.Incarnation
	Ring        *Ring

	asker  asker
	holder holder
}

// NewInstance returns the decisions of an instance. Batches are valid for batchLife.
func NewInstance(now time.Time, ring *Ring, incarnation persimmoncart.Incarnation, batchLife time.Duration, random *rand.Rand) *Instance {
	i := &Instance{Incarnation: incarnation, Ring: ring, holder: holder{buckets: make(map[uint64]bucket), ring: ring}}
	ring.onShrinking = i.holder.prune
	i.asker = asker{
		accounts: make(map[uint64]*accountState), batchLife: batchLife, holder: &i.holder, incarnation: incarnation, nextID: uint64(random.Uint32()) << 20,
		pending: make(map[uint64]*pendingAsk), random: random, ring: ring, started: now,
	}
	return i
}

// Take takes units of an account from batches at hand. If it reports false, Wait follows at
// once.
// The asks of the effects fetch the next batch.
func (i *Instance) Take(now time.Time, account *persimmoncart.Account, limit Limit, units int, e *Effects) (persimmoncart.QuotaTicket, bool) {
	s := i.asker.state(Key(account.Name))
	s.expect(now.Sub(i.asker.started), units)
	s.limit, s.units = limit, units
	i.asker.expire(now, s, e)
	if len(s.waiters) > 0 {
		return persimmoncart.QuotaTicket{}, false
	}
	ticket, ok := i.asker.take(now, s, account, units)
	if !ok {
		return ticket, false
	}
	left := 0
	for _, l := range s.lots {
		left += l.units
	}
	if s.asking == 0 && float64(left) < prefetchShare*float64(s.batch) && s.demand*batchSpan.Seconds() > 2*float64(units) {
		if next := i.asker.choose(now, s, limit); next != nil {
			i.asker.ask(now, s, next, limit, units, e)
		}
	}
	return ticket, true
}

// Wait adds a request that waits for units. Its Outcome may be set at once.
func (i *Instance) Wait(now time.Time, account *persimmoncart.Account, limit Limit, units int, e *Effects) *Waiter {
	w := &Waiter{account: account, units: units, until: now.Sub(i.asker.started) + WaitLimit}
	s := i.asker.state(Key(account.Name))
	if len(s.waiters) >= maxWaiters {
		w.Outcome, w.RetryAfter = OutcomeUnavailable, UnavailableRetry
		return w
	}
	s.waiters = append(s.waiters, w)
	i.asker.advance(now, s, limit, e)
	return w
}

// Cancel ends the wait of a request, and sets its Outcome if it is not set yet.
func (i *Instance) Cancel(now time.Time, w *Waiter) {
	if w.Outcome != OutcomePending {
		return
	}
	s := i.asker.state(Key(w.account.Name))
	if n := slices.Index(s.waiters, w); n >= 0 {
		s.waiters = slices.Delete(s.waiters, n, n+1)
	}
	i.asker.end(now.Sub(i.asker.started), s, s.limit, w)
}

// Wake handles that a holder may have units for the waiting requests of an account.
func (i *Instance) Wake(now time.Time, key uint64, e *Effects) {
	if s := i.asker.accounts[key]; s != nil {
		s.wakeAt = 0
		i.asker.advance(now, s, s.limit, e)
	}
}

// Return gives the units of a ticket back. They may be lost.
func (i *Instance) Return(now time.Time, t persimmoncart.QuotaTicket, limit Limit, e *Effects) {
	i.asker.giveBack(now, Key(t.Account.Name), limit, t.Holder, t.Incarnation, t.Units, e)
}

// Member reports whether an instance of the ring has the address.
func (i *Instance) Member(addr netip.AddrPort) bool { return i.Ring.byAddr[addr] != nil }

// HandleAsk decides about the ask of another instance for an account with the given limit.
func (i *Instance) HandleAsk(now time.Time, from netip.AddrPort, limit Limit, q Ask) Reply {
	if m := i.Ring.byAddr[from]; m != nil {
		m.silentUntil = 0 // it runs; silences stays, as its replies may be lost
	}
	return i.holder.ask(now, limit, q)
}

// HandleReply handles the reply of another instance. It reports false for one that was not
// asked for.
func (i *Instance) HandleReply(now time.Time, from netip.AddrPort, r Reply, e *Effects) bool {
	return i.asker.reply(now, from, r, e)
}

// HandleReturn takes units back that another instance has not used. It reports false for a
// return that was meant for an earlier process or has been handled.
func (i *Instance) HandleReturn(now time.Time, from netip.AddrPort, limit Limit, r Return) bool {
	m := i.Ring.byAddr[from]
	if m == nil || r.Incarnation != i.Incarnation || r.ID <= m.lastReturn {
		return false
	}
	m.lastReturn = r.ID
	i.holder.giveBack(now, limit, r.Account, r.Units)
	return true
}

// Timeout handles that an ask has had no reply for AskTimeout.
func (i *Instance) Timeout(now time.Time, id uint64, e *Effects) { i.asker.timeout(now, id, e) }

// Sweep forgets what is not used any more. It is called about once a second.
func (i *Instance) Sweep(now time.Time, e *Effects) { i.asker.sweep(now, e) }

// Forget drops the buckets of accounts that the function reports true for.
func (i *Instance) Forget(unknown func(key uint64) bool) {
	for key := range i.holder.buckets {
		if unknown(key) {
			delete(i.holder.buckets, key)
		}
	}
}

// Held returns the number of accounts that this instance holds and that were used.
func (i *Instance) Held() int { return len(i.holder.buckets) }
