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
	// defaultPace is the expected time between tokens until it is measured.
	defaultPace = 45 * time.Millisecond
	// defaultFill is the expected share of the output limit that is generated.
	defaultFill = 0.9
	// clearlyBetter is the time by which another owner's prefill must end
	// earlier before a slot is borrowed although an own one is free.
	clearlyBetter = 200 * time.Millisecond
	// clearlyEmptier is the difference in the share of used slots from which a
	// decode slot is borrowed although an own one is free.
	clearlyEmptier = 0.2
	// fillQuantile is the quantile of the generated share that deadlines are
	// planned with: most answers that start just in time must end in time, or
	// their prefill is wasted. fillStep is the step of its estimate.
	fillQuantile = 0.97
	fillStep     = 0.02
	// laneBypass is how many waiting requests that do not fit now may be
	// passed over, so that a large one does not block small ones. Those that
	// need only a prefill are counted apart from those that need a decode slot:
	// one resource that is used up must not leave the other one idle.
	laneBypass = 8
	// laneDown is how long requests wait for a replica in service: the longest
	// time without an owner after its death, and a margin.
	laneDown = 4 * time.Second
	// promptCost is how many prompt tokens cost as much as one output token.
	promptCost = 64
)

// A laneKey names the pool and model whose requests wait together.
type laneKey struct {
	model persimmoncart.ModelName
	pool  persimmoncart.PoolName
}

// A lane holds the waiting requests and the usable replicas of one pool and model.
type lane struct {
	borrowAfter time.Time // earliest time of the next borrow after an empty answer
	decodes     []*Replica
	down        time.Time // since when no replica known here can serve; zero while one can
	fill        float64   // measured share of the output limit that is generated
	key         laneKey
	pace        time.Duration // measured time between tokens
	prefills    []*Replica
	queue       *Queue
	served      servedRate
	stock       []stockSlot
	wanted      [persimmoncart.RolePrefill + 1]int // items of outgoing borrows, by role
}

// A stockSlot is a borrowed lent slot that no request uses yet.
type stockSlot struct {
	endpoint *persimmoncart.Endpoint
	owner    persimmoncart.InstanceID
	lentSlot persimmoncart.LentSlot
}

// check refuses a request as soon as it is clear that it cannot be served in time.
func (l *lane) check(now time.Time, random *rand.Rand, w *waiter) *persimmoncart.Refusal {
	if l.isDown(now) {
		return l.refusal(random, "no replica is in service")
	}
	if now.After(w.Latest) {
		if w.since.Equal(now) {
			return &persimmoncart.Refusal{
				Code:    persimmoncart.RefusalDeadline,
				Message: "the deadline is too short for the request",
				Outcome: persimmoncart.OutcomeNotRun,
			}
		}
		return l.refusal(random, "no slot became free in time")
	}
	ahead := l.queue.Ahead(w.Class, w.Due)
	if wait, known := l.served.wait(ahead); known && now.Add(wait).After(w.Latest) {
		return l.refusal(random, "the queue is too long for the deadline")
	}
	return nil
}

// latest returns the last time at which serving a request is still useful.
func (l *lane) latest(request *persimmoncart.ReserveRequest) time.Time {
	decode := time.Duration(float64(request.MaxOutputTokens) * l.fill * float64(l.pace))
	prefill := l.prefillTime(request.PromptTokens)
	latest := request.Deadline.Add(-decode - prefill)
	if !request.FirstTokenDeadline.IsZero() {
		if first := request.FirstTokenDeadline.Add(-prefill); first.Before(latest) {
			return first
		}
	}
	return latest
}

// learnFill learns from the time of a whole decode which share of the output
// limit requests generate. Answers that were cancelled early count as well: a
// slot is free at that time, whatever ended the answer.
func (l *lane) learnFill(g *grantState, now time.Time) {
	if g.prefilled.IsZero() || g.limit <= 0 {
		return
	}
	pace := g.pace
	if pace <= 0 {
		pace = l.pace
	}
	share := float64(now.Sub(g.prefilled)) / float64(pace) / float64(g.limit)
	if min(share, 1) < l.fill {
		l.fill = max(l.fill-fillStep*(1-fillQuantile), fillStep)
	} else {
		l.fill = min(l.fill+fillStep*fillQuantile, 1)
	}
}

// prefillTime returns the time of a prefill on the fastest replica.
func (l *lane) prefillTime(tokens int) time.Duration {
	rate := float64(DefaultPrefillRate)
	for _, r := range l.prefills {
		rate = max(rate, r.PrefillRate)
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

// refusal returns a refusal for lack of capacity, with a time to come back at
// which the present queue is expected to be gone.
func (l *lane) refusal(random *rand.Rand, message string) *persimmoncart.Refusal {
	wait, known := l.served.wait(l.queue.Len())
	if !known {
		wait = time.Second
	}
	return &persimmoncart.Refusal{
		Code:       persimmoncart.RefusalCapacity,
		Message:    message,
		Outcome:    persimmoncart.OutcomeNotRun,
		RetryAfter: SpreadRetry(random, wait),
	}
}

// lane returns the lane of a pool and model.
func (b *Broker) lane(pool persimmoncart.PoolName, model persimmoncart.ModelName) *lane {
	k := laneKey{model: model, pool: pool}
	l, found := b.lanes[k]
	if !found {
		l = &lane{fill: defaultFill, key: k, pace: defaultPace, queue: NewQueue(b.settings.QueueLimit)}
		b.lanes[k] = l
		b.order = append(b.order, l)
		b.assignReplicas(l)
	}
	return l
}

// Next returns when Step has something to do without another event.
func (b *Broker) Next(now time.Time) time.Time {
	next := b.ledger.Next()
	if len(b.tickets) > 0 || len(b.lends) > 0 || len(b.uncommitted) > 0 || b.peers.hasUnsentChanges() {
		if tick := now.Add(brokerTick); next.IsZero() || tick.Before(next) {
			return tick
		}
	}
	return next
}

// Step serves waiting requests, refuses those that cannot be served in time,
// borrows for the rest, answers borrows and settles lent slots.
func (b *Broker) Step(now time.Time) {
	b.ledger.Expire(now, func(h Holding) { b.expired(now, h) })
	b.expireGrants(now)
	b.refreshWeights(now)
	for _, l := range b.order {
		b.stepLane(now, l)
	}
	b.answerLends(now)
	b.peers.flush(now, b.settings.Effects.Settle)
}

// expired forgets the grant or lent slot of an expired holding.
func (b *Broker) expired(now time.Time, h Holding) {
	id, found := b.byHolding[h.ID]
	if !found {
		return
	}
	delete(b.byHolding, h.ID)
	if s, lent := b.lentSlots[id]; lent {
		b.freeSlot(now, id, s)
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

// stepLane serves the waiting requests of one lane.
func (b *Broker) stepLane(now time.Time, l *lane) {
	l.served.tick(now, l.queue.Len() > 0)
	b.checkDown(now, l)
	if pace, known := b.stragglers.Median(now, l.key.pool, persimmoncart.RoleDecode); known {
		l.pace = pace
	}
	if l.queue.Len() == 0 {
		b.returnStock(now, l)
		return
	}
	var served, late, unplaced []*waiter
	missed := [2]int{} // of requests that need a decode slot, and of others
	l.queue.Order(func(e *Item) bool {
		w := b.tickets[e.ID]
		kind := 0
		if !w.needDecode || w.decode.endpoint != nil {
			kind = 1
		}
		switch {
		case now.After(e.Latest) || l.isDown(now):
			late = append(late, w)
		case missed[kind] >= laneBypass:
		case b.secure(now, l, w):
			served = append(served, w)
		default:
			if w.lend == nil {
				unplaced = append(unplaced, w)
			}
			missed[kind]++
		}
		return missed[0] < laneBypass || missed[1] < laneBypass
	})
	for _, w := range late {
		b.refuse(now, l, w)
	}
	for _, w := range served {
		b.serve(now, l, w)
	}
	b.returnStock(now, l)
	b.borrow(now, l, unplaced)
}

// checkDown notices that no prefill or no decode replica is in service, own or
// in a digest of any region that the request may go to.
func (b *Broker) checkDown(now time.Time, l *lane) {
	serves := func(list []*Replica, role persimmoncart.Role) bool {
		return slices.ContainsFunc(list, (*Replica).inService) || b.peers.serves(l.key, role)
	}
	switch {
	case serves(l.decodes, persimmoncart.RoleDecode) && serves(l.prefills, persimmoncart.RolePrefill):
		l.down = time.Time{}
	case l.down.IsZero():
		l.down = now
	}
}

// isDown reports whether nothing has served the lane for longer than an owner
// may be missing.
func (l *lane) isDown(now time.Time) bool {
	return !l.down.IsZero() && now.Sub(l.down) > laneDown
}

// refuse ends the wait of a request that cannot be served in time.
func (b *Broker) refuse(now time.Time, l *lane, w *waiter) {
	b.drop(now, w)
	if w.lend == nil {
		b.settings.Effects.Refuse(w.ID, l.refusal(b.settings.Random, "no slot became free in time"))
	}
}

// secure tries to secure the halves that a waiter still needs. It reports
// whether the waiter has all of them.
func (b *Broker) secure(now time.Time, l *lane, w *waiter) bool {
	needDecode := w.needDecode && w.decode.endpoint == nil
	needPrefill := w.needPrefill && w.prefill.endpoint == nil
	if needDecode && needPrefill {
		if c, found := b.placer.Choose(now, &w.ask, l.prefills, l.decodes); found &&
			!b.prefillElsewhere(now, l, w, c.PrefillTime) && !b.decodeElsewhere(now, l, w, c.Decode) {
			b.takeDecode(now, w, c.Decode)
			b.takePrefill(now, w, c.Prefill)
			b.placer.reserveTransfer(now, &c, w.ask.Tokens)
			return true
		}
	}
	if needDecode && !b.secureDecode(now, l, w) {
		return false
	}
	if !needPrefill || b.securePrefill(now, l, w) {
		return true
	}
	// A borrower that gets a decode slot alone looks for the prefill elsewhere.
	return w.lend != nil && w.needDecode
}

// secureDecode takes a decode slot from the stock or the own replicas.
func (b *Broker) secureDecode(now time.Time, l *lane, w *waiter) bool {
	if b.takeStock(now, l, w, persimmoncart.RoleDecode, &w.decode) {
		return true
	}
	if w.lend == nil && !b.prefillNear(now, l, w) {
		return false
	}
	if r, found := b.placer.ChooseDecode(&w.ask, l.decodes); found && !b.decodeElsewhere(now, l, w, r) {
		b.takeDecode(now, w, r)
		return true
	}
	return false
}

// securePrefill takes a prefill slot from the stock or the own replicas, in the
// region of the decode slot.
func (b *Broker) securePrefill(now time.Time, l *lane, w *waiter) bool {
	if b.takeStock(now, l, w, persimmoncart.RolePrefill, &w.prefill) {
		return true
	}
	if w.decode.endpoint != nil {
		w.ask.PreferredDataCentre, w.ask.Region = w.decode.endpoint.DataCentre, w.decode.endpoint.Region
	}
	r, found := b.placer.ChoosePrefill(now, &w.ask, l.prefills)
	if !found || b.prefillElsewhere(now, l, w, r.Wait(now)+r.prefillTime(w.ask.Tokens-r.cachedTokens)) {
		return false
	}
	b.takePrefill(now, w, r)
	return true
}

// decodeElsewhere reports whether another owner's batches are so much smaller
// than that of the own replica that a slot is borrowed although an own one is
// free: every request in a batch slows down all others.
func (b *Broker) decodeElsewhere(now time.Time, l *lane, w *waiter, r *Replica) bool {
	if w.lend != nil || r.Weight <= 0 || now.Before(l.borrowAfter) {
		return false
	}
	own := float64(r.usedSlots) / float64(r.Slots)
	return own > b.peers.minDecodeLoad(l.key, b.settings.Region)+clearlyEmptier
}

// prefillElsewhere reports whether another owner would prefill clearly earlier
// than wait from now, and can be asked.
func (b *Broker) prefillElsewhere(now time.Time, l *lane, w *waiter, wait time.Duration) bool {
	if w.lend != nil || wait < clearlyBetter || now.Before(l.borrowAfter) {
		return false
	}
	other := b.peers.minPrefillWait(l.key, cmp.Or(w.ask.Region, b.settings.Region))
	if other > b.settings.MaxWait {
		return false
	}
	return wait > other+l.prefillTime(w.ask.Tokens)+clearlyBetter
}

// prefillNear reports whether a prefill slot can be expected, so that a decode
// slot is not held in vain.
func (b *Broker) prefillNear(now time.Time, l *lane, w *waiter) bool {
	if _, found := b.placer.ChoosePrefill(now, &w.ask, l.prefills); found {
		return true
	}
	return b.peers.minPrefillWait(l.key, cmp.Or(w.ask.Region, b.settings.Region)) <= b.settings.MaxWait
}

// takeDecode reserves a slot and memory on an own replica.
func (b *Broker) takeDecode(now time.Time, w *waiter, r *Replica) {
	w.decode = part{endpoint: &r.Endpoint, holding: b.next(), replica: r}
	if err := b.ledger.Reserve(w.decode.holding, r, w.ask.Blocks, b.until(now, w)); err != nil {
		panic(err) // the replica was checked in the same step
	}
}

// takePrefill reserves a prefill slot on an own replica.
func (b *Broker) takePrefill(now time.Time, w *waiter, r *Replica) {
	cached := r.cachedTokens
	w.prefill = part{cached: cached, endpoint: &r.Endpoint, holding: b.next(), replica: r}
	w.prefill.first = r.QueuePrefill(now, w.prefill.holding, w.ask.Tokens-cached)
	if err := b.ledger.Reserve(w.prefill.holding, r, 0, b.until(now, w)); err != nil {
		panic(err) // the replica was checked in the same step
	}
	for _, prefix := range w.ask.Prefixes {
		b.placer.Prefixes.Add(now, r.Endpoint.ID, prefix)
	}
}

// until returns when what a waiter secures expires by itself.
func (b *Broker) until(now time.Time, w *waiter) time.Time {
	expires := now.Add(b.settings.Expiry)
	if w.Latest.After(now) && w.lend == nil {
		return w.Latest.Add(b.settings.Expiry)
	}
	return expires
}

// serve ends the wait of a waiter that has secured everything.
func (b *Broker) serve(now time.Time, l *lane, w *waiter) {
	delete(b.tickets, w.ID)
	l.queue.Serve(&w.Item)
	if w.lend != nil {
		b.lendSlots(now, w)
		return
	}
	l.served.add()
	g := &grantState{
		decode:  w.decode,
		expires: now.Add(b.settings.Expiry),
		granted: now,
		lane:    l,
		limit:   w.request.MaxOutputTokens,
		prefill: w.prefill,
	}
	id := b.id(w.ID)
	b.grants[id] = g
	b.uncommitted[id] = g.expires
	for _, p := range []*part{&g.decode, &g.prefill} {
		if p.holding != 0 {
			b.ledger.Extend(p.holding, g.expires)
			b.byHolding[p.holding] = id
		}
	}
	if g.decode.holding == 0 {
		b.borrowed[g.decode.endpoint.ID] = &borrowedSlot{owner: g.decode.owner, lentSlot: g.decode.lentSlot}
	}
	b.settings.Effects.Grant(w.ID, persimmoncart.Grant{
		Blocks:             w.ask.Blocks,
		CachedTokens:       g.prefill.cached,
		Decode:             *g.decode.endpoint,
		Expires:            g.expires,
		ExpectedFirstToken: g.prefill.first,
		ID:                 id,
		Prefill:            *g.prefill.endpoint,
	})
}

// returnStock gives back borrowed lent slots that nobody needed.
func (b *Broker) returnStock(now time.Time, l *lane) {
	for _, s := range l.stock {
		b.peers.addUrgentLoanChange(now, s.owner, persimmoncart.LoanChange{ID: s.lentSlot.ID, Kind: persimmoncart.LoanReleased})
	}
	l.stock = l.stock[:0]
}

// takeStock gives a waiter a borrowed lent slot that fits it.
func (b *Broker) takeStock(now time.Time, l *lane, w *waiter, role persimmoncart.Role, p *part) bool {
	for i, s := range l.stock {
		if s.lentSlot.Role != role || w.lend != nil || slices.Contains(w.ask.Avoid, s.endpoint.ID) {
			continue
		}
		if role == persimmoncart.RoleDecode && s.lentSlot.Blocks < w.ask.Blocks {
			continue
		}
		if role == persimmoncart.RolePrefill && w.decode.endpoint != nil && w.decode.endpoint.Region != s.endpoint.Region {
			continue
		}
		*p = part{cached: s.lentSlot.CachedTokens, endpoint: s.endpoint, first: s.lentSlot.PrefillTime, owner: s.owner, lentSlot: s.lentSlot.ID}
		// The lent slot stays at the owner while the other half is looked for.
		b.peers.addLoanChange(now, s.owner, persimmoncart.LoanChange{ID: s.lentSlot.ID, Kind: persimmoncart.LoanCommitted})
		l.stock = slices.Delete(l.stock, i, i+1)
		return true
	}
	return false
}
