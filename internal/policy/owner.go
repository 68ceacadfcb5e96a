package policy

import (
	"math/rand/v2"
	"time"
)

const (
	// DefaultBorrowItems is the largest number of items in one borrow message.
	DefaultBorrowItems = 16
	// ownerChoices is how many random owners a choice compares ("power of d choices").
	// With more, instances with the same old digests would choose the same owner.
	ownerChoices = 3
)

// An OwnerLoad is the load of one owner for one role, according to its digest.
type OwnerLoad struct {
	FreeSlots      int
	NetworkLatency time.Duration // one way
	Slots          int           // all slots
	Wait           time.Duration // expected prefill wait
	Waiting        int           // requests in its queue
}

// BorrowSize returns the number of items to borrow: one for each waiting request that
// is not in a borrow, but at most limit.
func BorrowSize(waiting, requested, limit int) int {
	return min(max(waiting-requested, 0), limit)
}

// ChooseOwner returns the index of the best of d owners chosen at random, or -1 if
// there is none. An owner with free slots is better than one without; then the
// shorter wait decides, then the larger share of free slots.
func ChooseOwner(random *rand.Rand, owners []OwnerLoad, d int) int {
	best := -1
	if len(owners) <= d {
		for i := range owners {
			if best < 0 || betterOwner(&owners[i], &owners[best]) {
				best = i
			}
		}
		return best
	}
	for range d {
		if i := random.IntN(len(owners)); best < 0 || betterOwner(&owners[i], &owners[best]) {
			best = i
		}
	}
	return best
}

// betterOwner reports whether a is better to borrow from than b.
func betterOwner(a, b *OwnerLoad) bool {
	if (a.FreeSlots > 0) != (b.FreeSlots > 0) {
		return a.FreeSlots > 0
	}
	if wa, wb := a.Wait+2*a.NetworkLatency, b.Wait+2*b.NetworkLatency; wa != wb {
		return wa < wb
	}
	return (a.FreeSlots-a.Waiting)*b.Slots > (b.FreeSlots-b.Waiting)*a.Slots
}
