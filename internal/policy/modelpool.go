package policy

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// Constants of a lane.
const (
	// defaultTokenGap is the expected time between tokens until it is measured.
	defaultTokenGap = 45 * time.Millisecond
	// defaultOutputRatio is the expected share of the output limit that is generated.
	defaultOutputRatio = 0.9
	// minRemotePrefillGain is the time by which another owner's prefill must end
	// earlier before a slot is borrowed although an own one is free.
	minRemotePrefillGain = 200 * time.Millisecond
	// minRemoteLoadGain is the difference in the share of used slots from which a
	// decode slot is borrowed although an own one is free.
	minRemoteLoadGain = 0.2
	// outputRatioQuantile is the quantile of the generated share that deadlines are
	// planned with: most answers that start just in time must end in time, or
	// their prefill is wasted. fillStep is the step of its estimate.
	outputRatioQuantile = 0.97
	outputRatioStep     = 0.02
	// maxSkipped is how many waiting requests that do not fit now may be
	// passed over, so that a large one does not block small ones. Those that
	// need only a prefill are counted apart from those that need a decode slot:
	// one resource that is used up must not leave the other one idle.
	maxSkipped = 8
	// unavailableTimeout is how long requests wait for a replica in service: the longest
	// time without an owner after its death, and a margin.
	unavailableTimeout = 4 * time.Second
	// promptTokensPerOutputToken is how many prompt tokens cost as much as one output token.
	promptTokensPerOutputToken = 64
)

// A modelPoolKey names the pool and model whose requests wait together.
type modelPoolKey struct {
	model persimmoncart.ModelName
	pool  persimmoncart.PoolName
}

// A modelPool holds the waiting requests and the usable replicas of one pool and model.
type modelPool struct {
	nextBorrow       time.Time // earliest time of the next borrow after an empty answer
	decodes          []*Replica
	unavailableSince time.Time // since when no replica known here can serve; zero while one can
	outputRatio      float64   // measured share of the output limit that is generated
	key              modelPoolKey
	tokenGap         time.Duration // measured time between tokens
	prefills         []*Replica
	queue            *Queue
	serviceRate      serviceRate
	unassigned       []unassignedSlot
	requested        [persimmoncart.RolePrefill + 1]int // items of outgoing borrows, by role
}

// A unassignedSlot is a borrowed lent slot that no request uses yet.
type unassignedSlot struct {
	endpoint *persimmoncart.Endpoint
	owner    persimmoncart.InstanceID
	lentSlot persimmoncart.LentSlot
}

// admit refuses a request as soon as it is clear that it cannot be served in time.
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
	if wait, known := m.serviceRate.expectedWait(ahead); known && now.Add(wait).After(w.LatestStart) {
		return m.capacityRefusal(random, "the queue is too long for the deadline")
	}
	return nil
}

// latestStart returns the last time at which serving a request is still useful.
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

// updateOutputRatio learns from the time of a whole decode which share of the output
// limit requests generate. Answers that were cancelled early count as well: a
// slot is free at that time, whatever ended the answer.
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

// prefillTime returns the time of a prefill on the fastest replica.
func (m *modelPool) prefillTime(tokens int) time.Duration {
	rate := float64(DefaultPrefillRate)
	for _, r := range m.prefills {
		rate = max(rate, r.PrefillRate)
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

// capacityRefusal returns a capacityRefusal for lack of capacity, with a time to come back at
// which the present queue is expected to be gone.
func (m *modelPool) capacityRefusal(random *rand.Rand, message string) *persimmoncart.Refusal {
	wait, known := m.serviceRate.expectedWait(m.queue.Len())
	if !known {
		wait = time.Second
	}
	return &persimmoncart.Refusal{
		Code:       persimmoncart.RefusalCapacity,
		Message:    message,
		Outcome:    persimmoncart.OutcomeNotRun,
		RetryAfter: RetryAfter(random, wait),
	}
}

// modelPool returns the modelPool of a pool and model.
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

// NextStep returns when Step has something to do without another event.
func (b *Broker) NextStep(now time.Time) time.Time {
	next := b.ledger.NextExpiry()
	if len(b.waiters) > 0 || len(b.incoming) > 0 || len(b.uncommitted) > 0 || b.peers.hasUnsentChanges() {
		if tick := now.Add(stepInterval); next.IsZero() || tick.Before(next) {
			return tick
		}
	}
	return next
}

// Step serves waiting requests, refuses those that cannot be served in time,
// borrows for the rest, answers borrows and settles lent slots.
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

// releaseExpired forgets the grant or lent slot of an releaseExpired holding.
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

// expireGrants releases the grants that were not committed in time, wherever
// their slots are.
func (b *Broker) expireGrants(now time.Time) {
	for _, id := range sortedKeys(b.uncommitted) {
		if now.After(b.uncommitted[id]) {
			b.Release(now, id)
		}
	}
}

// stepModelPool serves the waiting requests of one lane.
func (b *Broker) stepModelPool(now time.Time, m *modelPool) {
	m.serviceRate.advance(now, m.queue.Len() > 0)
	b.updateAvailability(now, m)
	if gap, known := b.stragglers.Median(now, m.key.pool, persimmoncart.RoleDecode); known {
		m.tokenGap = gap
	}
	if m.queue.Len() == 0 {
		b.returnUnassigned(now, m)
		return
	}
	var served, late, unplaced []*waiter
	missed := [2]int{} // of requests that need a decode slot, and of others
	m.queue.Range(func(e *Item) bool {
		w := b.waiters[e.ID]
		kind := 0
		if !w.needDecode || w.decode.endpoint != nil {
			kind = 1
		}
		switch {
		case now.After(e.LatestStart) || m.unavailable(now):
			late = append(late, w)
		case missed[kind] >= maxSkipped:
		case b.reserve(now, m, w):
			served = append(served, w)
		default:
			if w.incoming == nil {
				unplaced = append(unplaced, w)
			}
			missed[kind]++
		}
		return missed[0] < maxSkipped || missed[1] < maxSkipped
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

// updateAvailability notices that no prefill or no decode replica is in service, own or
// in a digest of any region that the request may go to.
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

// unavailable reports whether nothing has served the lane for longer than an owner
// may be missing.
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

// reserve tries to reserve the halves that a waiter still needs. It reports
// whether the waiter has all of them.
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
	// A borrower that gets a decode slot alone looks for the prefill elsewhere.
	return w.incoming != nil && w.needDecode
}

// reserveDecode takes a decode slot from the stock or the own replicas.
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

// reservePrefill takes a prefill slot from the stock or the own replicas, in the
// region of the decode slot.
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

// preferRemoteDecode reports whether another owner's batches are so much smaller
// than that of the own replica that a slot is borrowed although an own one is
// free: every request in a batch slows down all others.
func (b *Broker) preferRemoteDecode(now time.Time, m *modelPool, w *waiter, r *Replica) bool {
	if w.incoming != nil || r.Weight <= 0 || now.Before(m.nextBorrow) {
		return false
	}
	own := float64(r.usedSlots) / float64(r.Slots)
	return own > b.peers.minDecodeLoad(m.key, b.settings.Region)+minRemoteLoadGain
}

// preferRemotePrefill reports whether another owner would prefill clearly earlier
// than wait from now, and can be asked.
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

// prefillAvailable reports whether a prefill slot can be expected, so that a decode
// slot is not held in vain.
func (b *Broker) prefillAvailable(now time.Time, m *modelPool, w *waiter) bool {
	if _, found := b.placer.ChoosePrefill(now, &w.placement, m.prefills); found {
		return true
	}
	return b.peers.minPrefillWait(m.key, cmp.Or(w.placement.Region, b.settings.Region)) <= b.settings.MaxPrefillWait
}

// reserveOwnDecode reserves a slot and memory on an own replica.
func (b *Broker) reserveOwnDecode(now time.Time, w *waiter, r *Replica) {
	w.decode = grantedSlot{endpoint: &r.Endpoint, reservation: b.nextID(), replica: r}
	if err := b.ledger.Reserve(w.decode.reservation, r, w.placement.Blocks, b.reservationExpiry(now, w)); err != nil {
		panic(err) // the replica was checked in the same step
	}
}

// reserveOwnPrefill reserves a prefill slot on an own replica.
func (b *Broker) reserveOwnPrefill(now time.Time, w *waiter, r *Replica) {
	cached := r.cachedTokens
	w.prefill = grantedSlot{cachedTokens: cached, endpoint: &r.Endpoint, reservation: b.nextID(), replica: r}
	w.prefill.expectedPrefill = r.QueuePrefill(now, w.prefill.reservation, w.placement.Tokens-cached)
	if err := b.ledger.Reserve(w.prefill.reservation, r, 0, b.reservationExpiry(now, w)); err != nil {
		panic(err) // the replica was checked in the same step
	}
	for _, prefix := range w.placement.Prefixes {
		b.placer.Prefixes.Add(now, r.Endpoint.ID, prefix)
	}
}

// reservationExpiry returns when what a waiter secures expires by itself.
func (b *Broker) reservationExpiry(now time.Time, w *waiter) time.Time {
	expires := now.Add(b.settings.GrantExpiry)
	if w.LatestStart.After(now) && w.incoming == nil {
		return w.LatestStart.Add(b.settings.GrantExpiry)
	}
	return expires
}

// serve ends the wait of a waiter that has secured everything.
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

// returnUnassigned gives back borrowed lent slots that nobody needed.
func (b *Broker) returnUnassigned(now time.Time, m *modelPool) {
	for _, s := range m.unassigned {
		b.peers.addUrgentLoanChange(now, s.owner, persimmoncart.LoanChange{ID: s.lentSlot.ID, Kind: persimmoncart.LoanReleased})
	}
	m.unassigned = m.unassigned[:0]
}

// assignBorrowed gives a waiter a borrowed lent slot that fits it.
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
		// The lent slot stays at the owner while the other half is looked for.
		b.peers.addLoanChange(now, s.owner, persimmoncart.LoanChange{ID: s.lentSlot.ID, Kind: persimmoncart.LoanCommitted})
		m.unassigned = slices.Delete(m.unassigned, i, i+1)
		return true
	}
	return false
}
