package faults

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/config"
)

const (
	accountKey = "key"
	model      = "hull-llm"

	// configApplyTime is the longest time until an accepted change is applied by all
	// instances (docs/design.md, section 4).
	configApplyTime = 11 * time.Second
	// drainTime is the longest time until a drained endpoint gets no new work, if no
	// fault delays the distribution of the configuration.
	drainTime = 5 * time.Second
	// editRetryPeriod is the time between two attempts to apply an edit.
	editRetryPeriod = 500 * time.Millisecond
)

// An operator applies edits and records the accepted ones.
type operator struct {
	accepted map[string]uint64 // configuration version, by the identifier of the edit
	mutex    sync.Mutex
	cluster  *cluster
}

// initialConfiguration returns the changes that create the first configuration.
func (c *cluster) initialConfiguration() []persimmoncart.ConfigChange {
	changes := []persimmoncart.ConfigChange{
		{Key: "account/dar", After: config.Encode(accountSpec(1000))},
		{Key: "pool/hull-llm", After: config.Encode(&config.PoolSpec{
			Name: "hull-llm", Decode: 6, FirstTokenTarget: config.DefaultFirstTokenTarget, Models: []string{model}, TokenGapTarget: config.DefaultTokenGapTarget, Prefill: 6,
		})},
		{Key: "pool/yard-books", After: config.Encode(&config.PoolSpec{Name: "yard-books", Role: persimmoncart.RoleApplication})},
		{Key: "route/drafts", After: config.Encode(&config.RouteSpec{
			Name: "drafts", MaxBodyBytes: config.DefaultMaxBodyBytes, Class: persimmoncart.ClassBatch, MaxOutputTokens: config.DefaultMaxOutputTokens,
			Models: []string{model}, Pool: "hull-llm", Timeout: config.Duration(draftDeadline),
		})},
		{Key: "route/bookings", After: config.Encode(&config.RouteSpec{
			Name: "bookings", MaxBodyBytes: config.DefaultMaxBodyBytes, Class: persimmoncart.ClassInteractive, Pool: "yard-books",
			Timeout: config.Duration(10 * time.Second),
		})},
		{Key: "route/stock", After: config.Encode(&config.RouteSpec{
			Name: "stock", MaxBodyBytes: config.DefaultMaxBodyBytes, Class: persimmoncart.ClassInteractive, Hedge: true, Pool: "yard-books",
			Idempotent: true, Timeout: config.Duration(10 * time.Second),
		})},
	}
	for _, e := range c.sortedEndpoints() {
		changes = append(changes, persimmoncart.ConfigChange{Key: "endpoint/" + string(e.id), After: config.Encode(c.endpointSpec(e))})
	}
	return changes
}

// endpointSpec returns the configuration of an endpoint.
func (c *cluster) endpointSpec(e *endpoint) *config.EndpointSpec {
	s := &config.EndpointSpec{Name: string(e.id), DataCentre: string(sites[e.site].centre), Region: string(e.region), Role: e.role}
	if e.engine != nil {
		s.Addr, s.Blocks, s.Models, s.Pool, s.Slots = e.engine.Addr, e.engine.Blocks, []string{model}, "hull-llm", e.engine.Slots
		return s
	}
	s.Addr, s.Pool, s.Slots = e.application.Addr, "yard-books", e.application.Slots
	return s
}

// accountSpec returns the configuration of the account with the given rate.
func accountSpec(rate float64) *config.AccountSpec {
	return &config.AccountSpec{
		Name: "dar", Burst: 1000, Class: persimmoncart.ClassBatch, Keys: []config.KeyHash{config.HashKey(accountKey)}, Rate: rate, Weight: 1,
	}
}

// apply repeats an edit until it is accepted, and then calls accepted, or until ctx
// ends.
func (o *operator) apply(ctx context.Context, id string, changes []persimmoncart.ConfigChange, accepted func()) {
	store := &storeView{Store: o.cluster.store, cluster: o.cluster}
	editor := &config.Editor{Repository: &config.Repository{Store: store}, Random: o.cluster.random.Float64, Timer: o.cluster.timer}
	for ctx.Err() == nil {
		result, err := editor.Apply(ctx, config.Edit{Author: id, Changes: changes, Force: true, ID: id})
		if err == nil {
			o.mutex.Lock()
			o.accepted[id] = result.Version
			o.mutex.Unlock()
			accepted()
			return
		}
		_ = o.cluster.timer.Sleep(ctx, editRetryPeriod) // the loop ends with ctx
	}
}

// drain drains one endpoint and sets the time from which on it must get no new work.
func (o *operator) drain(ctx context.Context, p *plan) {
	endpoints := o.cluster.sortedEndpoints()
	drained := endpoints[int(p.Seed)%len(endpoints)] //nolint:gosec // Seeds are small.
	change := persimmoncart.ConfigChange{Key: "drain/" + string(drained.id), After: config.Encode(&config.DrainSpec{Name: string(drained.id)})}
	o.apply(ctx, "drain", []persimmoncart.ConfigChange{change}, func() {
		deadline := time.Now().Add(drainTime)
		if p.has(StoreDown, StoreSlow, RegionCut, NodePauses, StoreAnswerLost, AnswerLate) {
			// The configuration is applied within 11 s of the end of the fault.
			deadline = later(deadline, origin.Add(p.activityEnd()+configApplyTime))
		}
		o.cluster.withLock(func() { o.cluster.drainDeadlines[o.cluster.addressOf(drained)] = deadline })
	})
}

// addressOf returns the address of an endpoint.
func (c *cluster) addressOf(e *endpoint) netip.AddrPort {
	if e.engine != nil {
		return e.engine.Addr
	}
	return e.application.Addr
}

// raceEdits has three operators change the same account concurrently.
func (c *cluster) raceEdits(e event) {
	for i := range 3 {
		id := fmt.Sprintf("race-%d-%d-%d", e.Random, e.Begin, i)
		go c.operator.apply(c.context, id, []persimmoncart.ConfigChange{
			{Key: "account/dar", After: config.Encode(accountSpec(float64(2000 + e.Random%1000 + i)))},
		}, func() {})
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
