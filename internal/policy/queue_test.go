package policy

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/persimmoncart/persimmoncart"
)

// naiveQueue is the reference: it keeps all requests in one list and sorts them on each
// use.
type naiveQueue struct {
	credit  float64
	finish  map[persimmoncart.AccountID]float64
	items   []*Item
	tags    map[uint64]float64
	virtual float64
}

// weights returns the sum of the weights of the accounts with requests.
func (n *naiveQueue) weights() float64 {
	weights := map[persimmoncart.AccountID]float64{}
	for _, e := range n.items {
		if _, found := weights[e.Account]; !found {
			weights[e.Account] = float64(e.Weight)
		}
	}
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	return sum
}

func (n *naiveQueue) push(e *Item) {
	tag := math.Max(n.finish[e.Account], n.virtual)
	n.tags[e.ID] = tag
	n.finish[e.Account] = tag + e.Cost/float64(e.Weight)
	n.items = append(n.items, e)
}

// take removes a request and, if none is left, the tags of all accounts.
func (n *naiveQueue) take(e *Item) {
	n.items = slices.DeleteFunc(n.items, func(o *Item) bool { return o == e })
	if len(n.items) == 0 {
		for _, f := range n.finish {
			n.virtual = math.Max(n.virtual, f)
		}
		clear(n.finish)
	}
}

func (n *naiveQueue) serve(e *Item) {
	n.virtual += e.Cost / n.weights()
	n.take(e)
	batch := slices.ContainsFunc(n.items, func(o *Item) bool { return o.Class == persimmoncart.ClassBatch })
	switch {
	case e.Class == persimmoncart.ClassBatch:
		n.credit = math.Max(n.credit-e.Cost, 0)
	case batch:
		n.credit += e.Cost / 4
	default:
		n.credit = 0
	}
}

// class returns the requests of a class in the order of service.
func (n *naiveQueue) class(class persimmoncart.Class) []*Item {
	var list []*Item
	for _, e := range n.items {
		if e.Class == class {
			list = append(list, e)
		}
	}
	excess := func(e *Item) float64 { return math.Max(n.tags[e.ID]-n.virtual-fairSlack, 0) }
	slices.SortStableFunc(list, func(a, b *Item) int {
		return cmp.Or(cmp.Compare(excess(a), excess(b)), a.Due.Compare(b.Due), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// order returns all requests in the order of service.
func (n *naiveQueue) order() []uint64 {
	interactive, batch := n.class(persimmoncart.ClassInteractive), n.class(persimmoncart.ClassBatch)
	credit := n.credit
	var ids []uint64
	for len(interactive)+len(batch) > 0 {
		if len(interactive) > 0 && (len(batch) == 0 || credit < batch[0].Cost) {
			credit += interactive[0].Cost / 4
			ids = append(ids, interactive[0].ID)
			interactive = interactive[1:]
			continue
		}
		credit = math.Max(credit-batch[0].Cost, 0)
		ids = append(ids, batch[0].ID)
		batch = batch[1:]
	}
	return ids
}

// Guards against requests that are lost, served twice or served out of order.
func TestQueueDifferential(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(40)
		n := &naiveQueue{finish: map[persimmoncart.AccountID]float64{}, tags: map[uint64]float64{}}
		next := uint64(0)
		pick := func(t *rapid.T) *Item {
			if len(n.items) == 0 {
				t.Skip("empty")
			}
			return n.items[rapid.IntRange(0, len(n.items)-1).Draw(t, "item")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				next++
				account := rapid.IntRange(1, 3).Draw(t, "account")
				e := &Item{
					Account: persimmoncart.AccountID(strconv.Itoa(account)),
					Class:   rapid.SampledFrom([]persimmoncart.Class{persimmoncart.ClassInteractive, persimmoncart.ClassBatch}).Draw(t, "class"),
					Cost:    float64(rapid.IntRange(1, 16).Draw(t, "cost") * 256),
					Due:     testStart.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "due")) * time.Second),
					ID:      next, Weight: account,
				}
				assert.Equal(t, q.Push(e), len(n.items) < 40)
				if len(n.items) < 40 {
					n.push(e)
				}
			},
			"remove": func(t *rapid.T) {
				e := pick(t)
				q.Remove(e)
				n.finish[e.Account] -= e.Cost / float64(e.Weight)
				n.take(e)
			},
			"serve": func(t *rapid.T) {
				e := pick(t)
				q.Serve(e)
				n.serve(e)
			},
			"": func(t *rapid.T) {
				var got []uint64
				q.Range(func(e *Item) bool {
					got = append(got, e.ID)
					return true
				})
				assert.DeepEqual(t, got, n.order())
				assert.Equal(t, q.Len(), len(n.items))
			},
		})
	})
}

// Guards against a class or account that starves while others keep the queue full, and
// against shares that do not follow the weights.
func TestQueueShares(t *testing.T) {
	q := NewQueue(1000)
	served := map[string]float64{}
	id := uint64(0)
	push := func(account string, class persimmoncart.Class, weight int) {
		id++
		q.Push(&Item{Account: persimmoncart.AccountID(account), Class: class, Cost: 300, Due: testStart, ID: id, Weight: weight})
	}
	for range 100 {
		push("light", persimmoncart.ClassInteractive, 1)
		push("heavy", persimmoncart.ClassInteractive, 3)
		push("draft", persimmoncart.ClassBatch, 1)
	}
	for range 3000 {
		var first *Item
		q.Range(func(e *Item) bool {
			first = e
			return false
		})
		q.Serve(first)
		served[string(first.Account)]++
		push(string(first.Account), first.Class, first.Weight)
	}
	assert.Assert(t, math.Abs(served["draft"]/3000-BatchShare) < 0.02, "batch share %v", served["draft"]/3000)
	assert.Assert(t, math.Abs(served["heavy"]/served["light"]-3) < 0.3, "weights %v", served)
}

// Guards against memory use that grows with the number of accounts.
func TestFairSharesBounded(t *testing.T) {
	f := NewFairShares(100)
	for i := range 19000 {
		account := persimmoncart.AccountID(strconv.Itoa(i))
		f.Start(account, 1, 100)
		if i > 0 { // account 0 keeps a request, so that the state is never reset
			f.Serve(account, 100)
		}
		assert.Assert(t, f.Len() <= 101)
	}
}

// The queue serves interactive requests first, and batch requests in the order of
// their deadlines.
func ExampleQueue() {
	q := NewQueue(10)
	for i, seconds := range []int{90, 30, 60} {
		q.Push(&Item{Account: "a", Class: persimmoncart.ClassBatch, Cost: 500, Due: testStart.Add(time.Duration(seconds) * time.Second), ID: uint64(i), Weight: 1})
	}
	q.Push(&Item{Account: "b", Class: persimmoncart.ClassInteractive, Cost: 500, Due: testStart.Add(time.Second), ID: 3, Weight: 1})
	q.Range(func(e *Item) bool {
		fmt.Println(e.Class, e.ID)
		return true
	})
	// Output:
	// interactive 3
	// batch 1
	// batch 2
	// batch 0
}
