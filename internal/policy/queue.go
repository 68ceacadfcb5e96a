package policy

import (
	"cmp"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// BatchShare is the share of the served cost that batch requests are guaranteed
	// while both classes wait.
	BatchShare = 0.2
	// fairSlack is how far an account may be ahead of its fair share, in tokens at
	// weight 1, before its requests wait behind those of others.
	fairSlack = 4000
)

// An Item is one request in the admission queue.
type Item struct {
	Account     persimmoncart.AccountID
	Class       persimmoncart.Class
	Cost        float64   // in output tokens, prompt tokens converted
	Due         time.Time // deadline of the first token for interactive requests, of the whole response for batch
	ID          uint64
	LatestStart time.Time // last time at which serving it still meets its deadlines
	Weight      int       // of the account

	sequence uint64  // order of arrival
	startTag float64 // from FairShares
}

// A Queue orders waiting requests.
//
// Interactive requests go before batch requests, which have a guaranteed share of
// BatchShare. Within a class, requests of accounts within their fair share go first
// in the order of their due times; the others follow in the order of their start
// tags.
type Queue struct {
	batch       []*Item
	batchCredit float64 // cost that batch requests may use before interactive ones
	interactive []*Item
	limit       int // requests of both classes
	sequence    uint64
	shares      *FairShares
	sorted      bool    // false until the first sort
	virtualTime float64 // virtual time of the last sort
}

// NewQueue returns a queue of at most limit requests.
func NewQueue(limit int) *Queue {
	return &Queue{shares: NewFairShares(DefaultMaxFairAccounts), limit: limit}
}

// Ahead returns the number of waiting requests that go before a new request of the
// given class and due time.
func (q *Queue) Ahead(class persimmoncart.Class, due time.Time) int {
	if class == persimmoncart.ClassInteractive {
		return countDue(q.interactive, due)
	}
	return len(q.interactive) + countDue(q.batch, due)
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.interactive) + len(q.batch) }

// Push adds a request. It reports false if the queue is full.
func (q *Queue) Push(e *Item) bool {
	if q.Len() >= q.limit {
		return false
	}
	q.sequence++
	e.sequence = q.sequence
	e.startTag = q.shares.Start(e.Account, e.Weight, e.Cost)
	q.insert(e)
	return true
}

// Range calls f with the waiting requests in the order of service until f returns
// false. f must not change the queue.
func (q *Queue) Range(f func(*Item) bool) {
	q.sort()
	i, b, credit := 0, 0, q.batchCredit
	for i < len(q.interactive) || b < len(q.batch) {
		var e *Item
		if i < len(q.interactive) && (b == len(q.batch) || credit < q.batch[b].Cost) {
			e = q.interactive[i]
			credit += e.Cost * BatchShare / (1 - BatchShare)
			i++
		} else {
			e = q.batch[b]
			credit = max(credit-e.Cost, 0)
			b++
		}
		if !f(e) {
			return
		}
	}
}

// Remove removes a request that is not served.
func (q *Queue) Remove(e *Item) {
	if q.take(e) {
		q.shares.Drop(e.Account, e.Cost)
	}
}

// Serve removes a request that is served.
func (q *Queue) Serve(e *Item) {
	if !q.take(e) {
		return
	}
	q.shares.Serve(e.Account, e.Cost)
	switch {
	case e.Class != persimmoncart.ClassInteractive:
		q.batchCredit = max(q.batchCredit-e.Cost, 0)
	case len(q.batch) > 0:
		q.batchCredit += e.Cost * BatchShare / (1 - BatchShare)
	default:
		q.batchCredit = 0
	}
}

// compare orders two requests of one class.
func (q *Queue) compare(a, b *Item) int {
	if c := cmp.Compare(q.excess(a), q.excess(b)); c != 0 {
		return c
	}
	if c := a.Due.Compare(b.Due); c != 0 {
		return c
	}
	return cmp.Compare(a.sequence, b.sequence)
}

// excess returns how far a request is beyond the fair share of its account. It is
// zero within fairSlack, where requests are ordered by their due time.
func (q *Queue) excess(e *Item) float64 {
	return max(e.startTag-q.virtualTime-fairSlack, 0)
}

// insert adds a request in order.
func (q *Queue) insert(e *Item) {
	q.sort()
	list := q.list(e.Class)
	i, _ := slices.BinarySearchFunc(*list, e, q.compare)
	*list = slices.Insert(*list, i, e)
}

// list returns the requests of a class.
func (q *Queue) list(class persimmoncart.Class) *[]*Item {
	if class == persimmoncart.ClassInteractive {
		return &q.interactive
	}
	return &q.batch
}

// sort restores the order after a change of the virtual time.
func (q *Queue) sort() {
	if q.sorted && q.virtualTime == q.shares.VirtualTime() {
		return
	}
	q.virtualTime = q.shares.VirtualTime()
	q.sorted = true
	slices.SortFunc(q.interactive, q.compare)
	slices.SortFunc(q.batch, q.compare)
}

// take removes the request from its list and reports whether it was there.
func (q *Queue) take(e *Item) bool {
	list := q.list(e.Class)
	i := slices.Index(*list, e)
	if i < 0 {
		return false
	}
	*list = slices.Delete(*list, i, i+1)
	return true
}

// countDue returns the number of requests that are due at or before due.
func countDue(list []*Item, due time.Time) int {
	n := 0
	for _, e := range list {
		if !e.Due.After(due) {
			n++
		}
	}
	return n
}
