package claim

import (
	"sync"

	"github.com/persimmoncart/persimmoncart"
)

// maxCachedRecords bounds the records that an instance remembers beside the store; at
// 100 claims a second it covers an outage of the store of several minutes.
const maxCachedRecords = 32768

// A recordCache remembers the newest records that passed this instance, so that a
// repeated call is known while the store is down. The oldest goes first.
type recordCache struct {
	mutex   sync.Mutex
	oldest  int // position in order that is replaced next
	order   []persimmoncart.ClaimKey
	records map[persimmoncart.ClaimKey]persimmoncart.ClaimRecord
}

// get returns the record of key if it may have been dispatched.
func (c *recordCache) get(key persimmoncart.ClaimKey) (persimmoncart.ClaimRecord, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r, ok := c.records[key]
	return r, ok && r.State != persimmoncart.ClaimNotRun
}

// len returns the number of records.
func (c *recordCache) len() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.records)
}

// put remembers the record of key without its answer, which would make the table
// large; whether the call ran is what counts.
func (c *recordCache) put(key persimmoncart.ClaimKey, r persimmoncart.ClaimRecord) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.records == nil {
		c.records = make(map[persimmoncart.ClaimKey]persimmoncart.ClaimRecord)
	}
	if _, known := c.records[key]; !known {
		if len(c.order) < maxCachedRecords {
			c.order = append(c.order, key)
		} else {
			delete(c.records, c.order[c.oldest])
			c.order[c.oldest] = key
			c.oldest = (c.oldest + 1) % maxCachedRecords
		}
	}
	r.Answer = nil
	c.records[key] = r
}
