package load

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/peer"
	loadv1 "github.com/persimmoncart/persimmoncart/proto/load/v1"
)

const (
	maxBorrowItems = 256             // limit of items in one borrow; further items are ignored
	maxBorrowWait  = time.Second     // longest time for which a borrow may wait at the owner
	maxReplies     = 4096            // limit of replies kept for repeated borrows; the oldest are dropped first
	replyTTL       = 2 * time.Second // time for which a reply is kept, as long as a lent slot stays reserved without a commit
)

var _ peer.Handler = (*Handler)(nil)

// A Handler serves borrows of other instances from the local slot allocator.
// Set the fields before the first request. It is safe for concurrent use.
type Handler struct {
	Configuration persimmoncart.Configuration
	Lender        persimmoncart.Lender
	Spawn         func(func()) // runs calls that block; nil starts a goroutine
	Timer         persimmoncart.Timer

	borrowOrder []borrowKey // oldest first
	borrows     map[borrowKey]*borrowState
	mutex       sync.Mutex
}

// A borrowKey identifies a borrow, so that a repeated one gets the same lent
// slots.
type borrowKey struct {
	from string
	id   uint64
}

// A borrowState is a received borrow and its reply.
type borrowState struct {
	receivedAt time.Time
	reply      *loadv1.BorrowReply          // nil until the local slot allocator replies
	responders []func(proto.Message, error) // calls that wait for the reply
}

// Handle implements peer.Handler.
func (h *Handler) Handle(request proto.Message, respond func(proto.Message, error)) {
	switch r := request.(type) {
	case *loadv1.BorrowRequest:
		h.updateSlots(r.GetFrom(), changesFromMessages(r.GetPrefix(), r.GetChanges()), func(error) {})
		h.borrow(r, respond)
	case *loadv1.ReturnRequest:
		h.updateSlots(r.GetFrom(), changesFromMessages(r.GetPrefix(), r.GetChanges()), func(err error) { respond(&loadv1.ReturnReply{}, err) })
	default:
		respond(nil, &peer.UnknownRequestError{Name: string(request.ProtoReflect().Descriptor().FullName())})
	}
}

// borrow passes a borrow to the local slot allocator once, and answers repeats
// of it with the same reply.
func (h *Handler) borrow(r *loadv1.BorrowRequest, respond func(proto.Message, error)) {
	now := h.Timer.Now()
	k := borrowKey{from: r.GetFrom(), id: r.GetId()}
	h.mutex.Lock()
	h.dropExpired(now)
	if b := h.borrows[k]; b != nil {
		reply := b.reply
		if reply == nil {
			b.responders = append(b.responders, respond)
		}
		h.mutex.Unlock()
		if reply != nil {
			respond(reply, nil)
		}
		return
	}
	b := &borrowState{receivedAt: now, responders: []func(proto.Message, error){respond}}
	if h.borrows == nil {
		h.borrows = map[borrowKey]*borrowState{}
	}
	h.borrows[k] = b
	h.borrowOrder = append(h.borrowOrder, k)
	h.mutex.Unlock()
	request := persimmoncart.BorrowRequest{
		From: persimmoncart.InstanceID(r.GetFrom()),
		ID:   r.GetId(),
		Wait: min(duration(r.GetWait()), maxBorrowWait),
	}
	keys := rowKeys(h.Configuration.Snapshot())
	for _, i := range r.GetItems()[:min(maxBorrowItems, len(r.GetItems()))] {
		request.Items = append(request.Items, itemFromMessage(now, i, keys))
	}
	h.spawn(func() {
		ctx, cancel := context.WithTimeout(context.Background(), request.Wait+callTimeout)
		defer cancel()
		loan, err := h.Lender.Lend(ctx, request)
		if err != nil {
			loan = persimmoncart.Loan{ID: request.ID}
		}
		reply := loanMessage(&loan)
		if len(reply.GetSlots()) >= len(request.Items) {
			reply.Digest = nil // not needed by a borrower that got slots for all items
		}
		h.finish(b, reply)
	})
}

// finish sends the reply to all callers that wait for a borrow.
func (h *Handler) finish(b *borrowState, reply *loadv1.BorrowReply) {
	h.mutex.Lock()
	b.reply = reply
	responders := b.responders
	b.responders = nil
	h.mutex.Unlock()
	for _, respond := range responders {
		respond(reply, nil)
	}
}

// dropExpired drops replies older than replyTTL and, at maxReplies, the oldest
// ones. The caller holds mutex.
func (h *Handler) dropExpired(now time.Time) {
	for len(h.borrowOrder) > 0 && (now.Sub(h.borrows[h.borrowOrder[0]].receivedAt) > replyTTL || len(h.borrowOrder) >= maxReplies) {
		delete(h.borrows, h.borrowOrder[0])
		h.borrowOrder = h.borrowOrder[1:]
	}
}

// updateSlots reports changes of lent slots to the local slot allocator.
func (h *Handler) updateSlots(from string, changes []persimmoncart.LoanChange, done func(error)) {
	if len(changes) == 0 {
		done(nil)
		return
	}
	h.spawn(func() {
		done(h.Lender.UpdateSlots(context.Background(), persimmoncart.InstanceID(from), changes))
	})
}

// spawn runs f with Spawn or in a goroutine.
func (h *Handler) spawn(f func()) {
	if h.Spawn != nil {
		h.Spawn(f)
		return
	}
	go f()
}
