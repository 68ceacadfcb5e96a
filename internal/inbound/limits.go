package inbound

import (
	"time"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// idleGrace is the time for which a hold waits for its client before it may be cut to
	// make room. A client within the limits is only cut if the process is full.
	idleGrace = time.Second
	// headGrace is the time for which a connection waits for a head before it may be closed
	// for a new one. The head of an ordinary client comes with the connection, and many
	// more connections than there is room for must not keep it out for long.
	headGrace = 100 * time.Millisecond
	// headerMargin is added to the time that clients have for a head: the time until the
	// process sees it begin and end does not count against them.
	headerMargin = 2 * time.Second
	// headerSlack is added to the size that a head may have: the request line, and bytes of
	// the body that are read with it.
	headerSlack = 8 << 10
	// drainTime is the longest time for which the rest of a body is read that nobody wants,
	// so that its connection can be kept.
	drainTime = time.Second
	// stallTime is the longest time for which an endpoint waits for a client that does not
	// read. Endpoints cut a response that stays unread for some seconds.
	stallTime = 2 * time.Second
)

// Limits where the configuration has none.
const (
	defaultHeaderTime   = 3 * time.Second
	defaultProgressTime = 15 * time.Second
	defaultKeptTime     = 2 * time.Minute
)

// limits are what a client has to keep to.
type limits struct {
	headerBytes  int           // of one head; zero means that only net/http bounds it
	headerTime   time.Duration // from the first byte of a head, or the connection, to the end of the head
	keptTime     time.Duration // for which a connection without a request is kept when the process is full
	progressTime time.Duration // in which a body or a response makes progress
}

// newLimits returns the limits of a configuration.
func newLimits(f persimmoncart.ForwardLimits) limits {
	l := limits{headerTime: defaultHeaderTime, keptTime: defaultKeptTime, progressTime: defaultProgressTime}
	if f.MaxHeaderBytes > 0 {
		l.headerBytes = f.MaxHeaderBytes + headerSlack
	}
	if f.HeaderTimeout > 0 {
		l.headerTime = f.HeaderTimeout
	}
	if f.IdleTimeout > 0 {
		l.keptTime, l.progressTime = f.IdleTimeout, f.IdleTimeout
	}
	l.headerTime += headerMargin
	return l
}

// Shares of the descriptors that connections of clients may use. The rest is for
// endpoints, of which a request may use two at a time, and for the store.
const (
	callerShare    = 0.4
	checkShare     = 1.0 / 16
	dismissedShare = 1.0 / 16
)

// Bounds of the connections that need only few.
const (
	maxChecks    = 64 // on each listener for readiness checks and metrics
	maxDismissed = 64 // that are being refused
)

// callerConnections returns the bound of callers' connections of a process with the given
// number of descriptors; zero, which means none, if it is unknown.
func callerConnections(descriptors int) int { return int(callerShare * float64(descriptors)) }

// checkConnections returns the bound of the connections of a listener for checks.
func checkConnections(descriptors int) int { return fewConnections(descriptors, checkShare, maxChecks) }

// dismissedConnections returns the bound of the connections that are being refused.
func dismissedConnections(descriptors int) int {
	return fewConnections(descriptors, dismissedShare, maxDismissed)
}

// fewConnections returns a share of the descriptors, at least one and at most most, which
// is also the bound if their number is unknown.
func fewConnections(descriptors int, share float64, most int) int {
	if descriptors <= 0 {
		return most
	}
	return min(most, max(1, int(share*float64(descriptors))))
}
