package policy

import (
	"math"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// prefixMaxHolders is the maximum number of replicas recorded for one
	// prefix.
	prefixMaxHolders = 4
	// prefixHalfLife is the age at which the confidence in a record has halved:
	// caches are limited and their eviction events arrive late.
	prefixHalfLife = 30 * time.Second
	// prefixGapFactor is the factor by which each gap in a replica's cache
	// events lowers the confidence in its older records.
	prefixGapFactor = 0.5
	// prefixMinConfidence is the confidence below which a record is not used.
	prefixMinConfidence = 0.2
)

// A PrefixIndex records which prefill replicas hold which prompt prefixes.
//
// Its records are hints whose confidence decays. It uses bounded memory: a full
// index replaces the oldest prefix in the order of insertion.
type PrefixIndex struct {
	entries   map[uint64]*prefixEntry
	sequences map[persimmoncart.EndpointID]eventSequence
	order     []uint64 // ring buffer of prefixes in the order of insertion
	next      int      // index of the oldest prefix in order, once it is full
}

// A prefixEntry lists the replicas that hold one prefix.
type prefixEntry struct {
	holders [prefixMaxHolders]prefixHolder
	count   int // holders in use
}

// A prefixHolder records that one replica holds a prefix.
type prefixHolder struct {
	addedAt time.Time
	gaps    int // gaps in the replica's events when the record was made
	replica persimmoncart.EndpointID
}

// An eventSequence tracks the sequence numbers of one replica's cache events.
type eventSequence struct {
	gaps int    // jumps in the sequence
	last uint64 // newest sequence number; zero before the first event
}

// NewPrefixIndex returns an empty index of at most size prefixes.
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

// Apply records one cache event. A jump in the sequence means that events were
// lost, which lowers the confidence in older records of the replica.
func (p *PrefixIndex) Apply(now time.Time, replica persimmoncart.EndpointID, event persimmoncart.CacheEvent) {
	s := p.sequences[replica]
	if s.last != 0 && event.Sequence != s.last+1 {
		s.gaps++
	}
	s.last = event.Sequence
	p.sequences[replica] = s
	if event.Evicted {
		p.Remove(replica, event.Prefix)
		return
	}
	p.Add(now, replica, event.Prefix)
}

// CachedTokens returns the number of prompt tokens expected in the replica's
// cache: those of the longest recorded prefix of the prompt, scaled by the
// confidence in the record.
func (p *PrefixIndex) CachedTokens(now time.Time, replica persimmoncart.EndpointID, prefixes []uint64) int {
	var h cacheHints
	p.lookup(now, prefixes, &h)
	return h.cachedTokens(replica)
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

// RemoveReplica removes all records of a replica.
func (p *PrefixIndex) RemoveReplica(replica persimmoncart.EndpointID) {
	delete(p.sequences, replica)
	for k := range p.entries {
		p.Remove(replica, k)
	}
}

// confidence returns the confidence in a record, from 0 to 1.
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
