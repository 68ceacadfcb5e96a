package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/persimmoncart/persimmoncart"
)

// Guards against an account that gets more or less than its share. The reference is
// a token bucket in floating point.
func TestAccountLimiterDifferential(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := NewAccountLimiter(10)
		instances := rapid.IntRange(1, 4).Draw(t, "instances")
		account := &persimmoncart.Account{Name: "a", Rate: float64(rapid.IntRange(1, 8).Draw(t, "rate")), Burst: rapid.IntRange(1, 20).Draw(t, "burst")}
		rate := account.Rate / float64(instances)
		burst := math.Max(float64(account.Burst/instances), 1)
		tokens, now, created := burst-math.Floor(burst/2), testStart, false
		for range rapid.IntRange(1, 60).Draw(t, "n") {
			d := time.Duration(rapid.IntRange(0, 8).Draw(t, "eighths")) * time.Second / 8
			now = now.Add(d)
			if created { // by the first request
				tokens = math.Min(burst, tokens+d.Seconds()*rate)
			}
			created = true
			ok, wait := limits.Allow(now, account, instances, 100)
			if math.Abs(tokens-1) > 1e-6 {
				assert.Equal(t, ok, tokens > 1, "bucket %v", tokens)
			}
			if ok {
				tokens--
			} else {
				want := (1 - tokens) / rate
				assert.Assert(t, math.Abs(wait.Seconds()-want) < 1e-3, "wait %v, want %v", wait, want)
			}
		}
	})
}

// Guards against memory use that grows with the number of accounts.
func TestAccountLimiterBounded(t *testing.T) {
	limits := NewAccountLimiter(50)
	for i := range 19000 {
		limits.Allow(testStart, &persimmoncart.Account{Name: persimmoncart.AccountID(strconv.Itoa(i)), Rate: 1, Burst: 4, TokenRate: 10}, 8, 100)
		assert.Assert(t, limits.Len() <= 50)
	}
}

// Guards against retries beyond the budget or the deadline, and against delays outside
// the range of the jitter.
func TestRetryBudgetsDifferential(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		retries, random := NewRetryBudgets(), rand.New(rand.NewPCG(1, 2))
		budgets := map[RetryBudgetKey]int{} // in tenths of a retry
		for range rapid.IntRange(1, 80).Draw(t, "n") {
			k := RetryBudgetKey{Account: rapid.SampledFrom([]persimmoncart.AccountID{"a", "b"}).Draw(t, "account")}
			if _, found := budgets[k]; !found {
				budgets[k] = 30
			}
			if rapid.Bool().Draw(t, "first") {
				retries.RecordFirst(k)
				budgets[k] = min(budgets[k]+1, 30)
				continue
			}
			number := rapid.IntRange(1, 9).Draw(t, "number")
			late := rapid.IntRange(0, 4).Draw(t, "late") == 0
			deadline := testStart.Add(10 * time.Second)
			if late {
				deadline = testStart.Add(time.Second)
			}
			delay, ok := retries.TakeRetry(testStart, random, k, number, deadline, time.Second)
			assert.Equal(t, ok, !late && budgets[k] >= 10, "budget %d", budgets[k])
			if ok {
				budgets[k] -= 10
				base := min(RetryBaseDelay<<(number-1), RetryMaxDelay)
				assert.Assert(t, delay >= base/2 && delay <= base*3/2)
			}
		}
	})
}

// Guards against a hedge before the 95th percentile of latencies, and against more
// hedges than 5% of the calls.
func TestHedgerDifferential(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := NewHedger()
		var latencies []time.Duration
		calls, hedged := 0, 0
		for range rapid.IntRange(1, 600).Draw(t, "n") {
			latency := time.Duration(rapid.IntRange(1, 1000).Draw(t, "us")) * time.Microsecond
			h.AddLatency(latency)
			latencies = append(latencies, latency)
			calls++
			delay, ok := h.Delay()
			full := len(latencies) / hedgeSamples * hedgeSamples
			assert.Equal(t, ok, full > 0)
			if ok {
				window := slices.Sorted(slices.Values(latencies[max(full-hedgeWindow, 0):full]))
				assert.Equal(t, delay, window[int(float64(len(window)-1)*hedgeQuantile)])
			}
			if h.Take() {
				hedged++
			}
			assert.Assert(t, float64(hedged) <= hedgeShare*float64(calls)+1e-9)
		}
	})
}

// Guards against refused callers that retry at the same time.
func TestRetryAfter(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	distinct := map[time.Duration]bool{}
	for range 100 {
		d := RetryAfter(random, 4*time.Second)
		assert.Assert(t, d >= 4*time.Second && d < 8*time.Second)
		distinct[d.Round(100*time.Millisecond)] = true
	}
	assert.Assert(t, len(distinct) > 20)
	assert.Assert(t, RetryAfter(random, 0) >= minRetryAfter)
	assert.Assert(t, RetryAfter(random, time.Hour) <= 2*maxRetryAfter)
}
