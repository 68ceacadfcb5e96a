package policy

import (
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// maxCacheHints is the maximum number of replicas that one lookup returns.
const maxCacheHints = 8

// A cacheHint is the number of prompt tokens expected in one replica's cache.
type cacheHint struct {
	replica persimmoncart.EndpointID
	tokens  int
}

// cacheHints are the replicas expected to have a prefix of one prompt cached.
type cacheHints struct {
	count int // hints in list
	list  [maxCacheHints]cacheHint
}

// cachedTokens returns the number of prompt tokens expected in the replica's
// cache.
func (h *cacheHints) cachedTokens(replica persimmoncart.EndpointID) int {
	for i := range h.count {
		if h.list[i].replica == replica {
			return h.list[i].tokens
		}
	}
	return 0
}

// lookup fills h with the replicas that hold the longest recorded prefixes.
// Each prefix is looked up once, whatever the number of replicas.
func (p *PrefixIndex) lookup(now time.Time, prefixes []uint64, h *cacheHints) {
	h.count = 0
	for i := len(prefixes) - 1; i >= 0 && h.count < maxCacheHints; i-- {
		e, found := p.entries[prefixes[i]]
		if !found {
			continue
		}
		for _, o := range e.holders[:e.count] {
			c := p.confidence(now, o)
			if c < prefixMinConfidence || h.count == maxCacheHints || h.cachedTokens(o.replica) > 0 {
				continue
			}
			tokens := int(float64((i+1)*persimmoncart.BlockTokens) * c)
			h.list[h.count] = cacheHint{replica: o.replica, tokens: tokens}
			h.count++
		}
	}
}
