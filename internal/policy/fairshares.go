package policy

import (
	"math"

	"github.com/persimmoncart/persimmoncart"
)

// DefaultFairAccounts bounds the accounts that one instance keeps tags for; an
// account without waiting requests that got less than its share needs none.
const DefaultFairAccounts = 4096

// A FairShares keeps weighted fair shares of accounts by start-time fair queueing.
//
// Each request gets a start tag: the virtual time at which its account would
// have reached it at its fair share. A request with a tag far above the current
// virtual time belongs to an account that is over its share. Cost is in tokens.
type FairShares struct {
	accounts     map[persimmoncart.AccountID]*fairAccount
	activeWeight float64 // weight of the accounts with waiting requests
	maxAccounts  int
	virtualTime  float64
}

// A fairAccount is the state of one account.
type fairAccount struct {
	finishTag float64 // tag at which the account's last request ends
	waiting   int
	weight    float64
}

// NewFairShares returns a Fair that remembers at most limit accounts without waiting
// requests.
func NewFairShares(limit int) *FairShares {
	return &FairShares{accounts: make(map[persimmoncart.AccountID]*fairAccount), maxAccounts: limit}
}

// Drop takes back a request that was not served, with its cost.
func (f *FairShares) Drop(account persimmoncart.AccountID, cost float64) {
	if a, found := f.accounts[account]; found && a.waiting > 0 {
		a.finishTag -= cost / a.weight
	}
	f.dequeue(account)
}

// Len returns the number of remembered accounts.
func (f *FairShares) Len() int { return len(f.accounts) }

// Serve advances the virtual time by a served request.
func (f *FairShares) Serve(account persimmoncart.AccountID, cost float64) {
	if f.activeWeight > 0 {
		f.virtualTime += cost / f.activeWeight
	}
	f.dequeue(account)
}

// Start returns the start tag of a new request.
func (f *FairShares) Start(account persimmoncart.AccountID, weight int, cost float64) float64 {
	a, found := f.accounts[account]
	if !found {
		f.evict()
		a = &fairAccount{finishTag: f.virtualTime}
		f.accounts[account] = a
	}
	if a.waiting == 0 {
		a.weight = float64(max(weight, 1))
		f.activeWeight += a.weight
	}
	a.waiting++
	tag := max(a.finishTag, f.virtualTime)
	a.finishTag = tag + cost/a.weight
	return tag
}

// VirtualTime returns the current virtual time.
func (f *FairShares) VirtualTime() float64 { return f.virtualTime }

// evict makes room for one account: first those that need no memory because
// their tag has passed, otherwise the idle account with the smallest tag.
func (f *FairShares) evict() {
	if len(f.accounts) < f.maxAccounts {
		return
	}
	smallest, victim := math.Inf(1), persimmoncart.AccountID("")
	for k, a := range f.accounts {
		switch {
		case a.waiting > 0:
		case a.finishTag <= f.virtualTime:
			delete(f.accounts, k)
		case a.finishTag < smallest || (a.finishTag == smallest && k < victim):
			smallest, victim = a.finishTag, k
		}
	}
	if len(f.accounts) >= f.maxAccounts && !math.IsInf(smallest, 1) {
		delete(f.accounts, victim)
	}
}

// dequeue counts a request of the account out. When none waits, everybody's
// backlog is settled and the virtual time moves past all tags of the past.
func (f *FairShares) dequeue(account persimmoncart.AccountID) {
	a, found := f.accounts[account]
	if !found || a.waiting == 0 {
		return
	}
	a.waiting--
	if a.waiting > 0 {
		return
	}
	f.activeWeight -= a.weight
	if f.activeWeight < 0.5 { // weights are at least 1; below that is rounding
		f.activeWeight = 0
		for _, b := range f.accounts {
			f.virtualTime = max(f.virtualTime, b.finishTag)
		}
		clear(f.accounts)
	}
}
