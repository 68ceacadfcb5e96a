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
	// DefaultGrantExpiry is the life of a grant or lent slot that nobody committed.
	DefaultGrantExpiry = 2 * time.Second
	// DefaultMaxPrefillWait is the longest prefill queue that a decode slot is held
	// for: a longer one leaves decode slots idle.
	DefaultMaxPrefillWait = 400 * time.Millisecond
	// DefaultQueueLimit bounds the waiting requests of one pool and model.
	DefaultQueueLimit = 1024
	// DefaultMaxPrefixes bounds the prefix index.
	DefaultMaxPrefixes = 16384
	// stepInterval is the period in which waiting requests are looked at again.
	stepInterval = 20 * time.Millisecond
)

// Effects carries out what a Broker decides. The Broker calls it during its own
// methods; implementations must not call the Broker back.
type Effects interface {
	// Borrow sends a request to an owner; the answer goes to Broker.Lent.
	Borrow(owner persimmoncart.InstanceID, request persimmoncart.BorrowRequest)
	// Grant ends the wait of a ticket with a grant.
	Grant(ticket uint64, grant persimmoncart.Grant)
	// ReplyBorrow answers a request that Broker.ReplyBorrow took.
	ReplyBorrow(borrow uint64, loan persimmoncart.Loan)
	// Refuse ends the wait of a ticket with a refusal.
	Refuse(ticket uint64, refusal *persimmoncart.Refusal)
	// Settle tells an owner about lent slots.
	UpdateSlots(owner persimmoncart.InstanceID, changes []persimmoncart.LoanChange)
}

// BrokerSettings are the settings of a Broker.
type BrokerSettings struct {
	MaxBorrowItems int // most items in one borrow message; zero is the default
	Effects        Effects
	GrantExpiry    time.Duration
	LinkShare      float64 // this instance's part of the links' rate
	MaxPrefillWait time.Duration
	GrantPrefix    string // makes grant identifiers unique across instances and restarts
	QueueLimit     int
	Random         *rand.Rand
	Region         persimmoncart.Region
	Self           persimmoncart.InstanceID
	TokenBytes     float64 // KV cache of one prompt token
}

// A Broker decides which requests of one instance are served by which replicas.
//
// It grants slots of its own replicas, lends them to other instances, borrows
// from other owners, and refuses what cannot be served in time.
type Broker struct {
	borrowed           map[persimmoncart.EndpointID]*borrowedSlot
	endpoints          map[persimmoncart.EndpointID]*persimmoncart.Endpoint
	grants             map[persimmoncart.GrantID]*grantState
	modelPools         map[modelPoolKey]*modelPool
	ledger             *Ledger
	incoming           map[uint64]*incomingBorrow
	incomingIDs        map[borrowKey]uint64 // request to lend, so that a repeat gets the same answer
	modelPoolList      []*modelPool         // lanes in the order of creation
	outgoing           map[uint64]*outgoingBorrow
	peers              *peerTable
	placer             Placer
	pools              []PoolTargets
	replicas           map[persimmoncart.EndpointID]*Replica
	retired            map[persimmoncart.EndpointID]*Replica // no longer usable, with slots in use
	lentSlots          map[persimmoncart.GrantID]*lentState
	grantByReservation map[uint64]persimmoncart.GrantID
	sequence           uint64
	settings           BrokerSettings
	stragglers         *StragglerDetector
	waiters            map[uint64]*waiter

	uncommitted map[persimmoncart.GrantID]time.Time // expiry
}

// NewBroker returns a Broker without replicas. Zero settings get their defaults.
func NewBroker(s BrokerSettings) *Broker {
	s = s.withDefaults()
	return &Broker{
		borrowed:           make(map[persimmoncart.EndpointID]*borrowedSlot),
		grantByReservation: make(map[uint64]persimmoncart.GrantID),
		endpoints:          make(map[persimmoncart.EndpointID]*persimmoncart.Endpoint),
		grants:             make(map[persimmoncart.GrantID]*grantState),
		modelPools:         make(map[modelPoolKey]*modelPool),
		ledger:             NewLedger(),
		incoming:           make(map[uint64]*incomingBorrow),
		incomingIDs:        make(map[borrowKey]uint64),
		outgoing:           make(map[uint64]*outgoingBorrow),
		peers:              newPeerTable(),
		placer: Placer{
			Links:      NewLinks(s.LinkShare),
			MaxWait:    s.MaxPrefillWait,
			Prefixes:   NewPrefixIndex(DefaultMaxPrefixes),
			TokenBytes: s.TokenBytes,
		},
		replicas:   make(map[persimmoncart.EndpointID]*Replica),
		retired:    make(map[persimmoncart.EndpointID]*Replica),
		lentSlots:  make(map[persimmoncart.GrantID]*lentState),
		settings:   s,
		stragglers: NewStragglerDetector(),
		waiters:    make(map[uint64]*waiter),

		uncommitted: make(map[persimmoncart.GrantID]time.Time),
	}
}

// withDefaults returns the settings with defaults for zero values.
func (s BrokerSettings) withDefaults() BrokerSettings {
	setDefault(&s.MaxBorrowItems, DefaultBorrowItems)
	setDefault(&s.GrantExpiry, DefaultGrantExpiry)
	setDefault(&s.LinkShare, 1)
	setDefault(&s.MaxPrefillWait, DefaultMaxPrefillWait)
	setDefault(&s.QueueLimit, DefaultQueueLimit)
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

// A grantedSlot is one secured half of a grant.
type grantedSlot struct {
	cachedTokens    int
	endpoint        *persimmoncart.Endpoint // nil until secured
	expectedPrefill time.Duration           // expected prefill time when it was secured
	reservation     uint64                  // in the own ledger; zero for a lent slot
	owner           persimmoncart.InstanceID
	replica         *Replica
	lentID          persimmoncart.GrantID // at the owner
}

// A grantState is one grant in force.
type grantState struct {
	committed       bool
	decode          grantedSlot
	expires         time.Time
	maxOutputTokens int
	tokenGap        time.Duration // last seen time between tokens
	prefill         grantedSlot
	prefilledAt     time.Time
	grantedAt       time.Time
	modelPool       *modelPool
}

// A waiter is one request in the admission queue: an own request, or an item
// of another instance's borrow.
type waiter struct {
	Item
	placement   PlacementRequest
	decode      grantedSlot
	itemIndex   int             // item of lend
	incoming    *incomingBorrow // nil for own requests
	needDecode  bool
	needPrefill bool
	prefill     grantedSlot
	request     persimmoncart.ReserveRequest
	submittedAt time.Time
}

// Cancel withdraws a ticket that is still waiting.
func (b *Broker) Cancel(now time.Time, ticket uint64) {
	if w, found := b.waiters[ticket]; found {
		b.removeWaiter(now, w)
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
	for _, slot := range []*grantedSlot{&g.decode, &g.prefill} {
		if slot.reservation != 0 {
			b.ledger.Commit(slot.reservation)
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
	g.prefilledAt = now
	b.releaseSlot(now, &g.prefill, now.Sub(g.grantedAt))
}

// Release frees a grant. Unknown grants are ignored.
func (b *Broker) Release(now time.Time, id persimmoncart.GrantID) {
	g, found := b.grants[id]
	if !found {
		return
	}
	delete(b.grants, id)
	delete(b.uncommitted, id)
	g.modelPool.updateOutputRatio(g, now)
	if g.decode.endpoint != nil && g.decode.reservation == 0 {
		if s, kept := b.borrowed[g.decode.endpoint.ID]; kept && s.lentSlot == g.decode.lentID {
			delete(b.borrowed, g.decode.endpoint.ID)
		}
	}
	b.releaseSlot(now, &g.prefill, 0)
	b.releaseSlot(now, &g.decode, g.tokenGap)
}

// Submit adds a request to the admission queue and returns its ticket, or why
// it is refused at once. Step serves it.
func (b *Broker) Submit(now time.Time, request persimmoncart.ReserveRequest, weight int) (uint64, *persimmoncart.Refusal) {
	m := b.modelPool(request.Pool, request.Model)
	if refusal := b.refuseUnserved(m); refusal != nil {
		return 0, refusal
	}
	w := b.newWaiter(now, m, request, weight)
	w.needDecode, w.needPrefill = true, true
	w.placement.Avoid = b.effectiveAvoid(m, request.Avoid)
	if refusal := m.admit(now, b.settings.Random, w); refusal != nil {
		return 0, refusal
	}
	if !m.queue.Push(&w.Item) {
		return 0, m.capacityRefusal(b.settings.Random, "the admission queue is full")
	}
	b.waiters[w.ID] = w
	return w.ID, nil
}

// Waiting returns the number of own and borrowing requests in the queues.
func (b *Broker) Waiting() int { return len(b.waiters) }

// removeWaiter removes a waiter and whatever it has secured.
func (b *Broker) removeWaiter(now time.Time, w *waiter) {
	delete(b.waiters, w.ID)
	m := b.modelPool(w.request.Pool, w.request.Model)
	m.queue.Remove(&w.Item)
	b.releaseWaiter(now, w)
}

// grantID returns a new identifier for a grant or lent slot.
func (b *Broker) grantID(n uint64) persimmoncart.GrantID {
	return persimmoncart.GrantID(b.settings.GrantPrefix + "." + strconv.FormatUint(n, 36))
}

// nextID returns a new number for a ticket, holding or message.
func (b *Broker) nextID() uint64 {
	b.sequence++
	return b.sequence
}

// releaseSlot frees one half of a grant.
func (b *Broker) releaseSlot(now time.Time, slot *grantedSlot, took time.Duration) {
	switch {
	case slot.endpoint == nil:
	case slot.reservation != 0:
		if slot.replica.Endpoint.Role == persimmoncart.RolePrefill {
			slot.replica.EndPrefill(now, slot.reservation, took)
		}
		b.ledger.Release(slot.reservation)
		delete(b.grantByReservation, slot.reservation)
	default:
		b.peers.addLoanChange(now, slot.owner, persimmoncart.LoanChange{ID: slot.lentID, Kind: persimmoncart.LoanReleased, Latency: took})
	}
	*slot = grantedSlot{}
}

// releaseWaiter frees what a waiter has secured.
func (b *Broker) releaseWaiter(now time.Time, w *waiter) {
	b.releaseSlot(now, &w.prefill, 0)
	b.releaseSlot(now, &w.decode, 0)
}

// refuseUnserved refuses requests of lanes that no replica anywhere serves. Replicas
// that the configuration names count although no owner is known: an instance
// that has just started hears of the owners within a second.
func (b *Broker) refuseUnserved(m *modelPool) *persimmoncart.Refusal {
	if len(m.decodes) > 0 || b.peers.serves(m.key, persimmoncart.RoleDecode) || b.hasConfiguredReplica(m) {
		return nil
	}
	return &persimmoncart.Refusal{
		Code:       persimmoncart.RefusalPoolEmpty,
		Message:    "no replica of pool " + string(m.key.pool) + " serves model " + string(m.key.model),
		Outcome:    persimmoncart.OutcomeNotRun,
		RetryAfter: RetryAfter(b.settings.Random, time.Second),
	}
}

// effectiveAvoid returns the endpoints to avoid, or none if they are all replicas of
// a role in this region: a replica that failed once is better than no service,
// and one that is dead is ejected anyway.
func (b *Broker) effectiveAvoid(m *modelPool, avoid []persimmoncart.EndpointID) []persimmoncart.EndpointID {
	if len(avoid) == 0 {
		return nil
	}
	left := make(map[persimmoncart.Role]bool)
	for id, e := range b.endpoints {
		if e.Region == b.settings.Region && !e.Leaving && e.Pool == m.key.pool && slices.Contains(e.Models, m.key.model) {
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

// hasConfiguredReplica reports whether the configuration names a decode replica that is
// in service for the lane.
func (b *Broker) hasConfiguredReplica(m *modelPool) bool {
	for _, e := range b.endpoints {
		if e.Role == persimmoncart.RoleDecode && !e.Leaving && e.Pool == m.key.pool && slices.Contains(e.Models, m.key.model) {
			return true
		}
	}
	return false
}

// newWaiter returns a newWaiter for a request, not yet queued.
func (b *Broker) newWaiter(now time.Time, m *modelPool, request persimmoncart.ReserveRequest, weight int) *waiter {
	w := &waiter{
		Item: Item{
			Account: request.Account,
			Class:   request.Class,
			Cost:    float64(request.MaxOutputTokens) + float64(request.PromptTokens)/promptTokensPerOutputToken,
			Due:     request.Deadline,
			ID:      b.nextID(),
			Weight:  weight,
		},
		placement: PlacementRequest{
			Avoid:    request.Avoid,
			Blocks:   persimmoncart.Blocks(request.PromptTokens + request.MaxOutputTokens),
			Class:    request.Class,
			Model:    request.Model,
			Prefixes: request.Prefixes,
			Tokens:   request.PromptTokens,
		},
		request:     request,
		submittedAt: now,
	}
	if !request.FirstTokenDeadline.IsZero() {
		w.Due = request.FirstTokenDeadline
	}
	w.LatestStart = m.latestStart(&request)
	return w
}
