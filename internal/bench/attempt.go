package bench

import (
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// A completionAttempt is one attempt to serve a completion on two replicas.
type completionAttempt struct {
	decodeTask     *decodeTask
	decodeReplica  *replica
	done           func()               // at the router, after the last token
	ended          bool                 // the attempt is over
	from           persimmoncart.Region // of the router
	request        *request
	evicted        func()                           // at the router, when the KV cache was evicted
	onTokenGap     func(*decodeTask, time.Duration) // at the engine, with the time between tokens
	prefilled      func()                           // at the router, before the decode starts
	prefillTask    *prefillTask
	prefillReplica *replica
	sim            *simulation
}

// start sends the prefill.
func (f *completionAttempt) start() {
	f.prefillTask = &prefillTask{request: f.request, done: func(*prefillTask) {
		f.sim.network.send(f.prefillReplica.endpoint.Region, f.from, func() {
			if !f.ended {
				f.prefilled()
			}
		})
	}}
	f.sim.network.send(f.from, f.prefillReplica.endpoint.Region, func() {
		if !f.ended {
			f.prefillReplica.prefill(f.prefillTask)
		}
	})
}

// startDecode sends the decode. blocks is the memory to hold.
func (f *completionAttempt) startDecode(blocks int) {
	f.decodeTask = &decodeTask{
		blocks: blocks, job: f.request, prefillTask: f.prefillTask,
		done:    func(*decodeTask) { f.reply(f.finish) },
		evicted: func(*decodeTask) { f.reply(f.evicted) },
	}
	if f.onTokenGap != nil {
		f.decodeTask.onTokenGap = f.onTokenGap
	}
	f.sim.network.send(f.from, f.decodeReplica.endpoint.Region, func() {
		if !f.ended {
			f.decodeReplica.decode(f.decodeTask)
		}
	})
}

// finish records the answer at the caller.
func (f *completionAttempt) finish() {
	f.ended = true
	d, _ := f.sim.network.delay(f.from, f.decodeReplica.endpoint.Region)
	if f.request.firstToken.IsZero() {
		f.request.firstToken = f.decodeTask.firstToken.Add(d + delayWithinRegion)
	}
	f.sim.recordResponse(f.request, f.decodeTask.lastToken.Add(d))
	f.done()
}

// reply runs g at the router unless the flight is over or the network is cut.
func (f *completionAttempt) reply(g func()) {
	f.sim.network.send(f.decodeReplica.endpoint.Region, f.from, func() {
		if !f.ended {
			g()
		}
	})
}

// cancel ends the attempt and frees the engines' memory.
func (f *completionAttempt) cancel() {
	if f.ended {
		return
	}
	f.ended = true
	if f.prefillTask != nil && f.prefillTask.replica != nil && f.prefillTask.endedAt.IsZero() {
		f.prefillReplica.cancelPrefill(f.prefillTask)
	}
	if f.decodeTask != nil && f.decodeTask.replica != nil {
		f.decodeReplica.cancelDecode(f.decodeTask)
	}
}
