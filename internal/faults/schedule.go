// Package faults runs the real parts of the router under tables of faults, in
// virtual time, and checks the invariants of docs/design.md, section 2.
//
// A schedule is a small cluster with three nodes in two regions. It must run in a
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
func (p *plan) run(ctx context.Context, disabledGuard Invariant) []Violation {
	cluster, _ := p.play(ctx, disabledGuard)
	return cluster.violations
}

// play runs the plan to its end, with the guard behind disabledGuard switched off unless
// it is empty, and returns the cluster and the calls.
func (p *plan) play(ctx context.Context, disabledGuard Invariant) (*cluster, []*call) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	cluster := newCluster(p.Seed, disabledGuard)
	cluster.context, cluster.plan = ctx, p
	cluster.operator = &operator{accepted: map[string]uint64{}, cluster: cluster}
	editor := &config.Editor{Archive: &config.Archive{Store: cluster.store}, Timer: cluster.timer}
	if _, err := editor.Apply(ctx, config.Edit{Author: "planner", Changes: cluster.initialConfiguration(), Force: true, ID: "initial"}); err != nil {
		panic(err) // the store has no faults yet
	}
	for site := range sites {
		cluster.start(site, 1)
	}
	calls := p.schedule(ctx, cluster)
	time.Sleep(p.activityEnd() + settleTime)
	if p.has(OrderIgnoredFence) {
		time.Sleep(verifyTime)
	}
	cluster.checkInvariants(p, calls)
	cancel()
	cluster.stopAll(context.Background())
	time.Sleep(callerTimeout + pauseDuration) // lets stopped timers and callers end
	return cluster, calls
}

// schedule plans the events of p and returns the calls.
func (p *plan) schedule(ctx context.Context, cluster *cluster) []*call {
	at := func(d time.Duration, f func()) { cluster.timer.After(d, func(time.Time) { f() }) }
	for _, e := range p.Events {
		at(e.Begin, func() { e.apply(cluster) })
	}
	if p.StopTime > 0 {
		at(p.StopTime, func() { cluster.stopGracefully(p.StopSite) })
	}
	for site := range sites {
		if p.Rolling {
			at(loadStart+time.Duration(site)*replacementPeriod, func() { cluster.replace(site) })
		}
	}
	at(loadStart+500*time.Millisecond, func() { cluster.operator.drain(ctx, p) })
	for i, d := range []time.Duration{time.Second, 3 * time.Second, 5 * time.Second} {
		rate := float64(1001 + i)
		at(d, func() {
			cluster.operator.apply(ctx, "rate-"+d.String(), []persimmoncart.ConfigChange{
				{Key: "account/dar", After: config.Encode(accountSpec(rate))},
			}, func() {})
		})
	}
	var calls []*call
	for _, q := range p.Requests {
		c := &call{request: q, cluster: cluster}
		calls = append(calls, c)
		at(q.Arrival, func() { c.run(ctx) })
	}
	return calls
}

// sendStaleOrder sends an order of a holder whose lease has lapsed long ago to an
// engine that ignores fencing tokens.
func (c *cluster) sendStaleOrder(e event) {
	engines := slices.DeleteFunc(c.sortedEndpoints(), func(p *endpoint) bool { return p.engine == nil })
	p := engines[e.Random%len(engines)]
	stale := persimmoncart.Order{Kind: persimmoncart.OrderRole, Role: persimmoncart.RolePrefill, Sender: "entry-9"}
	if p.role == persimmoncart.RolePrefill {
		stale.Role = persimmoncart.RoleDecode
	}
	if e.Random/len(engines)%2 == 0 {
		stale = persimmoncart.Order{Kind: persimmoncart.OrderUnload, Model: model, Sender: "entry-9"}
	}
	p.engine.Change(func(*engine.Faults) { p.engine.Fences = false })
	_ = p.engine.Order(c.context, stale) // an engine that is down takes no order
}

// nodeAt returns the node of a site, nil if it has died.
func (c *cluster) nodeAt(site int) *node {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.nodes[site]
}

// ended reports whether the schedule has ended.
func (c *cluster) ended() bool { return c.context.Err() != nil }
