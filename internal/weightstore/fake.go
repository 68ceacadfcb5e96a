package weightstore

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"github.com/persimmoncart/persimmoncart"
)

var _ persimmoncart.WeightStore = (*Fake)(nil)

var (
	errDown = errors.New("weight store is down")
	errRate = errors.New("rate limit")
)

// A Fake is an in-memory weight store. Set the exported fields before the first
// call.
type Fake struct {
	CallRate  float64 // calls a second; zero means unlimited
	FetchRate float64 // bytes a second of one fetch
	Sizes     map[persimmoncart.ModelName]int64
	Timer     persimmoncart.Timer

	down    bool
	limiter *rate.Limiter
	mutex   sync.Mutex
}

// Models implements persimmoncart.WeightStore.
func (f *Fake) Models(ctx context.Context) (map[persimmoncart.ModelName]persimmoncart.Weights, error) {
	if err := ctx.Err(); err != nil {
		return nil, &persimmoncart.UnavailableError{Err: err, Operation: "models"}
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.down {
		return nil, &persimmoncart.UnavailableError{Err: errDown, Operation: "models"}
	}
	if err := f.allow(); err != nil {
		return nil, err
	}
	models := make(map[persimmoncart.ModelName]persimmoncart.Weights, len(f.Sizes))
	for n, s := range f.Sizes {
		models[n] = persimmoncart.Weights{FetchTime: time.Duration(float64(s) / f.FetchRate * float64(time.Second)), Size: s}
	}
	return models, nil
}

// SetDown starts or ends an outage.
func (f *Fake) SetDown(down bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.down = down
}

// allow applies the rate limit to one call. The mutex must be held.
func (f *Fake) allow() error {
	if f.CallRate <= 0 {
		return nil
	}
	if f.limiter == nil {
		f.limiter = rate.NewLimiter(rate.Limit(f.CallRate), 1)
	}
	now := f.Timer.Now()
	r := f.limiter.ReserveN(now, 1)
	if d := r.DelayFrom(now); d > 0 {
		r.CancelAt(now)
		return &persimmoncart.UnavailableError{Err: errRate, Operation: "models", RetryAfter: d}
	}
	return nil
}
