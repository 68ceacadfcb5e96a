package route

import (
	"sync"

	"github.com/persimmoncart/persimmoncart"
)

// maxSeen bounds the remembered keys: an hour of two such calls a second, which
// is the longest outage of the store that is planned for.
const maxSeen = 8192

// A seen remembers the keys of calls that may have run. While the store is down
// it keeps a repeated call from being reported as not run when the first one,
// sent through this instance, did run.
type seen struct {
	keys  map[persimmoncart.ClaimKey]bool
	mutex sync.Mutex
	next  int
	order []persimmoncart.ClaimKey // ring
}

// add remembers key in place of the oldest one.
func (s *seen) add(key persimmoncart.ClaimKey) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.keys[key] {
		return
	}
	if s.keys == nil {
		s.keys = make(map[persimmoncart.ClaimKey]bool)
	}
	s.keys[key] = true
	if len(s.order) < maxSeen {
		s.order = append(s.order, key)
		return
	}
	delete(s.keys, s.order[s.next])
	s.order[s.next] = key
	s.next = (s.next + 1) % maxSeen
}

// has reports whether key is remembered.
func (s *seen) has(key persimmoncart.ClaimKey) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.keys[key]
}
