package inbound

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/metrics"
)

const (
	// retryAfter is the pause before a client sends a request again that did not fit.
	retryAfter = time.Second
	// reportPeriod is the time between two log lines on the same refusal or cut.
	reportPeriod = time.Second
)

// A Guard bounds what the clients of a process make it hold. Its exported fields are set
// before use.
type Guard struct {
	Budget      *Budget
	Descriptors int                                // that the process may open; zero if unknown
	Limits      func() persimmoncart.ForwardLimits // of the configuration in force
	Logger      zerolog.Logger
	Metrics     *metrics.Metrics
	Timer       persimmoncart.Timer

	dismissing chan struct{} // holds one element for each connection that is being refused
	mutex      sync.Mutex
	once       sync.Once
	reports    map[report]int // times that each was seen since its last log line
}

// Callers protects the server of callers: it sets the server's hooks and handler, and
// returns the listener to serve.
func (g *Guard) Callers(s *http.Server, l net.Listener) net.Listener {
	return g.protect(s, l, "callers", callerConnections(g.Descriptors), false)
}

// Checks protects a server for readiness checks and metrics in the same way. No bodies are
// read there.
func (g *Guard) Checks(s *http.Server, l net.Listener, name string) net.Listener {
	return g.protect(s, l, name, checkConnections(g.Descriptors), true)
}

// protect sets the hooks and the handler of a server and returns the listener to serve.
func (g *Guard) protect(s *http.Server, inner net.Listener, name string, bound int, checks bool) net.Listener {
	g.once.Do(func() {
		g.dismissing = make(chan struct{}, dismissedConnections(g.Descriptors))
		for _, kind := range Kinds {
			g.Metrics.RegisterHeldBytes(kind.String(), func() float64 { return float64(g.Budget.Held(kind)) })
		}
	})
	l := &Listener{Listener: inner, bound: bound, checks: checks, connections: make(map[*Conn]struct{}), guard: g}
	g.Metrics.RegisterConnections(name, func() float64 { return float64(l.open()) })
	connContext, connState, next := s.ConnContext, s.ConnState, s.Handler
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if k, ok := c.(*Conn); ok && state == http.StateIdle {
			k.becomeIdle()
		}
		if connState != nil {
			connState(c, state)
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serve(w, r, next) })
	return l
}

// A connKey is the key of a request's connection in its context.
type connKey struct{}

// connOf returns the connection of a request; nil if it is not protected.
func connOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// serve serves a request of a protected server.
func serve(w http.ResponseWriter, r *http.Request, next http.Handler) {
	c := connOf(r.Context())
	if c == nil {
		next.ServeHTTP(w, r)
		return
	}
	defer c.endRequest()
	if !c.beginRequest(r) {
		c.guard.refuse(persimmoncart.RefusalMemory, phaseHead)
		w.Header().Set("Retry-After", retryAfterText)
		LeaveBody(w, r, true)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if c.listener.checks && r.ContentLength != 0 {
		LeaveBody(w, r, true)
	}
	next.ServeHTTP(w, r)
}

// LeaveBody is called before a response is written to a request whose body is not read to
// its end. Net/http reads what is left of a short one, so that the connection can be kept:
// for drainTime at most, and not if the connection closes.
func LeaveBody(w http.ResponseWriter, r *http.Request, closes bool) {
	if closes {
		w.Header().Set("Connection", "close")
	}
	if c := connOf(r.Context()); c != nil && r.ContentLength != 0 {
		_ = c.SetReadDeadline(c.guard.Timer.Now().Add(drainTime)) // fails only on a closed connection
	}
}

// limits returns the limits in force.
func (g *Guard) limits() limits { return newLimits(g.Limits()) }

// refuse counts and logs a request that is refused, or could not be read.
func (g *Guard) refuse(code persimmoncart.RefusalCode, p phase) {
	g.Metrics.CountRefusal(code)
	g.report(code, p)
}

// reportCut counts and logs a connection that is cut, for want of memory or progress.
func (g *Guard) reportCut(code persimmoncart.RefusalCode, p phase) {
	g.Metrics.CountCut(string(code), p.String())
	g.report(code, p)
}

// A report is what one log line tells of.
type report struct {
	code  persimmoncart.RefusalCode
	phase phase
}

// report logs a refusal or a cut: one line each reportPeriod, with the number of times.
func (g *Guard) report(code persimmoncart.RefusalCode, p phase) {
	r := report{code: code, phase: p}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.reports == nil {
		g.reports = make(map[report]int)
	}
	times, found := g.reports[r]
	g.reports[r] = times + 1
	if !found {
		g.log(r)
		g.Timer.After(reportPeriod, func(time.Time) { g.endReport(r) })
	}
}

// endReport logs what was seen of a report since its last line, and waits for the next
// ones as long as there are some.
func (g *Guard) endReport(r report) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.reports[r] == 0 {
		delete(g.reports, r)
		return
	}
	g.log(r)
	g.Timer.After(reportPeriod, func(time.Time) { g.endReport(r) })
}

// log writes the line of a report. The caller holds the mutex.
func (g *Guard) log(r report) {
	times := g.reports[r]
	g.reports[r] = 0
	total := int64(0)
	for _, kind := range Kinds {
		total += g.Budget.Held(kind)
	}
	reason := "client makes no progress"
	switch {
	case r.code == persimmoncart.RefusalHeadTooLarge:
		reason = "head is too large"
	case r.code == persimmoncart.RefusalMemory && r.phase == phaseBody:
		reason = "too many bodies at once"
	case r.code == persimmoncart.RefusalMemory:
		reason = "too many bytes or connections at once"
	}
	g.Logger.Warn().Str("code", string(r.code)).Stringer("phase", r.phase).Str("reason", reason).Int("times", times).
		Int64("held", total).Int64("bound", g.Budget.Bytes).Msg("clients refused")
}
