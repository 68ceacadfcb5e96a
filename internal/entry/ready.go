package entry

import (
	"sync"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// ownershipTimeout bounds the wait of a new instance for the replicas that it will own.
// An instance whose data centre has none, or whose cell cannot agree while the
// store is down, serves with borrowed slots or static shares after it.
const ownershipTimeout = 10 * time.Second

// A readiness is the further condition of readiness of an instance with peers:
// requests that arrive before it owns replicas would mostly be refused.
type readiness struct {
	Configured func() bool // nil if the configuration is there from the start
	Owns       func() bool
	StartedAt  time.Time // start of the instance
	Timer      persimmoncart.Timer

	hasOwned bool // at some time; a later loss does not end readiness
	mutex    sync.Mutex
}

// Ready reports whether the load balancer should send callers here.
func (r *readiness) Ready() bool {
	if r.Configured != nil && !r.Configured() {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.hasOwned = r.hasOwned || r.Owns()
	return r.hasOwned || r.Timer.Now().Sub(r.StartedAt) >= ownershipTimeout
}
