package admission_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/admission"
)

// start is the time at which the tests begin.
var start = time.Unix(100, 0)

// newEntry returns a request that arrives at now and can be in time for half a second.
func newEntry(now time.Time, priority int, cost float64) *admission.Entry {
	return &admission.Entry{
		Arrived: now, Cost: cost, Draw: 1, LatestStart: now.Add(700 * time.Millisecond), Priority: priority, TargetStart: now.Add(500 * time.Millisecond),
	}
}

// observe records n requests at now without room.
func observe(q *admission.Queue, now time.Time, n int) {
	for range n {
		q.Observe(now, false)
	}
}

// naiveNext returns the request that goes first by the order of policy.Waitlist, which
// Queue replaces.
func naiveNext(now time.Time, entries []*admission.Entry) *admission.Entry {
	var inTime, late []*admission.Entry
	for _, e := range entries {
		if now.After(e.TargetStart) {
			late = append(late, e)
		} else {
			inTime = append(inTime, e)
		}
	}
	if len(inTime) > 0 {
		slices.SortStableFunc(inTime, func(a, b *admission.Entry) int { return b.Arrived.Compare(a.Arrived) })
		return inTime[0]
	}
	if len(late) == 0 {
		return nil
	}
	slices.SortStableFunc(late, func(a, b *admission.Entry) int { return a.Arrived.Compare(b.Arrived) })
	return late[0]
}

// Load: requests of any age, priority and cost that come and go in any order. Guards
// against a queue that is not Weighted and orders or limits requests in another way than
// before.
func TestQueueNotWeighted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q admission.Queue
		var entries []*admission.Entry
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			q.Observe(now, rapid.Bool().Draw(t, "room"))
			if len(entries) > 0 && rapid.IntRange(0, 2).Draw(t, "op") == 0 {
				n := rapid.IntRange(0, len(entries)-1).Draw(t, "leaves")
				q.Remove(entries[n])
				q.Leave(entries[n], rapid.Bool().Draw(t, "served"))
				entries = slices.Delete(entries, n, n+1)
			} else {
				e := newEntry(now, rapid.IntRange(0, 3).Draw(t, "priority"), rapid.Float64Range(0, 100).Draw(t, "cost"))
				q.Enter(e)
				q.Add(e)
				entries = append(entries, e)
			}
			for _, e := range entries {
				want := 4000
				if now.After(e.TargetStart) {
					want = 8000
				}
				assert.Equal(t, q.RequiredFreeTokens(now, e, 4000), want)
				assert.Assert(t, !q.Hopeless(now, e) && q.Reserved(now, e) == 0 && q.Tries(now, e) == math.MaxInt)
			}
			assert.Equal(t, q.Len(), len(entries))
			assert.Assert(t, q.Next(now) == naiveNext(now, entries))
		}
	})
}

// Load: twice the capacity. Guards against an overload in which every slot goes to a
// request that is already late: serving in the order of arrival leaves all of them late.
func TestQueueOverload(t *testing.T) {
	const (
		interval = 20 * time.Millisecond // between arrivals
		slotFree = 40 * time.Millisecond // between free slots
		length   = 4 * time.Second
	)
	for _, weighted := range []bool{false, true} {
		q := admission.Queue{Weighted: weighted}
		served, late := 0, 0
		for now := start; now.Before(start.Add(length)); now = now.Add(interval) {
			e := newEntry(now, 0, 1)
			q.Enter(e)
			q.Add(e)
			if now.Sub(start)%slotFree != 0 {
				continue
			}
			w := q.Next(now)
			q.Remove(w)
			q.Leave(w, true)
			served++
			if w.Late(now) {
				late++
			}
		}
		assert.Equal(t, late, 0, "late requests of %d served, weighted %t", served, weighted)
	}
}

// Load: requests of several priorities, of which some are late. Guards against a request
// that goes before a more urgent one of the same lateness, and against a late one that
// goes before one that can be in time.
func TestQueueUrgentFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := admission.Queue{Weighted: true}
		now := start.Add(time.Second)
		best := math.MaxInt
		for range rapid.IntRange(1, 20).Draw(t, "requests") {
			e := newEntry(now.Add(-time.Duration(rapid.IntRange(0, 600).Draw(t, "age"))*time.Millisecond), rapid.IntRange(0, 5).Draw(t, "priority"), 1)
			e.Account = persimmoncart.AccountID(rapid.StringMatching("[a-c]").Draw(t, "account"))
			q.Enter(e)
			q.Add(e)
			rank := e.Priority
			if e.Late(now) {
				rank += 100
			}
			best = min(best, rank)
		}
		next := q.Next(now)
		assert.Equal(t, next.Priority, best%100)
		assert.Equal(t, next.Late(now), best >= 100)
	})
}

// Load: an engine has room again while several requests wait, of which the first is too
// large for it. Guards against a first request that takes the turns of all others, and
// against an order of turns other than that of the queue.
func TestRoundOfTurns(t *testing.T) {
	const count = 5
	q := admission.Queue{Weighted: true}
	for n := range count {
		e := newEntry(start, (n*3)%count, 1)
		q.Enter(e)
		q.Add(e)
	}
	for range 2 {
		q.StartRound()
		for priority := range count {
			e := q.Next(start)
			assert.Equal(t, e.Priority, priority)
			assert.Assert(t, q.HadTurn(e))
		}
		assert.Assert(t, q.Next(start) == nil)
	}
}

// Load: full pressure, with pools whose requests have one priority, whichever it is, and
// pools with a few urgent ones. Guards against a pool without urgent requests that keeps
// engines for some or refuses none, and against urgent ones that get no precedence.
func TestUrgencyIsRelative(t *testing.T) {
	for _, c := range []struct {
		name             string
		ordinary, urgent int     // priorities
		share            float64 // of urgent requests
		want             bool    // the urgent ones have precedence
	}{
		{name: "all of priority 0", ordinary: 0, urgent: 0, share: 0.08},
		{name: "all of priority 7", ordinary: 7, urgent: 7, share: 0.08},
		{name: "few urgent routes", ordinary: 1, urgent: 0, share: 0.08, want: true},
		{name: "few urgent accounts", ordinary: 7, urgent: 3, share: 0.08, want: true},
		{name: "most are urgent", ordinary: 1, urgent: 0, share: 0.92},
		{name: "few of a far lower priority", ordinary: 29, urgent: 3, share: 0.92},
	} {
		q := admission.Queue{Weighted: true}
		random := rand.New(rand.NewPCG(1, 1))
		observe(&q, start, 100)
		refused := 0
		for n := range 600 {
			priority := c.ordinary
			urgent := random.Float64() < c.share
			if urgent {
				priority = c.urgent
			}
			e := newEntry(start, priority, math.Exp(random.NormFloat64()))
			q.Enter(e)
			if n < 200 {
				continue // the mean priority is not known yet
			}
			want := urgent && c.want
			assert.Equal(t, e.Urgent(), want, c.name)
			assert.Equal(t, q.Reserved(start, e) > 0, c.want && !want, c.name)
			assert.Equal(t, q.Tries(start, e) > 12, want, c.name)
			if q.Hopeless(start, e) {
				assert.Assert(t, !want, c.name)
				refused++
			}
		}
		assert.Assert(t, refused > 0, c.name)
	}
}

// Load: a backlog of two accounts of equal priority, the first of which sends ten times
// the requests of the other and later as many, and a third that asks for less than its
// share; room for one request a tick. Guards against an account that gets more because it
// sends more, and against one that is charged for requests that were not served.
func TestFairSharesInBacklog(t *testing.T) {
	const tick, backlog, ticks = 50 * time.Millisecond, 3000, 6000
	accounts := []persimmoncart.AccountID{"first", "other", "third"}
	perTick := map[persimmoncart.AccountID]float64{"first": 10, "other": 1, "third": 0.2}
	q := admission.Queue{Weighted: true}
	random := rand.New(rand.NewPCG(1, 1))
	var waiting []*admission.Entry
	leave := func(e *admission.Entry, served bool) {
		q.Remove(e)
		q.Leave(e, served)
		waiting = slices.DeleteFunc(waiting, func(o *admission.Entry) bool { return o == e })
	}
	served, asked := map[persimmoncart.AccountID]float64{}, map[persimmoncart.AccountID]float64{}
	check := func() {
		assert.Assert(t, served["third"] >= 0.9*asked["third"], "%.0f served of %.0f", served["third"], asked["third"])
		ratio := served["first"] / served["other"]
		assert.Assert(t, ratio > 0.9 && ratio < 1.1, "the first account gets %.2f times the room of the other", ratio)
		clear(asked)
		clear(served)
	}
	now := start
	for n := range ticks {
		if n == backlog {
			check()
			perTick["first"] = perTick["other"]
		}
		now = now.Add(tick)
		for _, account := range accounts {
			for range int(perTick[account] + random.Float64()) {
				e := newEntry(now, 1, math.Exp(0.6*random.NormFloat64()))
				e.Account = account
				q.Enter(e)
				q.Add(e)
				waiting = append(waiting, e)
				asked[account] += e.Cost
			}
		}
		if e := q.Next(now); e != nil {
			served[e.Account] += e.Cost
			leave(e, true)
		}
		for _, e := range slices.Clone(waiting) {
			if !now.Before(e.LatestStart) {
				leave(e, false)
			}
		}
	}
	check()
}

// Load: full pressure and log-normal sizes. Guards against a size that is starved: the
// largest requests are let in at least a quarter as often as all, as the users ask, and
// against a pressure at which no large request is refused.
func TestNoSizeIsStarved(t *testing.T) {
	q := admission.Queue{Weighted: true}
	random := rand.New(rand.NewPCG(1, 1))
	observe(&q, start, 100)
	const requests, large = 20000, 1.645 // 5% of a normal distribution are above it
	all, larges, refused, refusedLarge := 0, 0, 0, 0
	for range requests {
		x := random.NormFloat64()
		e := newEntry(start, 1, math.Exp(x))
		e.Draw = random.Float64()
		q.Enter(e)
		hopeless := q.Hopeless(start, e)
		q.Leave(e, false)
		all++
		if hopeless {
			refused++
		}
		if x > large {
			larges++
			if hopeless {
				refusedLarge++
			}
		}
	}
	letIn, letInLarge := 1-float64(refused)/float64(all), 1-float64(refusedLarge)/float64(larges)
	assert.Assert(t, letInLarge >= letIn/4 && letInLarge < letIn, "%.2f of the large ones, %.2f of all", letInLarge, letIn)
}

// Load: an overload that begins and ends. Guards against requests that are refused at
// once by a burst of a moment, or long after the overload, and against a pressure that
// lasts while there are no requests.
func TestPressure(t *testing.T) {
	var p admission.Pressure
	now := start
	assert.Equal(t, p.Value(now), 0.0)
	p.Observe(now, false)
	assert.Assert(t, p.Value(now) <= 0.5, "after a single request without room: %.2f", p.Value(now))
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		before := p.Value(now)
		p.Observe(now, false)
		assert.Assert(t, p.Value(now) > before)
	}
	assert.Assert(t, p.Value(now) > 0.9, "after 5 s without room: %.2f", p.Value(now))
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		p.Observe(now, true)
	}
	assert.Assert(t, p.Value(now) < 0.2, "after 5 s with room: %.2f", p.Value(now))
	assert.Assert(t, p.Value(now.Add(time.Minute)) < 0.01)
}

// Load: log-normal costs that double on the way. Guards against ranks that differ from the
// places of the costs in the sorted list of recent ones.
func TestCostRanks(t *testing.T) {
	const recent = 60
	var ranks admission.CostRanks
	assert.Equal(t, ranks.Add(0), 0.0)
	random := rand.New(rand.NewPCG(1, 1))
	var costs []float64
	difference, count := 0.0, 0
	for n := range 4000 {
		cost := 1e6 * math.Exp(0.8*random.NormFloat64())
		if n >= 2000 {
			cost *= 2
		}
		rank := ranks.Add(cost)
		assert.Assert(t, rank >= 0 && rank <= 1)
		costs = append(costs, cost)
		if n < recent {
			continue
		}
		sorted := slices.Sorted(slices.Values(costs[n-recent:]))
		below, _ := slices.BinarySearch(sorted, cost)
		difference += math.Abs(rank - float64(below)/recent)
		count++
	}
	assert.Assert(t, difference/float64(count) < 0.1, "%.3f from the sorted costs on average", difference/float64(count))
}

// Load: an overload that ends while twenty late requests wait. Guards against late
// requests that take turn after turn under pressure, against ones that get none once it
// is over, and against an order other than that of arrival.
func TestLateTurnsAfterOverload(t *testing.T) {
	const late, poll = 20, 60 * time.Millisecond
	q := admission.Queue{Weighted: true}
	now := start
	observe(&q, now, 100)
	for n := range late {
		e := newEntry(now.Add(time.Duration(n-1000)*time.Millisecond), 1, 1)
		q.Enter(e)
		q.Add(e)
	}
	var turns []*admission.Entry
	for range 6 {
		now = now.Add(100 * time.Millisecond)
		first := q.Next(now)
		assert.Assert(t, !slices.Contains(turns, first), "a second turn within %v", now.Sub(start))
		turns = append(turns, first)
	}
	now = now.Add(10 * time.Second) // the overload is over
	var last *admission.Entry
	for range late {
		now = now.Add(poll)
		e := q.Next(now)
		assert.Assert(t, e != nil && (last == nil || e.Arrived.After(last.Arrived)))
		q.Remove(e)
		last = e
	}
	assert.Assert(t, q.Next(now) == nil)
}
