package quota

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// AskTimeout is the time after which a holder that has not replied is taken to be
	// silent, and the next one is asked. It is longer than a round trip between regions,
	// and leaves time for a second ask within WaitLimit.
	AskTimeout = 60 * time.Millisecond
	// WaitLimit bounds the time for which a request waits for units.
	WaitLimit = 150 * time.Millisecond
	// batchSpan is the time of expected use that a batch covers.
	batchSpan = 500 * time.Millisecond
	// demandSpan is the time over which expected use is averaged.
	demandSpan = time.Second
	// prefetchShare is the part of a batch below which the next one is asked for, before
	// a request waits for it.
	prefetchShare = 0.25
	// silencePause is the time for which a silent holder is not asked. It doubles with
	// each further silence, up to maxSilencePause.
	silencePause    = time.Second
	maxSilencePause = 8 * time.Second
	// idleLimit is the time after which an account that is not used is forgotten.
	idleLimit = 10 * time.Second
	// maxPending bounds the asks without a reply.
	maxPending = 4096
	// maxWaiters bounds the requests that wait for units of one account.
	maxWaiters = 1024
	// retryJitter is the largest random addition to the time after which a refused caller
	// comes back, as a share of it, and minRetryJitter its least upper bound.
	retryJitter    = 0.25
	minRetryJitter = 50 * time.Millisecond
	// UnavailableRetry is the time after which a caller comes back if no holder answered.
	UnavailableRetry = 200 * time.Millisecond
)

// Outcomes of a Waiter.
const (
	OutcomePending     Outcome = iota
	OutcomeGranted             // Ticket is set
	OutcomeLimited             // the account is over its limit; RetryAfter is set
	OutcomeUnavailable         // no holder answered; RetryAfter is set
)

// An Outcome is the result of waiting for units.
type Outcome uint8

// A Waiter is a request that waits for units.
type Waiter struct {
	Outcome    Outcome
	Ready      chan struct{} // closed by the caller of Instance once Outcome is set; may be nil
	RetryAfter time.Duration
	Ticket     persimmoncart.QuotaTicket

	account *persimmoncart.Account
	until   time.Duration // when it has waited for WaitLimit
	units   int
}

// A pendingAsk is an ask that was sent to another instance.
type pendingAsk struct {
	addr     netip.AddrPort
	limit    Limit
	member   *member
	sent     time.Duration
	state    *accountState
	timedOut bool
	want     int
}

// An asker serves the requests of one instance from batches.
type asker struct {
	accounts    map[uint64]*accountState
	batchLife   time.Duration
	holder      *holder
	incarnation persimmoncart.Incarnation
	nextID      uint64
	pending     map[uint64]*pendingAsk
	random      *rand.Rand
	ring        *Ring
	started     time.Time
}

// take takes units from batches at hand.
func (a *asker) take(now time.Time, s *accountState, account *persimmoncart.Account, units int) (persimmoncart.QuotaTicket, bool) {
	if left := s.drop(now.Sub(a.started)); left < units {
		return persimmoncart.QuotaTicket{}, false
	}
	ticket := persimmoncart.QuotaTicket{Account: account, Units: units}
	for n := range s.lots {
		l := &s.lots[n]
		taken := min(units, l.units)
		l.units -= taken
		ticket.Holder, ticket.Incarnation = l.holder, l.incarnation
		if units -= taken; units == 0 {
			break
		}
	}
	return ticket, true
}

// state returns the state of an account.
func (a *asker) state(key uint64) *accountState {
	s := a.accounts[key]
	if s == nil {
		s = &accountState{key: key}
		a.accounts[key] = s
	}
	return s
}

// advance serves the waiting requests of an account, and asks the next holder if units
// are missing. It returns the asks to send and the waiters that are done.
func (a *asker) advance(now time.Time, s *accountState, limit Limit, e *Effects) {
	for {
		a.expire(now, s, e)
		served := 0
		for _, w := range s.waiters {
			ticket, ok := a.take(now, s, w.account, w.units)
			if !ok {
				break
			}
			w.Outcome, w.Ticket = OutcomeGranted, ticket
			e.Done = append(e.Done, w)
			served++
		}
		s.waiters = slices.Delete(s.waiters, 0, served)
		if len(s.waiters) == 0 || s.asking != 0 {
			return
		}
		next := a.choose(now, s, limit)
		if next == nil {
			a.refuse(now, s, limit, e)
			a.scheduleWake(now.Sub(a.started), s, e)
			return
		}
		if !a.ask(now, s, next, limit, s.waiters[0].units, e) {
			return
		}
	}
}

// ask asks a holder for units. It reports true if the reply is known already, as the
// holder is this instance.
func (a *asker) ask(now time.Time, s *accountState, t *slot, limit Limit, least int, e *Effects) bool {
	at := now.Sub(a.started)
	left, waiting := s.drop(at), 0
	want := int(min(s.demand*batchSpan.Seconds(), math.MaxInt32)) - left
	for _, w := range s.waiters {
		waiting += w.units
	}
	if waiting > 0 {
		least, waiting = least-left, waiting-left // more than is left, or it would have been served
	}
	a.nextID++
	q := Ask{Account: s.key, ID: a.nextID, Least: least, Refused: t.refused, Want: max(want, waiting, least)}
	t.refused = 0
	p := &pendingAsk{addr: t.member.Addr, limit: limit, member: t.member, sent: at, state: s, want: q.Want}
	if t.member.id == a.ring.Self {
		a.apply(at, p, a.holder.ask(now, limit, q))
		return true
	}
	if len(a.pending) >= maxPending {
		t.notBefore = at + minAskAgain
		return true
	}
	a.pending[q.ID] = p
	s.asking = q.ID
	e.Asks = append(e.Asks, Outgoing{Addr: p.addr, Ask: q})
	return false
}

// expire returns what is left of batches that have expired, if it is enough for another
// request.
func (a *asker) expire(now time.Time, s *accountState, e *Effects) {
	at := now.Sub(a.started)
	for n := range s.lots {
		if l := &s.lots[n]; l.expires <= at && l.units > 0 {
			if l.units >= s.units {
				a.giveBack(now, s.key, s.limit, l.holder, l.incarnation, l.units, e)
			}
			l.units = 0
		}
	}
}

// giveBack gives units back to the holder that granted them. They are lost if the message
// is, or the holder's process has ended.
func (a *asker) giveBack(now time.Time, key uint64, limit Limit, id persimmoncart.InstanceID, incarnation persimmoncart.Incarnation, units int, e *Effects) {
	if units <= 0 {
		return
	}
	if id == a.ring.Self {
		if incarnation == a.incarnation {
			a.holder.giveBack(now, limit, key, units)
		}
		return
	}
	n, found := a.ring.find(id)
	if !found {
		return
	}
	a.nextID++
	e.Returns = append(e.Returns, Return{Account: key, Addr: a.ring.members[n].Addr, ID: a.nextID, Incarnation: incarnation, Units: units})
}

// apply applies a reply to the account's state.
func (a *asker) apply(at time.Duration, p *pendingAsk, r Reply) {
	s := p.state
	if expires := p.sent + a.batchLife; r.Granted > 0 && expires > at {
		s.lots = append(s.lots, lot{expires: expires, holder: p.member.id, incarnation: p.member.incarnation, units: r.Granted})
		s.batch = r.Granted
	}
	s.backlog = 0
	for n := range s.slots {
		t := &s.slots[n]
		if t.member.id != p.member.id {
			continue
		}
		t.asked, t.holds, t.left, t.leftAt = true, !r.NotHolder, r.Left, at
		t.notBefore, t.saidNo = at+r.Next, r.Granted == 0 && !r.NotHolder
		t.retryAt = at + r.RetryAfter
	}
}

// choose returns the holder to ask next: of the nearest ones that may have units, that
// which probably has the most. It returns nil if there is none.
func (a *asker) choose(now time.Time, s *accountState, limit Limit) *slot {
	if s.slots == nil || s.generation != a.ring.generation {
		a.setSlots(s)
	}
	at, best, most := now.Sub(a.started), (*slot)(nil), 0.0
	for n := range s.slots {
		t := &s.slots[n]
		if t.notBefore > at || t.member.silentUntil > at {
			continue
		}
		if best != nil && a.distance(t.member) > a.distance(best.member) {
			break
		}
		if left := t.expectedLeft(at, limit, len(s.slots)); best == nil || left > most {
			best, most = t, left
		}
	}
	return best
}

// setSlots sets the holders of an account, the nearest first.
func (a *asker) setSlots(s *accountState) {
	known := s.slots
	s.slots, s.generation = make([]slot, 0, MaxHolders), a.ring.generation
	for _, m := range a.ring.holders(s.key, make([]*member, 0, MaxHolders+1)) {
		t := slot{}
		if n := slices.IndexFunc(known, func(k slot) bool { return k.member.id == m.id && k.member.incarnation == m.incarnation }); n >= 0 {
			t = known[n]
		}
		t.member = m
		s.slots = append(s.slots, t)
	}
	// Instances that see the same records begin with different holders.
	a.random.Shuffle(len(s.slots), func(x, y int) { s.slots[x], s.slots[y] = s.slots[y], s.slots[x] })
	slices.SortStableFunc(s.slots, func(x, y slot) int { return cmp.Compare(a.distance(x.member), a.distance(y.member)) })
}

// distance returns the distance to a member; this instance itself is the nearest.
func (a *asker) distance(m *member) int {
	if m.id == a.ring.Self {
		return -1
	}
	return m.distance
}

// refuse refuses the waiting requests of an account that no holder has units for now. It
// keeps those that will probably get units before they have waited for WaitLimit.
func (a *asker) refuse(now time.Time, s *accountState, limit Limit, e *Effects) {
	at := now.Sub(a.started)
	room, ahead := s.room(at), 0.0
	kept := s.waiters[:0]
	for _, w := range s.waiters {
		if ticket, ok := a.take(now, s, w.account, w.units); ok {
			w.Outcome, w.Ticket = OutcomeGranted, ticket
			e.Done = append(e.Done, w)
			continue
		}
		if room < math.MaxInt64 && room+seconds(ahead/limit.Rate) < w.until {
			ahead += float64(w.units)
			kept = append(kept, w)
			continue
		}
		a.end(at, s, limit, w)
		e.Done = append(e.Done, w)
	}
	clear(s.waiters[len(kept):])
	s.waiters = kept
}

// end refuses one request.
func (a *asker) end(at time.Duration, s *accountState, limit Limit, w *Waiter) {
	w.Outcome, w.RetryAfter = OutcomeUnavailable, UnavailableRetry
	retryAt, limited := time.Duration(math.MaxInt64), false
	for n := range s.slots {
		// A holder that had none for this request may have some again by now.
		if t := &s.slots[n]; t.holds && (t.notBefore > at || t.saidNo && t.leftAt+WaitLimit > at) {
			retryAt, limited = min(retryAt, max(t.notBefore, t.retryAt)), true
		}
	}
	if limited {
		w.Outcome, w.RetryAfter = OutcomeLimited, max(0, retryAt-at)+s.countRefused(at, limit, w.units)
	}
	w.RetryAfter += time.Duration(a.random.Int64N(int64(max(minRetryJitter, time.Duration(retryJitter*float64(w.RetryAfter))))))
}

// scheduleWake asks for a call of Instance.Wake when a holder has room for waiting
// requests.
func (a *asker) scheduleWake(at time.Duration, s *accountState, e *Effects) {
	room := s.room(at)
	if len(s.waiters) == 0 || s.wakeAt > at && s.wakeAt <= room {
		return
	}
	s.wakeAt = room
	e.Wakes = append(e.Wakes, Wake{Account: s.key, After: room - at})
}

// timeout handles that an ask has had no reply for AskTimeout.
func (a *asker) timeout(now time.Time, id uint64, e *Effects) {
	p := a.pending[id]
	if p == nil || p.timedOut {
		return
	}
	p.timedOut = true // the batch of a late reply is still used
	m := p.member
	m.silentUntil = now.Sub(a.started) + min(silencePause<<min(m.silences, 8), maxSilencePause)
	m.silences++
	e.Silent = append(e.Silent, m.id)
	if p.state.asking == id {
		p.state.asking = 0
		a.advance(now, p.state, p.limit, e)
	}
}

// reply handles a reply from an address. It reports false for one that was not asked for.
func (a *asker) reply(now time.Time, from netip.AddrPort, r Reply, e *Effects) bool {
	p := a.pending[r.ID]
	if p == nil || p.addr != from || p.state.key != r.Account || r.Granted < 0 || r.Granted > p.want {
		return false
	}
	delete(a.pending, r.ID)
	p.member.silences, p.member.silentUntil = 0, 0
	if a.apply(now.Sub(a.started), p, r); p.sent+a.batchLife <= now.Sub(a.started) {
		a.giveBack(now, r.Account, p.limit, p.member.id, p.member.incarnation, r.Granted, e)
	}
	if p.state.asking == r.ID {
		p.state.asking = 0
	}
	a.advance(now, p.state, p.limit, e)
	return true
}

// sweep forgets asks whose reply would be too late, and accounts that are not used, and
// returns what is left of their batches.
func (a *asker) sweep(now time.Time, e *Effects) {
	at := now.Sub(a.started)
	for id, p := range a.pending {
		if p.timedOut && p.sent+a.batchLife <= at {
			delete(a.pending, id)
		}
	}
	var left []*accountState
	for key, s := range a.accounts {
		if len(s.lots) > 0 {
			left = append(left, s)
		}
		if s.asking == 0 && len(s.waiters) == 0 && at-s.demandAt > idleLimit {
			delete(a.accounts, key)
		}
	}
	slices.SortFunc(left, func(x, y *accountState) int { return cmp.Compare(x.key, y.key) }) // for the same course in each run of a test
	for _, s := range left {
		a.expire(now, s, e)
	}
}
