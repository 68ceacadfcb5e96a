package route

import (
	"sync"

	"github.com/persimmoncart/persimmoncart"
)

// maxDispatchedKeys is the number of recorded keys. It covers an hour, the longest
// planned-for outage of the store, at two calls a second.
const maxDispatchedKeys = 8192

// dispatchedKeys records the keys of calls that may have run. If the store is down,
// a repeated key must not be reported as not run when this instance has already
// dispatched the first call.
type dispatchedKeys struct {
	keys   map[persimmoncart.ClaimKey]bool
	mutex  sync.Mutex
	oldest int                      // index in ring; zero until the ring is full
	ring   []persimmoncart.ClaimKey // keys in the order in which they were added
}

// add records key. If the table is full, key replaces the oldest one.
func (d *dispatchedKeys) add(key persimmoncart.ClaimKey) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.keys[key] {
		return
	}
	if d.keys == nil {
		d.keys = make(map[persimmoncart.ClaimKey]bool)
	}
	d.keys[key] = true
	if len(d.ring) < maxDispatchedKeys {
		d.ring = append(d.ring, key)
		return
	}
	delete(d.keys, d.ring[d.oldest])
	d.ring[d.oldest] = key
	d.oldest = (d.oldest + 1) % maxDispatchedKeys
}

// has reports whether key is recorded.
func (d *dispatchedKeys) has(key persimmoncart.ClaimKey) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.keys[key]
}
