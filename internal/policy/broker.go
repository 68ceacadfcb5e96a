package policy

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// Constants of a broker.
const (
	// DefaultExpiry is the life of a grant or lent slot that nobody committed.
	DefaultExpiry = 2 * time.Second
	// DefaultMaxWait is the longest prefill queue that a decode slot is held
	// for: a longer one leaves decode slots idle.
	DefaultMaxWait = 400 * time.Millisecond
	// DefaultQueue bounds the waiting requests of one pool and model.
	DefaultQueue = 1024
	// DefaultPrefixes bounds the prefix index.
	DefaultPrefixes = 16384
	// brokerTick is the period in which waiting requests are looked at again.
	brokerTick = 20 * time.Millisecond
)

// Effects carries out what a Broker decides. The Broker calls it during its own
// methods; implementations must not call the Broker back.
type Effects interface {
	// Borrow sends a request to an owner; the answer goes to Broker.Lent.
	Borrow(owner persimmoncart.InstanceID, request persimmoncart.BorrowRequest)
	// Grant ends the wait of a ticket with a grant.
	Grant(ticket uint64, grant persimmoncart.Grant)
	// Lend answers a request that Broker.Lend took.
	Lend(lend uint64, loan persimmoncart.Loan)
	// Refuse ends the wait of a ticket with a refusal.
	Refuse(ticket uint64, refusal *persimmoncart.Refusal)
	// Settle tells an owner about lent slots.
	Settle(owner persimmoncart.InstanceID, changes []persimmoncart.LoanChange)
}

// BrokerSettings are the settings of a Broker.
type BrokerSettings struct {
	BorrowItems int // most items in one borrow message; zero is the default
	Effects     Effects
	Expiry      time.Duration
	LinkShare   float64 // this instance's part of the links' rate
	MaxWait     time.Duration
	Prefix      string // makes grant identifiers unique across instances and restarts
	QueueLimit  int
	Random      *rand.Rand
	Region      persimmoncart.Region
	Self        persimmoncart.InstanceID
	TokenBytes  float64 // KV cache of one prompt token
}

// A Broker decides which requests of one instance are served by which replicas.
//
// It grants slots of its own replicas, lends them to other instances, borrows
// from other owners, and refuses what cannot be served in time.
type Broker struct {
	borrowed   map[persimmoncart.EndpointID]*borrowedSlot
	endpoints  map[persimmoncart.EndpointID]*persimmoncart.Endpoint
	grants     map[persimmoncart.GrantID]*grantState
	lanes      map[laneKey]*lane
	ledger     *Ledger
	lends      map[uint64]*lending
	loans      map[loanKey]uint64 // request to lend, so that a repeat gets the same answer
	order      []*lane            // lanes in the order of creation
	outgoing   map[uint64]*borrowing
	peers      *peerTable
	placer     Placer
	pools      []PoolTargets
	replicas   map[persimmoncart.EndpointID]*Replica
	retired    map[persimmoncart.EndpointID]*Replica // no longer usable, with slots in use
	lentSlots  map[persimmoncart.GrantID]*lentState
	byHolding  map[uint64]persimmoncart.GrantID
	sequence   uint64
	settings   BrokerSettings
	stragglers *StragglerDetector
	tickets    map[uint64]*waiter

	uncommitted map[persimmoncart.GrantID]time.Time // expiry
}

// NewBroker returns a Broker without replicas. Zero settings get their defaults.
func NewBroker(s BrokerSettings) *Broker {
	s = s.withDefaults()
	return &Broker{
		borrowed:  make(map[persimmoncart.EndpointID]*borrowedSlot),
		byHolding: make(map[uint64]persimmoncart.GrantID),
		endpoints: make(map[persimmoncart.EndpointID]*persimmoncart.Endpoint),
		grants:    make(map[persimmoncart.GrantID]*grantState),
		lanes:     make(map[laneKey]*lane),
		ledger:    NewLedger(),
		lends:     make(map[uint64]*lending),
		loans:     make(map[loanKey]uint64),
		outgoing:  make(map[uint64]*borrowing),
		peers:     newPeerTable(),
		placer: Placer{
			Links:      NewLinks(s.LinkShare),
			MaxWait:    s.MaxWait,
			Prefixes:   NewPrefixIndex(DefaultPrefixes),
			TokenBytes: s.TokenBytes,
		},
		replicas:   make(map[persimmoncart.EndpointID]*Replica),
		retired:    make(map[persimmoncart.EndpointID]*Replica),
		lentSlots:  make(map[persimmoncart.GrantID]*lentState),
		settings:   s,
		stragglers: NewStragglerDetector(),
		tickets:    make(map[uint64]*waiter),

		uncommitted: make(map[persimmoncart.GrantID]time.Time),
	}
}

// withDefaults returns the settings with defaults for zero values.
func (s BrokerSettings) withDefaults() BrokerSettings {
	setDefault(&s.BorrowItems, DefaultBorrowItems)
	setDefault(&s.Expiry, DefaultExpiry)
	setDefault(&s.LinkShare, 1)
	setDefault(&s.MaxWait, DefaultMaxWait)
	setDefault(&s.QueueLimit, DefaultQueue)
	setDefault(&s.TokenBytes, DefaultTokenBytes)
	return s
}

// setDefault sets *v to d if it is zero.
func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// A part is one secured half of a grant.
type part struct {
	cached   int
	endpoint *persimmoncart.Endpoint // nil until secured
	first    time.Duration           // expected prefill time when it was secured
	holding  uint64                  // in the own ledger; zero for a lent slot
	owner    persimmoncart.InstanceID
	replica  *Replica
	lentSlot persimmoncart.GrantID // at the owner
}

// A grantState is one grant in force.
type grantState struct {
	committed bool
	decode    part
	expires   time.Time
	limit     int
	pace      time.Duration // last seen time between tokens
	prefill   part
	prefilled time.Time
	granted   time.Time
	lane      *lane
}

// A waiter is one request in the admission queue: an own request, or an item
// of another instance's borrow.
type waiter struct {
	Item
	ask         PlacementRequest
	decode      part
	index       int      // item of lend
	lend        *lending // nil for own requests
	needDecode  bool
	needPrefill bool
	prefill     part
	request     persimmoncart.ReserveRequest
	since       time.Time
}

// Cancel withdraws a ticket that is still waiting.
func (b *Broker) Cancel(now time.Time, ticket uint64) {
	if w, found := b.tickets[ticket]; found {
		b.drop(now, w)
	}
}

// Commit keeps a grant beyond its expiry. It reports whether the grant exists.
func (b *Broker) Commit(now time.Time, id persimmoncart.GrantID) bool {
	g, found := b.grants[id]
	if !found || (!g.committed && now.After(g.expires)) {
		return false
	}
	g.committed = true
	delete(b.uncommitted, id)
	for _, p := range []*part{&g.decode, &g.prefill} {
		if p.holding != 0 {
			b.ledger.Commit(p.holding)
		}
	}
	return true
}

// PrefillDone releases the prefill half of a grant and learns from its duration.
func (b *Broker) PrefillDone(now time.Time, id persimmoncart.GrantID) {
	g, found := b.grants[id]
	if !found || g.prefill.endpoint == nil {
		return
	}
	g.prefilled = now
	b.releasePart(now, &g.prefill, now.Sub(g.granted))
}

// Release frees a grant. Unknown grants are ignored.
func (b *Broker) Release(now time.Time, id persimmoncart.GrantID) {
	g, found := b.grants[id]
	if !found {
		return
	}
	delete(b.grants, id)
	delete(b.uncommitted, id)
	g.lane.learnFill(g, now)
	if g.decode.endpoint != nil && g.decode.holding == 0 {
		if s, kept := b.borrowed[g.decode.endpoint.ID]; kept && s.lentSlot == g.decode.lentSlot {
			delete(b.borrowed, g.decode.endpoint.ID)
		}
	}
	b.releasePart(now, &g.prefill, 0)
	b.releasePart(now, &g.decode, g.pace)
}

// Submit adds a request to the admission queue and returns its ticket, or why
// it is refused at once. Step serves it.
func (b *Broker) Submit(now time.Time, request persimmoncart.ReserveRequest, weight int) (uint64, *persimmoncart.Refusal) {
	l := b.lane(request.Pool, request.Model)
	if refusal := b.usable(l); refusal != nil {
		return 0, refusal
	}
	w := b.waiter(now, l, request, weight)
	w.needDecode, w.needPrefill = true, true
	w.ask.Avoid = b.avoidable(l, request.Avoid)
	if refusal := l.check(now, b.settings.Random, w); refusal != nil {
		return 0, refusal
	}
	if !l.queue.Push(&w.Item) {
		return 0, l.refusal(b.settings.Random, "the admission queue is full")
	}
	b.tickets[w.ID] = w
	return w.ID, nil
}

// Waiting returns the number of own and borrowing requests in the queues.
func (b *Broker) Waiting() int { return len(b.tickets) }

// drop removes a waiter and whatever it has secured.
func (b *Broker) drop(now time.Time, w *waiter) {
	delete(b.tickets, w.ID)
	l := b.lane(w.request.Pool, w.request.Model)
	l.queue.Remove(&w.Item)
	b.releaseWaiter(now, w)
}

// id returns a new identifier for a grant or lent slot.
func (b *Broker) id(n uint64) persimmoncart.GrantID {
	return persimmoncart.GrantID(b.settings.Prefix + "." + strconv.FormatUint(n, 36))
}

// next returns a new number for a ticket, holding or message.
func (b *Broker) next() uint64 {
	b.sequence++
	return b.sequence
}

// releasePart frees one half of a grant.
func (b *Broker) releasePart(now time.Time, p *part, took time.Duration) {
	switch {
	case p.endpoint == nil:
	case p.holding != 0:
		if p.replica.Endpoint.Role == persimmoncart.RolePrefill {
			p.replica.EndPrefill(now, p.holding, took)
		}
		b.ledger.Release(p.holding)
		delete(b.byHolding, p.holding)
	default:
		b.peers.addLoanChange(now, p.owner, persimmoncart.LoanChange{ID: p.lentSlot, Kind: persimmoncart.LoanReleased, Latency: took})
	}
	*p = part{}
}

// releaseWaiter frees what a waiter has secured.
func (b *Broker) releaseWaiter(now time.Time, w *waiter) {
	b.releasePart(now, &w.prefill, 0)
	b.releasePart(now, &w.decode, 0)
}

// usable refuses requests of lanes that no replica anywhere serves. Replicas
// that the configuration names count although no owner is known: an instance
// that has just started hears of the owners within a second.
func (b *Broker) usable(l *lane) *persimmoncart.Refusal {
	if len(l.decodes) > 0 || b.peers.serves(l.key, persimmoncart.RoleDecode) || b.configured(l) {
		return nil
	}
	return &persimmoncart.Refusal{
		Code:       persimmoncart.RefusalPoolEmpty,
		Message:    "no replica of pool " + string(l.key.pool) + " serves model " + string(l.key.model),
		Outcome:    persimmoncart.OutcomeNotRun,
		RetryAfter: SpreadRetry(b.settings.Random, time.Second),
	}
}

// avoidable returns the endpoints to avoid, or none if they are all replicas of
// a role in this region: a replica that failed once is better than no service,
// and one that is dead is ejected anyway.
func (b *Broker) avoidable(l *lane, avoid []persimmoncart.EndpointID) []persimmoncart.EndpointID {
	if len(avoid) == 0 {
		return nil
	}
	left := make(map[persimmoncart.Role]bool)
	for id, e := range b.endpoints {
		if e.Region == b.settings.Region && !e.Leaving && e.Pool == l.key.pool && slices.Contains(e.Models, l.key.model) {
			left[e.Role] = left[e.Role] || !slices.Contains(avoid, id)
		}
	}
	for _, others := range left {
		if !others {
			return nil
		}
	}
	return avoid
}

// configured reports whether the configuration names a decode replica that is
// in service for the lane.
func (b *Broker) configured(l *lane) bool {
	for _, e := range b.endpoints {
		if e.Role == persimmoncart.RoleDecode && !e.Leaving && e.Pool == l.key.pool && slices.Contains(e.Models, l.key.model) {
			return true
		}
	}
	return false
}

// waiter returns a waiter for a request, not yet queued.
func (b *Broker) waiter(now time.Time, l *lane, request persimmoncart.ReserveRequest, weight int) *waiter {
	w := &waiter{
		Item: Item{
			Account: request.Account,
			Class:   request.Class,
			Cost:    float64(request.MaxOutputTokens) + float64(request.PromptTokens)/promptCost,
			Due:     request.Deadline,
			ID:      b.next(),
			Weight:  weight,
		},
		ask: PlacementRequest{
			Avoid:    request.Avoid,
			Blocks:   persimmoncart.Blocks(request.PromptTokens + request.MaxOutputTokens),
			Class:    request.Class,
			Model:    request.Model,
			Prefixes: request.Prefixes,
			Tokens:   request.PromptTokens,
		},
		request: request,
		since:   now,
	}
	if !request.FirstTokenDeadline.IsZero() {
		w.Due = request.FirstTokenDeadline
	}
	w.Latest = l.latest(&request)
	return w
}
