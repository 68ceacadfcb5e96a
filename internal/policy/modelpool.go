package policy

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// defaultTokenGap is the assumed time between tokens until one is measured.
	defaultTokenGap = 45 * time.Millisecond
	// defaultOutputRatio is the assumed share of the output limit that is generated
	// until it is measured.
	defaultOutputRatio = 0.9
	// minRemotePrefillGain is how much earlier another owner has to finish the prefill
	// for its slot to be borrowed although a local one is free.
	minRemotePrefillGain = 200 * time.Millisecond
	// minRemoteLoadGain is how much lower the share of used decode slots of another
	// owner has to be for its slot to be borrowed although a local one is free.
	minRemoteLoadGain = 0.2
	// outputRatioQuantile is the quantile of the generated share with which the
	// latest start of a request is planned: the prefill of a response that misses its
	// deadline is wasted. outputRatioStep is the step of the estimate.
	outputRatioQuantile = 0.97
	outputRatioStep     = 0.02
	// maxSkipped is how many waiting requests that do not fit now are skipped, so
	// that a large one does not block small ones. Requests that need only a prefill
	// slot are counted separately from those that need a decode slot, so that a
	// shortage of one kind does not leave the other idle.
	maxSkipped = 8
	// unavailableTimeout is how long requests wait for a replica in service: the
	// longest time that replicas have no owner after their owner has ended, and a margin.
	unavailableTimeout = 4 * time.Second
	// promptTokensPerOutputToken is how many prompt tokens cost as much as one output
	// token.
	promptTokensPerOutputToken = 64
)

// A modelPoolKey names a model and the pool that serves it.
type modelPoolKey struct {
	model persimmoncart.ModelName
	pool  persimmoncart.PoolName
}

// A modelPool holds the waiting requests and the usable replicas of one model in
// one pool.
type modelPool struct {
	decodes          []*Replica
	key              modelPoolKey
	nextBorrow       time.Time // earliest time of the next borrow
	outputRatio      float64   // estimated quantile of the share of the output limit that is generated
	prefills         []*Replica
	queue            *Queue
	requested        [persimmoncart.RolePrefill + 1]int // items of outgoing borrows by role
	serviceRate      serviceRate
	tokenGap         time.Duration // measured time between tokens
	unassigned       []unassignedSlot
	unavailableSince time.Time // when the last replica of a role went out of service; zero while all roles have one
}

// An unassignedSlot is a borrowed slot that no request uses yet.
type unassignedSlot struct {
	endpoint *persimmoncart.Endpoint
	owner    persimmoncart.InstanceID
	lentSlot persimmoncart.LentSlot
}

// admit returns a refusal if the request cannot be served in time, or nil.
func (m *modelPool) admit(now time.Time, random *rand.Rand, w *waiter) *persimmoncart.Refusal {
	if m.unavailable(now) {
		return m.capacityRefusal(random, "no replica is in service")
	}
	if now.After(w.LatestStart) {
		if w.submittedAt.Equal(now) {
			return &persimmoncart.Refusal{
				Code:    persimmoncart.RefusalDeadline,
				Message: "the deadline is too short for the request",
				Outcome: persimmoncart.OutcomeNotRun,
			}
		}
		return m.capacityRefusal(random, "no slot became free in time")
	}
	ahead := m.queue.Ahead(w.Class, w.Due)
	if wait, ok := m.serviceRate.expectedWait(ahead); ok && now.Add(wait).After(w.LatestStart) {
		return m.capacityRefusal(random, "the queue is too long for the deadline")
	}
	return nil
}

// capacityRefusal returns a refusal for lack of capacity. Its RetryAfter is the time
// in which the present queue is expected to be served.
func (m *modelPool) capacityRefusal(random *rand.Rand, message string) *persimmoncart.Refusal {
	wait, ok := m.serviceRate.expectedWait(m.queue.Len())
	if !ok {
		wait = time.Second
	}
	return &persimmoncart.Refusal{
		Code:       persimmoncart.RefusalCapacity,
		Message:    message,
		Outcome:    persimmoncart.OutcomeNotRun,
		RetryAfter: RetryAfter(random, wait),
	}
}

// latestStart returns the last time at which serving a request still meets its
// deadlines.
func (m *modelPool) latestStart(request *persimmoncart.ReserveRequest) time.Time {
	decode := time.Duration(float64(request.MaxOutputTokens) * m.outputRatio * float64(m.tokenGap))
	prefill := m.prefillTime(request.PromptTokens)
	latest := request.Deadline.Add(-decode - prefill)
	if !request.FirstTokenDeadline.IsZero() {
		if first := request.FirstTokenDeadline.Add(-prefill); first.Before(latest) {
			return first
		}
	}
	return latest
}

// prefillTime returns the expected time of a prefill on the fastest replica.
func (m *modelPool) prefillTime(tokens int) time.Duration {
	rate := float64(DefaultPrefillRate)
	for _, r := range m.prefills {
		rate = max(rate, r.PrefillRate)
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

// updateOutputRatio updates the share of the output limit that requests generate
// from the time of a whole decode. Cancelled decodes count as well, since their slot
// is free from then on.
func (m *modelPool) updateOutputRatio(g *grantState, now time.Time) {
	if g.prefilledAt.IsZero() || g.maxOutputTokens <= 0 {
		return
	}
	gap := g.tokenGap
	if gap <= 0 {
		gap = m.tokenGap
	}
	share := float64(now.Sub(g.prefilledAt)) / float64(gap) / float64(g.maxOutputTokens)
	if min(share, 1) < m.outputRatio {
		m.outputRatio = max(m.outputRatio-outputRatioStep*(1-outputRatioQuantile), outputRatioStep)
	} else {
		m.outputRatio = min(m.outputRatio+outputRatioStep*outputRatioQuantile, 1)
	}
}

// modelPool returns the modelPool of a pool and model. It adds a new one on first
// use.
func (b *Broker) modelPool(pool persimmoncart.PoolName, model persimmoncart.ModelName) *modelPool {
	k := modelPoolKey{model: model, pool: pool}
	m, found := b.modelPools[k]
	if !found {
		m = &modelPool{outputRatio: defaultOutputRatio, key: k, tokenGap: defaultTokenGap, queue: NewQueue(b.settings.QueueLimit)}
		b.modelPools[k] = m
		b.modelPoolList = append(b.modelPoolList, m)
		b.assignReplicas(m)
	}
	return m
}

// NextStep returns when Step has to be called if no other event comes first; zero if
// there is nothing to do.
func (b *Broker) NextStep(now time.Time) time.Time {
	next := b.ledger.NextExpiry()
	if len(b.waiters) > 0 || len(b.incoming) > 0 || len(b.uncommitted) > 0 || b.peers.hasUnsentChanges() {
		if tick := now.Add(stepInterval); next.IsZero() || tick.Before(next) {
			return tick
		}
	}
	return next
}

// Step serves waiting requests, refuses those that cannot be served in time, borrows
// slots for the rest, replies to borrows and sends changes of lent slots.
func (b *Broker) Step(now time.Time) {
	b.ledger.Expire(now, func(r Reservation) { b.releaseExpired(now, r) })
	b.expireGrants(now)
	b.refreshWeights(now)
	for _, m := range b.modelPoolList {
		b.stepModelPool(now, m)
	}
	b.replyBorrows(now)
	b.peers.flush(now, b.settings.Effects.UpdateSlots)
}

// releaseExpired releases the grant or lent slot of an expired reservation.
func (b *Broker) releaseExpired(now time.Time, r Reservation) {
	id, found := b.grantByReservation[r.ID]
	if !found {
		return
	}
	delete(b.grantByReservation, r.ID)
	if s, lent := b.lentSlots[id]; lent {
		b.releaseLent(now, id, s)
		return
	}
	b.Release(now, id)
}

// expireGrants releases the grants that were not committed in time, those with
// borrowed slots included.
func (b *Broker) expireGrants(now time.Time) {
	for _, id := range sortedKeys(b.uncommitted) {
		if now.After(b.uncommitted[id]) {
			b.Release(now, id)
		}
	}
}

// stepModelPool serves the waiting requests of one pool and model.
func (b *Broker) stepModelPool(now time.Time, m *modelPool) {
	m.serviceRate.advance(now, m.queue.Len() > 0)
	b.updateAvailability(now, m)
	if gap, ok := b.stragglers.Median(now, m.key.pool, persimmoncart.RoleDecode); ok {
		m.tokenGap = gap
	}
	if m.queue.Len() == 0 {
		b.returnUnassigned(now, m)
		return
	}
	var served, late, unplaced []*waiter
	skipped := [2]int{} // requests that need a decode slot, and others
	m.queue.Range(func(e *Item) bool {
		w := b.waiters[e.ID]
		kind := 0
		if !w.needDecode || w.decode.endpoint != nil {
			kind = 1
		}
		switch {
		case now.After(e.LatestStart) || m.unavailable(now):
			late = append(late, w)
		case skipped[kind] >= maxSkipped:
		case b.reserve(now, m, w):
			served = append(served, w)
		default:
			if w.incoming == nil {
				unplaced = append(unplaced, w)
			}
			skipped[kind]++
		}
		return skipped[0] < maxSkipped || skipped[1] < maxSkipped
	})
	for _, w := range late {
		b.refuse(now, m, w)
	}
	for _, w := range served {
		b.serve(now, m, w)
	}
	b.returnUnassigned(now, m)
	b.borrow(now, m, unplaced)
}

// updateAvailability records since when no prefill or no decode replica is in
// service, neither here nor in the digest of any region.
func (b *Broker) updateAvailability(now time.Time, m *modelPool) {
	serves := func(list []*Replica, role persimmoncart.Role) bool {
		return slices.ContainsFunc(list, (*Replica).inService) || b.peers.serves(m.key, role)
	}
	switch {
	case serves(m.decodes, persimmoncart.RoleDecode) && serves(m.prefills, persimmoncart.RolePrefill):
		m.unavailableSince = time.Time{}
	case m.unavailableSince.IsZero():
		m.unavailableSince = now
	}
}

// unavailable reports whether a role has had no replica in service for longer than
// unavailableTimeout.
func (m *modelPool) unavailable(now time.Time) bool {
	return !m.unavailableSince.IsZero() && now.Sub(m.unavailableSince) > unavailableTimeout
}

// refuse ends the wait of a request that cannot be served in time.
func (b *Broker) refuse(now time.Time, m *modelPool, w *waiter) {
	b.removeWaiter(now, w)
	if w.incoming == nil {
		b.settings.Effects.Refuse(w.ID, m.capacityRefusal(b.settings.Random, "no slot became free in time"))
	}
}

// reserve reserves the slots that a waiter still needs. It reports whether the
// waiter can be served.
func (b *Broker) reserve(now time.Time, m *modelPool, w *waiter) bool {
	needDecode := w.needDecode && w.decode.endpoint == nil
	needPrefill := w.needPrefill && w.prefill.endpoint == nil
	if needDecode && needPrefill {
		if c, found := b.placer.Choose(now, &w.placement, m.prefills, m.decodes); found &&
			!b.preferRemotePrefill(now, m, w, c.PrefillTime) && !b.preferRemoteDecode(now, m, w, c.Decode) {
			b.reserveOwnDecode(now, w, c.Decode)
			b.reserveOwnPrefill(now, w, c.Prefill)
			b.placer.reserveTransfer(now, &c, w.placement.Tokens)
			return true
		}
	}
	if needDecode && !b.reserveDecode(now, m, w) {
		return false
	}
	if !needPrefill || b.reservePrefill(now, m, w) {
		return true
	}
	// A borrower that gets only a decode slot borrows the prefill slot elsewhere.
	return w.incoming != nil && w.needDecode
}

// reserveDecode reserves a decode slot, a borrowed one if there is any.
func (b *Broker) reserveDecode(now time.Time, m *modelPool, w *waiter) bool {
	if b.assignBorrowed(now, m, w, persimmoncart.RoleDecode, &w.decode) {
		return true
	}
	if w.incoming == nil && !b.prefillAvailable(now, m, w) {
		return false
	}
	if r, found := b.placer.ChooseDecode(&w.placement, m.decodes); found && !b.preferRemoteDecode(now, m, w, r) {
		b.reserveOwnDecode(now, w, r)
		return true
	}
	return false
}

// reservePrefill reserves a prefill slot in the region of the decode slot, a borrowed
// one if there is any.
func (b *Broker) reservePrefill(now time.Time, m *modelPool, w *waiter) bool {
	if b.assignBorrowed(now, m, w, persimmoncart.RolePrefill, &w.prefill) {
		return true
	}
	if w.decode.endpoint != nil {
		w.placement.PreferredDataCentre, w.placement.Region = w.decode.endpoint.DataCentre, w.decode.endpoint.Region
	}
	r, found := b.placer.ChoosePrefill(now, &w.placement, m.prefills)
	if !found || b.preferRemotePrefill(now, m, w, r.Wait(now)+r.prefillTime(w.placement.Tokens-r.cachedTokens)) {
		return false
	}
	b.reserveOwnPrefill(now, w, r)
	return true
}

// preferRemoteDecode reports whether the batches of another owner are so much smaller
// than that of replica r that a slot is borrowed although r has a free one: every
// request in a batch slows down all others.
func (b *Broker) preferRemoteDecode(now time.Time, m *modelPool, w *waiter, r *Replica) bool {
	if w.incoming != nil || r.Weight <= 0 || now.Before(m.nextBorrow) {
		return false
	}
	own := float64(r.usedSlots) / float64(r.Slots)
	return own > b.peers.minDecodeLoad(m.key, b.settings.Region)+minRemoteLoadGain
}

// preferRemotePrefill reports whether another owner would finish the prefill earlier
// than wait from now by more than minRemotePrefillGain, and a borrow may be sent.
func (b *Broker) preferRemotePrefill(now time.Time, m *modelPool, w *waiter, wait time.Duration) bool {
	if w.incoming != nil || wait < minRemotePrefillGain || now.Before(m.nextBorrow) {
		return false
	}
	other := b.peers.minPrefillWait(m.key, cmp.Or(w.placement.Region, b.settings.Region))
	if other > b.settings.MaxPrefillWait {
		return false
	}
	return wait > other+m.prefillTime(w.placement.Tokens)+minRemotePrefillGain
}

// prefillAvailable reports whether a prefill slot is free here or shown by a digest,
// so that no decode slot is reserved without one.
func (b *Broker) prefillAvailable(now time.Time, m *modelPool, w *waiter) bool {
	if _, found := b.placer.ChoosePrefill(now, &w.placement, m.prefills); found {
		return true
	}
	return b.peers.minPrefillWait(m.key, cmp.Or(w.placement.Region, b.settings.Region)) <= b.settings.MaxPrefillWait
}

// reserveOwnDecode reserves a slot and memory on a replica of this instance.
func (b *Broker) reserveOwnDecode(now time.Time, w *waiter, r *Replica) {
	w.decode = grantedSlot{endpoint: &r.Endpoint, reservation: b.nextID(), replica: r}
	if err := b.ledger.Reserve(w.decode.reservation, r, w.placement.Blocks, b.reservationExpiry(now, w)); err != nil {
		panic(err) // unreachable: the replica had room in the same step
	}
}

// reserveOwnPrefill reserves a prefill slot on a replica of this instance and adds
// the prefixes of the prompt to the prefix index.
func (b *Broker) reserveOwnPrefill(now time.Time, w *waiter, r *Replica) {
	cached := r.cachedTokens
	w.prefill = grantedSlot{cachedTokens: cached, endpoint: &r.Endpoint, reservation: b.nextID(), replica: r}
	w.prefill.expectedPrefill = r.QueuePrefill(now, w.prefill.reservation, w.placement.Tokens-cached)
	if err := b.ledger.Reserve(w.prefill.reservation, r, 0, b.reservationExpiry(now, w)); err != nil {
		panic(err) // unreachable: the replica had room in the same step
	}
	for _, prefix := range w.placement.Prefixes {
		b.placer.Prefixes.Add(now, r.Endpoint.ID, prefix)
	}
}

// reservationExpiry returns when the reservations of a waiter expire.
func (b *Broker) reservationExpiry(now time.Time, w *waiter) time.Time {
	expires := now.Add(b.settings.GrantExpiry)
	if w.LatestStart.After(now) && w.incoming == nil {
		return w.LatestStart.Add(b.settings.GrantExpiry)
	}
	return expires
}

// serve ends the wait of a waiter that has its slots, with a grant or a loan.
func (b *Broker) serve(now time.Time, m *modelPool, w *waiter) {
	delete(b.waiters, w.ID)
	m.queue.Serve(&w.Item)
	if w.incoming != nil {
		b.lendSlots(now, w)
		return
	}
	m.serviceRate.add()
	g := &grantState{
		decode:          w.decode,
		expires:         now.Add(b.settings.GrantExpiry),
		grantedAt:       now,
		modelPool:       m,
		maxOutputTokens: w.request.MaxOutputTokens,
		prefill:         w.prefill,
	}
	id := b.grantID(w.ID)
	b.grants[id] = g
	b.uncommitted[id] = g.expires
	for _, slot := range []*grantedSlot{&g.decode, &g.prefill} {
		if slot.reservation != 0 {
			b.ledger.Extend(slot.reservation, g.expires)
			b.grantByReservation[slot.reservation] = id
		}
	}
	if g.decode.reservation == 0 {
		b.borrowed[g.decode.endpoint.ID] = &borrowedSlot{owner: g.decode.owner, lentSlot: g.decode.lentID}
	}
	b.settings.Effects.Grant(w.ID, persimmoncart.Grant{
		Blocks:             w.placement.Blocks,
		CachedTokens:       g.prefill.cachedTokens,
		Decode:             *g.decode.endpoint,
		Expires:            g.expires,
		ExpectedFirstToken: g.prefill.expectedPrefill,
		ID:                 id,
		Prefill:            *g.prefill.endpoint,
	})
}

// returnUnassigned returns the borrowed slots that no request uses.
func (b *Broker) returnUnassigned(now time.Time, m *modelPool) {
	for _, s := range m.unassigned {
		b.peers.addUrgentLoanChange(now, s.owner, persimmoncart.LoanChange{ID: s.lentSlot.ID, Kind: persimmoncart.LoanReleased})
	}
	m.unassigned = m.unassigned[:0]
}

// assignBorrowed sets *slot to a borrowed slot that fits the waiter. It reports false
// if there is none.
func (b *Broker) assignBorrowed(now time.Time, m *modelPool, w *waiter, role persimmoncart.Role, slot *grantedSlot) bool {
	for i, s := range m.unassigned {
		if s.lentSlot.Role != role || w.incoming != nil || slices.Contains(w.placement.Avoid, s.endpoint.ID) {
			continue
		}
		if role == persimmoncart.RoleDecode && s.lentSlot.Blocks < w.placement.Blocks {
			continue
		}
		if role == persimmoncart.RolePrefill && w.decode.endpoint != nil && w.decode.endpoint.Region != s.endpoint.Region {
			continue
		}
		*slot = grantedSlot{cachedTokens: s.lentSlot.CachedTokens, endpoint: s.endpoint, expectedPrefill: s.lentSlot.PrefillTime, owner: s.owner, lentID: s.lentSlot.ID}
		// Committed, the slot does not expire at the owner before the request has its
		// other slot.
		b.peers.addLoanChange(now, s.owner, persimmoncart.LoanChange{ID: s.lentSlot.ID, Kind: persimmoncart.LoanCommitted})
		m.unassigned = slices.Delete(m.unassigned, i, i+1)
		return true
	}
	return false
}
