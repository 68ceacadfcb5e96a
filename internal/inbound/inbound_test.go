package inbound

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/persimmoncart/persimmoncart/internal/timer"
)

const megabyte = 1 << 20

// newBudget returns a Budget of 16 MB.
func newBudget() *Budget { return &Budget{Bytes: 16 * megabyte, Timer: &timer.System{}} }

// newHold returns a Hold that counts in cuts how often it is cut.
func newHold(b *Budget, cuts *int) *Hold { return b.Register(func() { *cuts++ }) }

// Guards against a large body that is refused on an idle machine, and against large bodies
// that leave no room for small ones.
func TestBudgetShares(t *testing.T) {
	b, cuts := newBudget(), 0
	large, small := newHold(b, &cuts), newHold(b, &cuts)
	assert.Assert(t, large.Take(KindBody, 11*megabyte))
	assert.Assert(t, !large.Take(KindBody, megabyte))
	assert.Assert(t, !small.Take(KindBody, megabyte))
	assert.Assert(t, small.Take(KindBody, smallBody))
	assert.Assert(t, small.Take(KindHead, 3*megabyte))
	assert.Assert(t, !small.Take(KindHead, megabyte))
	assert.Assert(t, small.Take(KindCheck, megabyte))
	large.Close()
	small.Close()
	assert.Equal(t, b.held, bytesByKind{})
	assert.Equal(t, cuts, 0)
}

// Guards against idle connections that take the whole budget.
func TestBudgetOwnShares(t *testing.T) {
	b, cuts := newBudget(), 0
	h := newHold(b, &cuts)
	assert.Assert(t, h.Take(KindConnection, 8*megabyte))
	assert.Assert(t, !h.Take(KindConnection, 1))
	assert.Assert(t, h.Take(KindBody, 3*megabyte))
}

// Guards against a hold that is cut although it does not wait for its client, or has not
// waited for long, and against small ones that are cut before large ones.
func TestBudgetCutsLargestIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBudget()
		var cuts [4]int
		var holds [4]*Hold
		for n, size := range []int64{5, 1, 4, 1} {
			holds[n] = newHold(b, &cuts[n])
			assert.Assert(t, holds[n].Take(KindBody, size*megabyte))
		}
		holds[1].Wait(time.Now())
		holds[2].Wait(time.Now())
		taker := b.Register(func() {})
		assert.Assert(t, !taker.Take(KindBody, 2*megabyte), "nobody has waited for long")
		time.Sleep(idleGrace)
		holds[3].Wait(time.Now())
		assert.Assert(t, taker.Take(KindBody, megabyte))
		assert.Equal(t, cuts, [4]int{0, 0, 1, 0})
		assert.Assert(t, !holds[2].Take(KindBody, 1), "a hold that is cut takes nothing more")
		// Until the cut hold gives its bytes back, only an eighth of the bound counts.
		assert.Assert(t, taker.Take(KindBody, 1))
		assert.Assert(t, !taker.Take(KindBody, 4*megabyte))
		holds[2].Close()
		assert.Assert(t, taker.Take(KindBody, 2*megabyte))
	})
}

// Guards against holds that are cut in vain.
func TestBudgetCutsNoneInVain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, cuts := newBudget(), 0
		working, idle := newHold(b, &cuts), newHold(b, &cuts)
		assert.Assert(t, working.Take(KindBody, 10*megabyte))
		assert.Assert(t, idle.Take(KindBody, smallBody))
		idle.Wait(time.Now())
		time.Sleep(idleGrace)
		assert.Assert(t, !b.Register(func() {}).Take(KindBody, 4*megabyte))
		assert.Equal(t, cuts, 0)
		assert.Assert(t, idle.Take(KindBody, 1))
	})
}

// Guards against bodies without a bound where the machine's memory is unknown, and against
// bounds there that have not been before.
func TestBudgetUnknownMemory(t *testing.T) {
	b, cuts := NewBudget(0, &timer.System{}), 0
	h := newHold(b, &cuts)
	assert.Assert(t, h.Take(KindBody, defaultBodyBytes))
	assert.Assert(t, !h.Take(KindBody, 1))
	assert.Assert(t, h.Take(KindHead, 1<<40))
	assert.Assert(t, h.Take(KindConnection, 1<<40))
	assert.Assert(t, h.Take(KindResponse, 1<<40))
}

// Guards against bytes that are counted twice or never given back, and against more than
// the bound and what is cut.
func TestBudgetProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := timer.NewVirtual(time.Unix(1, 0))
		b := &Budget{Bytes: 1000, Timer: clock}
		var holds []*Hold
		open := make(map[*Hold]bool)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if len(holds) == 0 || rapid.IntRange(0, 9).Draw(t, "new") == 0 {
				h := b.Register(func() {})
				holds, open[h] = append(holds, h), true
			}
			h := rapid.SampledFrom(holds).Draw(t, "hold")
			kind := rapid.SampledFrom(Kinds).Draw(t, "kind")
			n := rapid.Int64Range(0, 400).Draw(t, "bytes")
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0, 1:
				taken := h.Take(kind, n)
				assert.Assert(t, !taken || open[h])
			case 2:
				h.Give(kind, n)
			case 3:
				h.Wait(clock.Now())
			case 4:
				h.Work()
			case 5:
				clock.Advance(idleGrace / 2)
			case 6:
				h.Close()
				open[h] = false
			}
			var sum, cutting bytesByKind
			for _, h := range holds {
				for kind, held := range h.held {
					assert.Assert(t, held >= 0)
					sum[kind] += held
					if h.cut {
						cutting[kind] += held
					}
				}
			}
			assert.Equal(t, sum, b.held)
			assert.Equal(t, cutting, b.cutting)
			assert.Assert(t, sum.total() <= b.Bytes+share(b.Bytes, cutShare))
		}
		for _, h := range holds {
			h.Close()
		}
		assert.Equal(t, b.held, bytesByKind{})
		assert.Equal(t, b.cutting, bytesByKind{})
	})
}
