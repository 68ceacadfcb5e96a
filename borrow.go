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
	// UpdateSlots tells the owner what became of lent slots that it lent to from.
	// Changes of unknown or expired lent slots are ignored.
	UpdateSlots(ctx context.Context, from InstanceID, changes []LoanChange) error
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

// DigestExchange exchanges digests between the local places and other instances.
type DigestExchange interface {
	// Digest returns what this instance can lend now.
	Digest() Digest
	// ReclaimSlots frees the slots lent to an instance that is proven to have ended.
	ReclaimSlots(instance InstanceID)
	// RemoveDigest drops what is known about an instance that left or is suspect.
	RemoveDigest(instance InstanceID)
	// UpdateDigest takes another instance's digest. An older sequence is ignored.
	UpdateDigest(digest Digest, distance time.Duration)
}

// A PoolDigest is the part of a Digest about one pool, model and role.
type PoolDigest struct {
	DataCentre DataCentre
	FreeBlocks int // free memory blocks
	FreeSlots  int // free slots
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
	Blocks       int // decode memory
	CachedTokens int // prompt tokens expected in the prefill replica's cache
	Endpoint     EndpointID
	ID           GrantID       // unique at the owner
	Item         int           // index in BorrowRequest.Items
	PrefillTime  time.Duration // expected prefill time from now, wait included
	Role         Role
}

// A LoanChange is one change of a lent slot.
type LoanChange struct {
	ID      GrantID
	Kind    LoanChangeKind
	Latency time.Duration // prefill time, or mean time between tokens; zero if unknown
}

// Kinds of changes of a lent slot.
const (
	LoanCommitted LoanChangeKind = iota + 1 // in use until released
	LoanReleased
)

// A LoanChangeKind is the kind of a LoanChange.
type LoanChangeKind uint8

// A UsableReplica is a replica that this instance may grant slots of.
type UsableReplica struct {
	Blocks   int // memory blocks that this instance may grant
	Endpoint EndpointID
	Owned    bool // false for a static share, which is never lent
	Slots    int  // slots that this instance may grant
}

// UsableReplicas is told which replicas this instance may use by itself.
type UsableReplicas interface {
	// SetUsable replaces the whole set. Slots in use on a replica that is no
	// longer in the set stay in use until they are released.
	SetUsable(replicas []UsableReplica)
}
