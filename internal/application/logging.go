package application

import (
	"context"
	"net/netip"

	"github.com/rs/zerolog"

	"github.com/persimmoncart/persimmoncart"
)

var (
	_ persimmoncart.Application  = (*Logging)(nil)
	_ persimmoncart.Applications = (*LoggingAll)(nil)
)

// A Logging is an Application that logs failed calls as warnings and all calls
// at debug level. Bodies are never logged.
type Logging struct {
	Addr        netip.AddrPort
	Application persimmoncart.Application
	Logger      zerolog.Logger
	Timer       persimmoncart.Timer
}

// Call implements persimmoncart.Application.
func (l *Logging) Call(ctx context.Context, request persimmoncart.CallRequest) (*persimmoncart.CallResponse, error) {
	start := l.Timer.Now()
	r, err := l.Application.Call(ctx, request)
	e := l.Logger.Debug()
	if err != nil {
		e = l.Logger.Warn().Err(err)
	}
	e.Str("op", "call").Stringer("endpoint", l.Addr).Stringer("attempt", request.Attempt).
		Str("method", request.Method).Dur("took", l.Timer.Now().Sub(start)).Msg("application call")
	return r, err
}

// Load implements persimmoncart.Application.
func (l *Logging) Load(ctx context.Context) (persimmoncart.LoadReport, error) {
	r, err := l.Application.Load(ctx)
	if err != nil {
		l.Logger.Warn().Err(err).Str("op", "load").Stringer("endpoint", l.Addr).Msg("application call")
	}
	return r, err
}

// A LoggingAll is an Applications that wraps each endpoint in a Logging.
type LoggingAll struct {
	Applications persimmoncart.Applications
	Logger       zerolog.Logger
	Timer        persimmoncart.Timer
}

// Application implements persimmoncart.Applications.
func (l *LoggingAll) Application(addr netip.AddrPort) persimmoncart.Application {
	return &Logging{Addr: addr, Application: l.Applications.Application(addr), Logger: l.Logger, Timer: l.Timer}
}
