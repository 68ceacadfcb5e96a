package policy

import (
	"errors"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/persimmoncart/persimmoncart"
)

// testStart is the time at which tests begin.
var testStart = time.Unix(1_700_000_000, 0)

// naiveReservation is an entry of a naiveLedger.
type naiveReservation struct {
	id        uint64
	replica   int
	blocks    int
	expires   time.Time
	committed bool
}

// naiveLedger is the reference: a list of reservations whose sums are computed on
// each use.
type naiveLedger []naiveReservation

func (n naiveLedger) used(replica int) (slots, blocks int) {
	for _, h := range n {
		if h.replica == replica {
			slots++
			blocks += h.blocks
		}
	}
	return slots, blocks
}

func (n naiveLedger) find(id uint64) int {
	return slices.IndexFunc(n, func(h naiveReservation) bool { return h.id == id })
}

// Guards against slots or memory that are reserved twice, not freed on release or kept
// after the expiry of a reservation, with memory that grows during the output.
func TestLedgerDifferential(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledger, now := NewLedger(), testStart
		var naive naiveLedger
		replicas := make([]*Replica, 3)
		for i := range replicas {
			replicas[i] = NewReplica(persimmoncart.Endpoint{}, rapid.IntRange(0, 4).Draw(t, "slots"), rapid.IntRange(0, 12).Draw(t, "blocks"))
		}
		id := rapid.Uint64Range(1, 12)
		blocks := rapid.IntRange(0, 6)
		t.Repeat(map[string]func(*rapid.T){
			"commit": func(t *rapid.T) {
				k := id.Draw(t, "id")
				i := naive.find(k)
				assert.Equal(t, ledger.Commit(k), i >= 0)
				if i >= 0 {
					naive[i].committed = true
				}
			},
			"expire": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "seconds")) * time.Second)
				ledger.Expire(now, func(h Reservation) { assert.Assert(t, naive.find(h.ID) >= 0) })
				naive = slices.DeleteFunc(naive, func(h naiveReservation) bool { return !h.committed && !h.expires.After(now) })
			},
			"extend": func(t *rapid.T) {
				k, expires := id.Draw(t, "id"), now.Add(4*time.Second)
				i := naive.find(k)
				assert.Equal(t, ledger.Extend(k, expires), i >= 0)
				if i >= 0 {
					naive[i].committed, naive[i].expires = false, expires
				}
			},
			"grow": func(t *rapid.T) {
				k, b := id.Draw(t, "id"), blocks.Draw(t, "blocks")
				err := ledger.Grow(k, b)
				i := naive.find(k)
				if i < 0 {
					var reservationError *ReservationError
					assert.Assert(t, errors.As(err, &reservationError))
					return
				}
				_, used := naive.used(naive[i].replica)
				assert.Equal(t, err == nil, used+b <= replicas[naive[i].replica].Blocks)
				if err == nil {
					naive[i].blocks += b
				}
			},
			"release": func(t *rapid.T) {
				k := id.Draw(t, "id")
				i := naive.find(k)
				assert.Equal(t, ledger.Release(k) != nil, i >= 0)
				if i >= 0 {
					naive = slices.Delete(naive, i, i+1)
				}
			},
			"reserve": func(t *rapid.T) {
				k, r, b := id.Draw(t, "id"), rapid.IntRange(0, 2).Draw(t, "replica"), blocks.Draw(t, "blocks")
				slots, used := naive.used(r)
				fits := naive.find(k) < 0 && slots < replicas[r].Slots && used+b <= replicas[r].Blocks
				expires := now.Add(2 * time.Second)
				assert.Equal(t, ledger.Reserve(k, replicas[r], b, expires) == nil, fits)
				if fits {
					naive = append(naive, naiveReservation{id: k, replica: r, blocks: b, expires: expires})
				}
			},
			"": func(t *rapid.T) {
				assert.Equal(t, ledger.Len(), len(naive))
				for i, r := range replicas {
					slots, used := naive.used(i)
					freeSlots, freeBlocks := r.Free()
					assert.Equal(t, freeSlots, r.Slots-slots)
					assert.Equal(t, freeBlocks, r.Blocks-used)
				}
			},
		})
	})
}
