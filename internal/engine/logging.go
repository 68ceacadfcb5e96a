package engine

import (
	"context"
	"net/netip"

	"github.com/rs/zerolog"

	"github.com/persimmoncart/persimmoncart"
)

var (
	_ persimmoncart.Engine  = (*Logging)(nil)
	_ persimmoncart.Engines = (*LoggingAll)(nil)
)

// A Logging is an Engine that logs failed calls as warnings and successful calls
// at debug level. Prompts and tokens are never logged.
type Logging struct {
	Addr   netip.AddrPort
	Engine persimmoncart.Engine
	Log    zerolog.Logger
	Timer  persimmoncart.Timer
}

// CacheEvents implements persimmoncart.Engine.
func (l *Logging) CacheEvents(ctx context.Context, from uint64) (persimmoncart.CacheEventStream, error) {
	done := l.begin("cache events", "")
	s, err := l.Engine.CacheEvents(ctx, from)
	done(err)
	return s, err
}

// Cancel implements persimmoncart.Engine.
func (l *Logging) Cancel(ctx context.Context, attempt persimmoncart.AttemptID) error {
	done := l.begin("cancel", attempt.String())
	err := l.Engine.Cancel(ctx, attempt)
	done(err)
	return err
}

// Decode implements persimmoncart.Engine.
func (l *Logging) Decode(ctx context.Context, request persimmoncart.DecodeRequest) (persimmoncart.TokenStream, error) {
	done := l.begin("decode", request.Attempt.String())
	s, err := l.Engine.Decode(ctx, request)
	done(err)
	return s, err
}

// Import implements persimmoncart.Engine.
func (l *Logging) Import(ctx context.Context, request persimmoncart.ImportRequest) error {
	done := l.begin("import", request.Attempt.String())
	err := l.Engine.Import(ctx, request)
	done(err)
	return err
}

// ListWork implements persimmoncart.Engine.
func (l *Logging) ListWork(ctx context.Context) ([]persimmoncart.WorkItem, error) {
	done := l.begin("work", "")
	w, err := l.Engine.ListWork(ctx)
	done(err)
	return w, err
}

// Load implements persimmoncart.Engine.
func (l *Logging) Load(ctx context.Context) (persimmoncart.LoadReport, error) {
	done := l.begin("load", "")
	r, err := l.Engine.Load(ctx)
	done(err)
	return r, err
}

// Order implements persimmoncart.Engine.
func (l *Logging) Order(ctx context.Context, order persimmoncart.Order) error {
	done := l.begin("order "+string(order.Kind), "")
	err := l.Engine.Order(ctx, order)
	done(err)
	return err
}

// Prefill implements persimmoncart.Engine.
func (l *Logging) Prefill(ctx context.Context, request persimmoncart.PrefillRequest) (persimmoncart.PrefillResult, error) {
	done := l.begin("prefill", request.Attempt.String())
	r, err := l.Engine.Prefill(ctx, request)
	done(err)
	return r, err
}

// Release implements persimmoncart.Engine.
func (l *Logging) Release(ctx context.Context, attempt persimmoncart.AttemptID) error {
	done := l.begin("release", attempt.String())
	err := l.Engine.Release(ctx, attempt)
	done(err)
	return err
}

// begin returns a function that logs the result and the time of a call that starts
// now.
func (l *Logging) begin(operation, attempt string) func(error) {
	start := l.Timer.Now()
	return func(err error) {
		e := l.Log.Debug()
		if err != nil {
			e = l.Log.Warn().Err(err)
		}
		e.Str("op", operation).Stringer("endpoint", l.Addr).Str("attempt", attempt).
			Dur("took", l.Timer.Now().Sub(start)).Msg("engine call")
	}
}

// A LoggingAll is an Engines that wraps each engine in a Logging.
type LoggingAll struct {
	Engines persimmoncart.Engines
	Log     zerolog.Logger
	Timer   persimmoncart.Timer
}

// Engine implements persimmoncart.Engines.
func (l *LoggingAll) Engine(addr netip.AddrPort) persimmoncart.Engine {
	return &Logging{Addr: addr, Engine: l.Engines.Engine(addr), Log: l.Log, Timer: l.Timer}
}
