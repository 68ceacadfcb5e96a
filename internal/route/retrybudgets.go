package route

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

// maxHedgedPools is the highest number of pools whose latencies are recorded. Calls
// to further pools are not hedged.
const maxHedgedPools = 256

var _ persimmoncart.RetryBudgets = (*RetryBudgets)(nil)

// RetryBudgets implements persimmoncart.RetryBudgets. It holds the retry and hedge
// budgets of one instance in memory. Set the exported fields before use.
type RetryBudgets struct {
	Seed  uint64 // of the jitter of retry pauses; zero means a random seed
	Timer persimmoncart.Timer

	hedgers map[persimmoncart.PoolName]*policy.Hedger
	mutex   sync.Mutex
	once    sync.Once
	random  *rand.Rand
	retries *policy.RetryBudgets
}

// HedgeDelay implements persimmoncart.RetryBudgets.
func (b *RetryBudgets) HedgeDelay(pool persimmoncart.PoolName) time.Duration {
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
func (b *RetryBudgets) RecordFirst(route persimmoncart.RouteName, account persimmoncart.AccountID) {
	b.lock()
	defer b.mutex.Unlock()
	b.retries.RecordFirst(policy.RetryBudgetKey{Account: account, Route: route})
}

// RecordLatency implements persimmoncart.RetryBudgets.
func (b *RetryBudgets) RecordLatency(pool persimmoncart.PoolName, latency time.Duration) {
	b.lock()
	defer b.mutex.Unlock()
	if h := b.hedger(pool); h != nil {
		h.AddLatency(latency)
	}
}

// TakeHedge implements persimmoncart.RetryBudgets.
func (b *RetryBudgets) TakeHedge(pool persimmoncart.PoolName) bool {
	b.lock()
	defer b.mutex.Unlock()
	h := b.hedger(pool)
	return h != nil && h.Take()
}

// TakeRetry implements persimmoncart.RetryBudgets.
func (b *RetryBudgets) TakeRetry(route persimmoncart.RouteName, account persimmoncart.AccountID, number int, deadline time.Time) (time.Duration, bool) {
	now := b.Timer.Now()
	b.lock()
	defer b.mutex.Unlock()
	return b.retries.TakeRetry(now, b.random, policy.RetryBudgetKey{Account: account, Route: route}, number, deadline, 0)
}

// hedger returns the Hedger of a pool and creates it on first use. It returns nil
// for a new pool if there are already maxHedgedPools. The mutex is held.
func (b *RetryBudgets) hedger(pool persimmoncart.PoolName) *policy.Hedger {
	h := b.hedgers[pool]
	if h == nil && len(b.hedgers) < maxHedgedPools {
		h = policy.NewHedger()
		b.hedgers[pool] = h
	}
	return h
}

// lock initialises the state on first use and locks the mutex.
func (b *RetryBudgets) lock() {
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
