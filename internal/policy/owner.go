package policy

import (
	"math/rand/v2"
	"time"
)

// Constants of borrowing.
const (
	// DefaultBorrowItems is the most items in one borrow message.
	DefaultBorrowItems = 16
	// ownerChoices is the d of the power of d choices. More choices make
	// instances with the same old digests choose the same owner.
	ownerChoices = 3
)

// An OwnerLoad is what a digest says about one owner for one role.
type OwnerLoad struct {
	Distance time.Duration // one way
	Free     int
	Slots    int
	Wait     time.Duration
	Waiting  int
}

// BorrowSize returns how many items to ask for: as many as wait and are not
// asked for yet, but at most limit.
func BorrowSize(waiting, requested, limit int) int {
	return min(max(waiting-requested, 0), limit)
}

// ChooseOwner returns the index of the best of d owners chosen at random, or -1
// if there is none. An owner with free slots is better than one without, then
// the shorter wait counts, then the larger share of free slots.
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

// betterOwner reports whether a is the better owner to borrow from.
func betterOwner(a, b *OwnerLoad) bool {
	if (a.Free > 0) != (b.Free > 0) {
		return a.Free > 0
	}
	if wa, wb := a.Wait+2*a.Distance, b.Wait+2*b.Distance; wa != wb {
		return wa < wb
	}
	return (a.Free-a.Waiting)*b.Slots > (b.Free-b.Waiting)*a.Slots
}
