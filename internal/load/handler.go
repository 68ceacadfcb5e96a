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
	answerLife = 2 * time.Second // as long as a lent slot that nobody commits
	maxAnswers = 4096            // borrows remembered; older ones are forgotten first
	maxItems   = 256             // in one borrow
	maxWait    = time.Second     // that a borrow may ask the owner to hold it
)

var _ peer.Handler = (*Handler)(nil)

// A Handler serves borrows of other instances from the local slot allocator. Set
// the fields before the first request. It is safe for concurrent use.
type Handler struct {
	Configuration persimmoncart.Configuration
	Lender        persimmoncart.Lender
	Spawn         func(func()) // runs calls that wait; nil starts a goroutine
	Timer         persimmoncart.Timer

	answers map[borrowKey]*answer
	mutex   sync.Mutex
	order   []borrowKey // oldest first
}

// A borrowKey identifies a borrow, so that a repeat gets the same lent slots.
type borrowKey struct {
	from string
	id   uint64
}

// An answer is the answer to one borrow.
type answer struct {
	at      time.Time
	reply   *loadv1.BorrowReply // nil until the local slot allocator replies
	waiting []func(proto.Message, error)
}

// Handle implements peer.Handler.
func (h *Handler) Handle(request proto.Message, respond func(proto.Message, error)) {
	switch r := request.(type) {
	case *loadv1.BorrowRequest:
		h.settle(r.GetFrom(), changesFrom(r.GetPrefix(), r.GetChanges()), func(error) {})
		h.borrow(r, respond)
	case *loadv1.ReturnRequest:
		h.settle(r.GetFrom(), changesFrom(r.GetPrefix(), r.GetChanges()), func(err error) { respond(&loadv1.ReturnReply{}, err) })
	default:
		respond(nil, &peer.UnknownRequestError{Name: string(request.ProtoReflect().Descriptor().FullName())})
	}
}

// borrow answers a borrow once, and repeats of it with the same answer.
func (h *Handler) borrow(r *loadv1.BorrowRequest, respond func(proto.Message, error)) {
	now := h.Timer.Now()
	k := borrowKey{from: r.GetFrom(), id: r.GetId()}
	h.mutex.Lock()
	h.forget(now)
	if a := h.answers[k]; a != nil {
		reply := a.reply
		if reply == nil {
			a.waiting = append(a.waiting, respond)
		}
		h.mutex.Unlock()
		if reply != nil {
			respond(reply, nil)
		}
		return
	}
	a := &answer{at: now, waiting: []func(proto.Message, error){respond}}
	if h.answers == nil {
		h.answers = map[borrowKey]*answer{}
	}
	h.answers[k] = a
	h.order = append(h.order, k)
	h.mutex.Unlock()
	request := persimmoncart.BorrowRequest{
		From: persimmoncart.InstanceID(r.GetFrom()),
		ID:   r.GetId(),
		Wait: min(duration(r.GetWait()), maxWait),
	}
	names := keys(h.Configuration.Snapshot())
	for _, i := range r.GetItems()[:min(maxItems, len(r.GetItems()))] {
		request.Items = append(request.Items, itemFrom(now, i, names))
	}
	h.spawn(func() {
		ctx, cancel := context.WithTimeout(context.Background(), request.Wait+borrowTimeout)
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
func (h *Handler) finish(a *answer, reply *loadv1.BorrowReply) {
	h.mutex.Lock()
	a.reply = reply
	waiting := a.waiting
	a.waiting = nil
	h.mutex.Unlock()
	for _, respond := range waiting {
		respond(reply, nil)
	}
}

// forget drops old answers; the mutex is held.
func (h *Handler) forget(now time.Time) {
	for len(h.order) > 0 && (now.Sub(h.answers[h.order[0]].at) > answerLife || len(h.order) >= maxAnswers) {
		delete(h.answers, h.order[0])
		h.order = h.order[1:]
	}
}

// settle passes changes of lent slots to the local slot allocator.
func (h *Handler) settle(from string, changes []persimmoncart.LoanChange, done func(error)) {
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
