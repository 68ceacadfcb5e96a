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
	maxBorrowItems = 256             // in one borrow
	maxBorrowWait  = time.Second     // that a borrow may ask the owner to hold it
	maxReplies     = 4096            // borrows remembered; older ones are forgotten first
	replyTTL       = 2 * time.Second // as long as a lent slot that nobody commits
)

var _ peer.Handler = (*Handler)(nil)

// A Handler serves borrows of other instances from the local slot allocator. Set
// the fields before the first request. It is safe for concurrent use.
type Handler struct {
	Configuration persimmoncart.Configuration
	Lender        persimmoncart.Lender
	Spawn         func(func()) // runs calls that wait; nil starts a goroutine
	Timer         persimmoncart.Timer

	borrowOrder []borrowKey // oldest first
	borrows     map[borrowKey]*borrowState
	mutex       sync.Mutex
}

// A borrowKey identifies a borrow, so that a repeat gets the same lent slots.
type borrowKey struct {
	from string
	id   uint64
}

// A borrowState is one borrow with its reply.
type borrowState struct {
	receivedAt time.Time
	reply      *loadv1.BorrowReply // nil while the local slot allocator works on it
	responders []func(proto.Message, error)
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

// borrow answers a borrow once, and repeats of it with the same answer.
func (h *Handler) borrow(r *loadv1.BorrowRequest, respond func(proto.Message, error)) {
	now := h.Timer.Now()
	k := borrowKey{from: r.GetFrom(), id: r.GetId()}
	h.mutex.Lock()
	h.dropExpired(now)
	if a := h.borrows[k]; a != nil {
		reply := a.reply
		if reply == nil {
			a.responders = append(a.responders, respond)
		}
		h.mutex.Unlock()
		if reply != nil {
			respond(reply, nil)
		}
		return
	}
	a := &borrowState{receivedAt: now, responders: []func(proto.Message, error){respond}}
	if h.borrows == nil {
		h.borrows = map[borrowKey]*borrowState{}
	}
	h.borrows[k] = a
	h.borrowOrder = append(h.borrowOrder, k)
	h.mutex.Unlock()
	request := persimmoncart.BorrowRequest{
		From: persimmoncart.InstanceID(r.GetFrom()),
		ID:   r.GetId(),
		Wait: min(duration(r.GetWait()), maxBorrowWait),
	}
	names := rowKeys(h.Configuration.Snapshot())
	for _, i := range r.GetItems()[:min(maxBorrowItems, len(r.GetItems()))] {
		request.Items = append(request.Items, itemFromMessage(now, i, names))
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
			reply.Digest = nil // tells the borrower nothing that it needs now
		}
		h.finish(a, reply)
	})
}

// finish answers everyone who waits for a borrow.
func (h *Handler) finish(a *borrowState, reply *loadv1.BorrowReply) {
	h.mutex.Lock()
	a.reply = reply
	waiting := a.responders
	a.responders = nil
	h.mutex.Unlock()
	for _, respond := range waiting {
		respond(reply, nil)
	}
}

// dropExpired drops old answers; the mutex is held.
func (h *Handler) dropExpired(now time.Time) {
	for len(h.borrowOrder) > 0 && (now.Sub(h.borrows[h.borrowOrder[0]].receivedAt) > replyTTL || len(h.borrowOrder) >= maxReplies) {
		delete(h.borrows, h.borrowOrder[0])
		h.borrowOrder = h.borrowOrder[1:]
	}
}

// updateSlots passes changes of lent slots to the local slot allocator.
func (h *Handler) updateSlots(from string, changes []persimmoncart.LoanChange, done func(error)) {
	if len(changes) == 0 {
		done(nil)
		return
	}
	h.spawn(func() {
		done(h.Lender.UpdateSlots(context.Background(), persimmoncart.InstanceID(from), changes))
	})
}

// spawn runs f.
func (h *Handler) spawn(f func()) {
	if h.Spawn != nil {
		h.Spawn(f)
		return
	}
	go f()
}
