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

// A Fault is what happens to one call.
type Fault struct {
	Delay          time.Duration // half of it passes before the call takes effect
	Down           bool          // nothing takes effect and the caller knows it
	RequestDropped bool          // nothing takes effect and the caller gets no answer
	ResponseLost   bool          // the call takes effect and its answer is lost
}

// A Faulty is a Store with outages, slowness and lost answers.
type Faulty struct {
	// Decide chooses the fault of each call; nil means none. It may be called
	// concurrently. The switches below come on top of it.
	Decide func(kind CallKind, key string) Fault
	Store  persimmoncart.Store
	Timer  persimmoncart.Timer

	delay           time.Duration
	down            bool
	mutex           sync.Mutex
	outage          chan struct{} // closed when the store goes down
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

// DropRequests lets the next n writes get lost before they take effect.
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

// LoseResponses lets the next n writes take effect and loses their answers.
func (f *Faulty) LoseResponses(n int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.responsesToLose = n
}

// SetDelay makes each call take d.
func (f *Faulty) SetDelay(d time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.delay = d
}

// SetDown starts or ends an outage. An outage breaks all open watches.
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
	a := f.nextFault(CallWatch, prefix)
	if a.Delay > 0 {
		if err := f.Timer.Sleep(ctx, a.Delay); err != nil {
			return nil, &persimmoncart.UnavailableError{Err: err, Operation: watchOperation}
		}
	}
	if a.Down || a.RequestDropped || a.ResponseLost {
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
	return &faultyWatch{Watch: w, down: f.outage}, nil
}

// nextFault returns what happens to the next call.
func (f *Faulty) nextFault(kind CallKind, key string) Fault {
	var a Fault
	if f.Decide != nil {
		a = f.Decide(kind, key)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	a.Delay += f.delay
	a.Down = a.Down || f.down
	if kind != CallWrite || a.Down {
		return a
	}
	switch {
	case f.requestsToDrop > 0:
		f.requestsToDrop--
		a.RequestDropped = true
	case f.responsesToLose > 0:
		f.responsesToLose--
		a.ResponseLost = true
	}
	return a
}

// read applies the fault of a read, which never has an effect.
func (f *Faulty) read(ctx context.Context, op, key string) error {
	a := f.nextFault(CallRead, key)
	if a.Delay > 0 {
		if err := f.Timer.Sleep(ctx, a.Delay); err != nil {
			return &persimmoncart.UnavailableError{Err: err, Operation: op}
		}
	}
	switch {
	case a.Down:
		return &persimmoncart.UnavailableError{Err: errDown, Operation: op}
	case a.RequestDropped, a.ResponseLost:
		return &persimmoncart.UnavailableError{Err: errLost, Operation: op}
	default:
		return nil
	}
}

// sleepHalf waits for sleepHalf of a write's delay; a caller that gives up knows nothing.
func (f *Faulty) sleepHalf(ctx context.Context, delay time.Duration, key string) error {
	if delay <= 0 {
		return nil
	}
	if err := f.Timer.Sleep(ctx, delay/2); err != nil {
		return &persimmoncart.AmbiguousError{Err: err, Key: key}
	}
	return nil
}

// write applies the fault of a write around do.
func (f *Faulty) write(ctx context.Context, op, key string, do func() (persimmoncart.Version, error)) (persimmoncart.Version, error) {
	if err := ctx.Err(); err != nil {
		return 0, &persimmoncart.UnavailableError{Err: err, Operation: op}
	}
	a := f.nextFault(CallWrite, key)
	if a.Down {
		return 0, &persimmoncart.UnavailableError{Err: errDown, Operation: op}
	}
	if err := f.sleepHalf(ctx, a.Delay, key); err != nil {
		return 0, err
	}
	if a.RequestDropped {
		return 0, &persimmoncart.AmbiguousError{Err: errLost, Key: key}
	}
	version, err := do()
	if err := f.sleepHalf(ctx, a.Delay, key); err != nil {
		return 0, err
	}
	if a.ResponseLost {
		return 0, &persimmoncart.AmbiguousError{Err: errLost, Key: key}
	}
	return version, err
}

// A faultyWatch is a watch that breaks when the store goes down.
type faultyWatch struct {
	persimmoncart.Watch
	down <-chan struct{}
}

// Next implements persimmoncart.Watch.
func (w *faultyWatch) Next(ctx context.Context) (persimmoncart.WatchEvent, error) {
	inner, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-done:
		case <-w.down:
			cancel(errDown)
		}
	}()
	e, err := w.Watch.Next(inner)
	if err != nil && errors.Is(context.Cause(inner), errDown) {
		return persimmoncart.WatchEvent{}, &persimmoncart.UnavailableError{Err: errDown, Operation: watchOperation}
	}
	return e, err
}
