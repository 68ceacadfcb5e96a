package entry_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/entry"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// A listener accepts connections in memory, so that tests run in virtual time.
type listener struct {
	closed      chan struct{}
	connections chan net.Conn
	once        sync.Once
}

func newListener() *listener {
	return &listener{closed: make(chan struct{}), connections: make(chan net.Conn)}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.connections:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// dial connects to the listener.
func (l *listener) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.connections <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// parts are fakes of everything behind an instance: one engine that yields a
// token each 10 ms and one application.
type parts struct {
	held  map[persimmoncart.AttemptID]bool
	mutex sync.Mutex
}

// count returns the number of attempts that hold memory.
func (p *parts) count() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.held)
}

func (p *parts) hold(id persimmoncart.AttemptID, held bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if held {
		p.held[id] = true
	} else {
		delete(p.held, id)
	}
}

func (p *parts) Application(netip.AddrPort) persimmoncart.Application { return application{} }

func (p *parts) Engine(netip.AddrPort) persimmoncart.Engine { return engine{parts: p} }

// An application answers with the body of the call.
type application struct{ persimmoncart.Application }

func (application) Call(_ context.Context, q persimmoncart.CallRequest) (*persimmoncart.CallResponse, error) {
	return &persimmoncart.CallResponse{Attempt: q.Attempt, Body: q.Body, Status: http.StatusOK}, nil
}

// An engine serves every phase at once.
type engine struct {
	persimmoncart.Engine
	parts *parts
}

func (e engine) Cancel(_ context.Context, id persimmoncart.AttemptID) error {
	e.parts.hold(id, false)
	return nil
}

func (e engine) Decode(_ context.Context, q persimmoncart.DecodeRequest) (persimmoncart.TokenStream, error) {
	return &stream{parts: e.parts, request: q}, nil
}

func (e engine) Import(_ context.Context, q persimmoncart.ImportRequest) error {
	e.parts.hold(q.Attempt, true)
	return nil
}

func (e engine) Prefill(_ context.Context, q persimmoncart.PrefillRequest) (persimmoncart.PrefillResult, error) {
	return persimmoncart.PrefillResult{Attempt: q.Attempt}, nil
}

func (e engine) Release(context.Context, persimmoncart.AttemptID) error { return nil }

type stream struct {
	parts   *parts
	next    int
	request persimmoncart.DecodeRequest
}

func (s *stream) Close() error {
	s.parts.hold(s.request.Attempt, false)
	return nil
}

func (s *stream) Next(ctx context.Context) (persimmoncart.Token, error) {
	select {
	case <-ctx.Done():
		return persimmoncart.Token{}, ctx.Err()
	case <-time.After(10 * time.Millisecond):
	}
	s.next++
	return persimmoncart.Token{Attempt: s.request.Attempt, Index: s.next - 1, Last: s.next == 100, Text: "t"}, nil
}

type places struct{}

func (places) Commit(context.Context, persimmoncart.GrantID) error { return nil }
func (places) Done(persimmoncart.CallResult)                       {}
func (places) Pick(context.Context, persimmoncart.PickRequest) (persimmoncart.Endpoint, error) {
	return persimmoncart.Endpoint{ID: "one"}, nil
}
func (places) PrefillDone(persimmoncart.GrantID) {}
func (places) Release(persimmoncart.GrantID)     {}
func (places) Reserve(context.Context, persimmoncart.ReserveRequest) (persimmoncart.Grant, error) {
	return persimmoncart.Grant{}, nil
}

// A fixed configuration never changes.
type fixed struct{ snapshot *persimmoncart.Snapshot }

func (f fixed) Snapshot() *persimmoncart.Snapshot                   { return f.snapshot }
func (fixed) Subscribe(func(*persimmoncart.Snapshot)) (stop func()) { return func() {} }

// A rig is a running instance with a client.
type rig struct {
	cancel context.CancelFunc
	client *http.Client
	done   chan error
	parts  *parts
}

// start runs an instance with a grace of one second.
func start(t *testing.T) *rig {
	t.Helper()
	p := &parts{held: make(map[persimmoncart.AttemptID]bool)}
	l := newListener()
	ctx, cancel := context.WithCancel(context.Background())
	r := &rig{
		cancel: cancel,
		client: &http.Client{Transport: &http.Transport{DialContext: l.dial}},
		done:   make(chan error, 1),
		parts:  p,
	}
	i := &entry.Instance{
		Applications: p,
		Balancer:     places{},
		Configuration: fixed{&persimmoncart.Snapshot{
			Keys: map[persimmoncart.KeyHash]*persimmoncart.Account{sha256.Sum256([]byte("key")): {Name: "dar"}},
			Pools: map[persimmoncart.PoolName]*persimmoncart.Pool{
				"hull": {Name: "hull"},
				"yard": {Name: "yard", Role: persimmoncart.RoleApplication},
			},
			Routes: map[persimmoncart.RouteName]*persimmoncart.Route{
				"draft": {Models: []persimmoncart.ModelName{"hull-llm"}, Name: "draft", Pool: "hull"},
				"stock": {Name: "stock", Pool: "yard", Repeat: true},
			},
			Version: 1,
		}},
		Engines:  p,
		Grace:    time.Second,
		Listener: l,
		Logger:   zerolog.Nop(),
		Places:   places{},
		Self:     persimmoncart.Instance{ID: "i"},
		Timer:    &timer.System{},
	}
	go func() { r.done <- i.Run(ctx) }()
	synctest.Wait()
	return r
}

// do sends one request; an empty body makes it a GET.
func (r *rig) do(ctx context.Context, t *testing.T, path, body string) (*http.Response, error) {
	t.Helper()
	method := http.MethodGet
	if body != "" {
		method = http.MethodPost
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://entry"+path, strings.NewReader(body))
	assert.NilError(t, err)
	q.Header.Set("Authorization", "Bearer key")
	return r.client.Do(q)
}

// stop ends the instance and returns its error.
func (r *rig) stop() error {
	r.cancel()
	err := <-r.done
	r.client.CloseIdleConnections()
	return err
}

const draft = `{"model":"hull-llm","prompt":"p","stream":true}`

// Guards against an assembly whose parts do not reach each other.
func TestInstanceServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := start(t)
		for path, want := range map[string]string{"/healthz": "ok\n", "/readyz": "ready\n"} {
			response, err := r.do(t.Context(), t, path, "")
			assert.NilError(t, err)
			assert.Equal(t, read(t, response), want)
		}
		response, err := r.do(t.Context(), t, "/stock/lots", "body")
		assert.NilError(t, err)
		assert.Equal(t, read(t, response), "body")
		response, err = r.do(t.Context(), t, "/v1/completions", draft)
		assert.NilError(t, err)
		text := read(t, response)
		assert.Equal(t, strings.Count(text, `"text":"t"`), 100)
		assert.Assert(t, strings.HasSuffix(text, "data: [DONE]\n\n"))
		assert.NilError(t, r.stop())
	})
}

// Guards against a planned stop that cuts a stream, loses the time of the load
// balancer, or does not end once nothing is in flight.
func TestInstanceStopsGracefully(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := start(t)
		time.Sleep(time.Second)
		response, err := r.do(t.Context(), t, "/v1/completions", draft) // takes one second
		assert.NilError(t, err)
		begin := time.Now()
		r.cancel()
		time.Sleep(500 * time.Millisecond)
		ready, err := r.do(t.Context(), t, "/readyz", "")
		assert.NilError(t, err)
		assert.Equal(t, ready.StatusCode, http.StatusServiceUnavailable)
		read(t, ready)
		late, err := r.do(t.Context(), t, "/v1/completions", draft) // before the load balancer has noticed
		assert.NilError(t, err)
		assert.Assert(t, late.Close)
		assert.Equal(t, strings.Count(read(t, response), `"text":"t"`), 100)
		assert.Equal(t, strings.Count(read(t, late), `"text":"t"`), 100)
		assert.NilError(t, r.stop())
		assert.Assert(t, time.Since(begin) < 3*time.Second, "%s", time.Since(begin))
	})
}

// Guards against memory that stays held when a caller disconnects.
func TestInstanceCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := start(t)
		ctx, cancel := context.WithCancel(t.Context())
		response, err := r.do(ctx, t, "/v1/completions", draft)
		assert.NilError(t, err)
		_, err = bufio.NewReader(response.Body).ReadString('\n')
		assert.NilError(t, err)
		assert.Equal(t, r.parts.count(), 1)
		cancel()
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, r.parts.count(), 0)
		assert.NilError(t, r.stop())
	})
}

// Guards against callers that occupy an instance by sending or reading slowly.
func TestInstanceSlowCallers(t *testing.T) {
	tests := map[string]struct {
		send string
		read bool
	}{
		"header":  {send: "POST /v1/completions HTTP/1.1\r\nHost: entry\r\n", read: true},
		"body":    {send: "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer key\r\nContent-Length: 100\r\n\r\n{", read: true},
		"reading": {send: fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n%s", len(draft), draft)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := start(t)
				connection, err := r.client.Transport.(*http.Transport).DialContext(t.Context(), "", "")
				assert.NilError(t, err)
				_, err = io.WriteString(connection, test.send)
				assert.NilError(t, err)
				if test.read {
					go io.Copy(io.Discard, connection)
				}
				time.Sleep(20 * time.Second)
				assert.Equal(t, r.parts.count(), 0)
				begin := time.Now()
				assert.NilError(t, r.stop())
				assert.Assert(t, time.Since(begin) < 2*time.Second, "the caller still occupied the instance")
				connection.Close()
			})
		})
	}
}

// read returns the whole body of a response.
func read(t *testing.T, response *http.Response) string {
	t.Helper()
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return string(data)
}
