package persimmoncart

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// Values of Repeat.
const (
	RepeatNever  Repeat = iota + 1 // runs at most once for each attempt of a caller
	RepeatAlways                   // idempotent; may run again from its start
	RepeatResume                   // a stream that may be resumed on another endpoint
)

// A Repeat states whether a forwarded request may run more than once.
type Repeat uint8

// String returns the value's name in logs.
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

// ForwardLimits bounds the requests that callers may send. Zero means that the
// configuration has no such limit.
type ForwardLimits struct {
	HeaderTimeout  time.Duration // longest time for the head of a request
	IdleTimeout    time.Duration // longest time without progress
	MaxBodyBytes   int64         // largest request body
	MaxHeaderBytes int           // largest head of a request
}

// A ForwardPool is a pool of endpoints of forwarded requests.
type ForwardPool struct {
	Engine *EngineCapacity // of each engine; nil for a pool of application endpoints
	Name   PoolName
}

// An EngineCapacity is the capacity of every engine of a pool.
type EngineCapacity struct {
	CacheTTL       time.Duration // lifetime of exported KV cache
	EventTokens    int           // output tokens in each event of a stream; zero if unknown
	KVTokens       int           // size of the KV cache in tokens
	MaxReservation time.Duration // longest lifetime of a reservation; zero if the engine has no reservations
	Slots          int           // requests that can run at the same time
}

// A ForwardRoute assigns the requests for a host and path prefix to pools.
type ForwardRoute struct {
	Anonymous         bool          // callers need no key
	CallerIdleTimeout time.Duration // time without an event after which callers close a stream
	GapTarget         time.Duration // target time between events of a stream; zero if the route has no streams
	Host              string
	LatencyTarget     time.Duration // target time to the response, or to the first event of a stream
	MaxAttempts       int           // highest number of endpoints that may run one request
	Name              RouteName
	Pools             []WeightedPool
	Prefix            string // of the path; starts and ends with a slash
	Priority          int    // 0 is the most urgent
	Repeat            Repeat
	Stream            bool
	Timeout           time.Duration
}

// Pool returns the pool for a request. Share is a number from 0 up to 1, which is
// mapped to the pools in proportion to their weights.
func (r *ForwardRoute) Pool(share float64) PoolName {
	total := 0
	for _, p := range r.Pools {
		total += p.Weight
	}
	rest := share * float64(total)
	for _, p := range r.Pools {
		if rest -= float64(p.Weight); rest < 0 {
			return p.Pool
		}
	}
	if len(r.Pools) == 0 {
		return ""
	}
	return r.Pools[len(r.Pools)-1].Pool
}

// PoolNames returns the pools of the route.
func (r *ForwardRoute) PoolNames() []PoolName {
	names := make([]PoolName, 0, len(r.Pools))
	for _, p := range r.Pools {
		names = append(names, p.Pool)
	}
	return names
}

// A WeightedPool is one pool of a route with its share of the requests.
type WeightedPool struct {
	Pool   PoolName
	Weight int
}

// A ForwardTable is one version of the routes of forwarded requests. It is
// immutable.
type ForwardTable struct {
	Accounts map[KeyHash]*Account // by key; nil if callers need no keys
	Limits   ForwardLimits
	Pools    map[PoolName]*ForwardPool
	Routes   map[string][]*ForwardRoute // by host in lower case, the longest prefix first
	Version  uint64
}

// ResumablePools returns the pools with streams that may be resumed, in ascending order.
func (t *ForwardTable) ResumablePools() []PoolName {
	var names []PoolName
	for _, routes := range t.Routes {
		for _, r := range routes {
			if r.Repeat == RepeatResume {
				names = append(names, r.PoolNames()...)
			}
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Route returns the route of the host, whose case does not matter, with the longest prefix
// of the path.
func (t *ForwardTable) Route(host, path string) (*ForwardRoute, bool) {
	for _, r := range t.Routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
