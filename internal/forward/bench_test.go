package forward_test

import (
	"bytes"
	"context"
	"io"
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
)

// An instantUpstream responds to every call at once and records nothing.
type instantUpstream struct {
	persimmoncart.Upstream
	body   func() io.ReadCloser
	length int64
}

func (*instantUpstream) Prefill(_ context.Context, call persimmoncart.UpstreamCall) (persimmoncart.PrefilledCache, error) {
	return persimmoncart.PrefilledCache{Source: persimmoncart.CacheSource{Addr: call.Endpoint.Addr, Handle: "h"}}, nil
}

func (*instantUpstream) Reserve(context.Context, *persimmoncart.Endpoint, int, time.Duration) (string, error) {
	return "h", nil
}

func (u *instantUpstream) Send(context.Context, persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
	return &persimmoncart.UpstreamResponse{Body: u.body(), Header: http.Header{}, BodyLength: u.length, Authenticated: true, Status: http.StatusOK}, nil
}

// A tokenReader returns one event for each read, until left is zero.
type tokenReader struct {
	left int
	text []byte
}

func (*tokenReader) Close() error { return nil }

func (r *tokenReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	r.left--
	return copy(p, r.text), nil
}

// request returns a request for a path.
func request(path string) *persimmoncart.ForwardRequest {
	now := time.Now()
	r := &persimmoncart.ForwardRequest{
		Arrived: now, Deadline: now.Add(14 * time.Second), Header: http.Header{}, Host: "h", ID: "q1",
		Method: http.MethodPost, Target: path + "x",
	}
	if path != "/look/" {
		r.Generation = &persimmoncart.GenerationSize{ExpectedOutputTokens: 800, MaxOutputTokens: 2000, PromptTokens: 3200}
	}
	return r
}

// drain serves one request and reads its response.
func (f *fixture) drain(tb testing.TB, path string) {
	tb.Helper()
	response, err := f.Router.Serve(tb.Context(), request(path))
	assert.NilError(tb, err)
	for {
		if _, err = response.Body.Next(); err != nil {
			break
		}
	}
	assert.Assert(tb, errors.Is(err, io.EOF))
	assert.NilError(tb, response.Body.Close())
}

// newInstantFixture returns a fixture whose streams have the given number of
// events. With zero events, responses are not streams.
func newInstantFixture(tb testing.TB, events int) *fixture {
	tb.Helper()
	f := newFixture(tb)
	text := []byte("id: 1\ndata: token\n\n")
	u := &instantUpstream{length: -1, body: func() io.ReadCloser { return &tokenReader{left: events, text: text} }}
	if events == 0 {
		u.body, u.length = func() io.ReadCloser { return io.NopCloser(bytes.NewReader(text)) }, int64(len(text))
	}
	f.Router.Upstream = u
	return f
}

// Guards against an allocation for each event of a stream: at the planned rate an
// instance passes on 10,250 events per second.
func TestEventAllocates(t *testing.T) {
	f := newInstantFixture(t, math.MaxInt)
	response, err := f.Router.Serve(t.Context(), request("/long/"))
	assert.NilError(t, err)
	allocations := testing.AllocsPerRun(1000, func() {
		_, err = response.Body.Next()
	})
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, allocations, 0.0)
}

// BenchmarkPlain measures the routing of a request whose response is one body.
func BenchmarkPlain(b *testing.B) {
	f := newInstantFixture(b, 0)
	b.ReportAllocs()
	for b.Loop() {
		f.drain(b, "/look/")
	}
}

// BenchmarkGeneration measures the routing of a generation with one event.
func BenchmarkGeneration(b *testing.B) {
	f := newInstantFixture(b, 1)
	b.ReportAllocs()
	for b.Loop() {
		f.drain(b, "/draft/")
	}
}

// BenchmarkEvent measures one event of a stream that may resume.
func BenchmarkEvent(b *testing.B) {
	f := newInstantFixture(b, math.MaxInt)
	response, err := f.Router.Serve(b.Context(), request("/long/"))
	assert.NilError(b, err)
	defer func() { assert.NilError(b, response.Body.Close()) }()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := response.Body.Next(); err != nil {
			b.Fatal(err)
		}
	}
}
