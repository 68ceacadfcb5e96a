package route

import (
	"slices"
	"sync"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/engine"
)

const (
	// initialBackoff is the time for which an endpoint is avoided after one failure.
	// Each further failure doubles it, up to maxBackoff, so that a restarted
	// endpoint is tried again within seconds.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 5 * time.Second
	// maxFailingEndpoints is the highest number of recorded endpoints; a data centre
	// has about 314.
	maxFailingEndpoints = 1024
)

// endpointHealth records the endpoints that recently failed calls of this instance.
// Without it, an endpoint that fails fast would look like the least loaded one.
// After the backoff of an endpoint, one request tries it again.
type endpointHealth struct {
	backoffs map[persimmoncart.EndpointID]*endpointBackoff
	mutex    sync.Mutex
}

// An endpointBackoff is the backoff of an endpoint that failed.
type endpointBackoff struct {
	avoidUntil time.Time
	backoff    time.Duration
}

// avoidList returns the endpoints in failed, which the request itself should avoid,
// and those in backoff. An endpoint whose backoff has passed is left out once, so
// that this request may try it; other requests avoid it for another backoff.
func (h *endpointHealth) avoidList(now time.Time, failed []persimmoncart.EndpointID) []persimmoncart.EndpointID {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if len(h.backoffs) == 0 {
		return slices.Clone(failed)
	}
	list := slices.Clone(failed)
	for id, b := range h.backoffs {
		if slices.Contains(failed, id) {
			continue
		}
		if now.Before(b.avoidUntil) {
			list = append(list, id)
			continue
		}
		b.avoidUntil = now.Add(b.backoff)
	}
	return list
}

// recordFailure starts or doubles the backoff of an endpoint after a failed call. It
// ignores refusals for lack of slots or memory, which do not indicate a fault.
func (h *endpointHealth) recordFailure(now time.Time, id persimmoncart.EndpointID, err error) {
	refused := as[*persimmoncart.EndpointRefusedError](err)
	if id == "" || (refused != nil && (refused.Reason == engine.ReasonBusy || refused.Reason == engine.ReasonMemory)) {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	b := h.backoffs[id]
	if b == nil {
		if len(h.backoffs) >= maxFailingEndpoints {
			return
		}
		if h.backoffs == nil {
			h.backoffs = make(map[persimmoncart.EndpointID]*endpointBackoff)
		}
		b = &endpointBackoff{backoff: initialBackoff / 2}
		h.backoffs[id] = b
	}
	b.backoff = min(2*b.backoff, maxBackoff)
	b.avoidUntil = now.Add(b.backoff)
}

// recordSuccess ends the backoff of an endpoint after a successful call.
func (h *endpointHealth) recordSuccess(id persimmoncart.EndpointID) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.backoffs, id)
}
