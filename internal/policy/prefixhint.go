package policy

import (
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// hintLimit bounds the replicas that one decision knows cached prompts of.
const hintLimit = 8

// A hint is the number of prompt tokens expected in one replica's cache.
type hint struct {
	replica persimmoncart.EndpointID
	tokens  int
}

// hints are what the prefix index knows for one prompt.
type hints struct {
	list [hintLimit]hint
	used int
}

// cached returns the prompt tokens expected in the replica's cache.
func (h *hints) cached(replica persimmoncart.EndpointID) int {
	for i := range h.used {
		if h.list[i].replica == replica {
			return h.list[i].tokens
		}
	}
	return 0
}

// lookup fills h with the replicas that hold the longest known prefixes. Each
// prefix is looked up once, whatever the number of replicas.
func (p *PrefixIndex) lookup(now time.Time, prefixes []uint64, h *hints) {
	h.used = 0
	for i := len(prefixes) - 1; i >= 0 && h.used < hintLimit; i-- {
		e, found := p.entries[prefixes[i]]
		if !found {
			continue
		}
		for _, o := range e.holders[:e.used] {
			c := p.confidence(now, o)
			if c < prefixMinimum || h.used == hintLimit || h.cached(o.replica) > 0 {
				continue
			}
			tokens := int(float64((i+1)*persimmoncart.BlockTokens) * c)
			h.list[h.used] = hint{replica: o.replica, tokens: tokens}
			h.used++
		}
	}
}
