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

	// inForceTime is the longest time until an accepted change is in force
	// everywhere (docs/design.md, section 4).
	inForceTime = 11 * time.Second
	// avoidTime is the longest time until a drained endpoint gets no new work,
	// when nothing disturbs the way of the configuration.
	avoidTime = 5 * time.Second
	// editPeriod is the time between two tries of an edit that was not accepted.
	editPeriod = 500 * time.Millisecond
)

// An operator applies edits and remembers which of them were accepted.
type operator struct {
	accepted map[string]uint64 // version by edit
	mutex    sync.Mutex
	world    *world
}

// initial returns the first configuration.
func (w *world) initial() []persimmoncart.ConfigChange {
	changes := []persimmoncart.ConfigChange{
		{Key: "account/dar", After: config.Encode(account(1000))},
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
	for _, p := range w.sorted() {
		changes = append(changes, persimmoncart.ConfigChange{Key: "endpoint/" + string(p.id), After: config.Encode(w.spec(p))})
	}
	return changes
}

// spec returns the configuration of an endpoint.
func (w *world) spec(p *place) *config.EndpointSpec {
	s := &config.EndpointSpec{Name: string(p.id), DataCentre: string(sites[p.site].centre), Region: string(p.region), Role: p.role}
	if p.engine != nil {
		s.Addr, s.Blocks, s.Models, s.Pool, s.Slots = p.engine.Addr, p.engine.Blocks, []string{model}, "hull-llm", p.engine.Slots
		return s
	}
	s.Addr, s.Pool, s.Slots = p.application.Addr, "yard-books", p.application.Slots
	return s
}

// account returns the account with a rate that edits change.
func account(rate float64) *config.AccountSpec {
	return &config.AccountSpec{
		Name: "dar", Burst: 1000, Class: persimmoncart.ClassBatch, Keys: []config.KeyHash{config.HashKey(accountKey)}, Rate: rate, Weight: 1,
	}
}

// apply tries an edit until it is accepted, refused for good, or the schedule ends.
func (o *operator) apply(ctx context.Context, id string, changes []persimmoncart.ConfigChange, accepted func()) {
	store := &storeView{Store: o.world.store, world: o.world}
	editor := &config.Editor{Repository: &config.Repository{Store: store}, Random: o.world.random.Float64, Timer: o.world.timer}
	for ctx.Err() == nil {
		result, err := editor.Apply(ctx, config.Edit{Author: id, Changes: changes, Force: true, ID: id})
		if err == nil {
			o.mutex.Lock()
			o.accepted[id] = result.Version
			o.mutex.Unlock()
			accepted()
			return
		}
		_ = o.world.timer.Sleep(ctx, editPeriod) // the loop ends with ctx
	}
}

// drain drains one endpoint and notes from when on it must get no new work.
func (o *operator) drain(ctx context.Context, p *plan) {
	places := o.world.sorted()
	drained := places[int(p.Seed)%len(places)] //nolint:gosec // Seeds are small.
	change := persimmoncart.ConfigChange{Key: "drain/" + string(drained.id), After: config.Encode(&config.DrainSpec{Name: string(drained.id)})}
	o.apply(ctx, "drain", []persimmoncart.ConfigChange{change}, func() {
		due := time.Now().Add(avoidTime)
		if p.has(StoreDown, StoreSlow, RegionCut, NodePauses, StoreAnswerLost, AnswerLate) {
			// The configuration is in force within 11 s of the end of the fault.
			due = later(due, origin.Add(p.calm()+inForceTime))
		}
		o.world.set(func() { o.world.drained[o.world.addressOf(drained)] = due })
	})
}

// addressOf returns the address of an endpoint.
func (w *world) addressOf(p *place) netip.AddrPort {
	if p.engine != nil {
		return p.engine.Addr
	}
	return p.application.Addr
}

// race lets three operators change the same account at once.
func (w *world) race(e event) {
	for i := range 3 {
		id := fmt.Sprintf("race-%d-%d-%d", e.Pick, e.At, i)
		go w.operator.apply(w.context, id, []persimmoncart.ConfigChange{
			{Key: "account/dar", After: config.Encode(account(float64(2000 + e.Pick%1000 + i)))},
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
