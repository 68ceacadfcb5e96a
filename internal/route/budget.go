package route

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

// maxHedgedPools bounds the pools whose latencies are kept. Calls to further
// pools are not hedged.
const maxHedgedPools = 256

var _ persimmoncart.RetryBudgets = (*Budgets)(nil)

// Budgets are the retry and hedge budgets of one instance, kept in memory. Its
// fields are set before use.
type Budgets struct {
	Seed  uint64 // of the spread of pauses; zero takes a random one
	Timer persimmoncart.Timer

	hedgers map[persimmoncart.PoolName]*policy.Hedger
	mutex   sync.Mutex
	once    sync.Once
	random  *rand.Rand
	retries *policy.RetryBudgets
}

// HedgeDelay implements persimmoncart.RetryBudgets.
func (b *Budgets) HedgeDelay(pool persimmoncart.PoolName) time.Duration {
	b.lock()
	defer b.mutex.Unlock()
	if h := b.hedger(pool); h != nil {
		if delay, ok := h.Delay(); ok {
			return delay
		}
	}
	return 0
}

// RecordFirst implements persimmoncart.RetryBudgets.
func (b *Budgets) RecordFirst(route persimmoncart.RouteName, account persimmoncart.AccountID) {
	b.lock()
	defer b.mutex.Unlock()
	b.retries.RecordFirst(policy.RetryBudgetKey{Account: account, Route: route})
}

// RecordLatency implements persimmoncart.RetryBudgets.
func (b *Budgets) RecordLatency(pool persimmoncart.PoolName, latency time.Duration) {
	b.lock()
	defer b.mutex.Unlock()
	if h := b.hedger(pool); h != nil {
		h.AddLatency(latency)
	}
}

// TakeHedge implements persimmoncart.RetryBudgets.
func (b *Budgets) TakeHedge(pool persimmoncart.PoolName) bool {
	b.lock()
	defer b.mutex.Unlock()
	h := b.hedger(pool)
	return h != nil && h.Take()
}

// TakeRetry implements persimmoncart.RetryBudgets.
func (b *Budgets) TakeRetry(route persimmoncart.RouteName, account persimmoncart.AccountID, number int, deadline time.Time) (time.Duration, bool) {
	now := b.Timer.Now()
	b.lock()
	defer b.mutex.Unlock()
	return b.retries.TakeRetry(now, b.random, policy.RetryBudgetKey{Account: account, Route: route}, number, deadline, 0)
}

// hedger returns the latencies of a pool, or nil beyond the bound; the mutex is held.
func (b *Budgets) hedger(pool persimmoncart.PoolName) *policy.Hedger {
	h := b.hedgers[pool]
	if h == nil && len(b.hedgers) < maxHedgedPools {
		h = policy.NewHedger()
		b.hedgers[pool] = h
	}
	return h
}

// lock takes the mutex, after building the state on first use.
func (b *Budgets) lock() {
	b.once.Do(func() {
		seed := b.Seed
		if seed == 0 {
			seed = rand.Uint64()
		}
		b.hedgers = make(map[persimmoncart.PoolName]*policy.Hedger)
		b.random = rand.New(rand.NewPCG(seed, seed))
		b.retries = policy.NewRetryBudgets()
	})
	b.mutex.Lock()
}
