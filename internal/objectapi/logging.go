package objectapi

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/persimmoncart/persimmoncart"
)

var _ persimmoncart.Store = (*Logging)(nil)

// A Logging is a Store that logs failed calls as warnings and other calls at debug
// level. Conflicts and missing objects are expected results, not failures.
type Logging struct {
	Log   zerolog.Logger
	Store persimmoncart.Store
	Timer persimmoncart.Timer
}

// Create implements persimmoncart.Store.
func (l *Logging) Create(ctx context.Context, key string, value []byte) (persimmoncart.Version, error) {
	done := l.begin("create", key)
	v, err := l.Store.Create(ctx, key, value)
	done(err)
	return v, err
}

// Delete implements persimmoncart.Store.
func (l *Logging) Delete(ctx context.Context, key string, version persimmoncart.Version) error {
	done := l.begin("delete", key)
	err := l.Store.Delete(ctx, key, version)
	done(err)
	return err
}

// Get implements persimmoncart.Store.
func (l *Logging) Get(ctx context.Context, key string) (persimmoncart.Object, error) {
	done := l.begin("get", key)
	o, err := l.Store.Get(ctx, key)
	done(err)
	return o, err
}

// List implements persimmoncart.Store.
func (l *Logging) List(ctx context.Context, prefix string) ([]persimmoncart.Object, error) {
	done := l.begin("list", prefix)
	list, err := l.Store.List(ctx, prefix)
	done(err)
	return list, err
}

// Update implements persimmoncart.Store.
func (l *Logging) Update(ctx context.Context, key string, value []byte, version persimmoncart.Version) (persimmoncart.Version, error) {
	done := l.begin("update", key)
	v, err := l.Store.Update(ctx, key, value, version)
	done(err)
	return v, err
}

// Watch implements persimmoncart.Store.
func (l *Logging) Watch(ctx context.Context, prefix string, from persimmoncart.Version) (persimmoncart.Watch, error) {
	done := l.begin(watchOperation, prefix)
	w, err := l.Store.Watch(ctx, prefix, from)
	done(err)
	return w, err
}

// begin returns a function that logs the result and the time of a call that starts
// now.
func (l *Logging) begin(operation, key string) func(error) {
	start := l.Timer.Now()
	return func(err error) {
		e := l.Log.Debug()
		switch resultLabel(err) {
		case resultOK:
		case resultConflict, resultNotFound:
			e = e.Err(err)
		default:
			e = l.Log.Warn().Err(err)
		}
		e.Str("op", operation).Str("key", key).Dur("took", l.Timer.Now().Sub(start)).Msg("store call")
	}
}
