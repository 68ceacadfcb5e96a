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

// A fleet is a set of fake engines that shows which memory is held.
type fleet struct {
	engines map[netip.AddrPort]*engine
	mutex   sync.Mutex
}

// Engine implements persimmoncart.Engines.
func (f *fleet) Engine(addr netip.AddrPort) persimmoncart.Engine { return f.engines[addr] }

// held returns the attempts that hold memory, as "engine attempt".
func (f *fleet) held() []string {
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

// An engine is a fake engine whose phases the test can replace.
type engine struct {
	due     time.Time // of the newest import
	decode  func(persimmoncart.DecodeRequest) persimmoncart.TokenStream
	fleet   *fleet
	held    map[persimmoncart.AttemptID]bool
	imports func(context.Context) error
	prefill func(context.Context, *persimmoncart.PrefillResult) error
	seen    []persimmoncart.PrefillRequest
	persimmoncart.Engine
}

func (e *engine) hold(id persimmoncart.AttemptID, held bool) {
	e.fleet.mutex.Lock()
	defer e.fleet.mutex.Unlock()
	if held {
		e.held[id] = true
	} else {
		delete(e.held, id)
	}
}

func (e *engine) Cancel(ctx context.Context, id persimmoncart.AttemptID) error {
	if ctx.Err() == nil {
		e.hold(id, false)
	}
	return ctx.Err()
}

func (e *engine) Release(ctx context.Context, id persimmoncart.AttemptID) error {
	return e.Cancel(ctx, id)
}

func (e *engine) Decode(_ context.Context, q persimmoncart.DecodeRequest) (persimmoncart.TokenStream, error) {
	if e.decode != nil {
		return e.decode(q), nil
	}
	return &stream{engine: e, next: q.Start, request: q, last: 9}, nil
}

func (e *engine) Import(ctx context.Context, q persimmoncart.ImportRequest) error {
	e.hold(q.Attempt, true)
	e.due = q.Deadline
	if e.imports != nil {
		return e.imports(ctx)
	}
	return nil
}

func (e *engine) Prefill(ctx context.Context, q persimmoncart.PrefillRequest) (persimmoncart.PrefillResult, error) {
	e.hold(q.Attempt, true)
	e.seen = append(e.seen, q)
	result := persimmoncart.PrefillResult{Attempt: q.Attempt, Handle: "h", Size: 1, Tokens: 100}
	if e.prefill != nil {
		return result, e.prefill(ctx, &result)
	}
	return result, nil
}

// A stream yields the tokens "0 ", "1 ", … up to last, one each 10 ms.
type stream struct {
	breakAt int // index at which it breaks; zero for never
	engine  *engine
	hangAt  int // index at which it stops without an end; zero for never
	last    int
	next    int
	request persimmoncart.DecodeRequest
	twist   func(*persimmoncart.Token)
}

func (s *stream) Close() error {
	s.engine.hold(s.request.Attempt, false)
	return nil
}

func (s *stream) Next(ctx context.Context) (persimmoncart.Token, error) {
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
	if s.twist != nil {
		s.twist(&t)
	}
	return t, nil
}

// places is a fake ledger that grants a pair of engines for each reservation.
type places struct {
	commit   error
	granted  map[persimmoncart.GrantID]bool
	mutex    sync.Mutex
	next     int
	pairs    [][2]netip.AddrPort // prefill and decode engine of each grant in turn
	requests []persimmoncart.ReserveRequest
}

func (p *places) Commit(context.Context, persimmoncart.GrantID) error {
	err := p.commit
	p.commit = nil
	return err
}
func (p *places) Report(persimmoncart.CallResult)   {}
func (p *places) PrefillDone(persimmoncart.GrantID) {}

func (p *places) Release(id persimmoncart.GrantID) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.granted, id)
}

func (p *places) Reserve(ctx context.Context, q persimmoncart.ReserveRequest) (persimmoncart.Grant, error) {
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

// A sink collects tokens; it fails after limit tokens if limit is set.
type sink struct {
	limit  int
	text   strings.Builder
	tokens int
}

func (s *sink) Flush() error { return nil }

func (s *sink) Token(text string, _ bool) error {
	if s.tokens++; s.limit > 0 && s.tokens > s.limit {
		return io.ErrClosedPipe
	}
	s.text.WriteString(text)
	return nil
}

// An application is a fake application endpoint.
type application struct {
	call  func(context.Context, persimmoncart.CallRequest) (*persimmoncart.CallResponse, error)
	mutex sync.Mutex
	runs  int
	persimmoncart.Application
}

func (a *application) Call(ctx context.Context, q persimmoncart.CallRequest) (*persimmoncart.CallResponse, error) {
	a.mutex.Lock()
	a.runs++
	a.mutex.Unlock()
	if a.call != nil {
		return a.call(ctx, q)
	}
	return &persimmoncart.CallResponse{Attempt: q.Attempt, Body: []byte("done"), Status: 200}, nil
}

// applications maps addresses to fakes.
type applications map[netip.AddrPort]*application

func (a applications) Application(addr netip.AddrPort) persimmoncart.Application { return a[addr] }

// A balancer picks its endpoints in order, leaving out those to avoid.
type balancer struct {
	endpoints []persimmoncart.Endpoint
}

func (b *balancer) Pick(_ context.Context, q persimmoncart.PickRequest) (persimmoncart.Endpoint, error) {
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

func (b *balancer) Report(persimmoncart.CallResult) {}

// claims is a fake record of claims.
type claims struct {
	down    error
	mutex   sync.Mutex
	records map[persimmoncart.ClaimKey]persimmoncart.ClaimRecord
	stale   time.Duration // how long after its expiry a grant is returned
}

func (c *claims) Claim(_ context.Context, key persimmoncart.ClaimKey) (persimmoncart.ClaimGrant, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.down != nil {
		return persimmoncart.ClaimGrant{}, c.down
	}
	if r, ok := c.records[key]; ok && r.State != persimmoncart.ClaimNotRun {
		return persimmoncart.ClaimGrant{Key: key, Record: r}, nil
	}
	r := persimmoncart.ClaimRecord{State: persimmoncart.ClaimClaimed}
	c.records[key] = r
	expires := time.Now().Add(5 * time.Second)
	if c.stale > 0 {
		expires = time.Now().Add(-c.stale)
	}
	return persimmoncart.ClaimGrant{Expires: expires, Granted: true, Key: key, Record: r}, nil
}

func (c *claims) Outcome(_ context.Context, key persimmoncart.ClaimKey) (persimmoncart.ClaimRecord, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if r, ok := c.records[key]; ok {
		return r, nil
	}
	return persimmoncart.ClaimRecord{}, &persimmoncart.NotFoundError{Key: "key"}
}

func (c *claims) Settle(_ context.Context, g persimmoncart.ClaimGrant, s persimmoncart.ClaimState, a *persimmoncart.CallResponse) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.records[g.Key] = persimmoncart.ClaimRecord{Answer: a, State: s}
	return nil
}
