package policy

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// DefaultGrantExpiry is the lifetime of a grant or lent slot that is not committed.
	DefaultGrantExpiry = 2 * time.Second
	// DefaultMaxPrefillWait is the longest prefill wait for which a decode slot is
	// reserved: a longer one leaves decode slots idle.
	DefaultMaxPrefillWait = 400 * time.Millisecond
	// DefaultQueueLimit is the largest number of waiting requests of one pool and model.
	DefaultQueueLimit = 1024
	// DefaultMaxPrefixes is the size of the prefix index in entries.
	DefaultMaxPrefixes = 16384
	// stepInterval is the time between steps while requests or borrows wait.
	stepInterval = 20 * time.Millisecond
)

// Effects carries out the decisions of a Broker. The Broker calls it from its own
// methods, so implementations must not call the Broker.
type Effects interface {
	// Borrow sends a borrow to an owner. The caller passes the reply to
	// Broker.ReceiveLoan.
	Borrow(owner persimmoncart.InstanceID, request persimmoncart.BorrowRequest)
	// Grant ends the wait of a ticket with a grant.
	Grant(ticket uint64, grant persimmoncart.Grant)
	// Refuse ends the wait of a ticket with a refusal.
	Refuse(ticket uint64, refusal *persimmoncart.Refusal)
	// ReplyBorrow sends the reply to the borrow for which Broker.ReceiveBorrow
	// returned the number.
	ReplyBorrow(borrow uint64, loan persimmoncart.Loan)
	// UpdateSlots sends changes of lent slots to their owner.
	UpdateSlots(owner persimmoncart.InstanceID, changes []persimmoncart.LoanChange)
}

// BrokerSettings are the settings of a Broker. Zero numbers and durations get
// their defaults.
type BrokerSettings struct {
	Effects        Effects
	GrantExpiry    time.Duration // lifetime of a grant or lent slot that is not committed
	GrantPrefix    string        // of grant identifiers; unique for each instance and start
	LinkShare      float64       // share of the rate of each link that this instance may use, from 0 to 1
	MaxBorrowItems int           // in one borrow message
	MaxPrefillWait time.Duration // longest prefill wait for which a decode slot is reserved
	QueueLimit     int           // waiting requests of one pool and model
	Random         *rand.Rand
	Region         persimmoncart.Region
	Self           persimmoncart.InstanceID
	TokenBytes     float64 // KV cache size of one prompt token
}

// A Broker decides which replicas serve the requests of one instance.
//
// It grants slots of its own replicas, lends them to other instances, borrows
// slots from other owners, and refuses requests that cannot be served in time.
type Broker struct {
	borrowed           map[persimmoncart.EndpointID]*borrowedSlot
	endpoints          map[persimmoncart.EndpointID]*persimmoncart.Endpoint
	grantByReservation map[uint64]persimmoncart.GrantID // lent slots included
	grants             map[persimmoncart.GrantID]*grantState
	incoming           map[uint64]*incomingBorrow
	incomingIDs        map[borrowKey]uint64 // key in incoming, so that a repeated borrow gets the same reply
	ledger             *Ledger
	lentSlots          map[persimmoncart.GrantID]*lentState
	modelPoolList      []*modelPool // in the order of creation
	modelPools         map[modelPoolKey]*modelPool
	outgoing           map[uint64]*outgoingBorrow
	peers              *peerTable
	placer             Placer
	pools              []PoolTargets
	replicas           map[persimmoncart.EndpointID]*Replica
	retired            map[persimmoncart.EndpointID]*Replica // not usable any more, but with slots in use
	sequence           uint64
	settings           BrokerSettings
	stragglers         *StragglerDetector
	waiters            map[uint64]*waiter

	uncommitted map[persimmoncart.GrantID]time.Time // when each expires
}

// NewBroker returns a Broker without replicas. Zero settings get their defaults.
func NewBroker(s BrokerSettings) *Broker {
	s = s.withDefaults()
	return &Broker{
		borrowed:           make(map[persimmoncart.EndpointID]*borrowedSlot),
		endpoints:          make(map[persimmoncart.EndpointID]*persimmoncart.Endpoint),
		grantByReservation: make(map[uint64]persimmoncart.GrantID),
		grants:             make(map[persimmoncart.GrantID]*grantState),
		incoming:           make(map[uint64]*incomingBorrow),
		incomingIDs:        make(map[borrowKey]uint64),
		ledger:             NewLedger(),
		lentSlots:          make(map[persimmoncart.GrantID]*lentState),
		modelPools:         make(map[modelPoolKey]*modelPool),
		outgoing:           make(map[uint64]*outgoingBorrow),
		peers:              newPeerTable(),
		placer: Placer{
			Links:          NewLinks(s.LinkShare),
			MaxPrefillWait: s.MaxPrefillWait,
			Prefixes:       NewPrefixIndex(DefaultMaxPrefixes),
			TokenBytes:     s.TokenBytes,
		},
		replicas:   make(map[persimmoncart.EndpointID]*Replica),
		retired:    make(map[persimmoncart.EndpointID]*Replica),
		settings:   s,
		stragglers: NewStragglerDetector(),
		waiters:    make(map[uint64]*waiter),

		uncommitted: make(map[persimmoncart.GrantID]time.Time),
	}
}

// withDefaults returns the settings with defaults in place of zero values.
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

// A grantedSlot is a decode or prefill slot that is reserved for a request.
type grantedSlot struct {
	cachedTokens    int
	endpoint        *persimmoncart.Endpoint  // nil until reserved
	expectedPrefill time.Duration            // from the reservation on, wait included
	lentID          persimmoncart.GrantID    // identifier of a borrowed slot at its owner
	owner           persimmoncart.InstanceID // of a borrowed slot
	replica         *Replica                 // nil for a borrowed slot
	reservation     uint64                   // in the ledger; zero for a borrowed slot
}

// A grantState is a grant that is not released.
type grantState struct {
	committed       bool
	decode          grantedSlot
	expires         time.Time
	grantedAt       time.Time
	maxOutputTokens int
	modelPool       *modelPool
	prefill         grantedSlot
	prefilledAt     time.Time
	tokenGap        time.Duration // last measured time between tokens
}

// A waiter is a request in the admission queue: one of this instance's own, or an
// item of another instance's borrow.
type waiter struct {
	Item
	decode      grantedSlot
	incoming    *incomingBorrow // nil for own requests
	itemIndex   int             // index in incoming
	needDecode  bool
	needPrefill bool
	placement   PlacementRequest
	prefill     grantedSlot
	request     persimmoncart.ReserveRequest
	submittedAt time.Time
}

// Cancel removes a ticket that is still waiting and frees its slots.
func (b *Broker) Cancel(now time.Time, ticket uint64) {
	if w, found := b.waiters[ticket]; found {
		b.removeWaiter(now, w)
	}
}

// Commit keeps a grant until it is released. It reports false if the grant is
// unknown or expired.
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

// PrefillDone releases the prefill slot of a grant and updates the measured rate of
// its replica.
func (b *Broker) PrefillDone(now time.Time, id persimmoncart.GrantID) {
	g, found := b.grants[id]
	if !found || g.prefill.endpoint == nil {
		return
	}
	g.prefilledAt = now
	b.releaseSlot(now, &g.prefill, now.Sub(g.grantedAt))
}

// Release frees the slots of a grant. It ignores unknown grants.
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

// Submit adds a request to the admission queue and returns its ticket, or a refusal
// if it cannot be served in time. Step serves the queue.
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

// Waiting returns the number of requests in the queues, items of other instances'
// borrows included.
func (b *Broker) Waiting() int { return len(b.waiters) }

// grantID returns the identifier of a grant or lent slot from its number.
func (b *Broker) grantID(n uint64) persimmoncart.GrantID {
	return persimmoncart.GrantID(b.settings.GrantPrefix + "." + strconv.FormatUint(n, 36))
}

// nextID returns a new number for a ticket, reservation or message.
func (b *Broker) nextID() uint64 {
	b.sequence++
	return b.sequence
}

// releaseSlot frees a slot, if there is one. took is the time of its prefill or the
// time between its tokens, or zero if unknown.
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

// releaseWaiter frees the slots of a waiter.
func (b *Broker) releaseWaiter(now time.Time, w *waiter) {
	b.releaseSlot(now, &w.prefill, 0)
	b.releaseSlot(now, &w.decode, 0)
}

// removeWaiter removes a waiter from its queue and frees its slots.
func (b *Broker) removeWaiter(now time.Time, w *waiter) {
	delete(b.waiters, w.ID)
	m := b.modelPool(w.request.Pool, w.request.Model)
	m.queue.Remove(&w.Item)
	b.releaseWaiter(now, w)
}

// refuseUnserved returns a refusal if no replica serves the pool and model. Replicas
// in the configuration count even if no owner is known: an instance that has just
// started receives the digests of the owners within a second.
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
// one role in this region. A replica that failed once is better than no service,
// and a dead replica is ejected anyway.
func (b *Broker) effectiveAvoid(m *modelPool, avoid []persimmoncart.EndpointID) []persimmoncart.EndpointID {
	if len(avoid) == 0 {
		return nil
	}
	hasOther := make(map[persimmoncart.Role]bool)
	for id, e := range b.endpoints {
		if e.Region == b.settings.Region && !e.Leaving && e.Pool == m.key.pool && slices.Contains(e.Models, m.key.model) {
			hasOther[e.Role] = hasOther[e.Role] || !slices.Contains(avoid, id)
		}
	}
	for _, other := range hasOther {
		if !other {
			return nil
		}
	}
	return avoid
}

// hasConfiguredReplica reports whether the configuration names a decode replica of
// the pool and model that is not leaving.
func (b *Broker) hasConfiguredReplica(m *modelPool) bool {
	for _, e := range b.endpoints {
		if e.Role == persimmoncart.RoleDecode && !e.Leaving && e.Pool == m.key.pool && slices.Contains(e.Models, m.key.model) {
			return true
		}
	}
	return false
}

// newWaiter returns a waiter for a request, not yet in the queue.
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
