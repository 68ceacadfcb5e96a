// Package slots contains the slot allocator of one instance: it grants slots of
// engine replicas and chooses application endpoints. The decisions are made in
// internal/policy.
package slots

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

var (
	_ persimmoncart.Balancer       = (*Allocator)(nil)
	_ persimmoncart.DigestExchange = (*Allocator)(nil)
	_ persimmoncart.Lender         = (*Allocator)(nil)
	_ persimmoncart.SlotAllocator  = (*Allocator)(nil)
	_ persimmoncart.UsableReplicas = (*Allocator)(nil)
)

const (
	// stepPeriod is the interval between checks of the queues and of expiries.
	stepPeriod = 20 * time.Millisecond
	// unknownVersion differs from every configuration version, so that the next
	// update applies the configuration.
	unknownVersion = ^uint64(0)
)

// An Allocator allocates slots of the engine replicas and chooses among the
// application endpoints that this instance may use. It also lends slots to other
// instances and borrows slots from them.
//
// Set the exported fields before Run. All methods are safe for concurrent use
// and may be called before Run, but queue timeouts and expiries work only while
// Run runs.
type Allocator struct {
	Configuration persimmoncart.Configuration
	Lenders       persimmoncart.Lenders // nil if there are no other owners
	Seed          uint64                // of random choices, together with the incarnation of Self
	Self          persimmoncart.Instance
	Settings      policy.BrokerSettings // optional; Effects, GrantPrefix, Random, Region and Self are overwritten
	Timer         persimmoncart.Timer

	balancers         map[persimmoncart.PoolName]*policy.Balancer
	broker            *policy.Broker
	cancelLenderCalls context.CancelFunc
	configVersion     uint64
	initOnce          sync.Once
	lenderCalls       sync.WaitGroup
	lenderContext     context.Context                                       // of calls to lenders; ends with Run
	lendReplies       map[uint64][]chan<- persimmoncart.Loan                // calls of Lend, by the number from Broker.ReceiveBorrow
	loadReports       map[persimmoncart.EndpointID]persimmoncart.LoadReport // last report with a new role or new models
	mutex             sync.Mutex                                            // guards all unexported fields
	random            *rand.Rand
	stragglers        *policy.StragglerDetector
	usable            []persimmoncart.UsableReplica
	waiters           map[uint64]chan reserveResult // calls of Reserve, by ticket
}

// A reserveResult is the outcome of a wait in Reserve: a grant or a refusal.
type reserveResult struct {
	grant   persimmoncart.Grant
	refusal *persimmoncart.Refusal
}

// ApplyCacheEvent records one change of the prefix cache of a prefill replica.
func (a *Allocator) ApplyCacheEvent(replica persimmoncart.EndpointID, e persimmoncart.CacheEvent) {
	a.update(func(now time.Time) { a.broker.ApplyCacheEvent(now, replica, e) })
}

// ApplyLoadReport records the role and models that an engine of this instance
// reports. They replace those of the configuration, because role orders move
// engines between roles during the day.
func (a *Allocator) ApplyLoadReport(id persimmoncart.EndpointID, report persimmoncart.LoadReport) {
	a.initialise()
	a.mutex.Lock()
	last, found := a.loadReports[id]
	changed := !found || last.Role != report.Role || !slices.Equal(last.Models, report.Models)
	if changed {
		a.loadReports[id] = report
		a.configVersion = unknownVersion
	}
	a.mutex.Unlock()
	if changed {
		a.update(func(time.Time) {})
	}
}

// Commit implements persimmoncart.SlotAllocator. It returns an *UnknownGrantError
// if the grant is unknown or has expired.
func (a *Allocator) Commit(_ context.Context, id persimmoncart.GrantID) error {
	var found bool
	a.update(func(now time.Time) { found = a.broker.Commit(now, id) })
	if !found {
		return &UnknownGrantError{ID: id}
	}
	return nil
}

// Digest implements persimmoncart.DigestExchange.
func (a *Allocator) Digest() (digest persimmoncart.Digest) {
	a.update(func(now time.Time) { digest = a.broker.Digest(now) })
	return digest
}

// Lend implements persimmoncart.Lender. It returns an error if ctx ends before the
// broker replies.
func (a *Allocator) Lend(ctx context.Context, request persimmoncart.BorrowRequest) (persimmoncart.Loan, error) {
	reply := make(chan persimmoncart.Loan, 1)
	var id uint64
	a.update(func(now time.Time) {
		id = a.broker.ReceiveBorrow(now, request)
		a.lendReplies[id] = append(a.lendReplies[id], reply)
	})
	select {
	case loan := <-reply:
		return loan, nil
	case <-ctx.Done():
		// Slots that are lent later expire, because the borrower never commits them.
		a.update(func(time.Time) { a.cancelLend(id, reply) })
		return persimmoncart.Loan{}, errors.Wrapf(ctx.Err(), "lend to %s", request.From)
	}
}

// Pick implements persimmoncart.Balancer. It returns a *persimmoncart.Refusal if no
// endpoint of the pool is in service.
func (a *Allocator) Pick(_ context.Context, request persimmoncart.PickRequest) (endpoint persimmoncart.Endpoint, err error) {
	var found bool
	a.update(func(now time.Time) {
		endpoint, found = a.balancer(request.Pool).Pick(now, a.random, request.Avoid)
	})
	if !found {
		return endpoint, &persimmoncart.Refusal{
			Code:       persimmoncart.RefusalPoolEmpty,
			Message:    "pool " + string(request.Pool) + " has no endpoint in service",
			Outcome:    persimmoncart.OutcomeNotRun,
			RetryAfter: time.Second,
		}
	}
	return endpoint, nil
}

// PrefillDone implements persimmoncart.SlotAllocator.
func (a *Allocator) PrefillDone(id persimmoncart.GrantID) {
	a.update(func(now time.Time) { a.broker.PrefillDone(now, id) })
}

// ReclaimSlots implements persimmoncart.DigestExchange.
func (a *Allocator) ReclaimSlots(instance persimmoncart.InstanceID) {
	a.update(func(now time.Time) {
		a.broker.RemoveDigest(instance)
		a.broker.ReleaseBorrower(now, instance)
	})
}

// Release implements persimmoncart.SlotAllocator.
func (a *Allocator) Release(id persimmoncart.GrantID) {
	a.update(func(now time.Time) { a.broker.Release(now, id) })
}

// RemoveDigest implements persimmoncart.DigestExchange.
func (a *Allocator) RemoveDigest(instance persimmoncart.InstanceID) {
	a.update(func(time.Time) { a.broker.RemoveDigest(instance) })
}

// Report implements persimmoncart.SlotAllocator and persimmoncart.Balancer.
func (a *Allocator) Report(r persimmoncart.CallResult) {
	a.update(func(now time.Time) {
		if r.Role == persimmoncart.RoleApplication {
			a.balancer(r.Pool).Report(now, r)
			return
		}
		a.broker.Report(now, r)
	})
}

// Reserve implements persimmoncart.SlotAllocator. It returns a
// *persimmoncart.Refusal, or an error if ctx ends first.
func (a *Allocator) Reserve(ctx context.Context, request persimmoncart.ReserveRequest) (persimmoncart.Grant, error) {
	if err := ctx.Err(); err != nil {
		return persimmoncart.Grant{}, errors.Wrapf(err, "reserve for %s", request.Attempt)
	}
	done := make(chan reserveResult, 1)
	var ticket uint64
	var refusal *persimmoncart.Refusal
	weight := a.accountWeight(request.Account)
	a.update(func(now time.Time) {
		if ticket, refusal = a.broker.Submit(now, request, weight); refusal == nil {
			a.waiters[ticket] = done
		}
	})
	if refusal != nil {
		return persimmoncart.Grant{}, refusal
	}
	select {
	case r := <-done:
		return r.value()
	case <-ctx.Done():
	}
	a.cancelReserve(ticket, done)
	return persimmoncart.Grant{}, errors.Wrapf(ctx.Err(), "reserve for %s", request.Attempt)
}

// Run applies configuration changes and checks the queues and expiries until ctx
// is done. It returns after all calls to lenders have ended.
func (a *Allocator) Run(ctx context.Context) error {
	a.initialise()
	defer a.lenderCalls.Wait()
	defer a.cancelLenderCalls()
	defer a.Configuration.Subscribe(func(*persimmoncart.Snapshot) { a.update(func(time.Time) {}) })()
	defer a.Timer.Subscribe(stepPeriod, func(time.Time) { a.update(func(time.Time) {}) })()
	<-ctx.Done()
	return nil
}

// SetUsable implements persimmoncart.UsableReplicas.
func (a *Allocator) SetUsable(replicas []persimmoncart.UsableReplica) {
	a.update(func(time.Time) {
		a.usable = slices.Clone(replicas)
		a.broker.SetUsable(a.usable)
	})
}

// Sizes returns the number of entries in each table of the broker, for metrics.
func (a *Allocator) Sizes() (sizes map[string]int) {
	a.update(func(time.Time) { sizes = a.broker.Sizes() })
	return sizes
}

// UpdateDigest implements persimmoncart.DigestExchange.
func (a *Allocator) UpdateDigest(digest persimmoncart.Digest, networkLatency time.Duration) {
	a.update(func(time.Time) { a.broker.UpdateDigest(digest, networkLatency) })
}

// UpdateSlots implements persimmoncart.Lender.
func (a *Allocator) UpdateSlots(_ context.Context, from persimmoncart.InstanceID, changes []persimmoncart.LoanChange) error {
	a.update(func(now time.Time) { a.broker.ReceiveChanges(now, from, changes) })
	return nil
}

// Waiting returns the number of requests in the admission queues, including the
// items of borrows by other instances.
func (a *Allocator) Waiting() (n int) {
	a.update(func(time.Time) { n = a.broker.Waiting() })
	return n
}

// accountWeight returns the weight of the account in the queue; 1 if the account is
// not configured.
func (a *Allocator) accountWeight(account persimmoncart.AccountID) int {
	if r, found := a.Configuration.Snapshot().Accounts[account]; found {
		return r.Weight
	}
	return 1
}

// applyConfiguration passes the configuration to the broker and the balancers if
// its version has changed. The mutex is held.
func (a *Allocator) applyConfiguration() {
	s := a.Configuration.Snapshot()
	if s.Version == a.configVersion {
		return
	}
	a.configVersion = s.Version
	maps.DeleteFunc(a.loadReports, func(id persimmoncart.EndpointID, _ persimmoncart.LoadReport) bool { return s.Endpoints[id] == nil })
	engines, applications := splitEndpoints(s, a.loadReports)
	a.broker.SetEndpoints(engines, poolTargets(s, engines))
	a.broker.SetUsable(a.usable)
	for pool, endpoints := range applications {
		a.balancer(pool).SetEndpoints(endpoints)
	}
	for pool, b := range a.balancers {
		if _, found := applications[pool]; !found {
			b.SetEndpoints(nil)
		}
	}
	for _, l := range s.Links {
		from, to := persimmoncart.DataCentre(l.From), persimmoncart.DataCentre(l.To)
		a.broker.SetLink(from, to, l.Rate)
		a.broker.SetLink(to, from, l.Rate)
	}
}

// balancer returns the Balancer of a pool and creates it on first use.
func (a *Allocator) balancer(pool persimmoncart.PoolName) *policy.Balancer {
	b, found := a.balancers[pool]
	if !found {
		b = policy.NewBalancer(pool, a.stragglers)
		a.balancers[pool] = b
	}
	return b
}

// cancelLend removes a call of Lend that has ended. A repetition of the same borrow
// may still wait for the reply. The mutex is held.
func (a *Allocator) cancelLend(id uint64, reply chan<- persimmoncart.Loan) {
	a.lendReplies[id] = slices.DeleteFunc(a.lendReplies[id], func(c chan<- persimmoncart.Loan) bool { return c == reply })
	if len(a.lendReplies[id]) == 0 {
		delete(a.lendReplies, id)
	}
}

// cancelReserve removes a ticket whose caller has left. If the ticket was granted
// in the meantime, it releases the grant.
func (a *Allocator) cancelReserve(ticket uint64, done chan reserveResult) {
	a.update(func(now time.Time) {
		delete(a.waiters, ticket)
		select {
		case r := <-done:
			if r.refusal == nil {
				a.broker.Release(now, r.grant.ID)
			}
		default:
			a.broker.Cancel(now, ticket)
		}
	})
}

// initialise builds the state on first use.
func (a *Allocator) initialise() {
	a.initOnce.Do(func() {
		a.balancers = make(map[persimmoncart.PoolName]*policy.Balancer)
		a.lendReplies = make(map[uint64][]chan<- persimmoncart.Loan)
		a.stragglers = policy.NewStragglerDetector()
		a.waiters = make(map[uint64]chan reserveResult)
		a.lenderContext, a.cancelLenderCalls = context.WithCancel(context.Background())
		a.random = rand.New(rand.NewPCG(a.Seed, uint64(a.Self.Incarnation)))
		s := a.Settings
		s.Effects = &effects{allocator: a}
		s.GrantPrefix = string(a.Self.ID) + "." + strconv.FormatUint(uint64(a.Self.Incarnation), 36)
		s.Random = a.random
		s.Region, s.Self = a.Self.Region, a.Self.ID
		a.broker = policy.NewBroker(s)
		a.loadReports = make(map[persimmoncart.EndpointID]persimmoncart.LoadReport)
		a.configVersion = unknownVersion
	})
}

// update runs f with the mutex held and with the current configuration applied,
// and then steps the broker, which serves the queues.
func (a *Allocator) update(f func(now time.Time)) {
	a.initialise()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.applyConfiguration()
	now := a.Timer.Now()
	f(now)
	a.broker.Step(now)
}

// value returns the grant, or the refusal as an error.
func (r reserveResult) value() (persimmoncart.Grant, error) {
	if r.refusal != nil {
		return persimmoncart.Grant{}, r.refusal
	}
	return r.grant, nil
}

// splitEndpoints returns the engines of a snapshot and its application endpoints
// by pool, both sorted by identifier. Drained endpoints are marked as leaving.
// Engines with a load report get the role and models of the report.
func splitEndpoints(s *persimmoncart.Snapshot, reports map[persimmoncart.EndpointID]persimmoncart.LoadReport) ([]persimmoncart.Endpoint, map[persimmoncart.PoolName][]persimmoncart.Endpoint) {
	var engines []persimmoncart.Endpoint
	applications := make(map[persimmoncart.PoolName][]persimmoncart.Endpoint)
	for id, e := range s.Endpoints {
		c := *e
		c.Leaving = c.Leaving || s.Drained[id]
		if r, found := reports[id]; found && c.Role != persimmoncart.RoleApplication {
			c.Role, c.Models = r.Role, r.Models
		}
		if c.Role == persimmoncart.RoleApplication {
			applications[c.Pool] = append(applications[c.Pool], c)
		} else {
			engines = append(engines, c)
		}
	}
	byID := func(a, b persimmoncart.Endpoint) int { return cmp.Compare(a.ID, b.ID) }
	slices.SortFunc(engines, byID)
	for _, list := range applications {
		slices.SortFunc(list, byID)
	}
	return engines, applications
}

// poolTargets returns the number of engines in each role and the token gap target
// of each pool.
func poolTargets(s *persimmoncart.Snapshot, engines []persimmoncart.Endpoint) []policy.PoolTargets {
	var list []policy.PoolTargets
	for name, pool := range s.Pools {
		t := policy.PoolTargets{Name: name, TokenGapTarget: pool.TokenGapTarget}
		for i := range engines {
			if engines[i].Pool == name {
				t.Size[engines[i].Role]++
			}
		}
		list = append(list, t)
	}
	return list
}

// An UnknownGrantError reports a grant that does not exist or has expired.
type UnknownGrantError struct {
	ID persimmoncart.GrantID
}

// Error implements error.
func (e *UnknownGrantError) Error() string {
	return fmt.Sprintf("grant %q is unknown or expired", string(e.ID))
}
