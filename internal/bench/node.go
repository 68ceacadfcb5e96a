package bench

import (
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

var _ policy.Effects = (*nodeEffects)(nil)

// brokerMaxAttempts is how often a completion is tried. Each retry needs a
// slot, so the admission queue bounds retries as well.
const brokerMaxAttempts = 3

// reserve submits a completion to the broker and starts it once its slots are
// granted.
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

// startAttempt serves a completion with a grant. If the KV cache is evicted,
// it reserves again, up to brokerMaxAttempts.
func (n *node) startAttempt(q *request, g persimmoncart.Grant, attempt int) {
	sim := n.router.sim
	if !n.alive || !n.broker.Commit(sim.now(), g.ID) {
		q.ended = true
		return
	}
	a := &completionAttempt{
		decodeReplica: sim.replicaByID[g.Decode.ID], from: n.instance.Region, request: q, prefillReplica: sim.replicaByID[g.Prefill.ID], sim: sim,
	}
	n.attempts[a] = true
	stop := sim.after(q.deadline.Sub(sim.now()), func() {
		a.cancel()
		q.ended = true
		n.endAttempt(a, g.ID)
	})
	a.prefilled = func() {
		n.broker.PrefillDone(sim.now(), g.ID)
		a.startDecode(g.Blocks)
		a.decodeTask.owner = n.broker.DecodeOwner(g.ID)
		n.step()
	}
	a.onTokenGap = func(_ *decodeTask, gap time.Duration) {
		a.reply(func() { n.broker.ObserveTokenGap(sim.now(), g.ID, gap) })
	}
	a.done = func() {
		stop()
		n.endAttempt(a, g.ID)
	}
	a.evicted = func() {
		stop()
		a.ended = true
		n.endAttempt(a, g.ID)
		if attempt < brokerMaxAttempts {
			n.reserve(q, attempt+1, []persimmoncart.EndpointID{g.Decode.ID})
		} else {
			q.ended = true
		}
	}
	a.start()
}

// endAttempt releases the grant of an attempt that has ended.
func (n *node) endAttempt(a *completionAttempt, id persimmoncart.GrantID) {
	delete(n.attempts, a)
	n.broker.Release(n.router.sim.now(), id)
	n.step()
}

// call sends a call to an application endpoint. A lookup that takes longer
// than the hedging delay is sent to a second endpoint.
func (n *node) call(q *request) {
	sim := n.router.sim
	first, found := n.sendCall(q, nil)
	if !found {
		sim.recordRefusal(q)
		return
	}
	if q.kind != kindLookup {
		return
	}
	if delay, ok := n.hedger.Delay(); ok {
		sim.after(delay, func() {
			if !q.ended && n.alive && n.hedger.Take() {
				n.sendCall(q, []persimmoncart.EndpointID{first})
			}
		})
	}
}

// sendCall sends one call and reports its result to the balancer. It returns
// the chosen endpoint, and false if there is none.
func (n *node) sendCall(q *request, avoid []persimmoncart.EndpointID) (persimmoncart.EndpointID, bool) {
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
			if !q.ended { // the request or the response was lost
				q.ended = true
				n.balancer.Report(sim.now(), persimmoncart.CallResult{Endpoint: e.ID, Failed: true, Latency: callDeadline})
			}
		})
	}
	return e.ID, true
}

// A nodeEffects carries out the effects of a node's broker.
type nodeEffects node

// Borrow implements policy.Effects.
func (e *nodeEffects) Borrow(owner persimmoncart.InstanceID, request persimmoncart.BorrowRequest) {
	n := (*node)(e)
	sim := n.router.sim
	replied := false
	p, found := n.router.nodes[owner]
	sim.result.countMessage(20+40*len(request.Items), len(n.router.nodeList))
	sim.result.borrows++
	sim.result.borrowItems += len(request.Items)
	reply := func(loan persimmoncart.Loan) {
		if n.alive {
			// A late loan is passed on as well: ReceiveLoan returns its slots to
			// the owner.
			n.broker.ReceiveLoan(sim.now(), owner, loan)
			n.step()
		}
		replied = true
	}
	sim.after(messageTimeout, func() {
		if !replied {
			reply(persimmoncart.Loan{ID: request.ID})
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
		p.loanReplies[id] = reply
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
func (e *nodeEffects) ReplyBorrow(id uint64, loan persimmoncart.Loan) {
	n := (*node)(e)
	borrower, reply := n.borrowers[id], n.loanReplies[id]
	delete(n.borrowers, id)
	delete(n.loanReplies, id)
	n.router.sim.result.countMessage(20+30*len(loan.Slots), len(n.router.nodeList))
	n.router.sim.network.send(n.instance.Region, borrower.instance.Region, func() { reply(loan) })
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
