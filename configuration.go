package persimmoncart

import (
	"time"
)

// An Account is one caller account.
type Account struct {
	Burst     int // requests
	Class     Class
	Keys      []KeyHash
	Name      AccountID
	Rate      float64 // requests a second
	TokenRate float64 // prompt and output tokens a second; zero is unlimited
	Weight    int     // share in the admission queue relative to other accounts
}

// A Configuration gives the configuration in force.
type Configuration interface {
	// Snapshot returns the newest configuration; it is never nil and never older
	// than one returned before.
	Snapshot() *Snapshot
	// Subscribe calls f after each change. The returned function ends it.
	Subscribe(f func(*Snapshot)) (stop func())
}

// A KeyHash is the SHA-256 hash of an account's API key.
type KeyHash [32]byte

// A Link is a network path of limited rate between two data centres or regions.
type Link struct {
	From  string // data centre or region
	Name  string
	Price float64 // currency units a gigabyte
	Rate  float64 // bytes a second, each way
	To    string
}

// A Pool is a set of endpoints that serve the same models or calls.
type Pool struct {
	Decode           int           // desired decode replicas
	FirstTokenTarget time.Duration // target for the first token
	Models           []ModelName
	Name             PoolName
	Prefill          int           // desired prefill replicas
	Role             Role          // RoleApplication, or zero for a pool of engines
	TokenGapTarget   time.Duration // target between tokens
}

// A Route leads callers to a pool.
type Route struct {
	Class           Class
	Hedge           bool  // a slow idempotent call may be sent twice
	Idempotent      bool  // calls are idempotent
	MaxBodyBytes    int64 // largest request body, bytes
	MaxOutputTokens int   // highest number of output tokens
	Models          []ModelName
	Name            RouteName
	Pool            PoolName
	Timeout         time.Duration
}

// A Sheet is the planners' demand plan for one day.
type Sheet struct {
	Day  time.Time
	Rows []SheetRow
}

// A SheetRow is the plan for one pool and model over a span of the day.
type SheetRow struct {
	Decode  int
	From    time.Time
	Model   ModelName
	Pool    PoolName
	Prefill int
	Rate    float64 // expected requests a second
	To      time.Time
}

// A Snapshot is one version of the whole configuration. It is immutable.
type Snapshot struct {
	Accounts  map[AccountID]*Account
	Drained   map[EndpointID]bool // endpoints that operators drain
	Endpoints map[EndpointID]*Endpoint
	Keys      map[KeyHash]*Account
	Links     map[string]*Link
	Overrides map[PoolName]*Override
	Pins      map[EndpointID]*Pin
	Pools     map[PoolName]*Pool
	Routes    map[RouteName]*Route
	Sheet     *Sheet   // newest day's sheet; nil if there is none
	Sheets    []*Sheet // sorted by day
	Version   uint64
}
