package claim

import (
	"sync"

	"github.com/persimmoncart/persimmoncart"
)

// maxSeen bounds the records that an instance remembers beside the store; at
// 100 claims a second it covers an outage of the store of several minutes.
const maxSeen = 32768

// A seen remembers the newest records that passed this instance, so that a
// repeated call is known while the store is down. The oldest goes first.
type seen struct {
	mutex   sync.Mutex
	next    int // position in order that is replaced next
	order   []persimmoncart.ClaimKey
	records map[persimmoncart.ClaimKey]persimmoncart.ClaimRecord
}

// get returns the record of key if it may have been dispatched.
func (s *seen) get(key persimmoncart.ClaimKey) (persimmoncart.ClaimRecord, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r, ok := s.records[key]
	return r, ok && r.State != persimmoncart.ClaimNotRun
}

// len returns the number of records.
func (s *seen) len() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.records)
}

// put remembers the record of key without its answer, which would make the table
// large; whether the call ran is what counts.
func (s *seen) put(key persimmoncart.ClaimKey, r persimmoncart.ClaimRecord) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.records == nil {
		s.records = make(map[persimmoncart.ClaimKey]persimmoncart.ClaimRecord)
	}
	if _, known := s.records[key]; !known {
		if len(s.order) < maxSeen {
			s.order = append(s.order, key)
		} else {
			delete(s.records, s.order[s.next])
			s.order[s.next] = key
			s.next = (s.next + 1) % maxSeen
		}
	}
	r.Answer = nil
	s.records[key] = r
}
