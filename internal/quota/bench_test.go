package quota_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/quota"
)

// benchAccounts is the number of accounts of the benchmarks.
const benchAccounts = 20_000

// newAccounts returns accounts with limits that benchmarks do not reach.
func newAccounts(count int) []*persimmoncart.Account {
	accounts := make([]*persimmoncart.Account, count)
	for n := range accounts {
		accounts[n] = &persimmoncart.Account{Name: persimmoncart.AccountID(fmt.Sprintf("account-%d", n)), TokenBurst: 1 << 30, TokenRate: 1 << 30}
	}
	return accounts
}

// newLoneInstance returns an instance that holds all accounts alone, with full buckets.
func newLoneInstance() *quota.Instance {
	i := newHoldingInstance()
	i.Ring.Gone(at(0), "asker")
	return i
}

// takeOnce takes units, and gets a batch for them if there is none.
func takeOnce(i *quota.Instance, now time.Time, a *persimmoncart.Account, units int) bool {
	limit, _ := quota.LimitOf(a)
	var e quota.Effects
	if _, ok := i.Take(now, a, limit, units, &e); ok {
		return true
	}
	return i.Wait(now, a, limit, units, &e).Outcome == quota.OutcomeGranted
}

// Guards against memory that is allocated for requests that a batch covers.
func TestTakeDoesNotAllocate(t *testing.T) {
	i, account := newLoneInstance(), newAccounts(1)[0]
	limit, _ := quota.LimitOf(account)
	now := at(10)
	for range 100 {
		assert.Assert(t, takeOnce(i, now, account, 1000))
	}
	taken := 0
	allocations := testing.AllocsPerRun(20, func() {
		var e quota.Effects
		if _, ok := i.Take(now, account, limit, 1, &e); ok {
			taken++
		}
	})
	assert.Equal(t, taken, 21)
	assert.Equal(t, allocations, 0.0)
}

// BenchmarkTake takes units of many accounts from batches at hand, and measures the memory
// that an instance needs for an account that it serves.
func BenchmarkTake(b *testing.B) {
	i, accounts, now := newLoneInstance(), newAccounts(benchAccounts), at(10)
	before := heap()
	for range 10 {
		for _, a := range accounts {
			takeOnce(i, now, a, 1000)
		}
	}
	perAccount := float64(heap()-before) / benchAccounts
	limit, _ := quota.LimitOf(accounts[0])
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		var e quota.Effects
		if _, ok := i.Take(now, accounts[n%benchAccounts], limit, 0, &e); !ok {
			b.Fatal("no units at hand")
		}
	}
	b.ReportMetric(perAccount, "B/account")
	runtime.KeepAlive(i)
}

// BenchmarkHandleAsk grants units of many accounts as one of 400 instances, and measures
// the memory that a holder needs for an account.
func BenchmarkHandleAsk(b *testing.B) {
	i := newHoldingInstance()
	for n := range 398 {
		i.Ring.Observe(at(0), persimmoncart.InstanceID(fmt.Sprintf("edge-%d", n)), 1, recordOf(n%250, true))
	}
	limit := quota.Limit{Burst: 1 << 40, Least: 1, Rate: 1 << 40}
	from, now := recordOf(1, true).Addr, at(10)
	var keys []uint64
	for _, a := range newAccounts(benchAccounts * 400 / quota.MaxHolders) {
		if key := quota.Key(a.Name); i.Share(now, key) > 0 {
			keys = append(keys, key)
		}
	}
	before := heap()
	for _, key := range keys {
		i.HandleAsk(now, from, limit, quota.Ask{Account: key, Least: 1, Want: 1})
	}
	perAccount := float64(heap()-before) / float64(len(keys))
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		i.HandleAsk(now, from, limit, quota.Ask{Account: keys[n%len(keys)], Least: 1, Want: 1})
	}
	b.ReportMetric(perAccount, "B/account")
	runtime.KeepAlive(i)
}

// heap returns the bytes of reachable memory.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
