package load

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/peer"
	loadv1 "github.com/persimmoncart/persimmoncart/proto/load/v1"
)

const (
	callTimeout    = 250 * time.Millisecond // timeout of a reply, added to the time for which a borrow may wait at the owner
	changeDelay    = 500 * time.Millisecond // time for which changes wait for a borrow to the same owner, near the budget
	maxBorrowDelay = 20 * time.Millisecond  // limit of the pause before a borrow; the caller's own timeout leaves no more
	updateAttempts = 3                      // calls of UpdateSlots; a lost commit would let a lent slot expire while in use
)

var _ persimmoncart.Lenders = (*Lenders)(nil)

// Lenders provides clients of the instances that lend slots. Set the fields
// before the first call. It is safe for concurrent use.
type Lenders struct {
	Exchange  *Exchange // converts the digests in loans; its Members provides the addresses
	Governor  *Governor // delays borrows and changes near the budget; nil delays none
	Timer     persimmoncart.Timer
	Transport peer.Transport

	mutex          sync.Mutex
	pendingChanges map[persimmoncart.InstanceID][]persimmoncart.LoanChange // by owner: changes that wait for the next message
}

// Lender implements persimmoncart.Lenders.
func (l *Lenders) Lender(instance persimmoncart.InstanceID) persimmoncart.Lender {
	return &remoteLender{id: instance, lenders: l}
}

// A remoteLender is the client of one instance that lends slots.
type remoteLender struct {
	id      persimmoncart.InstanceID
	lenders *Lenders
}

// Lend implements persimmoncart.Lender.
func (r *remoteLender) Lend(ctx context.Context, request persimmoncart.BorrowRequest) (persimmoncart.Loan, error) {
	l := r.lenders
	if d := min(l.Governor.BorrowDelay(), maxBorrowDelay); d > 0 {
		if err := l.Timer.Sleep(ctx, d); err != nil {
			return persimmoncart.Loan{}, errors.Wrapf(err, "borrow from %s", r.id)
		}
	}
	owner, err := l.member(r.id)
	if err != nil {
		return persimmoncart.Loan{}, err
	}
	now := l.Timer.Now()
	changes := l.takePendingChanges(r.id)
	message := &loadv1.BorrowRequest{From: string(request.From), Id: request.ID, Wait: milliseconds(request.Wait)}
	message.Prefix, message.Changes = changeMessages(changes)
	for i := range request.Items {
		message.Items = append(message.Items, itemMessage(now, &request.Items[i]))
	}
	reply, err := call(ctx, l.Transport, owner, message, request.Wait+callTimeout)
	if err != nil {
		l.addPendingChanges(r.id, changes)
		return persimmoncart.Loan{}, errors.Wrapf(err, "borrow from %s", r.id)
	}
	borrowReply := reply.(*loadv1.BorrowReply)
	loan := persimmoncart.Loan{ID: request.ID, Slots: slotsFromMessage(borrowReply)}
	if d := borrowReply.GetDigest(); d.GetSequence() > 0 {
		rows := map[uint32]*loadv1.Row{}
		for _, row := range d.GetRows() {
			rows[row.GetKey()] = row
		}
		x := l.Exchange
		x.Members.Lock.Lock()
		defer x.Members.Lock.Unlock()
		loan.Digest = x.digestOfRows(r.id, d.GetSequence(), rows, owner.DataCentre, owner.Region)
	}
	return loan, nil
}

// UpdateSlots implements persimmoncart.Lender. Near the budget, changes wait
// for a borrow that carries them to the owner, for a time well within the life
// of a lent slot.
func (r *remoteLender) UpdateSlots(ctx context.Context, from persimmoncart.InstanceID, changes []persimmoncart.LoanChange) error {
	l := r.lenders
	if l.Governor.BorrowDelay() > 0 {
		l.addPendingChanges(r.id, changes)
		if err := l.Timer.Sleep(ctx, changeDelay); err != nil {
			return errors.Wrapf(err, "update slots lent by %s", r.id)
		}
		if changes = l.takePendingChanges(r.id); len(changes) == 0 {
			return nil
		}
	}
	owner, err := l.member(r.id)
	if err != nil {
		return err
	}
	message := &loadv1.ReturnRequest{From: string(from)}
	message.Prefix, message.Changes = changeMessages(changes)
	for try := 1; ; try++ {
		_, err := call(ctx, l.Transport, owner, message, callTimeout)
		if err == nil {
			return nil
		}
		if try == updateAttempts || ctx.Err() != nil {
			return errors.Wrapf(err, "update slots lent by %s", r.id)
		}
	}
}

// member returns a member that is not dead. The error is an
// UnknownInstanceError.
func (l *Lenders) member(id persimmoncart.InstanceID) (persimmoncart.Instance, error) {
	members := l.Exchange.Members
	members.Lock.Lock()
	defer members.Lock.Unlock()
	m, found := members.Machine.Member(id)
	if !found || m.State == persimmoncart.MemberDead {
		return persimmoncart.Instance{}, &UnknownInstanceError{ID: id}
	}
	return m.Instance, nil
}

// addPendingChanges keeps changes for the next message to an owner.
func (l *Lenders) addPendingChanges(owner persimmoncart.InstanceID, changes []persimmoncart.LoanChange) {
	if len(changes) == 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.pendingChanges == nil {
		l.pendingChanges = map[persimmoncart.InstanceID][]persimmoncart.LoanChange{}
	}
	l.pendingChanges[owner] = append(l.pendingChanges[owner], changes...)
}

// takePendingChanges returns and removes the changes kept for an owner.
func (l *Lenders) takePendingChanges(owner persimmoncart.InstanceID) []persimmoncart.LoanChange {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	c := l.pendingChanges[owner]
	delete(l.pendingChanges, owner)
	return c
}

// call sends a request and waits for its reply or for the end of ctx.
func call(ctx context.Context, t peer.Transport, to persimmoncart.Instance, request proto.Message, timeout time.Duration) (proto.Message, error) {
	type result struct {
		err   error
		reply proto.Message
	}
	results := make(chan result, 1)
	t.Call(to.Addr, request, timeout, func(reply proto.Message, err error) { results <- result{err, reply} })
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case r := <-results:
		return r.reply, r.err
	}
}

// An UnknownInstanceError reports an instance that is no member, or is dead.
type UnknownInstanceError struct {
	ID persimmoncart.InstanceID
}

// Error implements error.
func (e *UnknownInstanceError) Error() string {
	return "unknown instance " + string(e.ID)
}
