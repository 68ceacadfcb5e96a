package bench

import (
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// claimWrite is how long the store takes to write the claim of a call that may
// run only once.
const claimWrite = 5 * time.Millisecond

// An application is a fake application endpoint.
type application struct {
	endpoint persimmoncart.Endpoint
	inFlight int
	queue    []func()
	sim      *simulation
	slowdown float64
}

// call runs one call of a router in region from. done runs there on the
// response, unless the network loses the call or the response.
func (a *application) call(from persimmoncart.Region, work float64, done func()) {
	a.sim.network.send(from, a.endpoint.Region, func() {
		a.serve(work, func() { a.sim.network.send(a.endpoint.Region, from, done) })
	})
}

// serve runs a call of work seconds once a slot is free.
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

// claim runs f, for a booking after its claim is written. Without the store a
// booking is refused.
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

// recordResponse records the end of a call or completion; the response reaches the
// caller delayWithinRegion after at.
func (s *simulation) recordResponse(q *request, at time.Time) {
	if !q.ended {
		q.ended = true
		q.answered = at.Add(delayWithinRegion)
	}
}

// recordRefusal records the refusal of a request.
func (s *simulation) recordRefusal(q *request) {
	if !q.ended {
		q.ended, q.refused = true, true
	}
}
