package policy

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/rendezvous"
)

// limitBurst is the number of requests beyond its limit that an endpoint may get at
// once from all instances together.
const limitBurst = 4

// RateShare returns the requests a second that an instance may send to an endpoint whose
// limit applies to all instances together. It is zero for an instance that is not one of
// instances.
//
// Each instance with a share may have one request ready at any time. With many instances
// these would exceed the limit, so only some of them, chosen by rendezvous hashing, have
// a share.
func RateShare(limit float64, endpoint persimmoncart.EndpointID, self persimmoncart.InstanceID, instances []persimmoncart.InstanceID) float64 {
	holders := rendezvous.Rank(string(endpoint), instances)
	holders = holders[:min(len(holders), limitBurst+int(min(limit, float64(len(holders)))))]
	if !slices.Contains(holders, self) {
		return 0
	}
	return limit / float64(len(holders))
}

// A requestLimit is the limit of the requests that an endpoint takes.
type requestLimit struct {
	limiter *rate.Limiter // of this instance's share; nil before the first one
	share   float64       // requests a second that the endpoint takes from this instance
	total   float64       // requests a second that it takes from all instances together; zero for no limit
}

// set sets the limit and this instance's share of it, requests a second. A share begins
// without a request ready: the endpoint has just got some.
func (l *requestLimit) set(now time.Time, total, share float64) {
	l.total, l.share = total, share
	switch {
	case share <= 0:
	case l.limiter == nil:
		l.limiter = rate.NewLimiter(rate.Limit(share), 1)
		l.limiter.AllowN(now, 1)
	default:
		l.limiter.SetLimitAt(now, rate.Limit(share))
	}
}

// left returns the time until the next request may be sent; zero if it may be now.
func (l *requestLimit) left(now time.Time) time.Duration {
	if l.total == 0 {
		return 0
	}
	if l.share <= 0 {
		return seconds(1 / l.total) // until the endpoint takes one from another instance
	}
	if missing := 1 - l.limiter.TokensAt(now); missing > 0 {
		return time.Nanosecond + seconds(missing/l.share)
	}
	return 0
}

// take counts a request, and reports whether it may be sent.
func (l *requestLimit) take(now time.Time) bool {
	return l.total == 0 || l.share > 0 && l.limiter.AllowN(now, 1)
}

// seconds returns a duration of s seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
