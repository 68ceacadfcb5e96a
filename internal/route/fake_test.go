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

// A fakeEngines is a set of fake engines that shows which memory is held.
type fakeEngines struct {
	engines map[netip.AddrPort]*fakeEngine
	mutex   sync.Mutex
}

// Engine implements persimmoncart.Engines.
func (f *fakeEngines) Engine(addr netip.AddrPort) persimmoncart.Engine { return f.engines[addr] }

// held returns the attempts that hold memory, as "engine attempt".
func (f *fakeEngines) held() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var out []string
	for addr, e := range f.engines {
		for id := range e.held {
			out = append(out, addr.String()+" "+id.String())
		}
	}
	return out
}

// An fakeEngine is a fake fakeEngine whose phases the test can replace.
type fakeEngine struct {
	decode          func(persimmoncart.DecodeRequest) persimmoncart.TokenStream
	engines         *fakeEngines
	held            map[persimmoncart.AttemptID]bool
	importDeadline  time.Time // of the newest import
	imports         func(context.Context) error
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
	if e.imports != nil {
		return e.imports(ctx)
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

// A fakeStream yields the tokens "0 ", "1 ", … up to last, one each 10 ms.
type fakeStream struct {
	breakAt int // index at which it breaks; zero for never
	engine  *fakeEngine
	hangAt  int // index at which it stops without an end; zero for never
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

// fakeAllocator is a fake ledger that grants a pair of engines for each reservation.
type fakeAllocator struct {
	commit   error
	granted  map[persimmoncart.GrantID]bool
	mutex    sync.Mutex
	next     int
	pairs    [][2]netip.AddrPort // prefill and decode engine of each grant in turn
	requests []persimmoncart.ReserveRequest
}

func (p *fakeAllocator) Commit(context.Context, persimmoncart.GrantID) error {
	err := p.commit
	p.commit = nil
	return err
}
func (p *fakeAllocator) Report(persimmoncart.CallResult)   {}
func (p *fakeAllocator) PrefillDone(persimmoncart.GrantID) {}

func (p *fakeAllocator) Release(id persimmoncart.GrantID) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.granted, id)
}

func (p *fakeAllocator) Reserve(ctx context.Context, q persimmoncart.ReserveRequest) (persimmoncart.Grant, error) {
	if err := ctx.Err(); err != nil {
		return persimmoncart.Grant{}, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.requests = append(p.requests, q)
	if p.next >= len(p.pairs) {
		return persimmoncart.Grant{}, &persimmoncart.Refusal{Code: persimmoncart.RefusalCapacity, RetryAfter: time.Second}
	}
	pair := p.pairs[p.next]
	p.next++
	id := persimmoncart.GrantID(fmt.Sprint("g", p.next))
	p.granted[id] = true
	endpoint := func(a netip.AddrPort) persimmoncart.Endpoint {
		return persimmoncart.Endpoint{Addr: a, ID: persimmoncart.EndpointID(a.String())}
	}
	return persimmoncart.Grant{Blocks: 1, Decode: endpoint(pair[1]), ID: id, Prefill: endpoint(pair[0])}, nil
}

// A fakeSink collects tokens; it fails after limit tokens if limit is set.
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

// An fakeApplication is a fake fakeApplication endpoint.
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

// fakeApplications maps addresses to fakes.
type fakeApplications map[netip.AddrPort]*fakeApplication

func (a fakeApplications) Application(addr netip.AddrPort) persimmoncart.Application { return a[addr] }

// A fakeBalancer picks its endpoints in order, leaving out those to avoid.
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

// fakeClaims is a fake record of claims.
type fakeClaims struct {
	claimErr  error
	expiredBy time.Duration // how long after its expiry a grant is returned
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
	c.records[g.Key] = persimmoncart.ClaimRecord{Answer: a, State: s}
	return nil
}
