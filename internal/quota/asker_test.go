package quota_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/quota"
)

// limited is the account of the tests of one instance's requests.
var limited = &persimmoncart.Account{Name: "limited", TokenBurst: 600_000, TokenRate: 60_000}

// An askerFixture is one instance that holds no limits, with six holders: 1 and 2 in its
// data centre, 3 in its region, 4 to 6 in another one.
type askerFixture struct {
	instance *quota.Instance
	limit    quota.Limit
	now      time.Time
}

// newAskerFixture returns an askerFixture.
func newAskerFixture() *askerFixture {
	f := &askerFixture{instance: newHoldingInstance(), now: at(0)}
	ring := f.instance.Ring
	ring.Gone(at(0), "self")
	ring.Gone(at(0), "asker")
	ring.Distance = func(d persimmoncart.DataCentre) int {
		return map[persimmoncart.DataCentre]int{"d1": 0, "d2": 1, "d3": 2}[d]
	}
	for n, d := range []persimmoncart.DataCentre{"d1", "d1", "d2", "d3", "d3", "d3"} {
		r := recordOf(n+1, true)
		r.DataCentre = d
		ring.Observe(at(0), persimmoncart.InstanceID(holderName(n+1)), 1, r)
	}
	f.limit, _ = quota.LimitOf(limited)
	return f
}

// holderName returns the name of a holder.
func holderName(n int) string { return string(rune('0' + n)) }

// take makes a request, and returns the effects.
func (f *askerFixture) take(units int) (w *quota.Waiter, e *quota.Effects) {
	e = &quota.Effects{}
	if ticket, ok := f.instance.Take(f.now, limited, f.limit, units, e); ok {
		return &quota.Waiter{Outcome: quota.OutcomeGranted, Ticket: ticket}, e
	}
	return f.instance.Wait(f.now, limited, f.limit, units, e), e
}

// holder returns the number of the holder with an address.
func holder(addr netip.AddrPort) int { return int(addr.Addr().As4()[3]) }

// reply answers the only ask of the effects, and returns those of the reply.
func (f *askerFixture) reply(t *testing.T, e *quota.Effects, r quota.Reply) *quota.Effects {
	t.Helper()
	assert.Equal(t, len(e.Asks), 1)
	r.Account, r.ID = e.Asks[0].Ask.Account, e.Asks[0].Ask.ID
	next := &quota.Effects{}
	assert.Assert(t, f.instance.HandleReply(f.now, e.Asks[0].Addr, r, next))
	return next
}

// refused is the reply of a holder without units.
var refused = quota.Reply{Next: time.Second, RetryAfter: 3 * time.Second}

// Guards against requests that cross a region although a near holder has units, and
// against holders that are asked again although they have none.
func TestNearHoldersFirst(t *testing.T) {
	f := newAskerFixture()
	w, e := f.take(1000)
	var asked []int
	for range 6 {
		asked = append(asked, holder(e.Asks[0].Addr))
		e = f.reply(t, e, refused)
	}
	near, far := slices.Sorted(slices.Values(asked[:2])), slices.Sorted(slices.Values(asked[3:]))
	assert.DeepEqual(t, near, []int{1, 2})
	assert.Equal(t, asked[2], 3)
	assert.DeepEqual(t, far, []int{4, 5, 6})
	assert.Equal(t, w.Outcome, quota.OutcomeLimited)
	assert.Assert(t, w.RetryAfter >= 3*time.Second && w.RetryAfter <= 4*time.Second, "%s", w.RetryAfter)

	// Now it is known until when: no datagram, and later callers come back later.
	earlier := w.RetryAfter
	for range 100 {
		w, e = f.take(1000)
		assert.Equal(t, len(e.Asks), 0)
		assert.Equal(t, w.Outcome, quota.OutcomeLimited)
	}
	assert.Assert(t, w.RetryAfter > earlier, "%s after %s", w.RetryAfter, earlier)
	f.now = at(1.1)
	w, e = f.take(1000)
	assert.Equal(t, w.Outcome, quota.OutcomePending)
	assert.Equal(t, e.Asks[0].Ask.Refused, 101_000, "the holder does not learn of callers that were refused here")
	f.reply(t, e, quota.Reply{Granted: 1000})
	assert.Equal(t, w.Outcome, quota.OutcomeGranted)
}

// Guards against a request that is refused although a holder has room shortly after.
func TestWaitsForRoom(t *testing.T) {
	f := newAskerFixture()
	w, e := f.take(1000)
	for range 5 {
		e = f.reply(t, e, refused)
	}
	e = f.reply(t, e, quota.Reply{Next: 100 * time.Millisecond, RetryAfter: 100 * time.Millisecond})
	assert.Equal(t, w.Outcome, quota.OutcomePending)
	assert.Equal(t, len(e.Wakes), 1)
	assert.Equal(t, e.Wakes[0].After, 100*time.Millisecond)
	second, _ := f.take(60_000) // which the rate does not give in time beside the first
	assert.Equal(t, second.Outcome, quota.OutcomePending)
	third, _ := f.take(1000)
	assert.Equal(t, third.Outcome, quota.OutcomeLimited)
	f.now = at(0.1)
	e = &quota.Effects{}
	f.instance.Wake(f.now, quota.Key(limited.Name), e)
	f.reply(t, e, quota.Reply{Granted: 1000})
	assert.Equal(t, w.Outcome, quota.OutcomeGranted)
	f.now = at(0.15)
	f.instance.Cancel(f.now, second)
	assert.Equal(t, second.Outcome, quota.OutcomeLimited)
}

// Guards against silent holders that each request waits for, and against requests that are
// let through, or refused as over the limit, while no holder answers.
func TestSilentHolders(t *testing.T) {
	f := newAskerFixture()
	w, e := f.take(1000)
	first := e.Asks[0]
	for n := range 6 {
		assert.Equal(t, len(e.Asks), 1)
		id := e.Asks[0].Ask.ID
		e = &quota.Effects{}
		f.instance.Timeout(f.now, id, e)
		assert.Equal(t, len(e.Silent), 1, "%d", n)
	}
	assert.Equal(t, w.Outcome, quota.OutcomeUnavailable)
	w, e = f.take(1000)
	assert.Equal(t, w.Outcome, quota.OutcomeUnavailable)
	assert.Equal(t, len(e.Asks), 0)

	// The reply of the first one is late, but its batch is still valid.
	assert.Assert(t, f.instance.HandleReply(f.now, first.Addr, quota.Reply{Account: first.Ask.Account, Granted: 1000, ID: first.Ask.ID}, &quota.Effects{}))
	w, _ = f.take(1000)
	assert.Equal(t, w.Outcome, quota.OutcomeGranted)
	_, e = f.take(1000)
	assert.Equal(t, e.Asks[0].Addr, first.Addr, "a holder that answers again is not asked")

	// The others are asked again after a while, which doubles.
	f.settle(t, e, first.Addr)
	for _, pause := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 8 * time.Second} {
		f.now = f.now.Add(pause - time.Millisecond)
		_, e = f.take(1000)
		assert.Equal(t, f.settle(t, e, first.Addr), 0, "%s", pause)
		f.now = f.now.Add(time.Millisecond)
		_, e = f.take(1000)
		assert.Equal(t, f.settle(t, e, first.Addr), 5, "%s", pause)
	}
}

// settle plays the asks of effects to the end. Only the holder with the given address
// answers, and has no units. It returns the number of silent holders.
func (f *askerFixture) settle(t *testing.T, e *quota.Effects, answers netip.AddrPort) (silent int) {
	t.Helper()
	for len(e.Asks) > 0 {
		if e.Asks[0].Addr == answers {
			e = f.reply(t, e, refused)
			continue
		}
		id := e.Asks[0].Ask.ID
		e = &quota.Effects{}
		f.instance.Timeout(f.now, id, e)
		silent += len(e.Silent)
	}
	return silent
}

// Guards against units that are used twice, and against several questions at once.
func TestBatch(t *testing.T) {
	f := newAskerFixture()
	first, e := f.take(1000)
	second, more := f.take(1000)
	assert.Equal(t, len(more.Asks), 0)
	e = f.reply(t, e, quota.Reply{Granted: 1000, Left: 99_000})
	assert.Equal(t, first.Outcome, quota.OutcomeGranted)
	assert.Equal(t, second.Outcome, quota.OutcomePending)
	f.reply(t, e, quota.Reply{Granted: 1000, Left: 99_000})
	assert.Equal(t, second.Outcome, quota.OutcomeGranted)
}

// Guards against a batch that covers one request only at an instance with many, and
// against one that is used after its time.
func TestBatchCoversExpectedUse(t *testing.T) {
	f := newAskerFixture()
	for n := range 40 {
		f.now = at(float64(n) * 0.05)
		w, e := f.take(1000)
		if w.Outcome == quota.OutcomePending {
			want := e.Asks[0].Ask.Want
			f.reply(t, e, quota.Reply{Granted: want})
			assert.Equal(t, w.Outcome, quota.OutcomeGranted)
		} else if len(e.Asks) > 0 { // ahead of need
			f.reply(t, e, quota.Reply{Granted: e.Asks[0].Ask.Want})
		}
	}
	w, _ := f.take(3000)
	assert.Equal(t, w.Outcome, quota.OutcomeGranted)
	f.now = f.now.Add(720 * time.Millisecond)
	w, e := f.take(1000)
	assert.Equal(t, w.Outcome, quota.OutcomePending)
	assert.Assert(t, e.Asks[0].Ask.Want >= 5000, "%d", e.Asks[0].Ask.Want)
}

// Guards against replies of another instance, to another question, or with more than was
// asked for.
func TestForeignReplies(t *testing.T) {
	f := newAskerFixture()
	w, e := f.take(1000)
	q := e.Asks[0]
	good := quota.Reply{Account: q.Ask.Account, Granted: 1000, ID: q.Ask.ID}
	other := recordOf(7, true).Addr
	for name, c := range map[string]struct {
		addr  netip.AddrPort
		reply quota.Reply
	}{
		"account":  {q.Addr, quota.Reply{Account: 1, Granted: 1000, ID: q.Ask.ID}},
		"id":       {q.Addr, quota.Reply{Account: q.Ask.Account, Granted: 1000, ID: q.Ask.ID + 1}},
		"negative": {q.Addr, quota.Reply{Account: q.Ask.Account, Granted: -1, ID: q.Ask.ID}},
		"sender":   {other, good},
		"too many": {q.Addr, quota.Reply{Account: q.Ask.Account, Granted: 1001, ID: q.Ask.ID}},
	} {
		assert.Assert(t, !f.instance.HandleReply(f.now, c.addr, c.reply, &quota.Effects{}), name)
		assert.Equal(t, w.Outcome, quota.OutcomePending, name)
	}
	assert.Assert(t, f.instance.HandleReply(f.now, q.Addr, good, &quota.Effects{}))
	assert.Assert(t, !f.instance.HandleReply(f.now, q.Addr, good, &quota.Effects{}), "a reply was handled twice")
	assert.Equal(t, w.Outcome, quota.OutcomeGranted)
	assert.Equal(t, w.Ticket.Units, 1000)
	assert.Equal(t, holderName(holder(q.Addr)), string(w.Ticket.Holder))
}

// Guards against a return to another instance than the one that granted the units.
func TestReturnGoesToTheHolder(t *testing.T) {
	f := newAskerFixture()
	w, e := f.take(1000)
	f.reply(t, e, quota.Reply{Granted: 1000})
	back := &quota.Effects{}
	f.instance.Return(f.now, w.Ticket, f.limit, back)
	assert.Equal(t, len(back.Returns), 1)
	r := back.Returns[0]
	assert.Equal(t, r.Addr, e.Asks[0].Addr)
	assert.Equal(t, r.Units, 1000)
	assert.Equal(t, r.Incarnation, persimmoncart.Incarnation(1))
	f.instance.Ring.Gone(f.now, w.Ticket.Holder)
	back = &quota.Effects{}
	f.instance.Return(f.now, w.Ticket, f.limit, back)
	assert.Equal(t, len(back.Returns), 0)
}
