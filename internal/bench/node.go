package bench

import (
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

var _ policy.Effects = (*nodeEffects)(nil)

// oursAttempts is how often a completion is tried; a retry needs a slot, so
// that the admission queue bounds it as well.
const oursAttempts = 3

// reserve asks for the slots of a completion.
func (n *node) reserve(j *job, attempt int, avoid []persimmoncart.EndpointID) {
	w := n.ours.world
	ticket, refusal := n.broker.Submit(w.now(), persimmoncart.ReserveRequest{
		Account: accountName(j.account), Avoid: avoid, Class: j.class, Deadline: j.deadline.Add(-delayLocal),
		FirstTokenDeadline: j.due, MaxOutputTokens: outputLimit, Model: modelName, Pool: w.replicas[0].endpoint.Pool,
		Prefixes: j.prefixes, PromptTokens: j.prompt,
	}, 1)
	if refusal != nil {
		w.refuse(j)
		return
	}
	n.tickets[ticket] = j
	n.starts[ticket] = func(g persimmoncart.Grant) { n.fly(j, g, attempt) }
	n.step()
}

// fly serves a completion with a grant.
func (n *node) fly(j *job, g persimmoncart.Grant, attempt int) {
	w := n.ours.world
	if !n.alive || !n.broker.Commit(w.now(), g.ID) {
		j.ended = true
		return
	}
	f := &flight{
		decode: w.byID[g.Decode.ID], from: n.instance.Region, job: j, prefill: w.byID[g.Prefill.ID], world: w,
	}
	n.flights[f] = true
	stop := w.after(j.deadline.Sub(w.now()), func() {
		f.cancel()
		j.ended = true
		n.land(f, g.ID)
	})
	f.prefilled = func() {
		n.broker.PrefillDone(w.now(), g.ID)
		f.startDecode(g.Blocks)
		f.decoding.owner = n.broker.DecodeOwner(g.ID)
		n.step()
	}
	f.paced = func(_ *decoding, pace time.Duration) {
		f.reply(func() { n.broker.ObserveTokenGap(w.now(), g.ID, pace) })
	}
	f.done = func() {
		stop()
		n.land(f, g.ID)
	}
	f.missing = func() {
		stop()
		f.ended = true
		n.land(f, g.ID)
		if attempt < oursAttempts {
			n.reserve(j, attempt+1, []persimmoncart.EndpointID{g.Decode.ID})
		} else {
			j.ended = true
		}
	}
	f.start()
}

// land releases the grant of a flight that has ended.
func (n *node) land(f *flight, id persimmoncart.GrantID) {
	delete(n.flights, f)
	n.broker.Release(n.ours.world.now(), id)
	n.step()
}

// call sends a call to an application endpoint; a slow idempotent one is hedged.
func (n *node) call(j *job) {
	w := n.ours.world
	first, found := n.send(j, nil)
	if !found {
		w.refuse(j)
		return
	}
	if j.kind != kindLookup {
		return
	}
	if delay, known := n.hedge.Delay(); known {
		w.after(delay, func() {
			if !j.ended && n.alive && n.hedge.Take() {
				n.send(j, []persimmoncart.EndpointID{first})
			}
		})
	}
}

// send sends one call and reports its end to the balance.
func (n *node) send(j *job, avoid []persimmoncart.EndpointID) (persimmoncart.EndpointID, bool) {
	w := n.ours.world
	e, found := n.balance.Pick(w.now(), n.random, avoid)
	if !found {
		return "", false
	}
	begin := w.now()
	for _, a := range w.applications {
		if a.endpoint.ID != e.ID {
			continue
		}
		a.call(n.instance.Region, j.work, func() {
			latency := w.now().Sub(begin)
			n.balance.Report(w.now(), persimmoncart.CallResult{Cancelled: j.ended, Endpoint: e.ID, Latency: latency})
			if !j.ended && j.kind == kindLookup {
				n.hedge.AddLatency(latency)
			}
			w.answer(j, w.now())
		})
		w.after(callDeadline, func() {
			if !j.ended { // the network lost the answer
				j.ended = true
				n.balance.Report(w.now(), persimmoncart.CallResult{Endpoint: e.ID, Failed: true, Latency: callDeadline})
			}
		})
	}
	return e.ID, true
}

// A nodeEffects carries out the decisions of a node's broker.
type nodeEffects node

// Borrow implements policy.Effects.
func (e *nodeEffects) Borrow(owner persimmoncart.InstanceID, request persimmoncart.BorrowRequest) {
	n := (*node)(e)
	w := n.ours.world
	answered := false
	p, found := n.ours.nodes[owner]
	w.result.message(20+40*len(request.Items), len(n.ours.order))
	w.result.borrows++
	w.result.borrowItems += len(request.Items)
	answer := func(loan persimmoncart.Loan) {
		if n.alive {
			// A late answer is used as well: ReceiveLoan returns its slots to the owner.
			n.broker.ReceiveLoan(w.now(), owner, loan)
			n.step()
		}
		answered = true
	}
	w.after(messageLimit, func() {
		if !answered {
			answer(persimmoncart.Loan{ID: request.ID})
		}
	})
	if !found {
		return
	}
	w.network.send(n.instance.Region, p.instance.Region, func() {
		if !p.alive {
			return
		}
		id := p.broker.ReceiveBorrow(w.now(), request)
		p.lends[id] = n
		p.answers[id] = answer
		p.step()
	})
}

// Grant implements policy.Effects.
func (e *nodeEffects) Grant(ticket uint64, grant persimmoncart.Grant) {
	n := (*node)(e)
	start := n.starts[ticket]
	delete(n.starts, ticket)
	delete(n.tickets, ticket)
	n.ours.world.after(0, func() { start(grant) })
}

// ReplyBorrow implements policy.Effects.
func (e *nodeEffects) ReplyBorrow(lend uint64, loan persimmoncart.Loan) {
	n := (*node)(e)
	to, answer := n.lends[lend], n.answers[lend]
	delete(n.lends, lend)
	delete(n.answers, lend)
	n.ours.world.result.message(20+30*len(loan.Slots), len(n.ours.order))
	n.ours.world.network.send(n.instance.Region, to.instance.Region, func() { answer(loan) })
}

// Refuse implements policy.Effects.
func (e *nodeEffects) Refuse(ticket uint64, _ *persimmoncart.Refusal) {
	n := (*node)(e)
	n.ours.world.refuse(n.tickets[ticket])
	delete(n.tickets, ticket)
	delete(n.starts, ticket)
}

// UpdateSlots implements policy.Effects.
func (e *nodeEffects) UpdateSlots(owner persimmoncart.InstanceID, changes []persimmoncart.LoanChange) {
	n := (*node)(e)
	p, found := n.ours.nodes[owner]
	n.ours.world.result.message(10+8*len(changes), len(n.ours.order))
	if !found {
		return
	}
	n.ours.world.network.send(n.instance.Region, p.instance.Region, func() {
		if p.alive {
			p.broker.ReceiveChanges(n.ours.world.now(), n.instance.ID, changes)
			p.step()
		}
	})
}
