package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/timer"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

// Guards against a parseFast that parses a line differently from encoding/json.
func FuzzTokenParser(f *testing.F) {
	attempt := persimmoncart.AttemptID{Request: "r", Number: 1}
	for _, t := range []persimmoncart.Token{
		{Attempt: attempt, Text: " word"},
		{Attempt: attempt, Last: true, Text: "\"\\\n\x00é\u2028"},
		{Attempt: persimmoncart.AttemptID{Request: "r"}, Index: 3},
	} {
		f.Add(bytes.TrimRight(appendToken(nil, t), "\n"))
	}
	f.Add([]byte(`data: {"attempt":"r/1","index":00,"text":""}`))
	f.Add([]byte(`data: {"attempt":"r/1","index":0,"text":"a","last":true} `))
	f.Fuzz(func(t *testing.T, line []byte) {
		p := newTokenParser(attempt, 0)
		fast, ok := p.parseFast(line)
		if ok {
			var w wireToken
			assert.NilError(t, json.Unmarshal(line[len(dataPrefix):], &w))
			assert.Equal(t, fast, persimmoncart.Token{Attempt: w.Attempt, Index: w.Index, Last: w.Last, Text: w.Text})
		}
		token, err := p.parse(line)
		if err == nil {
			again, err := newTokenParser(attempt, 0).parse(bytes.TrimRight(appendToken(nil, token), "\n"))
			assert.NilError(t, err)
			assert.Equal(t, again, token)
		}
		_, _ = parseCacheEvent(line)
	})
}

// Guards against a reader that loops, panics or reports a truncated stream as
// complete.
func FuzzTokenStream(f *testing.F) {
	attempt := persimmoncart.AttemptID{Request: "r", Number: 1}
	b := appendToken(nil, persimmoncart.Token{Attempt: attempt, Text: "a"})
	b = appendToken(b, persimmoncart.Token{Attempt: attempt, Index: 1, Last: true, Text: "b"})
	f.Add(b)
	f.Add(b[:len(b)-4])
	f.Fuzz(func(t *testing.T, body []byte) {
		s := &clientTokenStream{
			lineReader: newLineReader(io.NopCloser(bytes.NewReader(body)), func() {}),
			parser:     newTokenParser(attempt, 0),
		}
		last := false
		for n := 0; ; n++ {
			token, err := s.Next(context.Background())
			if err != nil {
				assert.Equal(t, errors.Is(err, io.EOF), last, "%v", err)
				return
			}
			assert.Equal(t, token.Index, n)
			last = token.Last
		}
	})
}

// Measures the cost of one token in the client, without the network.
func BenchmarkNext(b *testing.B) {
	attempt := persimmoncart.AttemptID{Request: "e1-4711", Number: 1}
	reader, writer := io.Pipe()
	go func() {
		var buffer []byte
		for i := 0; ; i++ {
			buffer = appendToken(buffer, persimmoncart.Token{Attempt: attempt, Index: i, Text: " word"})
			if len(buffer) > 2000 {
				if _, err := writer.Write(buffer); err != nil {
					return
				}
				buffer = buffer[:0]
			}
		}
	}()
	s := &clientTokenStream{lineReader: newLineReader(reader, func() {}), parser: newTokenParser(attempt, 0)}
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Next(ctx); err != nil {
			b.Fatal(err)
		}
	}
	_ = s.Close()
}

// An endlessEngine is an engine that generates tokens without delay.
type endlessEngine struct {
	persimmoncart.Engine
	tokens int
}

// Decode implements persimmoncart.Engine.
func (m *endlessEngine) Decode(_ context.Context, request persimmoncart.DecodeRequest) (persimmoncart.TokenStream, error) {
	return &endlessStream{attempt: request.Attempt, tokens: m.tokens}, nil
}

// An endlessStream is a stream of tokens without delay.
type endlessStream struct {
	attempt persimmoncart.AttemptID
	next    int
	tokens  int
}

// Close implements persimmoncart.TokenStream.
func (*endlessStream) Close() error { return nil }

// Next implements persimmoncart.TokenStream.
func (s *endlessStream) Next(context.Context) (persimmoncart.Token, error) {
	if s.next == s.tokens {
		return persimmoncart.Token{}, io.EOF
	}
	s.next++
	return persimmoncart.Token{Attempt: s.attempt, Index: s.next - 1, Last: s.next == s.tokens, Text: " word"}, nil
}

// Measures the cost of one token through Handler and Client over loopback, with one
// write of the handler for each token.
func BenchmarkStream(b *testing.B) {
	endless := &endlessEngine{tokens: 1 << 40}
	server := httptest.NewServer((&Handler{Engine: endless}).Handler())
	defer server.Close()
	clients := &Clients{HTTP: transport.NewClient(nil)}
	e := clients.Engine(netip.MustParseAddrPort(server.Listener.Addr().String()))
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	s, err := e.Decode(ctx, persimmoncart.DecodeRequest{Attempt: persimmoncart.AttemptID{Request: "e1-4711"}, MaxOutputTokens: 1 << 40})
	assert.NilError(b, err)
	defer func() { _ = s.Close() }()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Next(ctx); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against requests that make the handler panic.
func FuzzHandler(f *testing.F) {
	f.Add(prefillPath, []byte(`{"attempt":"r/1","class":"batch","model":"m","prompt":"p","tag":{"instance":"i"}}`))
	f.Add(importPath, []byte(`{"attempt":"r/1","blocks":-1,"from":"127.0.0.1:1"}`))
	f.Add(decodePath, []byte(`{"attempt":"r/1","limit":-1,"start":-5}`))
	f.Add(orderPath, []byte(`{"kind":"role","role":"decode"}`))
	f.Fuzz(func(t *testing.T, path string, body []byte) {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, path, bytes.NewReader(body))
		if err != nil {
			return
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
		defer cancel()
		fakes := &Fakes{}
		fake := NewFake(netip.MustParseAddrPort("127.0.0.1:1"), persimmoncart.RolePrefill, &timer.System{})
		fake.ModelLoadTime, fake.Models = 0, []persimmoncart.ModelName{"m"}
		fakes.Add(fake)
		(&Handler{Engine: fake, Fake: fake}).Handler().ServeHTTP(httptest.NewRecorder(), r.WithContext(ctx))
	})
}

// fixedResponse is an HTTP transport that always returns status 200 and the same
// body.
type fixedResponse []byte

// RoundTrip implements http.RoundTripper.
func (a fixedResponse) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{Body: io.NopCloser(bytes.NewReader(a)), Request: r, StatusCode: http.StatusOK}, nil
}

// Guards against responses that make the client panic, or that it accepts for the
// wrong attempt.
func FuzzAnswers(f *testing.F) {
	f.Add([]byte(`{"attempt":"r/1","cached":1,"handle":"h","size":5,"tokens":3}`))
	f.Add([]byte(`{"work":[{"attempt":"r/1","blocks":2,"tag":{"instance":"i"}}]}`))
	f.Add([]byte(`{"at":"2026-12-04T00:00:00Z","role":"decode","slots":20}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		attempt := persimmoncart.AttemptID{Request: "r", Number: 1}
		e := (&Clients{HTTP: &http.Client{Transport: fixedResponse(body)}}).Engine(netip.MustParseAddrPort("127.0.0.1:1"))
		r, err := e.Prefill(t.Context(), persimmoncart.PrefillRequest{Attempt: attempt})
		if err == nil && (r.Attempt != attempt || r.CachedTokens > r.Tokens || r.Handle == "") {
			t.Fatalf("result %+v", r)
		}
		_, _ = e.Load(t.Context())
		_, _ = e.ListWork(t.Context())
	})
}
