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
	KindRead Kind = iota + 1
	KindWatch
	KindWrite
)

// A Kind is the kind of a call.
type Kind uint8

var (
	errDown = errors.New("store is down")
	errLost = errors.New("answer was lost")
)

// A Fault is what happens to one call.
type Fault struct {
	Delay   time.Duration // half of it passes before the call takes effect
	Down    bool          // nothing takes effect and the caller knows it
	Dropped bool          // nothing takes effect and the caller gets no answer
	Lost    bool          // the call takes effect and its answer is lost
}

// A Faulty is a Store with outages, slowness and lost answers.
type Faulty struct {
	// Decide chooses the fault of each call; nil means none. It may be called
	// concurrently. The switches below come on top of it.
	Decide func(kind Kind, key string) Fault
	Store  persimmoncart.Store
	Timer  persimmoncart.Timer

	delay   time.Duration
	down    bool
	downs   chan struct{} // closed when the store goes down
	lose    int
	mutex   sync.Mutex
	dropped int
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
	f.dropped = n
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

// LoseAnswers lets the next n writes take effect and loses their answers.
func (f *Faulty) LoseAnswers(n int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.lose = n
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
	if down && !f.down && f.downs != nil {
		close(f.downs)
		f.downs = nil
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
	a := f.fault(KindWatch, prefix)
	if a.Delay > 0 {
		if err := f.Timer.Sleep(ctx, a.Delay); err != nil {
			return nil, &persimmoncart.UnavailableError{Err: err, Operation: opWatch}
		}
	}
	if a.Down || a.Dropped || a.Lost {
		return nil, &persimmoncart.UnavailableError{Err: errDown, Operation: opWatch}
	}
	w, err := f.Store.Watch(ctx, prefix, from)
	if err != nil {
		return nil, err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.downs == nil {
		f.downs = make(chan struct{})
	}
	return &faultyWatch{Watch: w, down: f.downs}, nil
}

// fault returns what happens to the next call.
func (f *Faulty) fault(kind Kind, key string) Fault {
	var a Fault
	if f.Decide != nil {
		a = f.Decide(kind, key)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	a.Delay += f.delay
	a.Down = a.Down || f.down
	if kind != KindWrite || a.Down {
		return a
	}
	switch {
	case f.dropped > 0:
		f.dropped--
		a.Dropped = true
	case f.lose > 0:
		f.lose--
		a.Lost = true
	}
	return a
}

// read applies the fault of a read, which never has an effect.
func (f *Faulty) read(ctx context.Context, op, key string) error {
	a := f.fault(KindRead, key)
	if a.Delay > 0 {
		if err := f.Timer.Sleep(ctx, a.Delay); err != nil {
			return &persimmoncart.UnavailableError{Err: err, Operation: op}
		}
	}
	switch {
	case a.Down:
		return &persimmoncart.UnavailableError{Err: errDown, Operation: op}
	case a.Dropped, a.Lost:
		return &persimmoncart.UnavailableError{Err: errLost, Operation: op}
	default:
		return nil
	}
}

// write applies the fault of a write around do.
func (f *Faulty) write(ctx context.Context, op, key string, do func() (persimmoncart.Version, error)) (persimmoncart.Version, error) {
	if err := ctx.Err(); err != nil {
		return 0, &persimmoncart.UnavailableError{Err: err, Operation: op}
	}
	a := f.fault(KindWrite, key)
	if a.Down {
		return 0, &persimmoncart.UnavailableError{Err: errDown, Operation: op}
	}
	if err := f.half(ctx, a.Delay, key); err != nil {
		return 0, err
	}
	if a.Dropped {
		return 0, &persimmoncart.AmbiguousError{Err: errLost, Key: key}
	}
	version, err := do()
	if err := f.half(ctx, a.Delay, key); err != nil {
		return 0, err
	}
	if a.Lost {
		return 0, &persimmoncart.AmbiguousError{Err: errLost, Key: key}
	}
	return version, err
}

// half waits for half of a write's delay; a caller that gives up knows nothing.
func (f *Faulty) half(ctx context.Context, delay time.Duration, key string) error {
	if delay <= 0 {
		return nil
	}
	if err := f.Timer.Sleep(ctx, delay/2); err != nil {
		return &persimmoncart.AmbiguousError{Err: err, Key: key}
	}
	return nil
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
		return persimmoncart.WatchEvent{}, &persimmoncart.UnavailableError{Err: errDown, Operation: opWatch}
	}
	return e, err
}
