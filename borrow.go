package persimmoncart

import (
	"context"
	"time"
)

// A BorrowItem requests the slots of one waiting completion from the owner of
// replicas.
type BorrowItem struct {
	Decode  bool // requests a decode slot
	Prefill bool // requests a prefill slot
	Request ReserveRequest
}

// A BorrowRequest requests the slots of several completions from the owner of
// replicas.
//
// From and ID together identify it: a repeated request with the same values
// gets the same loan. The times in Items are in the receiver's local clock; the
// transport sends them as durations.
type BorrowRequest struct {
	From  InstanceID
	ID    uint64
	Items []BorrowItem
	Wait  time.Duration // longest time that the owner may queue the request
}

// A Digest summarises the slots that an instance can lend. It may be out of date.
type Digest struct {
	Instance InstanceID
	Pools    []PoolDigest // sorted by pool, model and role
	Sequence uint64       // increases with each digest of one incarnation
}

// A Lender is an instance that lends slots of the replicas that it owns.
type Lender interface {
	// Lend returns slots for some or all items, in the order of the owner's queue.
	// The loan is empty if no slot becomes free within request.Wait.
	Lend(ctx context.Context, request BorrowRequest) (Loan, error)
	// UpdateSlots reports to the owner the changes of slots that it lent to the
	// instance from. Changes of unknown or expired slots are ignored.
	UpdateSlots(ctx context.Context, from InstanceID, changes []LoanChange) error
}

// Lenders provides clients of the instances that lend slots.
type Lenders interface {
	// Lender returns the client of the instance.
	Lender(instance InstanceID) Lender
}

// A Loan is the reply to a BorrowRequest.
type Loan struct {
	Digest Digest // the owner's state after the loan
	ID     uint64 // identifier of the request
	Slots  []LentSlot
}

// A DigestExchange is the part of a slot allocator that produces the digest of
// this instance and receives those of other instances.
type DigestExchange interface {
	// Digest returns the digest of the slots that this instance can lend now.
	Digest() Digest
	// ReclaimSlots frees the slots lent to an instance that is proven to have ended.
	ReclaimSlots(instance InstanceID)
	// RemoveDigest removes the digest of an instance that left or is suspect.
	RemoveDigest(instance InstanceID)
	// UpdateDigest stores the digest of another instance and the one-way network
	// latency to it. A digest with an older sequence number is ignored.
	UpdateDigest(digest Digest, networkLatency time.Duration)
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
	Stragglers int           // slow replicas, which have a lowered weight
	Wait       time.Duration // expected time to prefill 4,096 tokens, queueing included; zero for decode
	Waiting    int           // requests in the owner's queue
}

// A LentSlot is one slot of a loan.
type LentSlot struct {
	Blocks       int // decode memory in blocks
	CachedTokens int // prompt tokens expected in the prefill replica's cache
	Endpoint     EndpointID
	ID           GrantID       // unique for the owner
	Item         int           // index in BorrowRequest.Items
	PrefillTime  time.Duration // expected time until the prefill ends, queueing included
	Role         Role
}

// A LoanChange is one change of the state of a lent slot.
type LoanChange struct {
	ID      GrantID
	Kind    LoanChangeKind
	Latency time.Duration // prefill time, or mean time between tokens of a decode; zero if unknown
}

// Kinds of changes of a lent slot.
const (
	LoanCommitted LoanChangeKind = iota + 1 // the slot stays in use until it is released
	LoanReleased
)

// A LoanChangeKind is the kind of a LoanChange.
type LoanChangeKind uint8

// A UsableReplica is a replica whose slots this instance may grant without
// asking another instance.
type UsableReplica struct {
	Blocks   int // memory blocks that this instance may grant
	Endpoint EndpointID
	Owned    bool // false for a static share of a replica, which is never lent
	Slots    int  // slots that this instance may grant
}

// UsableReplicas receives the set of usable replicas of this instance.
type UsableReplicas interface {
	// SetUsable replaces the whole set. Slots in use on a replica that is no
	// longer in the set stay in use until they are released.
	SetUsable(replicas []UsableReplica)
}
