package bench

import (
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

var _ policy.Effects = (*nodeEffects)(nil)

// brokerMaxAttempts is how often a completion is tried; a retry needs a slot, so
// that the admission queue bounds it as well.
const brokerMaxAttempts = 3

// reserve asks for the slots of a completion.
func (n *node) reserve(q *request, attempt int, avoid []persimmoncart.EndpointID) {
	sim := n.router.sim
	ticket, refusal := n.broker.Submit(sim.now(), persimmoncart.ReserveRequest{
		Account: accountName(q.account), Avoid: avoid, Class: q.class, Deadline: q.deadline.Add(-delayWithinRegion),
		FirstTokenDeadline: q.firstTokenDeadline, MaxOutputTokens: maxOutputTokens, Model: modelName, Pool: sim.replicas[0].endpoint.Pool,
		Prefixes: q.prefixes, PromptTokens: q.promptTokens,
	}, 1)
	if refusal != nil {
		sim.recordRefusal(q)
		return
	}
	n.requests[ticket] = q
	n.grantCallbacks[ticket] = func(g persimmoncart.Grant) { n.startAttempt(q, g, attempt) }
	n.step()
}

// startAttempt serves a completion with a grant.
func (n *node) startAttempt(q *request, g persimmoncart.Grant, attempt int) {
	sim := n.router.sim
	if !n.alive || !n.broker.Commit(sim.now(), g.ID) {
		q.ended = true
		return
	}
	f := &completionAttempt{
		decodeReplica: sim.replicaByID[g.Decode.ID], from: n.instance.Region, request: q, prefillReplica: sim.replicaByID[g.Prefill.ID], sim: sim,
	}
	n.attempts[f] = true
	stop := sim.after(q.deadline.Sub(sim.now()), func() {
		f.cancel()
		q.ended = true
		n.endAttempt(f, g.ID)
	})
	f.prefilled = func() {
		n.broker.PrefillDone(sim.now(), g.ID)
		f.startDecode(g.Blocks)
		f.decodeTask.owner = n.broker.DecodeOwner(g.ID)
		n.step()
	}
	f.onTokenGap = func(_ *decodeTask, pace time.Duration) {
		f.reply(func() { n.broker.ObserveTokenGap(sim.now(), g.ID, pace) })
	}
	f.done = func() {
		stop()
		n.endAttempt(f, g.ID)
	}
	f.evicted = func() {
		stop()
		f.ended = true
		n.endAttempt(f, g.ID)
		if attempt < brokerMaxAttempts {
			n.reserve(q, attempt+1, []persimmoncart.EndpointID{g.Decode.ID})
		} else {
			q.ended = true
		}
	}
	f.start()
}

// endAttempt releases the grant of a flight that has ended.
func (n *node) endAttempt(f *completionAttempt, id persimmoncart.GrantID) {
	delete(n.attempts, f)
	n.broker.Release(n.router.sim.now(), id)
	n.step()
}

// call sends a call to an application endpoint; a slow idempotent one is hedged.
func (n *node) call(q *request) {
	sim := n.router.sim
	first, found := n.send(q, nil)
	if !found {
		sim.recordRefusal(q)
		return
	}
	if q.kind != kindLookup {
		return
	}
	if delay, known := n.hedger.Delay(); known {
		sim.after(delay, func() {
			if !q.ended && n.alive && n.hedger.Take() {
				n.send(q, []persimmoncart.EndpointID{first})
			}
		})
	}
}

// send sends one call and reports its end to the balance.
func (n *node) send(q *request, avoid []persimmoncart.EndpointID) (persimmoncart.EndpointID, bool) {
	sim := n.router.sim
	e, found := n.balancer.Pick(sim.now(), n.random, avoid)
	if !found {
		return "", false
	}
	begin := sim.now()
	for _, a := range sim.applications {
		if a.endpoint.ID != e.ID {
			continue
		}
		a.call(n.instance.Region, q.serviceSeconds, func() {
			latency := sim.now().Sub(begin)
			n.balancer.Report(sim.now(), persimmoncart.CallResult{Cancelled: q.ended, Endpoint: e.ID, Latency: latency})
			if !q.ended && q.kind == kindLookup {
				n.hedger.AddLatency(latency)
			}
			sim.recordResponse(q, sim.now())
		})
		sim.after(callDeadline, func() {
			if !q.ended { // the network lost the answer
				q.ended = true
				n.balancer.Report(sim.now(), persimmoncart.CallResult{Endpoint: e.ID, Failed: true, Latency: callDeadline})
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
	sim := n.router.sim
	answered := false
	p, found := n.router.nodes[owner]
	sim.result.countMessage(20+40*len(request.Items), len(n.router.nodeList))
	sim.result.borrows++
	sim.result.borrowItems += len(request.Items)
	answer := func(loan persimmoncart.Loan) {
		if n.alive {
			// A late answer is used as well: ReceiveLoan returns its slots to the owner.
			n.broker.ReceiveLoan(sim.now(), owner, loan)
			n.step()
		}
		answered = true
	}
	sim.after(messageTimeout, func() {
		if !answered {
			answer(persimmoncart.Loan{ID: request.ID})
		}
	})
	if !found {
		return
	}
	sim.network.send(n.instance.Region, p.instance.Region, func() {
		if !p.alive {
			return
		}
		id := p.broker.ReceiveBorrow(sim.now(), request)
		p.borrowers[id] = n
		p.loanReplies[id] = answer
		p.step()
	})
}

// Grant implements policy.Effects.
func (e *nodeEffects) Grant(ticket uint64, grant persimmoncart.Grant) {
	n := (*node)(e)
	start := n.grantCallbacks[ticket]
	delete(n.grantCallbacks, ticket)
	delete(n.requests, ticket)
	n.router.sim.after(0, func() { start(grant) })
}

// ReplyBorrow implements policy.Effects.
func (e *nodeEffects) ReplyBorrow(lend uint64, loan persimmoncart.Loan) {
	n := (*node)(e)
	to, answer := n.borrowers[lend], n.loanReplies[lend]
	delete(n.borrowers, lend)
	delete(n.loanReplies, lend)
	n.router.sim.result.countMessage(20+30*len(loan.Slots), len(n.router.nodeList))
	n.router.sim.network.send(n.instance.Region, to.instance.Region, func() { answer(loan) })
}

// Refuse implements policy.Effects.
func (e *nodeEffects) Refuse(ticket uint64, _ *persimmoncart.Refusal) {
	n := (*node)(e)
	n.router.sim.recordRefusal(n.requests[ticket])
	delete(n.requests, ticket)
	delete(n.grantCallbacks, ticket)
}

// UpdateSlots implements policy.Effects.
func (e *nodeEffects) UpdateSlots(owner persimmoncart.InstanceID, changes []persimmoncart.LoanChange) {
	n := (*node)(e)
	p, found := n.router.nodes[owner]
	n.router.sim.result.countMessage(10+8*len(changes), len(n.router.nodeList))
	if !found {
		return
	}
	n.router.sim.network.send(n.instance.Region, p.instance.Region, func() {
		if p.alive {
			p.broker.ReceiveChanges(n.router.sim.now(), n.instance.ID, changes)
			p.step()
		}
	})
}
