package persimmoncart

import (
	"context"
	"time"
)

// A BorrowItem asks an owner for the slots of one waiting completion.
type BorrowItem struct {
	Decode  bool // a decode slot is wanted
	Prefill bool // a prefill slot is wanted
	Request ReserveRequest
}

// A BorrowRequest asks an owner for slots in one message.
//
// From and ID together identify it: a repeated request with the same values
// gets the same loan. Times in Items are local times of the receiver; the
// transport sends them as durations.
type BorrowRequest struct {
	From  InstanceID
	ID    uint64
	Items []BorrowItem
	Wait  time.Duration // how long the owner may hold the request in its queue
}

// A Digest says what an instance can lend. It is a hint and may be old.
type Digest struct {
	Instance InstanceID
	Pools    []PoolDigest // sorted by pool, model and role
	Sequence uint64       // grows with each digest of one incarnation
}

// A Lender lends slots of the replicas that it owns.
type Lender interface {
	// Lend returns slots for some or all items, in the owner's queue order. It
	// returns a loan without lent slots if there are none within request.Wait.
	Lend(ctx context.Context, request BorrowRequest) (Loan, error)
	// Settle tells the owner what became of lent slots that it lent to from.
	// Changes of unknown or expired lent slots are ignored.
	Settle(ctx context.Context, from InstanceID, changes []LoanChange) error
}

// Lenders connects to the instances that lend.
type Lenders interface {
	// Lender returns the lender at the instance.
	Lender(instance InstanceID) Lender
}

// A Loan answers a BorrowRequest.
type Loan struct {
	Digest Digest // the owner's state after the loan
	ID     uint64 // of the request
	Slots  []LentSlot
}

// Loads exchanges digests between the local places and other instances.
type Loads interface {
	// Dead frees the slots lent to an instance that is proven to have ended.
	Dead(instance InstanceID)
	// Digest returns what this instance can lend now.
	Digest() Digest
	// Forget drops what is known about an instance that left or is suspect.
	Forget(instance InstanceID)
	// Learn takes another instance's digest. An older sequence is ignored.
	Learn(digest Digest, distance time.Duration)
}

// A PoolDigest is the part of a Digest about one pool, model and role.
type PoolDigest struct {
	Blocks     int // free memory blocks
	DataCentre DataCentre
	Free       int // free slots
	Model      ModelName
	Pool       PoolName
	Region     Region
	Role       Role
	Slots      int           // all slots
	Stragglers int           // replicas of lowered weight
	Wait       time.Duration // expected time to prefill 4,096 tokens; zero for decode
	Waiting    int           // requests that wait in the owner's queue
}

// A LentSlot is one slot that an owner lent.
type LentSlot struct {
	Blocks   int // decode memory
	Cached   int // prompt tokens expected in the prefill replica's cache
	Endpoint EndpointID
	First    time.Duration // expected prefill time from now, wait included
	ID       GrantID       // unique at the owner
	Item     int           // index in BorrowRequest.Items
	Role     Role
}

// A LoanChange is one change of a lent slot.
type LoanChange struct {
	ID   GrantID
	Kind LoanChangeKind
	Took time.Duration // prefill time, or mean time between tokens; zero if unknown
}

// Kinds of changes of a lent slot.
const (
	LoanCommitted LoanChangeKind = iota + 1 // in use until released
	LoanReleased
)

// A LoanChangeKind is the kind of a LoanChange.
type LoanChangeKind uint8

// A Usable is a replica that this instance may grant slots of.
type Usable struct {
	Blocks   int // memory blocks that this instance may grant
	Endpoint EndpointID
	Owned    bool // false for a static share, which is never lent
	Slots    int  // slots that this instance may grant
}

// Usables is told which replicas this instance may use by itself.
type Usables interface {
	// SetUsable replaces the whole set. Slots in use on a replica that is no
	// longer in the set stay in use until they are released.
	SetUsable(replicas []Usable)
}
