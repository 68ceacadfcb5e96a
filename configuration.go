package persimmoncart

import (
	"time"
)

// An Account is one caller account.
type Account struct {
	Burst         int   // requests that may arrive at once; see Rate
	Class         Class // of the account's requests
	DefaultTokens int   // that a request counts which does not state its tokens
	Keys          []KeyHash
	Name          AccountID
	Priority      int     // of the account's requests, 0 is the most urgent; negative for that of the route
	Rate          float64 // requests a second
	TokenBurst    int     // tokens that may be used at once; see TokenRate
	TokenRate     float64 // prompt and output tokens a second; zero is unlimited
	Weight        int     // share in the admission queue relative to other accounts
}

// A Configuration provides the configuration in force.
type Configuration interface {
	// Snapshot returns the newest configuration. It is never nil and never older
	// than one that was returned before.
	Snapshot() *Snapshot
	// Subscribe calls f after each change. The returned function ends the
	// subscription.
	Subscribe(f func(*Snapshot)) (stop func())
}

// A KeyHash is the SHA-256 hash of an account's API key.
type KeyHash [32]byte

// A Link is a network path of limited rate between two data centres or regions.
type Link struct {
	From  string // data centre or region
	Name  string
	Price float64 // currency units a gigabyte
	Rate  float64 // bytes a second in each direction
	To    string
}

// A Pool is a set of endpoints that serve the same models or calls.
type Pool struct {
	Decode           int           // desired decode replicas
	FirstTokenTarget time.Duration // target time to the first token
	Models           []ModelName
	Name             PoolName
	Prefill          int           // desired prefill replicas
	Role             Role          // RoleApplication, or zero for a pool of engines
	TokenGapTarget   time.Duration // target time between tokens
}

// A Route assigns callers' requests to a pool and bounds them.
type Route struct {
	Class           Class
	Hedge           bool  // a slow idempotent call may be sent to a second endpoint
	Idempotent      bool  // calls may run more than once
	MaxBodyBytes    int64 // largest request body
	MaxOutputTokens int
	Models          []ModelName
	Name            RouteName
	Pool            PoolName
	Timeout         time.Duration
}

// A Sheet is the capacity planners' demand plan for one day.
type Sheet struct {
	Day  time.Time
	Rows []SheetRow
}

// A SheetRow is the plan for one pool and model between two times of the day.
type SheetRow struct {
	Decode  int // decode replicas
	From    time.Time
	Model   ModelName
	Pool    PoolName
	Prefill int     // prefill replicas
	Rate    float64 // expected requests a second
	To      time.Time
}

// A Snapshot is one version of the whole configuration. It is immutable.
type Snapshot struct {
	Accounts  map[AccountID]*Account
	Drained   map[EndpointID]bool // endpoints that operators are draining
	Endpoints map[EndpointID]*Endpoint
	Keys      map[KeyHash]*Account
	Links     map[string]*Link
	Overrides map[PoolName]*Override
	Pins      map[EndpointID]*Pin
	Pools     map[PoolName]*Pool
	Routes    map[RouteName]*Route
	Sheet     *Sheet   // sheet of the newest day; nil if there is none
	Sheets    []*Sheet // sorted by day
	Version   uint64
}
