package policy

import (
	"container/heap"
	"fmt"
	"time"
)

// A Ledger accounts for the slots and memory blocks of replicas.
//
// A reservation lasts until it expires or, once committed, until it is released.
type Ledger struct {
	expiring     expiryHeap
	free         []*Reservation // for reuse, so that steady operation does not allocate memory
	reservations map[uint64]*Reservation
}

// A Reservation is a slot and memory of one replica reserved for one request.
type Reservation struct {
	Blocks  int       // memory blocks
	Expires time.Time // zero once committed
	ID      uint64
	Replica *Replica

	index int // in the heap; negative if it does not expire
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{reservations: make(map[uint64]*Reservation)}
}

// Commit keeps a reservation until it is released. It reports whether the
// reservation exists.
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

// Extend sets a new expiry of a reservation, committed or not. It reports whether the
// reservation exists.
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

// Expire releases every reservation that has expired and calls f with it.
func (l *Ledger) Expire(now time.Time, f func(Reservation)) {
	for len(l.expiring) > 0 && !l.expiring[0].Expires.After(now) {
		res := *l.expiring[0]
		l.Release(res.ID)
		f(res)
	}
}

// Grow adds memory blocks to a reservation while its output grows. It returns a
// *FullError if the replica has too few, and a *ReservationError if the reservation
// is unknown.
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

// Len returns the number of reservations.
func (l *Ledger) Len() int { return len(l.reservations) }

// NextExpiry returns when the next reservation expires, or zero if none does.
func (l *Ledger) NextExpiry() time.Time {
	if len(l.expiring) == 0 {
		return time.Time{}
	}
	return l.expiring[0].Expires
}

// Release frees a reservation and returns its replica, or nil if there is none.
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

// Reserve reserves one slot and a number of memory blocks of the replica until
// expires. It returns a *FullError if the replica has too few, and a
// *ReservationError if the identifier is in use.
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

// allocate returns a reused or new reservation.
func (l *Ledger) allocate() *Reservation {
	if n := len(l.free); n > 0 {
		res := l.free[n-1]
		l.free = l.free[:n-1]
		return res
	}
	return &Reservation{}
}

// A FullError reports a replica without the requested slot or memory.
type FullError struct {
	Blocks  int // that were requested
	Replica string
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("replica %s has no free slot with %d memory blocks", e.Replica, e.Blocks)
}

// A ReservationError reports a reservation that is unknown or exists already.
type ReservationError struct {
	ID uint64
}

// Error implements error.
func (e *ReservationError) Error() string {
	return fmt.Sprintf("reservation %d is unknown or exists already", e.ID)
}

// An expiryHeap orders reservations by expiry.
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
