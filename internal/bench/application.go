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
	slowdown float64
	sim      *simulation
}

// call runs one call of a router in region from; done is called there with the
// answer unless the network loses it.
func (a *application) call(from persimmoncart.Region, work float64, done func()) {
	a.sim.network.send(from, a.endpoint.Region, func() {
		a.serve(work, func() { a.sim.network.send(a.endpoint.Region, from, done) })
	})
}

// serve runs the work when a slot is free.
func (a *application) serve(work float64, done func()) {
	if a.inFlight >= a.endpoint.Slots {
		a.queue = append(a.queue, func() { a.serve(work, done) })
		return
	}
	a.inFlight++
	a.sim.after(time.Duration(work*a.slowdown*float64(time.Second)), func() {
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
func (s *simulation) claim(q *request, f func()) {
	switch {
	case q.kind != kindBooking:
		f()
	case s.storeDown:
		s.recordRefusal(q)
	default:
		s.after(claimWrite, f)
	}
}

// answer records the end of a call or completion at its caller.
func (s *simulation) recordResponse(q *request, at time.Time) {
	if !q.ended {
		q.ended = true
		q.answered = at.Add(delayWithinRegion)
	}
}

// refuse records a refusal.
func (s *simulation) recordRefusal(q *request) {
	if !q.ended {
		q.ended, q.refused = true, true
	}
}
