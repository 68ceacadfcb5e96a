package quota

import (
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// lagLimit is how far reads of the store may lag: a response that lacks what another one
	// showed longer ago is no contact. With the time between such responses it is less than
	// the difference of joinDelay and contactLimit.
	lagLimit = 5 * time.Second
	// provenGap is the time without contact after which a response counts only as far as it
	// shows what was read without a lag: after an outage, reads may lag further. Reads of
	// heartbeat records are held for 15 s.
	provenGap = 20 * time.Second
	// maxKnown bounds the versions that reads may lack, and knownSpacing is the shortest time
	// between two of them.
	maxKnown     = 32
	knownSpacing = time.Second
)

// A moment is a time with the time for which the machine was suspended before it.
type moment struct {
	at        time.Time
	suspended time.Duration
}

// since returns the time from an earlier moment to this one.
func (m moment) since(earlier moment) time.Duration {
	return m.at.Sub(earlier.at) + m.suspended - earlier.suspended
}

// A storeVersion is a version that the store had at a time.
type storeVersion struct {
	at      time.Time
	version persimmoncart.Version
}

// Contact handles a response of the store after which all records up to a version are
// known.
func (g *Ring) Contact(now time.Time, version persimmoncart.Version) {
	g.reached = max(g.reached, version)
	shown := 0
	for shown < len(g.known) && g.known[shown].version <= g.reached {
		shown++
	}
	lags := shown < len(g.known) && now.Sub(g.known[shown].at) > lagLimit
	switch {
	case !lags && g.moment(now).since(g.contact) < provenGap:
		g.touch(now)
	case shown > 0:
		g.touch(g.known[shown-1].at) // the response may be that old
	}
	g.known = slices.Delete(g.known, 0, shown)
}

// Fresh handles that the store has reached a version, as read without a lag.
func (g *Ring) Fresh(now time.Time, version persimmoncart.Version) {
	if version <= g.reached {
		g.touch(now)
		return
	}
	if last := len(g.known) - 1; last < 0 || last+1 < maxKnown && version > g.known[last].version && now.Sub(g.known[last].at) >= knownSpacing {
		g.known = append(g.known, storeVersion{at: now, version: version})
	}
}

// touch records a contact at a time.
func (g *Ring) touch(at time.Time) {
	if at.After(g.contact.at) {
		g.contact = g.moment(at)
	}
}

// Listed handles the first list of all records.
func (g *Ring) Listed(now time.Time) {
	g.listed = true
	g.contact = g.moment(now)
}

// moment returns the moment of a time.
func (g *Ring) moment(now time.Time) moment {
	if g.Suspended == nil {
		return moment{at: now}
	}
	return moment{at: now, suspended: g.Suspended()}
}
