package route

import (
	"sync"

	"github.com/persimmoncart/persimmoncart"
)

// maxDispatchedKeys bounds the remembered keys: an hour of two such calls a second, which
// is the longest outage of the store that is planned for.
const maxDispatchedKeys = 8192

// A dispatchedKeys remembers the keys of calls that may have run. While the store is down
// it keeps a repeated call from being reported as not run when the first one,
// sent through this instance, did run.
type dispatchedKeys struct {
	keys   map[persimmoncart.ClaimKey]bool
	mutex  sync.Mutex
	oldest int
	ring   []persimmoncart.ClaimKey // ring
}

// add remembers key in place of the oldest one.
func (s *dispatchedKeys) add(key persimmoncart.ClaimKey) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.keys[key] {
		return
	}
	if s.keys == nil {
		s.keys = make(map[persimmoncart.ClaimKey]bool)
	}
	s.keys[key] = true
	if len(s.ring) < maxDispatchedKeys {
		s.ring = append(s.ring, key)
		return
	}
	delete(s.keys, s.ring[s.oldest])
	s.ring[s.oldest] = key
	s.oldest = (s.oldest + 1) % maxDispatchedKeys
}

// has reports whether key is remembered.
func (s *dispatchedKeys) has(key persimmoncart.ClaimKey) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.keys[key]
}
