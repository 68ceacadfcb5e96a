package faults

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
)

var (
	errPartitioned = errors.New("regions are partitioned")

	_ persimmoncart.Engine      = (*engineView)(nil)
	_ persimmoncart.Engines     = (*enginesView)(nil)
	_ persimmoncart.TokenStream = (*streamView)(nil)
)

// An enginesView is the access of one instance to the engines, with the cluster's
// faults applied.
type enginesView struct {
	node *node
}

// Engine implements persimmoncart.Engines.
func (v *enginesView) Engine(addr netip.AddrPort) persimmoncart.Engine {
	return &engineView{Engine: v.node.cluster.engines.Engine(addr), addr: addr, node: v.node}
}

// An engineView is the access of one instance to one engine, with the cluster's
// faults applied.
type engineView struct {
	persimmoncart.Engine

	addr netip.AddrPort
	node *node
}

// Cancel implements persimmoncart.Engine.
func (v *engineView) Cancel(ctx context.Context, attempt persimmoncart.AttemptID) error {
	if v.node.cluster.disabledGuard == MemoryReleased {
		return nil
	}
	return v.call("cancel", func() error { return v.Engine.Cancel(ctx, attempt) })
}

// Decode implements persimmoncart.Engine.
func (v *engineView) Decode(_ context.Context, request persimmoncart.DecodeRequest) (persimmoncart.TokenStream, error) {
	var stream persimmoncart.TokenStream
	err := v.call("decode", func() (err error) {
		// An engine need not detect that the connection has ended.
		stream, err = v.Engine.Decode(v.node.cluster.context, request)
		return err
	})
	if err != nil {
		if stream != nil {
			// The response was lost together with the connection.
			_ = stream.Close()
		}
		return nil, err
	}
	return &streamView{TokenStream: stream, request: request, view: v}, nil
}

// Import implements persimmoncart.Engine.
func (v *engineView) Import(ctx context.Context, request persimmoncart.ImportRequest) error {
	v.node.cluster.checkDrained(v.addr)
	return v.call("import", func() error {
		return v.runDetached(ctx, func(ctx context.Context) error { return v.Engine.Import(ctx, request) })
	})
}

// ListWork implements persimmoncart.Engine.
func (v *engineView) ListWork(ctx context.Context) (work []persimmoncart.WorkItem, err error) {
	err = v.call("work", func() (err error) {
		work, err = v.Engine.ListWork(ctx)
		return err
	})
	return work, err
}

// Load implements persimmoncart.Engine.
func (v *engineView) Load(ctx context.Context) (report persimmoncart.LoadReport, err error) {
	err = v.call("load", func() (err error) {
		report, err = v.Engine.Load(ctx)
		return err
	})
	return report, err
}

// Order implements persimmoncart.Engine.
func (v *engineView) Order(ctx context.Context, order persimmoncart.Order) error {
	return v.call("order", func() error { return v.Engine.Order(ctx, order) })
}

// Prefill implements persimmoncart.Engine.
func (v *engineView) Prefill(ctx context.Context, request persimmoncart.PrefillRequest) (result persimmoncart.PrefillResult, err error) {
	v.node.cluster.checkDrained(v.addr)
	results := make(chan persimmoncart.PrefillResult, 1)
	err = v.call("prefill", func() error {
		return v.runDetached(ctx, func(ctx context.Context) error {
			r, err := v.Engine.Prefill(ctx, request)
			results <- r
			return err
		})
	})
	if err == nil {
		result = <-results
	}
	return result, err
}

// Release implements persimmoncart.Engine.
func (v *engineView) Release(ctx context.Context, attempt persimmoncart.AttemptID) error {
	if v.node.cluster.disabledGuard == MemoryReleased {
		return nil
	}
	return v.call("release", func() error { return v.Engine.Release(ctx, attempt) })
}

// call runs f as a call from the instance to the engine, with the faults of the
// network.
func (v *engineView) call(operation string, f func() error) error {
	if err := v.node.send(operation, v.node.cluster.regionOf(v.addr)); err != nil {
		return err
	}
	err := f()
	if delay := v.node.cluster.responseDelay(); delay > 0 {
		time.Sleep(delay)
	}
	return v.node.receive(v.node.cluster.regionOf(v.addr), err)
}

// runDetached runs f and returns when it does or ctx ends. f continues after the end
// of ctx, since an engine need not detect that the connection has ended.
func (v *engineView) runDetached(ctx context.Context, f func(context.Context) error) error {
	done := make(chan error, 1)
	go func() { done <- f(v.node.cluster.context) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// A streamView is a token stream as one instance receives it, with the cluster's
// faults applied.
type streamView struct {
	persimmoncart.TokenStream

	mutex   sync.Mutex
	next    int                  // number of tokens returned so far
	pending *persimmoncart.Token // token to return after a mismatched one
	request persimmoncart.DecodeRequest
	view    *engineView
}

// Close implements persimmoncart.TokenStream.
func (s *streamView) Close() error {
	n := s.view.node
	if n.cluster.disabledGuard == MemoryReleased {
		return nil
	}
	// The engine does not detect that the instance is dead or partitioned from it.
	if err := n.send("close", n.cluster.regionOf(s.view.addr)); err != nil {
		return err
	}
	return s.TokenStream.Close()
}

// Next implements persimmoncart.TokenStream.
func (s *streamView) Next(ctx context.Context) (persimmoncart.Token, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	n := s.view.node
	token, err := s.nextToken(ctx)
	if delay := n.cluster.responseDelay(); delay > 0 {
		time.Sleep(delay)
	}
	if err := n.receive(n.cluster.regionOf(s.view.addr), err); err != nil {
		if n.cluster.disabledGuard == WholeAnswer && errors.Is(err, io.ErrUnexpectedEOF) {
			return persimmoncart.Token{Attempt: s.request.Attempt, Index: s.next, Last: true}, nil
		}
		return persimmoncart.Token{}, err
	}
	if n.cluster.disabledGuard == AnsweredOnce {
		token.Attempt, token.Index = s.request.Attempt, s.request.Start+s.next
	}
	s.next++
	return token, nil
}

// nextToken returns the next token. A fault precedes it by a token of another attempt
// or by one with the index of the previous token.
func (s *streamView) nextToken(ctx context.Context) (persimmoncart.Token, error) {
	if s.pending != nil {
		t := *s.pending
		s.pending = nil
		return t, nil
	}
	t, err := s.TokenStream.Next(ctx)
	if err != nil || !s.view.node.cluster.mismatchAttempt() {
		return t, err
	}
	s.pending = &t
	mismatched := t
	if t.Index%2 == 0 {
		mismatched.Attempt.Number++
	} else {
		mismatched.Index--
	}
	mismatched.Last = false
	return mismatched, nil
}
