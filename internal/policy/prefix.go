package policy

import (
	"math"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// Constants of the prefix index.
const (
	// prefixMaxHolders bounds the replicas remembered for one prefix.
	prefixMaxHolders = 4
	// prefixHalfLife is the age at which a hint counts half: caches are
	// limited and their eviction events arrive late.
	prefixHalfLife = 30 * time.Second
	// prefixGapFactor lowers what is known of a replica after lost cache events.
	prefixGapFactor = 0.5
	// prefixMinConfidence is the confidence below which a hint is not used.
	prefixMinConfidence = 0.2
)

// A PrefixIndex remembers which prefill replica holds which prompt prefix.
//
// It is a decaying hint in bounded memory: the oldest entries are replaced in
// insertion order once the bound is reached.
type PrefixIndex struct {
	entries   map[uint64]*prefixEntry
	sequences map[persimmoncart.EndpointID]eventSequence
	order     []uint64 // ring of inserted prefixes
	next      int
}

// A prefixEntry lists the holders of one prefix.
type prefixEntry struct {
	holders [prefixMaxHolders]prefixHolder
	count   int
}

// A prefixHolder is one replica that holds a prefix.
type prefixHolder struct {
	addedAt time.Time
	gaps    int // gap count of the replica when the hint was made
	replica persimmoncart.EndpointID
}

// A eventSequence is the state of one replica's event sequence.
type eventSequence struct {
	gaps int
	last uint64
}

// NewPrefixIndex returns an index of at most size prefixes.
func NewPrefixIndex(size int) *PrefixIndex {
	return &PrefixIndex{
		entries:   make(map[uint64]*prefixEntry),
		sequences: make(map[persimmoncart.EndpointID]eventSequence),
		order:     make([]uint64, 0, size),
	}
}

// Add records that the replica holds the prefix.
func (p *PrefixIndex) Add(now time.Time, replica persimmoncart.EndpointID, prefix uint64) {
	e, found := p.entries[prefix]
	if !found {
		e = &prefixEntry{}
		p.insert(prefix, e)
	}
	h := prefixHolder{addedAt: now, gaps: p.sequences[replica].gaps, replica: replica}
	oldest := 0
	for i := range e.count {
		if e.holders[i].replica == replica {
			e.holders[i] = h
			return
		}
		if e.holders[i].addedAt.Before(e.holders[oldest].addedAt) {
			oldest = i
		}
	}
	if e.count < prefixMaxHolders {
		oldest = e.count
		e.count++
	}
	e.holders[oldest] = h
}

// Apply takes one cache event. A jump in the sequence means that events were
// lost, so that older hints about the replica count less.
func (p *PrefixIndex) Apply(now time.Time, replica persimmoncart.EndpointID, event persimmoncart.CacheEvent) {
	g := p.sequences[replica]
	if g.last != 0 && event.Sequence != g.last+1 {
		g.gaps++
	}
	g.last = event.Sequence
	p.sequences[replica] = g
	if event.Evicted {
		p.Remove(replica, event.Prefix)
		return
	}
	p.Add(now, replica, event.Prefix)
}

// CachedTokens returns the prompt tokens expected in the replica's cache: the longest
// known prefix of the prompt, scaled by the confidence in the hint.
func (p *PrefixIndex) CachedTokens(now time.Time, replica persimmoncart.EndpointID, prefixes []uint64) int {
	var h cacheHints
	p.lookup(now, prefixes, &h)
	return h.cachedTokens(replica)
}

// RemoveReplica drops everything known about a replica.
func (p *PrefixIndex) RemoveReplica(replica persimmoncart.EndpointID) {
	delete(p.sequences, replica)
	for k := range p.entries {
		p.Remove(replica, k)
	}
}

// Len returns the number of prefixes.
func (p *PrefixIndex) Len() int { return len(p.entries) }

// Remove records that the replica no longer holds the prefix.
func (p *PrefixIndex) Remove(replica persimmoncart.EndpointID, prefix uint64) {
	e, found := p.entries[prefix]
	if !found {
		return
	}
	for i := range e.count {
		if e.holders[i].replica == replica {
			e.count--
			e.holders[i] = e.holders[e.count]
			return
		}
	}
}

// confidence returns how far the hint is to be believed, from 0 to 1.
func (p *PrefixIndex) confidence(now time.Time, h prefixHolder) float64 {
	c := math.Exp2(-float64(now.Sub(h.addedAt)) / float64(prefixHalfLife))
	if lost := p.sequences[h.replica].gaps - h.gaps; lost > 0 {
		c *= math.Pow(prefixGapFactor, float64(lost))
	}
	return c
}

// insert adds an entry, in place of the oldest one if the index is full.
func (p *PrefixIndex) insert(prefix uint64, e *prefixEntry) {
	if len(p.order) < cap(p.order) {
		p.order = append(p.order, prefix)
	} else {
		delete(p.entries, p.order[p.next])
		p.order[p.next] = prefix
		p.next = (p.next + 1) % len(p.order)
	}
	p.entries[prefix] = e
}
