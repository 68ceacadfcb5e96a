package route

import (
	"slices"
	"sync"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// leavingTTL is the time for which a report that an endpoint is leaving is
	// valid. Reports about a leaving endpoint are repeated; an endpoint restarted
	// under the same name is used again after this time.
	leavingTTL = 30 * time.Second
	// maxLeavingEndpoints is the highest number of endpoints in each table; a region
	// has about 1,100.
	maxLeavingEndpoints = 4096
)

// LeavingEndpoints records the endpoints that are about to stop. The first report
// from any source is sufficient. Set Timer before use. AddDirect and List accept a
// nil receiver, which records nothing.
type LeavingEndpoints struct {
	Timer persimmoncart.Timer

	direct    map[persimmoncart.EndpointID]time.Time // time of the last report by the list or the endpoint itself
	fromPeers map[persimmoncart.EndpointID]time.Time // time of the last report by another instance
	mutex     sync.Mutex
}

// AddDirect records an endpoint that the instance list or the endpoint itself
// reports as leaving.
func (l *LeavingEndpoints) AddDirect(id persimmoncart.EndpointID) {
	if l == nil {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.direct = l.record(l.direct, id)
}

// AddFromPeers records endpoints that other instances reported as leaving. This
// instance does not forward them; otherwise reports would circulate forever.
func (l *LeavingEndpoints) AddFromPeers(ids []persimmoncart.EndpointID) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.fromPeers = l.record(l.fromPeers, ids...)
}

// List returns all leaving endpoints, sorted.
func (l *LeavingEndpoints) List() []persimmoncart.EndpointID {
	if l == nil {
		return nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	ids := append(l.unexpired(l.direct), l.unexpired(l.fromPeers)...)
	slices.Sort(ids)
	return slices.Compact(ids)
}

// ListDirect returns the endpoints recorded by AddDirect, sorted. They are reported
// to other instances.
func (l *LeavingEndpoints) ListDirect() []persimmoncart.EndpointID {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	ids := l.unexpired(l.direct)
	slices.Sort(ids)
	return ids
}

// record stores the current time for the endpoints in a table and returns the
// table, which it creates if it is nil.
func (l *LeavingEndpoints) record(reports map[persimmoncart.EndpointID]time.Time, ids ...persimmoncart.EndpointID) map[persimmoncart.EndpointID]time.Time {
	if reports == nil {
		reports = make(map[persimmoncart.EndpointID]time.Time)
	}
	now := l.Timer.Now()
	for _, id := range ids {
		if _, found := reports[id]; found || len(reports) < maxLeavingEndpoints {
			reports[id] = now
		}
	}
	return reports
}

// unexpired returns the endpoints of a table whose reports are valid and deletes
// the others.
func (l *LeavingEndpoints) unexpired(reports map[persimmoncart.EndpointID]time.Time) []persimmoncart.EndpointID {
	now := l.Timer.Now()
	var ids []persimmoncart.EndpointID
	for id, reportedAt := range reports {
		if now.Sub(reportedAt) > leavingTTL {
			delete(reports, id)
			continue
		}
		ids = append(ids, id)
	}
	return ids
}
