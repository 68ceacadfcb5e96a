package policy

import (
	"container/heap"
	"fmt"
	"time"
)

// A Ledger keeps exact books of the slots and memory blocks of replicas.
//
// A holding is reserved until it expires, or committed until it is released.
type Ledger struct {
	expiring     expiryHeap
	reservations map[uint64]*Reservation
	free         []*Reservation // reused, so that steady operation allocates nothing
}

// A Reservation is what one request holds on one replica.
type Reservation struct {
	Blocks  int
	Expires time.Time // zero once committed
	ID      uint64
	Replica *Replica

	index int // position in the heap; negative if it does not expire
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{reservations: make(map[uint64]*Reservation)}
}

// Commit keeps the holding until it is released. It reports whether it exists.
func (l *Ledger) Commit(id uint64) bool {
	res, found := l.reservations[id]
	if !found {
		return false
	}
	if res.index >= 0 {
		heap.Remove(&l.expiring, res.index)
	}
	res.Expires = time.Time{}
	return true
}

// Extend moves the expiry of a holding, committed or not. It reports whether the
// holding exists.
func (l *Ledger) Extend(id uint64, expires time.Time) bool {
	res, found := l.reservations[id]
	if !found {
		return false
	}
	if res.index >= 0 {
		heap.Remove(&l.expiring, res.index)
	}
	res.Expires = expires
	heap.Push(&l.expiring, res)
	return true
}

// Expire releases every reservation that is due and calls f with its holding,
// which is valid during the call only.
func (l *Ledger) Expire(now time.Time, f func(Reservation)) {
	for len(l.expiring) > 0 && !l.expiring[0].Expires.After(now) {
		res := *l.expiring[0]
		l.Release(res.ID)
		f(res)
	}
}

// Grow adds blocks to a holding during its output. It returns a *FullError if
// the replica has not that many.
func (l *Ledger) Grow(id uint64, blocks int) error {
	res, found := l.reservations[id]
	if !found {
		return &ReservationError{ID: id}
	}
	if _, free := res.Replica.Free(); free < blocks {
		return &FullError{Blocks: blocks, Replica: string(res.Replica.Endpoint.ID)}
	}
	res.Blocks += blocks
	res.Replica.usedBlocks += blocks
	return nil
}

// Len returns the number of holdings.
func (l *Ledger) Len() int { return len(l.reservations) }

// NextExpiry returns when the next reservation expires; zero if none does.
func (l *Ledger) NextExpiry() time.Time {
	if len(l.expiring) == 0 {
		return time.Time{}
	}
	return l.expiring[0].Expires
}

// Release frees the holding and returns its replica, or nil if there is none.
func (l *Ledger) Release(id uint64) *Replica {
	res, found := l.reservations[id]
	if !found {
		return nil
	}
	if res.index >= 0 {
		heap.Remove(&l.expiring, res.index)
	}
	delete(l.reservations, id)
	r := res.Replica
	r.usedSlots--
	r.usedBlocks -= res.Blocks
	res.Replica = nil
	l.free = append(l.free, res)
	return r
}

// Reserve takes one slot and blocks memory blocks of the replica until expires.
// It returns a *FullError if the replica has not that much.
func (l *Ledger) Reserve(id uint64, r *Replica, blocks int, expires time.Time) error {
	if _, found := l.reservations[id]; found {
		return &ReservationError{ID: id}
	}
	if slots, free := r.Free(); slots < 1 || free < blocks {
		return &FullError{Blocks: blocks, Replica: string(r.Endpoint.ID)}
	}
	res := l.allocate()
	*res = Reservation{Blocks: blocks, Expires: expires, ID: id, Replica: r}
	l.reservations[id] = res
	heap.Push(&l.expiring, res)
	r.usedSlots++
	r.usedBlocks += blocks
	return nil
}

// allocate returns a spare or new holding.
func (l *Ledger) allocate() *Reservation {
	if n := len(l.free); n > 0 {
		res := l.free[n-1]
		l.free = l.free[:n-1]
		return res
	}
	return &Reservation{}
}

// A FullError reports a replica without the wanted slot or memory.
type FullError struct {
	Blocks  int
	Replica string
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("replica %s has no slot with %d blocks", e.Replica, e.Blocks)
}

// A ReservationError reports a holding that is unknown or already there.
type ReservationError struct {
	ID uint64
}

// Error implements error.
func (e *ReservationError) Error() string {
	return fmt.Sprintf("holding %d is unknown or exists already", e.ID)
}

// A expiryHeap orders reservations by expiry.
type expiryHeap []*Reservation

// Len implements heap.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h expiryHeap) Less(i, j int) bool { return h[i].Expires.Before(h[j].Expires) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	e.index = -1
	return e
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	e := x.(*Reservation)
	e.index = len(*h)
	*h = append(*h, e)
}

// Swap implements heap.Interface.
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
