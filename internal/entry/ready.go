package entry

import (
	"sync"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// ownershipTimeout bounds how long a new instance waits to own replicas before it is
// ready. Afterwards, an instance whose data centre has no replicas, or whose cell
// cannot agree while the store is down, serves with borrowed slots or static shares.
const ownershipTimeout = 10 * time.Second

// A readiness is the additional condition of readiness of an instance with peers: it
// owns replicas, because requests that arrive earlier would mostly be refused. Set
// its exported fields before use.
type readiness struct {
	Configured func() bool // reports whether a configuration is in force; nil means always
	Owns       func() bool // reports whether the instance owns replicas now
	StartedAt  time.Time
	Timer      persimmoncart.Timer

	hasOwned bool // the instance has owned replicas; losing them does not end readiness
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
