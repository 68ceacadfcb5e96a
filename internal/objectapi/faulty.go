package objectapi

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
)

var _ persimmoncart.Store = (*Faulty)(nil)

// Kinds of calls.
const (
	CallRead CallKind = iota + 1
	CallWatch
	CallWrite
)

// A CallKind is the kind of a call.
type CallKind uint8

var (
	errDown = errors.New("store is down")
	errLost = errors.New("answer was lost")
)

// A Fault is the fault that is injected into one call.
type Fault struct {
	Delay          time.Duration // half before and half after the call takes effect
	Down           bool          // the call fails without effect and with an *UnavailableError
	RequestDropped bool          // the call has no effect and no response
	ResponseLost   bool          // the call takes effect but has no response
}

// A Faulty is a Store that injects outages, delays and lost requests and responses.
type Faulty struct {
	// Decide returns the fault of each call, in addition to those set by the
	// methods. Nil means none. It may be called concurrently.
	Decide func(kind CallKind, key string) Fault
	Store  persimmoncart.Store
	Timer  persimmoncart.Timer

	delay           time.Duration
	down            bool
	mutex           sync.Mutex
	outage          chan struct{} // closed at the start of the next outage; nil without watches
	requestsToDrop  int
	responsesToLose int
}

// Create implements persimmoncart.Store.
func (f *Faulty) Create(ctx context.Context, key string, value []byte) (persimmoncart.Version, error) {
	return f.write(ctx, "create", key, func() (persimmoncart.Version, error) { return f.Store.Create(ctx, key, value) })
}

// Delete implements persimmoncart.Store.
func (f *Faulty) Delete(ctx context.Context, key string, version persimmoncart.Version) error {
	_, err := f.write(ctx, "delete", key, func() (persimmoncart.Version, error) {
		return 0, f.Store.Delete(ctx, key, version)
	})
	return err
}

// DropRequests drops the requests of the next n writes, so that they have no effect.
func (f *Faulty) DropRequests(n int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.requestsToDrop = n
}

// Get implements persimmoncart.Store.
func (f *Faulty) Get(ctx context.Context, key string) (persimmoncart.Object, error) {
	if err := f.read(ctx, "get", key); err != nil {
		return persimmoncart.Object{}, err
	}
	return f.Store.Get(ctx, key)
}

// List implements persimmoncart.Store.
func (f *Faulty) List(ctx context.Context, prefix string) ([]persimmoncart.Object, error) {
	if err := f.read(ctx, "list", prefix); err != nil {
		return nil, err
	}
	return f.Store.List(ctx, prefix)
}

// LoseResponses drops the responses of the next n writes, which take effect.
func (f *Faulty) LoseResponses(n int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.responsesToLose = n
}

// SetDelay delays each call by d.
func (f *Faulty) SetDelay(d time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.delay = d
}

// SetDown starts or ends an outage. The start ends all open watches.
func (f *Faulty) SetDown(down bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if down && !f.down && f.outage != nil {
		close(f.outage)
		f.outage = nil
	}
	f.down = down
}

// Update implements persimmoncart.Store.
func (f *Faulty) Update(ctx context.Context, key string, value []byte, version persimmoncart.Version) (persimmoncart.Version, error) {
	return f.write(ctx, "update", key, func() (persimmoncart.Version, error) {
		return f.Store.Update(ctx, key, value, version)
	})
}

// Watch implements persimmoncart.Store.
func (f *Faulty) Watch(ctx context.Context, prefix string, from persimmoncart.Version) (persimmoncart.Watch, error) {
	fault := f.nextFault(CallWatch, prefix)
	if fault.Delay > 0 {
		if err := f.Timer.Sleep(ctx, fault.Delay); err != nil {
			return nil, &persimmoncart.UnavailableError{Err: err, Operation: watchOperation}
		}
	}
	if fault.Down || fault.RequestDropped || fault.ResponseLost {
		return nil, &persimmoncart.UnavailableError{Err: errDown, Operation: watchOperation}
	}
	w, err := f.Store.Watch(ctx, prefix, from)
	if err != nil {
		return nil, err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.outage == nil {
		f.outage = make(chan struct{})
	}
	return &faultyWatch{Watch: w, outage: f.outage}, nil
}

// nextFault returns the fault of the next call.
func (f *Faulty) nextFault(kind CallKind, key string) Fault {
	var fault Fault
	if f.Decide != nil {
		fault = f.Decide(kind, key)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	fault.Delay += f.delay
	fault.Down = fault.Down || f.down
	if kind != CallWrite || fault.Down {
		return fault
	}
	switch {
	case f.requestsToDrop > 0:
		f.requestsToDrop--
		fault.RequestDropped = true
	case f.responsesToLose > 0:
		f.responsesToLose--
		fault.ResponseLost = true
	}
	return fault
}

// read injects the fault of a read.
func (f *Faulty) read(ctx context.Context, operation, key string) error {
	fault := f.nextFault(CallRead, key)
	if fault.Delay > 0 {
		if err := f.Timer.Sleep(ctx, fault.Delay); err != nil {
			return &persimmoncart.UnavailableError{Err: err, Operation: operation}
		}
	}
	switch {
	case fault.Down:
		return &persimmoncart.UnavailableError{Err: errDown, Operation: operation}
	case fault.RequestDropped, fault.ResponseLost:
		return &persimmoncart.UnavailableError{Err: errLost, Operation: operation}
	default:
		return nil
	}
}

// sleepHalf waits for half of a write's delay. It returns an *AmbiguousError if ctx
// is done before, because the write may still take effect.
func (f *Faulty) sleepHalf(ctx context.Context, delay time.Duration, key string) error {
	if delay <= 0 {
		return nil
	}
	if err := f.Timer.Sleep(ctx, delay/2); err != nil {
		return &persimmoncart.AmbiguousError{Err: err, Key: key}
	}
	return nil
}

// write runs a write and injects its fault.
func (f *Faulty) write(ctx context.Context, operation, key string, do func() (persimmoncart.Version, error)) (persimmoncart.Version, error) {
	if err := ctx.Err(); err != nil {
		return 0, &persimmoncart.UnavailableError{Err: err, Operation: operation}
	}
	fault := f.nextFault(CallWrite, key)
	if fault.Down {
		return 0, &persimmoncart.UnavailableError{Err: errDown, Operation: operation}
	}
	if err := f.sleepHalf(ctx, fault.Delay, key); err != nil {
		return 0, err
	}
	if fault.RequestDropped {
		return 0, &persimmoncart.AmbiguousError{Err: errLost, Key: key}
	}
	version, err := do()
	if err := f.sleepHalf(ctx, fault.Delay, key); err != nil {
		return 0, err
	}
	if fault.ResponseLost {
		return 0, &persimmoncart.AmbiguousError{Err: errLost, Key: key}
	}
	return version, err
}

// A faultyWatch is a watch that ends at the start of an outage.
type faultyWatch struct {
	persimmoncart.Watch
	outage <-chan struct{}
}

// Next implements persimmoncart.Watch.
func (w *faultyWatch) Next(ctx context.Context) (persimmoncart.WatchEvent, error) {
	watchCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-done:
		case <-w.outage:
			cancel(errDown)
		}
	}()
	e, err := w.Watch.Next(watchCtx)
	if err != nil && errors.Is(context.Cause(watchCtx), errDown) {
		return persimmoncart.WatchEvent{}, &persimmoncart.UnavailableError{Err: errDown, Operation: watchOperation}
	}
	return e, err
}
