package route

import (
	"slices"
	"sync"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// retryShare is the share of first attempts that may be retried. Above about
	// a tenth, retries of a pool that fails become its main load.
	retryShare = 0.1
	// retryBurst covers the streams that one account has on one engine that dies.
	retryBurst = 10
	// hedgeShare is the share of calls that may be sent twice.
	hedgeShare = 0.05
	hedgeBurst = 3
	// maxBudgets bounds the pairs of route and account that have a budget of
	// their own; all others share one.
	maxBudgets = 4096

	latencySamples = 256
	// latencyFresh is the number of new samples after which the percentile is
	// computed again.
	latencyFresh   = 32
	latencyPercent = 95
)

var _ persimmoncart.Budgets = (*Budgets)(nil)

// Budgets are the retry and hedge budgets of one instance, kept in memory. The
// zero value is ready.
type Budgets struct {
	latencies map[persimmoncart.PoolName]*latencies
	mutex     sync.Mutex
	pairs     map[pair]*budget
}

// First implements persimmoncart.Budgets.
func (b *Budgets) First(route persimmoncart.RouteName, account persimmoncart.AccountID) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	p := b.budget(route, account)
	p.retries = min(p.retries+retryShare, retryBurst)
	p.hedges = min(p.hedges+hedgeShare, hedgeBurst)
}

// Hedge implements persimmoncart.Budgets.
func (b *Budgets) Hedge(route persimmoncart.RouteName, account persimmoncart.AccountID) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return take(&b.budget(route, account).hedges)
}

// HedgeDelay implements persimmoncart.Budgets. The delay is the 95th percentile
// of the pool's last calls.
func (b *Budgets) HedgeDelay(pool persimmoncart.PoolName) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if l := b.latencies[pool]; l != nil {
		return l.delay
	}
	return 0
}

// Latency implements persimmoncart.Budgets.
func (b *Budgets) Latency(pool persimmoncart.PoolName, latency time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.latencies == nil {
		b.latencies = make(map[persimmoncart.PoolName]*latencies)
	}
	l := b.latencies[pool]
	if l == nil {
		if len(b.latencies) >= maxBudgets {
			return
		}
		l = &latencies{}
		b.latencies[pool] = l
	}
	l.add(latency)
}

// Retry implements persimmoncart.Budgets.
func (b *Budgets) Retry(route persimmoncart.RouteName, account persimmoncart.AccountID) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return take(&b.budget(route, account).retries)
}

// budget returns the budget of a pair; the mutex is held.
func (b *Budgets) budget(route persimmoncart.RouteName, account persimmoncart.AccountID) *budget {
	if b.pairs == nil {
		b.pairs = make(map[pair]*budget)
	}
	key := pair{account: account, route: route}
	if p := b.pairs[key]; p != nil {
		return p
	}
	if len(b.pairs) >= maxBudgets {
		key = pair{}
		if p := b.pairs[key]; p != nil {
			return p
		}
	}
	p := &budget{hedges: hedgeBurst, retries: retryBurst}
	b.pairs[key] = p
	return p
}

// A budget counts the retries and hedges that may be taken.
type budget struct {
	hedges  float64
	retries float64
}

// A pair names a budget.
type pair struct {
	account persimmoncart.AccountID
	route   persimmoncart.RouteName
}

// latencies holds the last latencies of a pool.
type latencies struct {
	count   int
	delay   time.Duration // zero until enough is known
	samples [latencySamples]time.Duration
}

// add takes one sample.
func (l *latencies) add(d time.Duration) {
	l.samples[l.count%latencySamples] = d
	l.count++
	if l.count%latencyFresh != 0 {
		return
	}
	sorted := slices.Clone(l.samples[:min(l.count, latencySamples)])
	slices.Sort(sorted)
	l.delay = sorted[len(sorted)*latencyPercent/100]
}

// take takes one from a budget if it holds one.
func take(budget *float64) bool {
	if *budget < 1 {
		return false
	}
	*budget--
	return true
}
