package bench

import (
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// claimWrite is the time of the claim's write for a call that may not be
// repeated.
const claimWrite = 5 * time.Millisecond

// An application is the fake of one application endpoint.
type application struct {
	endpoint persimmoncart.Endpoint
	inFlight int
	queue    []func()
	slow     float64
	world    *world
}

// call runs one call of a router in region from; done is called there with the
// answer unless the network loses it.
func (a *application) call(from persimmoncart.Region, work float64, done func()) {
	a.world.network.send(from, a.endpoint.Region, func() {
		a.serve(work, func() { a.world.network.send(a.endpoint.Region, from, done) })
	})
}

// serve runs the work when a slot is free.
func (a *application) serve(work float64, done func()) {
	if a.inFlight >= a.endpoint.Slots {
		a.queue = append(a.queue, func() { a.serve(work, done) })
		return
	}
	a.inFlight++
	a.world.after(time.Duration(work*a.slow*float64(time.Second)), func() {
		a.inFlight--
		if len(a.queue) > 0 {
			next := a.queue[0]
			a.queue = a.queue[1:]
			next()
		}
		done()
	})
}

// claim runs f once the claim of a call that may not be repeated is recorded.
// Without the store the call is refused.
func (w *world) claim(j *job, f func()) {
	switch {
	case j.kind != kindBooking:
		f()
	case w.storeDown:
		w.refuse(j)
	default:
		w.after(claimWrite, f)
	}
}

// answer records the end of a call or completion at its caller.
func (w *world) answer(j *job, at time.Time) {
	if !j.ended {
		j.ended = true
		j.answered = at.Add(delayLocal)
	}
}

// refuse records a refusal.
func (w *world) refuse(j *job) {
	if !j.ended {
		j.ended, j.refused = true, true
	}
}
