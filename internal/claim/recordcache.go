package claim

import (
	"sync"

	"github.com/persimmoncart/persimmoncart"
)

// maxCachedRecords bounds the records in a recordCache. At 100 claims a second it
// covers an outage of the store of several minutes.
const maxCachedRecords = 32768

// A recordCache holds the newest records that this instance has written or read,
// so that a repeated call is recognised while the store is down. When it is full,
// the key that was added first is removed.
type recordCache struct {
	mutex   sync.Mutex
	oldest  int // index in order of the key that is removed next
	order   []persimmoncart.ClaimKey
	records map[persimmoncart.ClaimKey]persimmoncart.ClaimRecord
}

// get returns the record of key. It returns false if there is none or the call
// did not run.
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

// put stores the record of key without the response, which would make the cache
// large. The state of the call is enough.
func (c *recordCache) put(key persimmoncart.ClaimKey, r persimmoncart.ClaimRecord) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.records == nil {
		c.records = make(map[persimmoncart.ClaimKey]persimmoncart.ClaimRecord)
	}
	if _, ok := c.records[key]; !ok {
		if len(c.order) < maxCachedRecords {
			c.order = append(c.order, key)
		} else {
			delete(c.records, c.order[c.oldest])
			c.order[c.oldest] = key
			c.oldest = (c.oldest + 1) % maxCachedRecords
		}
	}
	r.Response = nil
	c.records[key] = r
}
