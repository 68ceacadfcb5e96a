package policy

import (
	"cmp"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// Constants of the admission queue.
const (
	// BatchShare is the share of the served cost that batch requests are
	// guaranteed while both classes wait.
	BatchShare = 0.2
	// fairSlack is how far an account may be ahead of its fair share, in
	// tokens at weight 1, before its requests wait behind those of others.
	fairSlack = 4000
)

// An Item is one request in the admission queue.
type Item struct {
	Account     persimmoncart.AccountID
	Class       persimmoncart.Class
	Cost        float64   // tokens
	Due         time.Time // first token for interactive requests, whole answer for batch
	ID          uint64
	LatestStart time.Time // last time at which serving it is still useful
	Weight      int       // of the account

	sequence uint64
	startTag float64
}

// A Queue orders waiting requests.
//
// Interactive requests go before batch requests, which keep a guaranteed share.
// Within a class, requests of accounts within their fair share go first, the
// earliest due first; the others follow by their fair-share tag.
type Queue struct {
	batch       []*Item
	batchCredit float64 // cost that batch may take before interactive requests
	shares      *FairShares
	interactive []*Item
	limit       int
	sequence    uint64
	sorted      bool
	virtualTime float64 // virtual time of the last sort
}

// NewQueue returns a queue of at most limit requests.
func NewQueue(limit int) *Queue {
	return &Queue{shares: NewFairShares(DefaultFairAccounts), limit: limit}
}

// Ahead returns the number of waiting requests that would be served before a
// new one of the class that is due at due.
func (q *Queue) Ahead(class persimmoncart.Class, due time.Time) int {
	if class == persimmoncart.ClassInteractive {
		return countDue(q.interactive, due)
	}
	return len(q.interactive) + countDue(q.batch, due)
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.interactive) + len(q.batch) }

// Range calls f with the waiting requests in the order of service until it
// returns false. f must not change the queue.
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

// Remove takes a request out that is not served.
func (q *Queue) Remove(e *Item) {
	if q.take(e) {
		q.shares.Drop(e.Account, e.Cost)
	}
}

// Serve takes a request out that is served.
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

// excess returns how far the request is beyond its account's fair share; zero
// for all requests within the slack, which are then ordered by their due time.
func (q *Queue) excess(e *Item) float64 {
	return max(e.startTag-q.virtualTime-fairSlack, 0)
}

// insert adds the request at its place.
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

// sort restores the order after the virtual time has moved.
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

// countDue returns the number of requests that are due before due.
func countDue(list []*Item, due time.Time) int {
	n := 0
	for _, e := range list {
		if !e.Due.After(due) {
			n++
		}
	}
	return n
}
