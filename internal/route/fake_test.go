package route_test

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// fakeEngines is a set of fake engines by address.
type fakeEngines struct {
	byAddr map[netip.AddrPort]*fakeEngine
	mutex  sync.Mutex
}

// Engine implements persimmoncart.Engines.
func (f *fakeEngines) Engine(addr netip.AddrPort) persimmoncart.Engine { return f.byAddr[addr] }

// held returns each attempt that holds memory, as "address attempt".
func (f *fakeEngines) held() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var out []string
	for addr, e := range f.byAddr {
		for id := range e.held {
			out = append(out, addr.String()+" "+id.String())
		}
	}
	return out
}

// A fakeEngine is an engine whose phases a test can replace.
type fakeEngine struct {
	decode          func(persimmoncart.DecodeRequest) persimmoncart.TokenStream
	engines         *fakeEngines
	held            map[persimmoncart.AttemptID]bool
	importDeadline  time.Time // of the last import
	importKVCache   func(context.Context) error
	prefill         func(context.Context, *persimmoncart.PrefillResult) error
	prefillRequests []persimmoncart.PrefillRequest
	persimmoncart.Engine
}

func (e *fakeEngine) hold(id persimmoncart.AttemptID, held bool) {
	e.engines.mutex.Lock()
	defer e.engines.mutex.Unlock()
	if held {
		e.held[id] = true
	} else {
		delete(e.held, id)
	}
}

func (e *fakeEngine) Cancel(ctx context.Context, id persimmoncart.AttemptID) error {
	if ctx.Err() == nil {
		e.hold(id, false)
	}
	return ctx.Err()
}

func (e *fakeEngine) Release(ctx context.Context, id persimmoncart.AttemptID) error {
	return e.Cancel(ctx, id)
}

func (e *fakeEngine) Decode(_ context.Context, q persimmoncart.DecodeRequest) (persimmoncart.TokenStream, error) {
	if e.decode != nil {
		return e.decode(q), nil
	}
	return &fakeStream{engine: e, next: q.Start, request: q, last: 9}, nil
}

func (e *fakeEngine) Import(ctx context.Context, q persimmoncart.ImportRequest) error {
	e.hold(q.Attempt, true)
	e.importDeadline = q.Deadline
	if e.importKVCache != nil {
		return e.importKVCache(ctx)
	}
	return nil
}

func (e *fakeEngine) Prefill(ctx context.Context, q persimmoncart.PrefillRequest) (persimmoncart.PrefillResult, error) {
	e.hold(q.Attempt, true)
	e.prefillRequests = append(e.prefillRequests, q)
	result := persimmoncart.PrefillResult{Attempt: q.Attempt, Handle: "h", Size: 1, Tokens: 100}
	if e.prefill != nil {
		return result, e.prefill(ctx, &result)
	}
	return result, nil
}

// A fakeStream returns the tokens "0 ", "1 ", … up to last, one every 10 ms.
type fakeStream struct {
	breakAt int // index at which the stream ends early; zero for never
	engine  *fakeEngine
	hangAt  int // index at which the stream hangs; zero for never
	last    int
	mutate  func(*persimmoncart.Token)
	next    int
	request persimmoncart.DecodeRequest
}

func (s *fakeStream) Close() error {
	s.engine.hold(s.request.Attempt, false)
	return nil
}

func (s *fakeStream) Next(ctx context.Context) (persimmoncart.Token, error) {
	wait := 10 * time.Millisecond
	if s.hangAt > 0 && s.next >= s.hangAt {
		wait = time.Hour
	}
	select {
	case <-ctx.Done():
		return persimmoncart.Token{}, ctx.Err()
	case <-time.After(wait):
	}
	if (s.breakAt > 0 && s.next >= s.breakAt) || s.next > s.last {
		return persimmoncart.Token{}, io.EOF
	}
	t := persimmoncart.Token{Attempt: s.request.Attempt, Index: s.next, Last: s.next == s.last, Text: fmt.Sprint(s.next, " ")}
	s.next++
	if s.mutate != nil {
		s.mutate(&t)
	}
	return t, nil
}

// A fakeAllocator grants the next pair of engines for each reservation.
type fakeAllocator struct {
	commitErr error
	granted   map[persimmoncart.GrantID]bool
	mutex     sync.Mutex
	next      int
	pairs     [][2]netip.AddrPort // prefill and decode engine of each grant, in order
	requests  []persimmoncart.ReserveRequest
}

func (a *fakeAllocator) Commit(context.Context, persimmoncart.GrantID) error {
	err := a.commitErr
	a.commitErr = nil
	return err
}
func (a *fakeAllocator) Report(persimmoncart.CallResult)   {}
func (a *fakeAllocator) PrefillDone(persimmoncart.GrantID) {}

func (a *fakeAllocator) Release(id persimmoncart.GrantID) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.granted, id)
}

func (a *fakeAllocator) Reserve(ctx context.Context, q persimmoncart.ReserveRequest) (persimmoncart.Grant, error) {
	if err := ctx.Err(); err != nil {
		return persimmoncart.Grant{}, err
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.requests = append(a.requests, q)
	if a.next >= len(a.pairs) {
		return persimmoncart.Grant{}, &persimmoncart.Refusal{Code: persimmoncart.RefusalCapacity, RetryAfter: time.Second}
	}
	pair := a.pairs[a.next]
	a.next++
	id := persimmoncart.GrantID(fmt.Sprint("g", a.next))
	a.granted[id] = true
	endpoint := func(addr netip.AddrPort) persimmoncart.Endpoint {
		return persimmoncart.Endpoint{Addr: addr, ID: persimmoncart.EndpointID(addr.String())}
	}
	return persimmoncart.Grant{Blocks: 1, Decode: endpoint(pair[1]), ID: id, Prefill: endpoint(pair[0])}, nil
}

// A fakeSink collects tokens. It fails after limit tokens unless limit is zero.
type fakeSink struct {
	limit  int
	text   strings.Builder
	tokens int
}

func (s *fakeSink) Flush() error { return nil }

func (s *fakeSink) WriteToken(text string, _ bool) error {
	if s.tokens++; s.limit > 0 && s.tokens > s.limit {
		return io.ErrClosedPipe
	}
	s.text.WriteString(text)
	return nil
}

// A fakeApplication is an application endpoint that counts calls in runs.
type fakeApplication struct {
	call  func(context.Context, persimmoncart.CallRequest) (*persimmoncart.CallResponse, error)
	mutex sync.Mutex
	runs  int
	persimmoncart.Application
}

func (a *fakeApplication) Call(ctx context.Context, q persimmoncart.CallRequest) (*persimmoncart.CallResponse, error) {
	a.mutex.Lock()
	a.runs++
	a.mutex.Unlock()
	if a.call != nil {
		return a.call(ctx, q)
	}
	return &persimmoncart.CallResponse{Attempt: q.Attempt, Body: []byte("done"), Status: 200}, nil
}

// fakeApplications holds fake applications by address.
type fakeApplications map[netip.AddrPort]*fakeApplication

func (a fakeApplications) Application(addr netip.AddrPort) persimmoncart.Application { return a[addr] }

// A fakeBalancer picks the first of its endpoints that is not to be avoided.
type fakeBalancer struct {
	endpoints []persimmoncart.Endpoint
}

func (b *fakeBalancer) Pick(_ context.Context, q persimmoncart.PickRequest) (persimmoncart.Endpoint, error) {
	for _, e := range b.endpoints {
		avoided := false
		for _, id := range q.Avoid {
			avoided = avoided || id == e.ID
		}
		if !avoided {
			return e, nil
		}
	}
	return persimmoncart.Endpoint{}, &persimmoncart.Refusal{Code: persimmoncart.RefusalPoolEmpty, RetryAfter: time.Second}
}

func (b *fakeBalancer) Report(persimmoncart.CallResult) {}

// fakeClaims keeps claims in memory.
type fakeClaims struct {
	claimErr  error
	expiredBy time.Duration // time between the expiry of a grant and its return; zero returns valid grants
	mutex     sync.Mutex
	records   map[persimmoncart.ClaimKey]persimmoncart.ClaimRecord
}

func (c *fakeClaims) Claim(_ context.Context, key persimmoncart.ClaimKey) (persimmoncart.ClaimGrant, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.claimErr != nil {
		return persimmoncart.ClaimGrant{}, c.claimErr
	}
	if r, ok := c.records[key]; ok && r.State != persimmoncart.ClaimNotRun {
		return persimmoncart.ClaimGrant{Key: key, Record: r}, nil
	}
	r := persimmoncart.ClaimRecord{State: persimmoncart.ClaimClaimed}
	c.records[key] = r
	expires := time.Now().Add(5 * time.Second)
	if c.expiredBy > 0 {
		expires = time.Now().Add(-c.expiredBy)
	}
	return persimmoncart.ClaimGrant{Expires: expires, Granted: true, Key: key, Record: r}, nil
}

func (c *fakeClaims) Outcome(_ context.Context, key persimmoncart.ClaimKey) (persimmoncart.ClaimRecord, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if r, ok := c.records[key]; ok {
		return r, nil
	}
	return persimmoncart.ClaimRecord{}, &persimmoncart.NotFoundError{Key: "key"}
}

func (c *fakeClaims) Settle(_ context.Context, g persimmoncart.ClaimGrant, s persimmoncart.ClaimState, a *persimmoncart.CallResponse) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.records[g.Key] = persimmoncart.ClaimRecord{Response: a, State: s}
	return nil
}
