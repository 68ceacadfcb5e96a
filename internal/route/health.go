package route

import (
	"slices"
	"sync"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/engine"
)

const (
	// firstBackoff is how long an endpoint is avoided after one failure; each
	// further one doubles it up to maxBackoff. The bound keeps the return of a
	// restarted endpoint, and the first probe of it, within seconds.
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// maxAvoided bounds the remembered endpoints; a data centre has about 314.
	maxAvoided = 1024
)

// A health remembers the endpoints that failed lately, by this instance's own
// calls. An endpoint that fails fast would otherwise look like the least loaded
// one. When its time has passed, one request tries it again.
type health struct {
	failing map[persimmoncart.EndpointID]*failing
	mutex   sync.Mutex
}

// A failing is an endpoint to avoid.
type failing struct {
	backoff time.Duration
	until   time.Time
}

// answered notes that an endpoint works.
func (h *health) answered(id persimmoncart.EndpointID) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.failing, id)
}

// avoid returns the endpoints that a request should avoid besides those in own.
// Endpoints whose time has passed are left out once, for this request to try.
func (h *health) avoid(now time.Time, own []persimmoncart.EndpointID) []persimmoncart.EndpointID {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if len(h.failing) == 0 {
		return slices.Clone(own)
	}
	out := slices.Clone(own)
	for id, f := range h.failing {
		if slices.Contains(own, id) {
			continue
		}
		if now.Before(f.until) {
			out = append(out, id)
			continue
		}
		f.until = now.Add(f.backoff)
	}
	return out
}

// failed notes how a call to an endpoint failed. A refusal for lack of room says
// nothing about its health; one for another reason does.
func (h *health) failed(now time.Time, id persimmoncart.EndpointID, err error) {
	refused := as[*persimmoncart.EndpointRefusedError](err)
	if id == "" || (refused != nil && (refused.Reason == engine.ReasonBusy || refused.Reason == engine.ReasonMemory)) {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	f := h.failing[id]
	if f == nil {
		if len(h.failing) >= maxAvoided {
			return
		}
		if h.failing == nil {
			h.failing = make(map[persimmoncart.EndpointID]*failing)
		}
		f = &failing{backoff: firstBackoff / 2}
		h.failing[id] = f
	}
	f.backoff = min(2*f.backoff, maxBackoff)
	f.until = now.Add(f.backoff)
}
