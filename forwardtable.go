package persimmoncart

import (
	"strconv"
	"strings"
	"time"
)

// Kinds of repeatability.
const (
	RepeatNever  Repeat = iota + 1 // runs at most once for each attempt of a caller
	RepeatAlways                   // idempotent
	RepeatResume                   // a stream that may go on at another endpoint
)

// A Repeat says whether a forwarded request may run more than once.
type Repeat uint8

// String returns the name in logs.
func (r Repeat) String() string {
	switch r {
	case RepeatAlways:
		return "always"
	case RepeatNever:
		return "never"
	case RepeatResume:
		return "resume"
	default:
		return "repeat(" + strconv.Itoa(int(r)) + ")"
	}
}

// A ForwardLimits bounds what callers may send.
type ForwardLimits struct {
	MaxBodyBytes int64 // bytes of a request body
}

// A ForwardPool is a pool that forwarded requests go to.
type ForwardPool struct {
	Engine *EngineCapacity // nil for application endpoints
	Name   PoolName
}

// An EngineCapacity is what every engine of a pool holds.
type EngineCapacity struct {
	CacheTTL time.Duration // that exported KV cache is kept for
	KVTokens int           // tokens of KV cache
	MaxHold  time.Duration // longest lifetime of a reservation; zero if there are none
	Slots    int           // requests that run at the same time
}

// A ForwardRoute leads requests of a host and path to pools.
type ForwardRoute struct {
	CallerIdleTimeout time.Duration // callers of a stream leave after as long without an event
	GapTarget         time.Duration // longest pause between events of a stream in time; zero if there is no stream
	Host              string
	LatencyTarget     time.Duration // answer, or first event, in time
	MaxAttempts       int           // highest number of endpoints that run one request
	Name              RouteName
	Pools             []WeightedPool
	Prefix            string // of the path; starts and ends with a slash
	Priority          int    // 0 is the most urgent
	Repeat            Repeat
	Stream            bool
	Timeout           time.Duration
}

// Pool returns the pool that a share between 0 and 1 falls to.
func (r *ForwardRoute) Pool(share float64) PoolName {
	total := 0
	for _, p := range r.Pools {
		total += p.Weight
	}
	at := share * float64(total)
	for _, p := range r.Pools {
		if at -= float64(p.Weight); at < 0 {
			return p.Pool
		}
	}
	if len(r.Pools) == 0 {
		return ""
	}
	return r.Pools[len(r.Pools)-1].Pool
}

// A WeightedPool is one pool of a route that is split between several.
type WeightedPool struct {
	Pool   PoolName
	Weight int
}

// A ForwardTable is one version of the routes of forwarded requests. It is
// immutable.
type ForwardTable struct {
	Limits  ForwardLimits
	Pools   map[PoolName]*ForwardPool
	Routes  map[string][]*ForwardRoute // by host, the longest prefix first
	Version uint64
}

// Route returns the route with the longest prefix that the path starts with.
func (t *ForwardTable) Route(host, path string) (*ForwardRoute, bool) {
	for _, r := range t.Routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
