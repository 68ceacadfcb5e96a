package forward_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/forward"
	"github.com/persimmoncart/persimmoncart/internal/metrics"
	"github.com/persimmoncart/persimmoncart/internal/objectapi"
	"github.com/persimmoncart/persimmoncart/internal/policy"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

const (
	ledger = persimmoncart.PoolName("ledger")
	llm    = persimmoncart.PoolName("llm")
)

// errReset is the error of a connection that broke after the request was sent.
var errReset = errors.New("connection reset")

// refused returns the error of a request that an endpoint refused before running it.
func refused() error { return &persimmoncart.EndpointRefusedError{Reason: "full"} }

// A recordedCall is one call of a fakeUpstream.
type recordedCall struct {
	Call     persimmoncart.UpstreamCall
	Endpoint persimmoncart.EndpointID
	Op       string
}

// A fakeUpstream records calls and responds to them with the functions that a test
// sets. Their parameter n counts the earlier calls of the same operation.
type fakeUpstream struct {
	identify func(id persimmoncart.EndpointID) error
	prefill  func(n int) error
	reserve  func(n int) error
	send     func(ctx context.Context, n int, call persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error)

	calls []recordedCall
	mutex sync.Mutex
}

// record records a call and returns the number of earlier calls of the same
// operation.
func (u *fakeUpstream) record(s recordedCall) int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	n := 0
	for _, c := range u.calls {
		if c.Op == s.Op {
			n++
		}
	}
	u.calls = append(u.calls, s)
	return n
}

// ops returns the operations of the calls so far.
func (u *fakeUpstream) ops() []string {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	var ops []string
	for _, c := range u.calls {
		ops = append(ops, c.Op)
	}
	return ops
}

// count returns the number of calls of an operation.
func (u *fakeUpstream) count(op string) int {
	n := 0
	for _, o := range u.ops() {
		if o == op {
			n++
		}
	}
	return n
}

func (u *fakeUpstream) Identify(_ context.Context, e *persimmoncart.Endpoint) error {
	u.record(recordedCall{Endpoint: e.ID, Op: "identify"})
	if u.identify == nil {
		return nil
	}
	return u.identify(e.ID)
}

func (u *fakeUpstream) Prefill(_ context.Context, call persimmoncart.UpstreamCall) (persimmoncart.PrefilledCache, error) {
	if n := u.record(recordedCall{Call: call, Endpoint: call.Endpoint.ID, Op: "prefill"}); u.prefill != nil {
		if err := u.prefill(n); err != nil {
			return persimmoncart.PrefilledCache{}, err
		}
	}
	return persimmoncart.PrefilledCache{Source: persimmoncart.CacheSource{Addr: call.Endpoint.Addr, Handle: "h"}}, nil
}

func (u *fakeUpstream) Release(_ context.Context, e *persimmoncart.Endpoint, _ string) error {
	u.record(recordedCall{Endpoint: e.ID, Op: "release"})
	return nil
}

func (u *fakeUpstream) ReleaseReservation(_ context.Context, e *persimmoncart.Endpoint, _ string) error {
	u.record(recordedCall{Endpoint: e.ID, Op: "release-hold"})
	return nil
}

func (u *fakeUpstream) Reserve(_ context.Context, e *persimmoncart.Endpoint, _ int, _ time.Duration) (string, error) {
	if n := u.record(recordedCall{Endpoint: e.ID, Op: "hold"}); u.reserve != nil {
		if err := u.reserve(n); err != nil {
			return "", err
		}
	}
	return "hold-" + string(e.ID), nil
}

func (u *fakeUpstream) Send(ctx context.Context, call persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
	n := u.record(recordedCall{Call: call, Endpoint: call.Endpoint.ID, Op: "send"})
	return u.send(ctx, n, call)
}

// newResponse returns an authenticated response with a body.
func newResponse(status int, body string) *persimmoncart.UpstreamResponse {
	return &persimmoncart.UpstreamResponse{
		Body: io.NopCloser(bytes.NewReader([]byte(body))), Header: http.Header{}, BodyLength: int64(len(body)), Authenticated: true, Status: status,
	}
}

// events returns the events of a stream with the identifiers from first to last.
func events(first, last int) string {
	var b bytes.Buffer
	for id := first; id <= last; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", id, id)
	}
	return b.String()
}

// nextEvent returns the number of the first event that a call asks for, from one.
func nextEvent(call *persimmoncart.UpstreamCall) int {
	last, _ := strconv.Atoi(call.Position.String()) // zero before the first event
	return last + 1
}

// streamed returns a response whose body is text and then returns err.
func streamed(text string, err error) *persimmoncart.UpstreamResponse {
	a := newResponse(http.StatusOK, "")
	a.BodyLength = -1
	a.Body = io.NopCloser(io.MultiReader(bytes.NewReader([]byte(text)), errorReader{err}))
	return a
}

// An errorReader returns its error from every read.
type errorReader struct{ err error }

func (f errorReader) Read([]byte) (int, error) { return 0, f.err }

// A fixture is a router with fake endpoints.
type fixture struct {
	Directory *forward.Directory
	Router    *forward.Router
	Store     *objectapi.Faulty // of the records of streams
	Upstream  *fakeUpstream

	body      string                      // of requests
	parts     []persimmoncart.RequestPart // of the prompts of generations
	readPause time.Duration               // pause of the caller before each read
}

// newFixture returns a fixture with three application endpoints, two prefill and
// two decode engines.
func newFixture(t testing.TB) *fixture {
	t.Helper()
	return newFixtureWith(t, directoryOptions{})
}

// directoryOptions are the options of a fixture's Directory.
type directoryOptions struct {
	adaptive bool
	pressure bool
}

// newFixtureWith returns the same with options of the Directory.
func newFixtureWith(t testing.TB, options directoryOptions) *fixture {
	t.Helper()
	clock := &timer.System{}
	d := &forward.Directory{
		Adaptive:   options.adaptive,
		Home:       persimmoncart.Instance{DataCentre: "d1", ID: "i1", Region: "r1"},
		Logger:     zerolog.Nop(),
		Pressure:   options.pressure,
		Random:     rand.New(rand.NewPCG(1, 1)),
		RetryRatio: 0.2, RetrySlack: 2, RetrySpan: 10 * time.Second,
		Timer: clock,
	}
	var list []persimmoncart.Endpoint
	add := func(id string, pool persimmoncart.PoolName, role persimmoncart.Role) {
		list = append(list, persimmoncart.Endpoint{
			Addr:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(len(list) + 1)}), 80),
			DataCentre: "d1", ID: persimmoncart.EndpointID(id), Incarnation: 1, Pool: pool, Region: "r1", Role: role, Slots: 6, Software: "v1",
		})
	}
	for _, id := range []string{"a1", "a2", "a3"} {
		add(id, ledger, persimmoncart.RoleApplication)
	}
	for _, id := range []string{"p1", "p2"} {
		add(id, llm, persimmoncart.RolePrefill)
	}
	for _, id := range []string{"d1", "d2"} {
		add(id, llm, persimmoncart.RoleDecode)
	}
	d.SetTable(table(1))
	d.SetEndpoints(list, nil)
	store := &objectapi.Faulty{Store: &objectapi.Memory{Timer: clock}, Timer: clock}
	streams := &forward.StreamRecords{Directory: d, Logger: zerolog.Nop(), Self: d.Home, Store: store, Timer: clock}
	d.EndpointsChanged = streams.Signal
	streams.Signal()
	go func() { _ = streams.Run(t.Context()) }()
	u := &fakeUpstream{}
	return &fixture{Directory: d, Store: store, Upstream: u, Router: &forward.Router{
		Directory: d, GracePeriod: policy.NewGracePeriod(8 * time.Second), Logger: zerolog.Nop(), Metrics: metrics.New(), Quarantine: &forward.Quarantine{Logger: zerolog.Nop(), Timer: clock}, StoreReachable: func() bool { return true }, Streams: streams, Timer: clock, Upstream: u,
	}}
}

// restart replaces the process of a decode engine.
func (f *fixture) restart(id string, incarnation persimmoncart.Incarnation) {
	for _, e := range f.Directory.Engines()[llm] {
		if string(e.ID) == id {
			e.Incarnation = incarnation
			f.Directory.Put(e)
		}
	}
}

// addDecodeEngines adds decode engines, and requests whose share of the retry budget
// allows a retry for each.
func (f *fixture) addDecodeEngines(count int) {
	for n := range count {
		f.Directory.Put(persimmoncart.Endpoint{
			Addr:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 2, byte(n)}), 80),
			DataCentre: "d1", ID: persimmoncart.EndpointID(fmt.Sprintf("e%d", n)), Incarnation: 1, Pool: llm, Region: "r1",
			Role: persimmoncart.RoleDecode, Slots: 12, Software: "v1",
		})
	}
	for range 20 * count {
		f.Directory.RecordRequest(llm)
	}
}

// table returns a version of the routes of the tests.
func table(version uint64) *persimmoncart.ForwardTable {
	route := func(prefix string, repeat persimmoncart.Repeat, pool persimmoncart.PoolName) *persimmoncart.ForwardRoute {
		r := &persimmoncart.ForwardRoute{
			MaxAttempts: 2, Host: "h", Name: persimmoncart.RouteName(prefix), LatencyTarget: 200 * time.Millisecond,
			Pools: []persimmoncart.WeightedPool{{Pool: pool, Weight: 1}}, Prefix: prefix, Repeat: repeat, Timeout: 2 * time.Second,
		}
		if pool == llm {
			r.LatencyTarget, r.Timeout, r.CallerIdleTimeout = 900*time.Millisecond, 14*time.Second, 3600*time.Millisecond
			r.GapTarget, r.Stream = 300*time.Millisecond, true
		}
		return r
	}
	return &persimmoncart.ForwardTable{
		Pools: map[persimmoncart.PoolName]*persimmoncart.ForwardPool{
			ledger: {Name: ledger},
			llm: {Name: llm, Engine: &persimmoncart.EngineCapacity{
				CacheTTL: 500 * time.Millisecond, KVTokens: 32000, MaxReservation: 2 * time.Second, Slots: 12,
			}},
		},
		Routes: map[string][]*persimmoncart.ForwardRoute{"h": {
			route("/draft/", persimmoncart.RepeatNever, llm),
			route("/long/", persimmoncart.RepeatResume, llm),
			route("/look/", persimmoncart.RepeatAlways, ledger),
			route("/pay/", persimmoncart.RepeatNever, ledger),
		}},
		Version: version,
	}
}

// serve serves one request and reads its response. If there is a response, the
// error is the one that its body ended with, nil for a complete body.
func (f *fixture) serve(ctx context.Context, path string) (status int, body string, err error) {
	r := &persimmoncart.ForwardRequest{
		Arrived: time.Now(), Body: []byte(f.body), Deadline: time.Now().Add(14 * time.Second), Header: http.Header{}, Host: "h",
		ID: "q1", Method: http.MethodPost, Target: path + "x",
	}
	if path == "/draft/" || path == "/long/" {
		r.Generation = &persimmoncart.GenerationSize{ExpectedOutputTokens: 800, MaxOutputTokens: 2000, PromptParts: f.parts, PromptTokens: 3200}
	}
	a, err := f.Router.Serve(ctx, r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = a.Body.Close() }()
	var b bytes.Buffer
	for {
		time.Sleep(f.readPause)
		piece, err := a.Body.Next()
		if errors.Is(err, io.EOF) {
			return a.Status, b.String(), nil
		}
		if err != nil {
			return a.Status, b.String(), err
		}
		b.Write(piece)
	}
}

// refusal returns the refusal that err wraps.
func refusal(t *testing.T, err error) *persimmoncart.Refusal {
	t.Helper()
	r := &persimmoncart.Refusal{}
	assert.Assert(t, errors.As(err, &r), "%v", err)
	return r
}

// assertOps fails the test if the operations of the calls so far are not the wanted
// ones.
func (f *fixture) assertOps(t *testing.T, want ...string) {
	t.Helper()
	got := f.Upstream.ops()
	assert.Assert(t, slices.Equal(got, want), "%v, want %v", got, want)
}
