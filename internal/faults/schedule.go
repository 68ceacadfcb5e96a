// Package faults runs the real parts of the router under tables of faults, in
// virtual time, and checks the promises of docs/design.md, section 2.
//
// A schedule is a small world with three nodes in two regions. It must run in a
// testing/synctest bubble, which supplies the virtual time.
package faults

import (
	"context"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/config"
	"github.com/persimmoncart/persimmoncart/internal/engine"
)

// origin is the start of every bubble.
var origin = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	// sweepTime bounds how long work of a dead instance, or past its deadline,
	// holds memory: the lag of the instance list plus 5 s.
	sweepTime = 20 * time.Second
	// verifyTime bounds how long an engine stays in a state that an order of a
	// former lease holder gave it: the period of verification, the lag of load
	// reports and a change of the lease holder.
	verifyTime = 2 * time.Minute
	// settleTime is what follows the last fault and the last request.
	settleTime = draftDeadline + sweepTime
)

// run runs the plan and returns what did not hold.
func (p *plan) run(ctx context.Context, broken Promise) []Violation {
	w, _ := p.play(ctx, broken)
	return w.violated
}

// play runs the plan to its end, with the guard behind broken switched off unless
// it is empty, and returns the world and the calls.
func (p *plan) play(ctx context.Context, broken Promise) (*world, []*call) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := newWorld(p.Seed, broken)
	w.context, w.plan = ctx, p
	w.operator = &operator{accepted: map[string]uint64{}, world: w}
	editor := &config.Editor{Repository: &config.Repository{Store: w.store}, Timer: w.timer}
	if _, err := editor.Apply(ctx, config.Edit{Author: "planner", Changes: w.initial(), Force: true, ID: "initial"}); err != nil {
		panic(err) // the store has no faults yet
	}
	for site := range sites {
		w.start(site, 1)
	}
	calls := p.schedule(ctx, w)
	time.Sleep(p.calm() + settleTime)
	if p.has(OrderIgnoredFence) {
		time.Sleep(verifyTime)
	}
	w.check(p, calls)
	cancel()
	w.finish(context.Background())
	time.Sleep(callerPatience + pauseTime) // lets stopped timers and callers end
	return w, calls
}

// schedule plans the events of p and returns the calls.
func (p *plan) schedule(ctx context.Context, w *world) []*call {
	at := func(d time.Duration, f func()) { w.timer.After(d, func(time.Time) { f() }) }
	for _, e := range p.Events {
		at(e.At, func() { e.apply(w) })
	}
	if p.Stop > 0 {
		at(p.Stop, func() { w.planned(p.StopSite) })
	}
	for site := range sites {
		if p.Rolling {
			at(loadStart+time.Duration(site)*rollPeriod, func() { w.replace(site) })
		}
	}
	at(loadStart+500*time.Millisecond, func() { w.operator.drain(ctx, p) })
	for i, d := range []time.Duration{time.Second, 3 * time.Second, 5 * time.Second} {
		rate := float64(1001 + i)
		at(d, func() {
			w.operator.apply(ctx, "rate-"+d.String(), []persimmoncart.ConfigChange{
				{Key: "account/dar", After: config.Encode(account(rate))},
			}, func() {})
		})
	}
	var calls []*call
	for _, q := range p.Requests {
		c := &call{request: q, world: w}
		calls = append(calls, c)
		at(q.At, func() { c.run(ctx) })
	}
	return calls
}

// reorder sends an order of a holder whose lease has lapsed long ago to an
// engine that ignores fencing tokens.
func (w *world) reorder(e event) {
	engines := slices.DeleteFunc(w.sorted(), func(p *place) bool { return p.engine == nil })
	p := engines[e.Pick%len(engines)]
	stale := persimmoncart.Order{Kind: persimmoncart.OrderRole, Role: persimmoncart.RolePrefill, Sender: "entry-9"}
	if p.role == persimmoncart.RolePrefill {
		stale.Role = persimmoncart.RoleDecode
	}
	if e.Pick/len(engines)%2 == 0 {
		stale = persimmoncart.Order{Kind: persimmoncart.OrderUnload, Model: model, Sender: "entry-9"}
	}
	p.engine.Change(func(*engine.Faults) { p.engine.Fences = false })
	_ = p.engine.Order(w.context, stale) // an engine that is down takes no order
}

// at returns the node of a site, nil if it has died.
func (w *world) at(site int) *node {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.nodes[site]
}

// over reports whether the schedule has ended.
func (w *world) over() bool { return w.context.Err() != nil }
