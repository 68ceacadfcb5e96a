package claim

import (
	"time"

	"github.com/persimmoncart/persimmoncart"
	claimv1 "github.com/persimmoncart/persimmoncart/proto/claim/v1"
)

// A bucket is a copy of the records whose keys belong to it: the head object and
// the sealed objects that the head refers to, called segments.
type bucket struct {
	head      *claimv1.Head
	headIndex map[persimmoncart.ClaimKey]*claimv1.Record            // records of the head
	segments  map[string]map[persimmoncart.ClaimKey]*claimv1.Record // by name of the segment
	version   persimmoncart.Version                                 // of the head; zero if it does not exist
}

// newBucket returns the bucket with the given head and segments.
func newBucket(head *claimv1.Head, version persimmoncart.Version, segments map[string]map[persimmoncart.ClaimKey]*claimv1.Record) *bucket {
	return &bucket{head: head, headIndex: indexRecords(head.GetRecords()), segments: segments, version: version}
}

// indexRecords returns the records by key, without those whose key has a wrong
// length.
func indexRecords(records []*claimv1.Record) map[persimmoncart.ClaimKey]*claimv1.Record {
	index := make(map[persimmoncart.ClaimKey]*claimv1.Record, len(records))
	for _, r := range records {
		if len(r.GetKey()) == len(persimmoncart.ClaimKey{}) {
			index[persimmoncart.ClaimKey(r.GetKey())] = r
		}
	}
	return index
}

// apply evaluates o against the bucket and changes the head. It reports whether
// the head has to be written.
func (b *bucket) apply(o operation, now time.Time) (operationResult, bool) {
	if o.state == persimmoncart.ClaimClaimed {
		return b.claim(o, now)
	}
	return b.settle(o, now)
}

// claim grants o unless another claim of the key is in force.
func (b *bucket) claim(o operation, now time.Time) (operationResult, bool) {
	current := b.find(o.key)
	switch {
	case current == nil:
	case DecodeNonce(current.GetNonce()) == o.nonce:
		// The same claim was sent again: it is granted if it is still open. If it
		// was settled as not run in the meantime, its claimant has abandoned it.
		return operationResult{granted: current.GetState() == claimv1.State_CLAIMED, record: current}, false
	case current.GetState() != claimv1.State_NOT_RUN:
		return operationResult{record: current}, false
	}
	b.head.Fence++
	r := &claimv1.Record{
		At:    now.Unix(),
		Fence: b.head.GetFence(),
		Key:   o.key[:],
		Nonce: EncodeNonce(o.nonce),
		State: claimv1.State_CLAIMED,
	}
	b.put(o.key, r)
	return operationResult{granted: true, record: r}, true
}

// find returns the newest record of the key, or nil if there is none.
func (b *bucket) find(key persimmoncart.ClaimKey) *claimv1.Record {
	if r, ok := b.headIndex[key]; ok {
		return r
	}
	segments := b.head.GetSegments()
	for i := len(segments) - 1; i >= 0; i-- {
		if r, ok := b.segments[segments[i].GetName()][key]; ok {
			return r
		}
	}
	return nil
}

// prune removes records and segments from before oldest and returns the names of
// the removed segments.
func (b *bucket) prune(oldest time.Time) []string {
	var dropped []string
	segments := b.head.GetSegments()[:0]
	for _, s := range b.head.GetSegments() {
		if time.Unix(s.GetNewest(), 0).Before(oldest) {
			dropped = append(dropped, s.GetName())
			continue
		}
		segments = append(segments, s)
	}
	b.head.Segments = segments
	records := b.head.GetRecords()[:0]
	for _, r := range b.head.GetRecords() {
		if time.Unix(r.GetAt(), 0).Before(oldest) {
			delete(b.headIndex, persimmoncart.ClaimKey(r.GetKey()))
			continue
		}
		records = append(records, r)
	}
	b.head.Records = records
	return dropped
}

// put makes r the newest record of the key.
func (b *bucket) put(key persimmoncart.ClaimKey, r *claimv1.Record) {
	if old, ok := b.headIndex[key]; ok {
		for i, current := range b.head.GetRecords() {
			if current == old {
				b.head.Records[i] = r
			}
		}
	} else {
		b.head.Records = append(b.head.Records, r)
	}
	b.headIndex[key] = r
}

// settle records the outcome of the call of o. If a call is settled as not run
// before its claim arrives, the claim is refused because of this record.
func (b *bucket) settle(o operation, now time.Time) (operationResult, bool) {
	current := b.find(o.key)
	switch {
	case current == nil && o.state != persimmoncart.ClaimNotRun:
		return operationResult{err: &SettlementError{Key: o.key, State: o.state}}, false
	case current != nil && DecodeNonce(current.GetNonce()) != o.nonce:
		if o.state == persimmoncart.ClaimNotRun {
			return operationResult{record: current}, false
		}
		return operationResult{err: &SettlementError{Key: o.key, State: o.state}, record: current}, false
	case current != nil && current.GetState() != claimv1.State_CLAIMED && current.GetState() != claimv1.State_UNKNOWN:
		// Only the first settlement counts, except that an unknown outcome may
		// still be replaced.
		return operationResult{record: current}, false
	}
	r := &claimv1.Record{
		Answer: EncodeResponse(o.response),
		At:     now.Unix(),
		Fence:  current.GetFence(),
		Key:    o.key[:],
		Nonce:  EncodeNonce(o.nonce),
		State:  EncodeState(o.state),
	}
	b.put(o.key, r)
	return operationResult{record: r}, true
}

// An operation is one claim or settlement.
type operation struct {
	key      persimmoncart.ClaimKey
	nonce    persimmoncart.Nonce
	response *persimmoncart.CallResponse
	state    persimmoncart.ClaimState // ClaimClaimed for a claim
}

// An operationResult is the result of a claim or settlement.
type operationResult struct {
	err     error
	granted bool            // for a claim
	record  *claimv1.Record // the key's record after the operation; nil if there is none
}
