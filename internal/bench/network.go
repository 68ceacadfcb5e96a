package bench

import (
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// Assumptions of the fake network, from section 4 of the design page.
const (
	delayLocal = time.Millisecond      // one way, within a region and to callers
	delayFar   = 12 * time.Millisecond // one way, between regions
	rateCentre = 12e9                  // KV bytes a second within a data centre
	rateRegion = 5e9                   // KV bytes a second between data centres of a region
)

// A network is the fake of the links. Transfers on one path share its rate in
// the order of their start.
type network struct {
	busy  map[[2]persimmoncart.DataCentre]time.Time
	cut   bool // regions cannot reach each other
	lost  int  // messages dropped by the cut
	scale float64
	world *world
}

// delay returns the one-way delay between two regions, and whether they reach
// each other.
func (n *network) delay(from, to persimmoncart.Region) (time.Duration, bool) {
	if from == to {
		return delayLocal, true
	}
	return delayFar, !n.cut
}

// send runs f after the delay between two regions, unless the message is lost.
func (n *network) send(from, to persimmoncart.Region, f func()) {
	d, reachable := n.delay(from, to)
	if !reachable {
		n.lost++
		return
	}
	n.world.after(d, f)
}

// transfer returns how long a transfer that starts now takes.
func (n *network) transfer(from, to persimmoncart.DataCentre, size float64) time.Duration {
	now := n.world.now()
	end := n.end(from, to, size)
	n.busy[[2]persimmoncart.DataCentre{from, to}] = end
	return end.Sub(now)
}

// end returns when a transfer that starts now would end.
func (n *network) end(from, to persimmoncart.DataCentre, size float64) time.Time {
	rate := rateRegion * n.scale
	if from == to {
		rate = rateCentre * n.scale
	}
	start := n.world.now()
	if b := n.busy[[2]persimmoncart.DataCentre{from, to}]; b.After(start) {
		start = b
	}
	return start.Add(time.Duration(size / rate * float64(time.Second)))
}
