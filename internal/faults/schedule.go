// Package faults runs the real code of the router under combinations of faults, in
// virtual time, and checks the invariants of docs/design.md, section 2.
//
// A schedule is one run of a small cluster of three nodes in two regions under a plan
// of requests and faults. It must run in a testing/synctest bubble, which provides the
// virtual time.
package faults

import (
	"context"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/config"
	"github.com/persimmoncart/persimmoncart/internal/engine"
)

// origin is the time at which every synctest bubble starts.
var origin = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	// sweepTime is the longest time for which memory stays reserved for work that is
	// past its deadline or belongs to a dead instance: the lag of the instance list plus
	// 5 s.
	sweepTime = 20 * time.Second
	// verifyTime is the longest time until the effect of a stale order of a former lease
	// holder is reverted: the verification period, the lag of load reports and a change
	// of the lease holder.
	verifyTime = 2 * time.Minute
	// settleTime is the time between the end of the last fault or request and the checks.
	settleTime = draftDeadline + sweepTime
)

// run runs the plan and returns the violations.
func (p *plan) run(ctx context.Context, disabledGuard Invariant) []Violation {
	cluster, _ := p.play(ctx, disabledGuard)
	return cluster.violations
}

// play runs the plan to its end and returns the cluster and the calls. It disables the
// guard of the invariant disabledGuard, unless that is empty.
func (p *plan) play(ctx context.Context, disabledGuard Invariant) (*cluster, []*call) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	cluster := newCluster(p.Seed, disabledGuard)
	cluster.context, cluster.plan = ctx, p
	cluster.operator = &operator{accepted: map[string]uint64{}, cluster: cluster}
	editor := &config.Editor{Repository: &config.Repository{Store: cluster.store}, Timer: cluster.timer}
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

// schedule sets timers for all events and requests of p and returns the calls.
func (p *plan) schedule(ctx context.Context, cluster *cluster) []*call {
	runAt := func(d time.Duration, f func()) { cluster.timer.After(d, func(time.Time) { f() }) }
	for _, e := range p.Events {
		runAt(e.Begin, func() { e.apply(cluster) })
	}
	if p.StopTime > 0 {
		runAt(p.StopTime, func() { cluster.stopGracefully(p.StopSite) })
	}
	for site := range sites {
		if p.Rolling {
			runAt(loadStart+time.Duration(site)*replacementPeriod, func() { cluster.replace(site) })
		}
	}
	runAt(loadStart+500*time.Millisecond, func() { cluster.operator.drain(ctx, p) })
	for i, d := range []time.Duration{time.Second, 3 * time.Second, 5 * time.Second} {
		rate := float64(1001 + i)
		runAt(d, func() {
			cluster.operator.apply(ctx, "rate-"+d.String(), []persimmoncart.ConfigChange{
				{Key: "account/dar", After: config.Encode(accountSpec(rate))},
			}, func() {})
		})
	}
	var calls []*call
	for _, q := range p.Requests {
		c := &call{request: q, cluster: cluster}
		calls = append(calls, c)
		runAt(q.Arrival, func() { c.run(ctx) })
	}
	return calls
}

// sendStaleOrder sends an order of a former holder, whose lease has expired long ago, to
// an engine that ignores fencing tokens.
func (c *cluster) sendStaleOrder(e event) {
	engines := slices.DeleteFunc(c.sortedEndpoints(), func(e *endpoint) bool { return e.engine == nil })
	target := engines[e.Random%len(engines)]
	stale := persimmoncart.Order{Kind: persimmoncart.OrderRole, Role: persimmoncart.RolePrefill, Sender: "entry-9"}
	if target.role == persimmoncart.RolePrefill {
		stale.Role = persimmoncart.RoleDecode
	}
	if e.Random/len(engines)%2 == 0 {
		stale = persimmoncart.Order{Kind: persimmoncart.OrderUnload, Model: model, Sender: "entry-9"}
	}
	target.engine.Change(func(*engine.Faults) { target.engine.Fences = false })
	_ = target.engine.Order(c.context, stale) // an engine that is down rejects the order
}

// nodeAt returns the newest node of a site, nil before its first start.
func (c *cluster) nodeAt(site int) *node {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.nodes[site]
}

// ended reports whether the schedule has ended.
func (c *cluster) ended() bool { return c.context.Err() != nil }
