package route

import (
	"slices"
	"sync"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// leavingTTL is how long a signal counts. Endpoints that do leave give it
	// again and again; one that was restarted under its name is used again then.
	leavingTTL = 30 * time.Second
	// maxLeavingEndpoints bounds the remembered endpoints; a region has about 1,100.
	maxLeavingEndpoints = 4096
)

// A LeavingEndpoints remembers the endpoints that are going to stop, by the first signal
// from any source. Its field is set before use.
type LeavingEndpoints struct {
	Timer persimmoncart.Timer

	direct    map[persimmoncart.EndpointID]time.Time // when it was last seen first-hand
	fromPeers map[persimmoncart.EndpointID]time.Time // when it was last learned from a peer
	mutex     sync.Mutex
}

// AddDirect takes a first-hand signal: the instance list's or the endpoint's own.
func (l *LeavingEndpoints) AddDirect(id persimmoncart.EndpointID) {
	if l == nil {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.direct = l.record(l.direct, id)
}

// AddFromPeers takes signals that peers passed on. They are not passed on again, so
// that they end.
func (l *LeavingEndpoints) AddFromPeers(ids []persimmoncart.EndpointID) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.fromPeers = l.record(l.fromPeers, ids...)
}

// List returns all endpoints that are leaving, sorted.
func (l *LeavingEndpoints) List() []persimmoncart.EndpointID {
	if l == nil {
		return nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	out := append(l.unexpired(l.direct), l.unexpired(l.fromPeers)...)
	slices.Sort(out)
	return slices.Compact(out)
}

// ListDirect returns the endpoints whose signal was first-hand, sorted.
func (l *LeavingEndpoints) ListDirect() []persimmoncart.EndpointID {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	out := l.unexpired(l.direct)
	slices.Sort(out)
	return out
}

// record records signals and returns the table.
func (l *LeavingEndpoints) record(signals map[persimmoncart.EndpointID]time.Time, ids ...persimmoncart.EndpointID) map[persimmoncart.EndpointID]time.Time {
	if signals == nil {
		signals = make(map[persimmoncart.EndpointID]time.Time)
	}
	now := l.Timer.Now()
	for _, id := range ids {
		if _, known := signals[id]; known || len(signals) < maxLeavingEndpoints {
			signals[id] = now
		}
	}
	return signals
}

// unexpired returns the endpoints whose signal still counts and forgets the others.
func (l *LeavingEndpoints) unexpired(signals map[persimmoncart.EndpointID]time.Time) []persimmoncart.EndpointID {
	now := l.Timer.Now()
	var out []persimmoncart.EndpointID
	for id, at := range signals {
		if now.Sub(at) > leavingTTL {
			delete(signals, id)
			continue
		}
		out = append(out, id)
	}
	return out
}
