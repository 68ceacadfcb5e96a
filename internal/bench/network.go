package bench

import (
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// Parameters of the fake network, from section 4 of the design page.
const (
	delayWithinRegion    = time.Millisecond      // one way, within a region and to callers
	delayCrossRegion     = 12 * time.Millisecond // one way, between regions
	rateWithinDataCentre = 12e9                  // bytes of KV cache a second within a data centre
	rateWithinRegion     = 5e9                   // bytes of KV cache a second between data centres of a region
)

// A network is the fake of the links. Transfers on one path run one after the
// other, in the order of their start.
type network struct {
	busyUntil       map[[2]persimmoncart.DataCentre]time.Time
	droppedMessages int     // messages lost between regions
	regionsCut      bool    // no messages pass between regions
	scale           float64 // factor on the rates; 1 at today's size
	sim             *simulation
}

// delay returns the one-way delay between two regions and whether messages
// pass between them.
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

// startTransfer starts a transfer of size bytes and returns how long it takes,
// the wait for earlier transfers included.
func (n *network) startTransfer(from, to persimmoncart.DataCentre, size float64) time.Duration {
	now := n.sim.now()
	end := n.transferEnd(from, to, size)
	n.busyUntil[[2]persimmoncart.DataCentre{from, to}] = end
	return end.Sub(now)
}

// transferEnd returns when a transfer of size bytes would end if it started
// now.
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
