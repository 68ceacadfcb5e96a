// Package load exchanges load digests between instances, carries their loans of
// slots over the transport, and keeps control traffic within its budget. The
// instances of a cell, which is one data centre, exchange digests; cells
// exchange sums, which are the totals of their digests.
//
// internal/policy decides what to lend and borrow, behind
// persimmoncart.DigestExchange and persimmoncart.Lender.
package load

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmoncart/persimmoncart"
	loadv1 "github.com/persimmoncart/persimmoncart/proto/load/v1"
)

// A rowKey identifies one row of a digest.
type rowKey struct {
	model persimmoncart.ModelName
	pool  persimmoncart.PoolName
	role  persimmoncart.Role
}

// hash returns the hash that stands for the key in messages.
func (k rowKey) hash() uint32 {
	var b [128]byte
	s := append(b[:0], k.pool...)
	s = append(s, 0)
	s = append(s, k.model...)
	s = append(s, 0, byte(k.role))
	h := xxhash.Sum64(s)
	return binary.BigEndian.Uint32(binary.BigEndian.AppendUint64(nil, h))
}

// rowKeys returns the keys of all rows that a configuration allows, by hash.
func rowKeys(s *persimmoncart.Snapshot) map[uint32]rowKey {
	m := map[uint32]rowKey{}
	for _, p := range s.Pools {
		for _, model := range p.Models {
			for _, role := range []persimmoncart.Role{persimmoncart.RoleDecode, persimmoncart.RolePrefill} {
				k := rowKey{model, p.Name, role}
				m[k.hash()] = k
			}
		}
	}
	return m
}

// rowMessage returns the part of a digest about one pool as a message.
func rowMessage(d *persimmoncart.PoolDigest) *loadv1.Row {
	return &loadv1.Row{
		Blocks:     unsigned(d.FreeBlocks),
		Free:       unsigned(d.FreeSlots),
		Key:        rowKey{d.Model, d.Pool, d.Role}.hash(),
		Slots:      unsigned(d.Slots),
		Stragglers: unsigned(d.Stragglers),
		Wait:       milliseconds(d.Wait),
		Waiting:    unsigned(d.Waiting),
	}
}

// poolDigest returns the part of a digest that a row contains.
func poolDigest(k rowKey, r *loadv1.Row, cell persimmoncart.DataCentre, region persimmoncart.Region) persimmoncart.PoolDigest {
	return persimmoncart.PoolDigest{
		DataCentre: cell,
		FreeBlocks: int(r.GetBlocks()),
		FreeSlots:  int(r.GetFree()),
		Model:      k.model,
		Pool:       k.pool,
		Region:     region,
		Role:       k.role,
		Slots:      int(r.GetSlots()),
		Stragglers: int(r.GetStragglers()),
		Wait:       duration(r.GetWait()),
		Waiting:    int(r.GetWaiting()),
	}
}

// Largest changes of a row that are not sent: they would not change a choice.
const (
	hysteresisSlotDivisor = 10 // a tenth of the slots, for the free slots
	hysteresisWaitMs      = 20 // milliseconds, or a quarter of the wait if that is more
)

// rowChanged reports whether two versions of a row differ by more than the
// hysteresis. A change from or to zero free slots or waiting requests always
// counts.
func rowChanged(a, b *loadv1.Row) bool {
	if a == nil || b == nil || a.GetSlots() != b.GetSlots() || a.GetStragglers() != b.GetStragglers() {
		return true
	}
	if (a.GetFree() == 0) != (b.GetFree() == 0) || (a.GetWaiting() == 0) != (b.GetWaiting() == 0) {
		return true
	}
	return difference(a.GetFree(), b.GetFree()) > max(1, a.GetSlots()/hysteresisSlotDivisor) ||
		difference(a.GetWaiting(), b.GetWaiting()) > max(4, a.GetWaiting()/2) ||
		difference(a.GetWait(), b.GetWait()) > max(hysteresisWaitMs, a.GetWait()/4)
}

// difference returns |a-b|.
func difference(a, b uint32) uint32 {
	return max(a, b) - min(a, b)
}

// unsigned returns n for a message; negative values become zero.
func unsigned(n int) uint32 {
	return uint32(min(max(n, 0), 1<<31-1))
}

// milliseconds returns a duration for a message, rounded down.
func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), 1<<31-1))
}

// duration returns a duration from a message.
func duration(ms uint32) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
