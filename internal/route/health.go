package route

import (
	"slices"
	"sync"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/engine"
)

const (
	// initialBackoff is how long an endpoint is avoided after one failure; each
	// further one doubles it up to maxBackoff. The bound keeps the return of a
	// restarted endpoint, and the first probe of it, within seconds.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 5 * time.Second
	// maxFailingEndpoints bounds the remembered endpoints; a data centre has about 314.
	maxFailingEndpoints = 1024
)

// An endpointHealth remembers the endpoints that failed lately, by this instance's own
// calls. An endpoint that fails fast would otherwise look like the least loaded
// one. When its time has passed, one request tries it again.
type endpointHealth struct {
	backoffs map[persimmoncart.EndpointID]*endpointBackoff
	mutex    sync.Mutex
}

// An endpointBackoff is an endpoint to avoid.
type endpointBackoff struct {
	avoidUntil time.Time
	backoff    time.Duration
}

// avoidList returns the endpoints that a request should avoid besides those in own.
// Endpoints whose time has passed are left out once, for this request to try.
func (h *endpointHealth) avoidList(now time.Time, own []persimmoncart.EndpointID) []persimmoncart.EndpointID {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if len(h.backoffs) == 0 {
		return slices.Clone(own)
	}
	out := slices.Clone(own)
	for id, f := range h.backoffs {
		if slices.Contains(own, id) {
			continue
		}
		if now.Before(f.avoidUntil) {
			out = append(out, id)
			continue
		}
		f.avoidUntil = now.Add(f.backoff)
	}
	return out
}

// recordFailure notes how a call to an endpoint failed. A refusal for lack of room says
// nothing about its health; one for another reason does.
func (h *endpointHealth) recordFailure(now time.Time, id persimmoncart.EndpointID, err error) {
	refused := as[*persimmoncart.EndpointRefusedError](err)
	if id == "" || (refused != nil && (refused.Reason == engine.ReasonBusy || refused.Reason == engine.ReasonMemory)) {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	f := h.backoffs[id]
	if f == nil {
		if len(h.backoffs) >= maxFailingEndpoints {
			return
		}
		if h.backoffs == nil {
			h.backoffs = make(map[persimmoncart.EndpointID]*endpointBackoff)
		}
		f = &endpointBackoff{backoff: initialBackoff / 2}
		h.backoffs[id] = f
	}
	f.backoff = min(2*f.backoff, maxBackoff)
	f.avoidUntil = now.Add(f.backoff)
}

// recordSuccess notes that an endpoint works.
func (h *endpointHealth) recordSuccess(id persimmoncart.EndpointID) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.backoffs, id)
}
