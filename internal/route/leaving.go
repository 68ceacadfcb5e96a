package route

import (
	"slices"
	"sync"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// leavingLife is how long a signal counts. Endpoints that do leave give it
	// again and again; one that was restarted under its name is used again then.
	leavingLife = 30 * time.Second
	// maxLeaving bounds the remembered endpoints; a region has about 1,100.
	maxLeaving = 4096
)

// A Leaving remembers the endpoints that are going to stop, by the first signal
// from any source. Its field is set before use.
type Leaving struct {
	Timer persimmoncart.Timer

	learned map[persimmoncart.EndpointID]time.Time // when it was last learned from a peer
	mutex   sync.Mutex
	seen    map[persimmoncart.EndpointID]time.Time // when it was last seen first-hand
}

// Learn takes signals that peers passed on. They are not passed on again, so
// that they end.
func (l *Leaving) Learn(ids []persimmoncart.EndpointID) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.learned = l.note(l.learned, ids...)
}

// List returns all endpoints that are leaving, sorted.
func (l *Leaving) List() []persimmoncart.EndpointID {
	if l == nil {
		return nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	out := append(l.fresh(l.seen), l.fresh(l.learned)...)
	slices.Sort(out)
	return slices.Compact(out)
}

// See takes a first-hand signal: the instance list's or the endpoint's own.
func (l *Leaving) See(id persimmoncart.EndpointID) {
	if l == nil {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.seen = l.note(l.seen, id)
}

// Seen returns the endpoints whose signal was first-hand, sorted.
func (l *Leaving) Seen() []persimmoncart.EndpointID {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	out := l.fresh(l.seen)
	slices.Sort(out)
	return out
}

// fresh returns the endpoints whose signal still counts and forgets the others.
func (l *Leaving) fresh(signals map[persimmoncart.EndpointID]time.Time) []persimmoncart.EndpointID {
	now := l.Timer.Now()
	var out []persimmoncart.EndpointID
	for id, at := range signals {
		if now.Sub(at) > leavingLife {
			delete(signals, id)
			continue
		}
		out = append(out, id)
	}
	return out
}

// note records signals and returns the table.
func (l *Leaving) note(signals map[persimmoncart.EndpointID]time.Time, ids ...persimmoncart.EndpointID) map[persimmoncart.EndpointID]time.Time {
	if signals == nil {
		signals = make(map[persimmoncart.EndpointID]time.Time)
	}
	now := l.Timer.Now()
	for _, id := range ids {
		if _, known := signals[id]; known || len(signals) < maxLeaving {
			signals[id] = now
		}
	}
	return signals
}
