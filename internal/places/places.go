// Package places grants slots of engine replicas and chooses application
// endpoints for one instance, with the decision code of internal/policy.
package places

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
	_ persimmoncart.Balancer       = (*Places)(nil)
	_ persimmoncart.Lender         = (*Places)(nil)
	_ persimmoncart.DigestExchange = (*Places)(nil)
	_ persimmoncart.SlotAllocator  = (*Places)(nil)
	_ persimmoncart.UsableReplicas = (*Places)(nil)
)

// unknownVersion differs from every version of the configuration.
const unknownVersion = ^uint64(0)

// tick is the period in which waiting requests and expiries are looked at.
const tick = 20 * time.Millisecond

// A Places implements persimmoncart.SlotAllocator and persimmoncart.Balancer for the
// replicas that this instance may use, and lends and borrows slots.
//
// Set the exported fields before Run. All methods are safe for concurrent use
// and may be called before Run, but time-outs work only while Run runs.
type Places struct {
	Configuration persimmoncart.Configuration
	Lenders       persimmoncart.Lenders // nil if there are no other owners
	Seed          uint64                // of the random choices; zero takes one from the instance
	Self          persimmoncart.Instance
	Settings      policy.BrokerSettings // optional; identity and effects are set from the other fields
	Timer         persimmoncart.Timer

	balances   map[persimmoncart.PoolName]*policy.Balancer
	broker     *policy.Broker
	context    context.Context // of calls to lenders; ends with Run
	cancel     context.CancelFunc
	calls      sync.WaitGroup
	lends      map[uint64]chan persimmoncart.Loan
	mutex      sync.Mutex // guards everything below and above it
	observed   map[persimmoncart.EndpointID]persimmoncart.LoadReport
	random     *rand.Rand
	setup      sync.Once
	stragglers *policy.StragglerDetector
	usable     []persimmoncart.UsableReplica
	version    uint64
	waiting    map[uint64]chan result
}

// A result ends a wait in Reserve.
type result struct {
	grant   persimmoncart.Grant
	refusal *persimmoncart.Refusal
}

// Commit implements persimmoncart.SlotAllocator. It returns a *GrantError for a grant
// that is unknown or expired.
func (p *Places) Commit(_ context.Context, id persimmoncart.GrantID) error {
	var found bool
	p.do(func(now time.Time) { found = p.broker.Commit(now, id) })
	if !found {
		return &GrantError{ID: id}
	}
	return nil
}

// ReclaimSlots implements persimmoncart.DigestExchange.
func (p *Places) ReclaimSlots(instance persimmoncart.InstanceID) {
	p.do(func(now time.Time) {
		p.broker.RemoveDigest(instance)
		p.broker.ReleaseBorrower(now, instance)
	})
}

// Digest implements persimmoncart.DigestExchange.
func (p *Places) Digest() (digest persimmoncart.Digest) {
	p.do(func(now time.Time) { digest = p.broker.Digest(now) })
	return digest
}

// Report implements persimmoncart.SlotAllocator and persimmoncart.Balancer.
func (p *Places) Report(r persimmoncart.CallResult) {
	p.do(func(now time.Time) {
		if r.Role == persimmoncart.RoleApplication {
			p.balance(r.Pool).Report(now, r)
			return
		}
		p.broker.Report(now, r)
	})
}

// CacheEvent takes one change of a prefill replica's prefix cache.
func (p *Places) CacheEvent(replica persimmoncart.EndpointID, e persimmoncart.CacheEvent) {
	p.do(func(now time.Time) { p.broker.ApplyCacheEvent(now, replica, e) })
}

// RemoveDigest implements persimmoncart.DigestExchange.
func (p *Places) RemoveDigest(instance persimmoncart.InstanceID) {
	p.do(func(time.Time) { p.broker.RemoveDigest(instance) })
}

// UpdateDigest implements persimmoncart.DigestExchange.
func (p *Places) UpdateDigest(digest persimmoncart.Digest, distance time.Duration) {
	p.do(func(time.Time) { p.broker.UpdateDigest(digest, distance) })
}

// Lend implements persimmoncart.Lender.
func (p *Places) Lend(ctx context.Context, request persimmoncart.BorrowRequest) (persimmoncart.Loan, error) {
	answer := make(chan persimmoncart.Loan, 1)
	var id uint64
	p.do(func(now time.Time) {
		id = p.broker.ReceiveBorrow(now, request)
		p.lends[id] = answer
	})
	select {
	case loan := <-answer:
		return loan, nil
	case <-ctx.Done():
		// Slots that are lent after this expire, because nobody commits them.
		p.do(func(time.Time) { delete(p.lends, id) })
		return persimmoncart.Loan{}, errors.Wrapf(ctx.Err(), "lend to %s", request.From)
	}
}

// Observe takes a load report of an engine that this instance owns. The role and
// models that an engine reports count, not those of its record, since orders
// move engines between roles during the day.
func (p *Places) Observe(id persimmoncart.EndpointID, report persimmoncart.LoadReport) {
	p.prepare()
	p.mutex.Lock()
	last, known := p.observed[id]
	changed := !known || last.Role != report.Role || !slices.Equal(last.Models, report.Models)
	if changed {
		p.observed[id] = report
		p.version = unknownVersion
	}
	p.mutex.Unlock()
	if changed {
		p.do(func(time.Time) {})
	}
}

// Pick implements persimmoncart.Balancer.
func (p *Places) Pick(_ context.Context, request persimmoncart.PickRequest) (endpoint persimmoncart.Endpoint, err error) {
	var found bool
	p.do(func(now time.Time) {
		endpoint, found = p.balance(request.Pool).Pick(now, p.random, request.Avoid)
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
func (p *Places) PrefillDone(id persimmoncart.GrantID) {
	p.do(func(now time.Time) { p.broker.PrefillDone(now, id) })
}

// Release implements persimmoncart.SlotAllocator.
func (p *Places) Release(id persimmoncart.GrantID) {
	p.do(func(now time.Time) { p.broker.Release(now, id) })
}

// Reserve implements persimmoncart.SlotAllocator.
func (p *Places) Reserve(ctx context.Context, request persimmoncart.ReserveRequest) (persimmoncart.Grant, error) {
	if err := ctx.Err(); err != nil {
		return persimmoncart.Grant{}, errors.Wrapf(err, "reserve for %s", request.Attempt)
	}
	done := make(chan result, 1)
	var ticket uint64
	var refusal *persimmoncart.Refusal
	weight := p.weight(request.Account)
	p.do(func(now time.Time) {
		if ticket, refusal = p.broker.Submit(now, request, weight); refusal == nil {
			p.waiting[ticket] = done
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
	p.withdraw(ticket, done)
	return persimmoncart.Grant{}, errors.Wrapf(ctx.Err(), "reserve for %s", request.Attempt)
}

// Run follows the configuration and the time until ctx is done.
func (p *Places) Run(ctx context.Context) error {
	p.prepare()
	defer p.calls.Wait()
	defer p.cancel()
	defer p.Configuration.Subscribe(func(*persimmoncart.Snapshot) { p.do(func(time.Time) {}) })()
	defer p.Timer.Subscribe(tick, func(time.Time) { p.do(func(time.Time) {}) })()
	<-ctx.Done()
	return nil
}

// SetUsable implements persimmoncart.UsableReplicas.
func (p *Places) SetUsable(replicas []persimmoncart.UsableReplica) {
	p.do(func(time.Time) {
		p.usable = slices.Clone(replicas)
		p.broker.SetUsable(p.usable)
	})
}

// UpdateSlots implements persimmoncart.Lender.
func (p *Places) UpdateSlots(_ context.Context, from persimmoncart.InstanceID, changes []persimmoncart.LoanChange) error {
	p.do(func(now time.Time) { p.broker.ReceiveChanges(now, from, changes) })
	return nil
}

// Sizes returns the number of entries of each table, for gauges.
func (p *Places) Sizes() (sizes map[string]int) {
	p.do(func(time.Time) { sizes = p.broker.Sizes() })
	return sizes
}

// Waiting returns the number of requests in the admission queues, borrows of
// other instances included.
func (p *Places) Waiting() (n int) {
	p.do(func(time.Time) { n = p.broker.Waiting() })
	return n
}

// balance returns the Balance of a pool.
func (p *Places) balance(pool persimmoncart.PoolName) *policy.Balancer {
	b, found := p.balances[pool]
	if !found {
		b = policy.NewBalancer(pool, p.stragglers)
		p.balances[pool] = b
	}
	return b
}

// do runs f with the state locked and carries out what follows from it.
func (p *Places) do(f func(now time.Time)) {
	p.prepare()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.configure()
	now := p.Timer.Now()
	f(now)
	p.broker.Step(now)
}

// configure applies the newest configuration; the mutex is held.
func (p *Places) configure() {
	s := p.Configuration.Snapshot()
	if s.Version == p.version {
		return
	}
	p.version = s.Version
	maps.DeleteFunc(p.observed, func(id persimmoncart.EndpointID, _ persimmoncart.LoadReport) bool { return s.Endpoints[id] == nil })
	engines, applications := split(s, p.observed)
	p.broker.SetEndpoints(engines, targets(s, engines))
	p.broker.SetUsable(p.usable)
	for pool, endpoints := range applications {
		p.balance(pool).SetEndpoints(endpoints)
	}
	for pool, b := range p.balances {
		if _, found := applications[pool]; !found {
			b.SetEndpoints(nil)
		}
	}
	for _, l := range s.Links {
		from, to := persimmoncart.DataCentre(l.From), persimmoncart.DataCentre(l.To)
		p.broker.SetLink(from, to, l.Rate)
		p.broker.SetLink(to, from, l.Rate)
	}
}

// prepare builds the state on first use.
func (p *Places) prepare() {
	p.setup.Do(func() {
		p.balances = make(map[persimmoncart.PoolName]*policy.Balancer)
		p.lends = make(map[uint64]chan persimmoncart.Loan)
		p.stragglers = policy.NewStragglerDetector()
		p.waiting = make(map[uint64]chan result)
		p.context, p.cancel = context.WithCancel(context.Background())
		p.random = rand.New(rand.NewPCG(p.Seed, uint64(p.Self.Incarnation)))
		s := p.Settings
		s.Effects = &effects{places: p}
		s.GrantPrefix = string(p.Self.ID) + "." + strconv.FormatUint(uint64(p.Self.Incarnation), 36)
		s.Random = p.random
		s.Region, s.Self = p.Self.Region, p.Self.ID
		p.broker = policy.NewBroker(s)
		p.observed = make(map[persimmoncart.EndpointID]persimmoncart.LoadReport)
		p.version = unknownVersion
	})
}

// weight returns the account's weight in the queue.
func (p *Places) weight(account persimmoncart.AccountID) int {
	if a, found := p.Configuration.Snapshot().Accounts[account]; found {
		return a.Weight
	}
	return 1
}

// withdraw gives up a ticket whose caller is gone, and the grant if it came
// at the same moment.
func (p *Places) withdraw(ticket uint64, done chan result) {
	p.do(func(now time.Time) {
		delete(p.waiting, ticket)
		select {
		case r := <-done:
			if r.refusal == nil {
				p.broker.Release(now, r.grant.ID)
			}
		default:
			p.broker.Cancel(now, ticket)
		}
	})
}

// value returns the result of a wait as Reserve returns it.
func (r result) value() (persimmoncart.Grant, error) {
	if r.refusal != nil {
		return persimmoncart.Grant{}, r.refusal
	}
	return r.grant, nil
}

// split returns the engines and, by pool, the application endpoints of a
// snapshot, sorted by identifier; drained ones are marked as leaving, and
// observed engines have the role and models that they reported.
func split(s *persimmoncart.Snapshot, observed map[persimmoncart.EndpointID]persimmoncart.LoadReport) ([]persimmoncart.Endpoint, map[persimmoncart.PoolName][]persimmoncart.Endpoint) {
	var engines []persimmoncart.Endpoint
	applications := make(map[persimmoncart.PoolName][]persimmoncart.Endpoint)
	for id, e := range s.Endpoints {
		c := *e
		c.Leaving = c.Leaving || s.Drained[id]
		if r, found := observed[id]; found && c.Role != persimmoncart.RoleApplication {
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

// targets returns the sizes and targets of the pools of engines.
func targets(s *persimmoncart.Snapshot, engines []persimmoncart.Endpoint) []policy.PoolTargets {
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

// A GrantError reports a grant that is unknown or expired.
type GrantError struct {
	ID persimmoncart.GrantID
}

// Error implements error.
func (e *GrantError) Error() string {
	return fmt.Sprintf("grant %q is unknown or expired", string(e.ID))
}
