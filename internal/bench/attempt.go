package bench

import (
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// A completionAttempt is one attempt to serve a completion, with a prefill and
// a decode replica.
type completionAttempt struct {
	decodeTask     *decodeTask
	decodeReplica  *replica
	done           func() // runs at the router after the last token
	ended          bool
	from           persimmoncart.Region // region of the router
	request        *request
	evicted        func()                           // runs at the router if the KV cache was evicted
	onTokenGap     func(*decodeTask, time.Duration) // runs at the engine with the mean time between tokens; may be nil
	prefilled      func()                           // runs at the router after the prefill
	prefillTask    *prefillTask
	prefillReplica *replica
	sim            *simulation
}

// start sends the prefill to its replica.
func (a *completionAttempt) start() {
	a.prefillTask = &prefillTask{request: a.request, done: func(*prefillTask) {
		a.sim.network.send(a.prefillReplica.endpoint.Region, a.from, func() {
			if !a.ended {
				a.prefilled()
			}
		})
	}}
	a.sim.network.send(a.from, a.prefillReplica.endpoint.Region, func() {
		if !a.ended {
			a.prefillReplica.prefill(a.prefillTask)
		}
	})
}

// startDecode sends the decode to its replica, which reserves blocks of
// memory.
func (a *completionAttempt) startDecode(blocks int) {
	a.decodeTask = &decodeTask{
		blocks: blocks, request: a.request, prefillTask: a.prefillTask,
		done:    func(*decodeTask) { a.reply(a.finish) },
		evicted: func(*decodeTask) { a.reply(a.evicted) },
	}
	if a.onTokenGap != nil {
		a.decodeTask.onTokenGap = a.onTokenGap
	}
	a.sim.network.send(a.from, a.decodeReplica.endpoint.Region, func() {
		if !a.ended {
			a.decodeReplica.decode(a.decodeTask)
		}
	})
}

// finish records the times at which the caller gets the first token and the
// end of the output.
func (a *completionAttempt) finish() {
	a.ended = true
	d, _ := a.sim.network.delay(a.from, a.decodeReplica.endpoint.Region)
	if a.request.firstToken.IsZero() {
		a.request.firstToken = a.decodeTask.firstToken.Add(d + delayWithinRegion)
	}
	a.sim.recordResponse(a.request, a.decodeTask.lastToken.Add(d))
	a.done()
}

// reply runs callback at the router unless the attempt has ended or the message is
// lost.
func (a *completionAttempt) reply(callback func()) {
	a.sim.network.send(a.decodeReplica.endpoint.Region, a.from, func() {
		if !a.ended {
			callback()
		}
	})
}

// cancel ends the attempt and cancels its tasks on the engines.
func (a *completionAttempt) cancel() {
	if a.ended {
		return
	}
	a.ended = true
	if a.prefillTask != nil && a.prefillTask.replica != nil && a.prefillTask.endedAt.IsZero() {
		a.prefillReplica.cancelPrefill(a.prefillTask)
	}
	if a.decodeTask != nil && a.decodeTask.replica != nil {
		a.decodeReplica.cancelDecode(a.decodeTask)
	}
}
