package bench

import (
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// Assumptions of the fake network, from section 4 of the design page.
const (
	delayWithinRegion    = time.Millisecond      // one way, within a region and to callers
	delayCrossRegion     = 12 * time.Millisecond // one way, between regions
	rateWithinDataCentre = 12e9                  // KV bytes a second within a data centre
	rateWithinRegion     = 5e9                   // KV bytes a second between data centres of a region
)

// A network is the fake of the links. Transfers on one path share its rate in
// the order of their start.
type network struct {
	busyUntil       map[[2]persimmoncart.DataCentre]time.Time
	regionsCut      bool // regions cannot reach each other
	droppedMessages int  // messages dropped by the cut
	scale           float64
	sim             *simulation
}

// delay returns the one-way delay between two regions, and whether they reach
// each other.
func (n *network) delay(from, to persimmoncart.Region) (time.Duration, bool) {
	if from == to {
		return delayWithinRegion, true
	}
	return delayCrossRegion, !n.regionsCut
}

// send runs f after the delay between two regions, unless the message is lost.
func (n *network) send(from, to persimmoncart.Region, f func()) {
	d, reachable := n.delay(from, to)
	if !reachable {
		n.droppedMessages++
		return
	}
	n.sim.after(d, f)
}

// startTransfer returns how long a startTransfer that starts now takes.
func (n *network) startTransfer(from, to persimmoncart.DataCentre, size float64) time.Duration {
	now := n.sim.now()
	end := n.transferEnd(from, to, size)
	n.busyUntil[[2]persimmoncart.DataCentre{from, to}] = end
	return end.Sub(now)
}

// transferEnd returns when a transfer that starts now would transferEnd.
func (n *network) transferEnd(from, to persimmoncart.DataCentre, size float64) time.Time {
	rate := rateWithinRegion * n.scale
	if from == to {
		rate = rateWithinDataCentre * n.scale
	}
	start := n.sim.now()
	if b := n.busyUntil[[2]persimmoncart.DataCentre{from, to}]; b.After(start) {
		start = b
	}
	return start.Add(time.Duration(size / rate * float64(time.Second)))
}
