package forward

import (
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// hedgeDelayShare is the share of the latency target after which an idempotent request
// without a response goes to a second endpoint.
const hedgeDelayShare = 0.45

// HedgeDelay returns the time after which an idempotent request of a route that has no
// response goes to a second endpoint.
func HedgeDelay(route *persimmoncart.ForwardRoute) time.Duration {
	return time.Duration(hedgeDelayShare * float64(route.LatencyTarget))
}
