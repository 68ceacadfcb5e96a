package rig

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/persimmoncart/persimmoncart/internal/timer"
	"github.com/persimmoncart/persimmoncart/platform/standin"
	"github.com/persimmoncart/persimmoncart/platform/wire"
)

const (
	// Engines is the pool of the engines.
	Engines = "hull-llm"
	// EngineSlots is the number of requests that an engine runs at the same time.
	EngineSlots = 12
	// enginesZone is the data centre of all engines.
	enginesZone = "sfax-hall1"
	// kvTokens is the memory of an engine, tokens.
	kvTokens = 33736
)

// An Engine is a decode engine. Its exported fields are set before Start.
type Engine struct {
	Addr       netip.AddrPort // Start sets it if it is not valid
	Events     int            // of a stream
	FirstEvent time.Duration  // from the header of a response to its first event
	FirstID    int            // identifier of the first event
	Interval   time.Duration  // between two events; SetInterval changes it
	KeepsRuns  bool           // does not drop a request when its channel closes
	Name       string
	Software   string // version of its software, which each event states; empty for v1, not stated

	born        time.Time
	connections map[net.Conn]struct{}
	listener    net.Listener
	mutex       sync.Mutex
	pending     int
	runs        map[string]*Run
	running     int
	serial      int
}

// A Run is the work of an engine on one request.
type Run struct {
	Ended time.Time // zero before the end
	Began time.Time
}

// Start serves the engine and writes its record to the store.
func (e *Engine) Start(ctx context.Context, r *Rig) {
	e.Serve(ctx)
	e.PutRecord(r)
}

// Serve serves the engine at its address or, without one, on a free port.
func (e *Engine) Serve(ctx context.Context) {
	listen := e.Addr
	if !listen.IsValid() {
		listen = netip.MustParseAddrPort("127.0.0.1:0")
	}
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp4", listen.String())
	if err != nil {
		panic(err)
	}
	e.Addr, e.born = netip.MustParseAddrPort(l.Addr().String()), time.Now()
	e.listener, e.connections, e.runs = l, make(map[net.Conn]struct{}), make(map[string]*Run)
	server := &http.Server{Handler: e, ReadHeaderTimeout: time.Minute, ConnState: e.connState}
	go func() { _ = server.Serve(l) }()
}

// PutRecord writes the engine's record to the store.
func (e *Engine) PutRecord(r *Rig) {
	r.Store.PutEndpoint(&standin.EndpointRecord{
		Addr: e.Addr, Born: e.born, DataCentre: enginesZone, ID: e.Name, Pool: Engines, Role: "decode", Slots: EngineSlots, Software: e.software(),
	})
}

// software returns the version of the engine's software.
func (e *Engine) software() string {
	if e.Software == "" {
		return "v1"
	}
	return e.Software
}

// connState keeps the open connections.
func (e *Engine) connState(c net.Conn, s http.ConnState) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if s == http.StateClosed {
		delete(e.connections, c)
		return
	}
	e.connections[c] = struct{}{}
}

// Crash ends the engine: its port is closed, and its connections are reset.
func (e *Engine) Crash() {
	_ = e.listener.Close()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for c := range e.connections {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// SetInterval changes the time between two events.
func (e *Engine) SetInterval(d time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.Interval = d
}

// Pending returns the number of streams that have begun and have no event yet.
func (e *Engine) Pending() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.pending
}

// RunOf returns the engine's run of a request, if it has run it.
func (e *Engine) RunOf(id string) (Run, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if run, found := e.runs[id]; found {
		return *run, true
	}
	return Run{}, false
}

// RanAt returns the engines at which a request ran, with their versions.
func RanAt(engines []*Engine, id string) []string {
	var names []string
	for _, e := range engines {
		if _, found := e.RunOf(id); found {
			names = append(names, e.Name+" "+e.software())
		}
	}
	return names
}

// event returns an event of a stream.
func (e *Engine) event(id int) string {
	if e.Software == "" {
		return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id)
	}
	return fmt.Sprintf("id: %d\ndata: piece %d by %s\n\n", id, id, e.Software)
}

// Whole returns the events of a whole stream.
func (e *Engine) Whole() string {
	var b strings.Builder
	for n := range e.Events {
		b.WriteString(e.event(e.FirstID + n))
	}
	return b.String()
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	if id != "" {
		w.Header().Set("X-Attempt-Id", id)
	}
	switch {
	case r.Header.Get("X-Expect-Instance") != e.Name:
		w.Header().Set("X-Replica-Id", e.Name)
		w.WriteHeader(http.StatusMisdirectedRequest)
	case r.URL.Path == "/persimmoncart/hold-take":
		e.mutex.Lock()
		e.serial++
		hold := fmt.Sprintf("%s-%d", e.Name, e.serial)
		e.mutex.Unlock()
		reply(w, map[string]any{"hold": hold})
	case r.URL.Path == "/persimmoncart/report":
		reply(w, map[string]any{"stage": "decode", "born": e.born.UnixMilli(), "busy": false, "seq": 0, "queued": 0, "running": 0, "kv-used": 0, "kv-total": kvTokens})
	case strings.HasPrefix(r.URL.Path, "/persimmoncart/"):
		w.WriteHeader(http.StatusOK)
	default:
		_, _ = io.Copy(io.Discard, r.Body) // a request that ends early has no run
		e.serve(w, r, id)
	}
}

// serve runs a request if a slot is free.
func (e *Engine) serve(w http.ResponseWriter, r *http.Request, id string) {
	e.mutex.Lock()
	if e.running >= EngineSlots {
		e.mutex.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	run := &Run{Began: time.Now()}
	e.running++
	e.pending++
	e.runs[id] = run
	e.mutex.Unlock()
	defer func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		e.running--
		run.Ended = time.Now()
	}()
	e.stream(w, r)
}

// stream writes the events after the request's Last-Event-Id.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request) {
	next := e.FirstID
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		next = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Seal", e.Name)
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	_ = control.Flush() // the next write shows a failure
	left := r.Context().Done()
	if e.KeepsRuns {
		left = nil
	}
	pause := e.FirstEvent
	for n := next; n < e.FirstID+e.Events; n++ {
		select {
		case <-left:
			panic(http.ErrAbortHandler)
		case <-time.After(pause):
		}
		e.mutex.Lock()
		if pause = e.Interval; n == next {
			e.pending--
		}
		e.mutex.Unlock()
		_, _ = io.WriteString(w, e.event(n)) // the client may be gone
		_ = control.Flush()
	}
}

// reply writes a response with an encoded body.
func reply(w http.ResponseWriter, value any) {
	data, err := wire.Marshal(value)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", wire.ContentType)
	_, _ = w.Write(data) // the client detects a short response
}

// StartPrefill starts a prefill engine and writes its record to the store.
func StartPrefill(ctx context.Context, r *Rig, name string) {
	e := &standin.Endpoint{
		Born: time.Now(), ID: name, Role: "prefill", Slots: EngineSlots, Software: "v1", Timer: &timer.System{}, WorkTime: 15 * time.Millisecond,
	}
	r.Store.PutEndpoint(&standin.EndpointRecord{
		Addr: MustServe(ctx, e), Born: e.Born, DataCentre: enginesZone, ID: name, Pool: Engines, Role: e.Role, Slots: EngineSlots, Software: e.Software,
	})
}

// StreamDeadline is the deadline of streams and the timeout of their route.
const StreamDeadline = 14 * time.Second

// PutStreamRoute writes a configuration with one route of resumable streams to the
// engines.
func (r *Rig) PutStreamRoute(name string) {
	r.Store.PutConfiguration(7, []standin.Route{{
		Kind: standin.KindStreaming, LatencyTarget: 900 * time.Millisecond, MaxAttempts: 2, Name: name, Pool: Engines, Resumable: true, Timeout: StreamDeadline,
	}}, map[string]standin.EngineCapacity{Engines: {KVTokens: kvTokens, Slots: EngineSlots}})
}

// SendStream sends a request for a stream to an instance and returns the body of its
// response. The error is that of a stream that is not complete.
func SendStream(ctx context.Context, p *Process, route, id string) (string, error) {
	request, err := (&standin.Request{
		Addr: p.Callers, Body: "dossier " + id, Generation: true, ID: id, Parts: "5c" + id + ":200," + id + ":1800",
		Path: "/" + route + "/lot", Timeout: StreamDeadline,
	}).HTTP(ctx)
	if err != nil {
		return "", err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }() // it has been read
	data, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", response.StatusCode)
	}
	return string(data), err
}
