package forward

import (
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

// Notice records what an endpoint stated about itself with a response.
func (d *Directory) Notice(endpoint *persimmoncart.Endpoint, notice persimmoncart.EndpointNotice) {
	if notice == (persimmoncart.EndpointNotice{Unlimited: true}) && d.limited.Load() == 0 {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	e, _ := d.find(endpoint.ID)
	if e == nil || e.Endpoint.Incarnation != endpoint.Incarnation {
		return
	}
	if notice.Leaving && !e.Endpoint.Leaving {
		e.Endpoint.Leaving = true
		d.log("endpoint says that it leaves", &e.Endpoint)
		d.reportChange()
	}
	if notice.RateLimit != 0 || notice.Unlimited {
		d.setRateLimit(e, notice.RateLimit)
	}
	if notice.RetryAfter > 0 {
		e.BackOff(d.Timer.Now().Add(notice.RetryAfter))
		d.Logger.Info().Str("endpoint", string(e.Endpoint.ID)).Dur("retry", notice.RetryAfter).Msg("endpoint wants no requests")
	}
}

// SetInstances sets all instances of the system that are in service, which share the
// limits of endpoints. Before the first call, this instance has no share.
func (d *Directory) SetInstances(instances []persimmoncart.InstanceID) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.instances = instances
	for _, p := range d.pools {
		for _, e := range p.selector.Endpoints {
			if limit := e.RateLimit(); limit != 0 {
				d.setRateShare(e, limit)
			}
		}
	}
}

// setRateLimit records the requests a second that an endpoint takes from all instances
// together; zero for no limit. The caller holds the mutex.
func (d *Directory) setRateLimit(e *policy.EndpointState, limit float64) {
	before := e.RateLimit()
	if before == limit {
		return
	}
	switch {
	case before == 0:
		d.limited.Add(1)
	case limit == 0:
		d.limited.Add(-1)
	}
	d.setRateShare(e, limit)
}

// setRateShare sets the limit of an endpoint and this instance's share of it. The caller
// holds the mutex.
func (d *Directory) setRateShare(e *policy.EndpointState, limit float64) {
	share := policy.RateShare(limit, e.Endpoint.ID, d.Home.ID, d.instances)
	d.Logger.Info().Str("endpoint", string(e.Endpoint.ID)).Float64("limit", limit).Float64("before", e.RateLimit()).
		Float64("share", share).Int("instances", len(d.instances)).Msg("endpoint limits its requests")
	e.SetRateLimit(d.Timer.Now(), limit, share)
}

// Accepts reports whether an endpoint takes calls of this instance's own: it neither
// wants a pause nor limits its requests.
func (d *Directory) Accepts(id persimmoncart.EndpointID) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	e, _ := d.find(id)
	return e == nil || e.BackOffLeft(d.Timer.Now()) == 0 && e.RateLimit() == 0
}

// TakeCall counts a call of this instance's own against the limit of an endpoint, and
// reports whether it may be made.
func (d *Directory) TakeCall(id persimmoncart.EndpointID) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	e, _ := d.find(id)
	return e == nil || e.TakeRequest(d.Timer.Now())
}

// WaitLeft returns the time until the first endpoint of a pool for a request takes
// requests again. It reports false if one does now, or there is none.
func (d *Directory) WaitLeft(name persimmoncart.PoolName, r policy.SelectorRequest) (time.Duration, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.pool(name).selector.WaitLeft(d.Timer.Now(), &r)
}
