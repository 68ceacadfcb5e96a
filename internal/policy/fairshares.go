package policy

import (
	"math"

	"github.com/persimmoncart/persimmoncart"
)

// DefaultMaxFairAccounts is the largest number of accounts whose tags one instance
// keeps. An account without waiting requests that is below its share needs none.
const DefaultMaxFairAccounts = 4096

// FairShares computes weighted fair shares of accounts by start-time fair queueing.
//
// Each request gets a start tag: the virtual time at which its account reaches it at
// its fair share. A request with a tag far above the current virtual time belongs to
// an account that is over its share. Costs are in tokens.
type FairShares struct {
	accounts     map[persimmoncart.AccountID]*fairAccount
	activeWeight float64 // sum of the weights of accounts with waiting requests
	maxAccounts  int
	virtualTime  float64
}

// A fairAccount is the state of one account.
type fairAccount struct {
	finishTag float64 // virtual time at which the account's last request ends
	waiting   int     // requests
	weight    float64
}

// NewFairShares returns FairShares that keep at most maxAccounts accounts, as long as
// no more of them have waiting requests.
func NewFairShares(maxAccounts int) *FairShares {
	return &FairShares{accounts: make(map[persimmoncart.AccountID]*fairAccount), maxAccounts: maxAccounts}
}

// Charge adds the cost of a request that was started without it and is served now, and
// advances the virtual time. The request is still to be removed.
func (f *FairShares) Charge(account persimmoncart.AccountID, cost float64) {
	a, found := f.accounts[account]
	if !found || a.waiting == 0 {
		return
	}
	a.finishTag = max(a.finishTag, f.virtualTime) + cost/a.weight
	f.virtualTime += cost / f.activeWeight
}

// Drop removes a request that was not served and takes its cost off the account.
func (f *FairShares) Drop(account persimmoncart.AccountID, cost float64) {
	if a, found := f.accounts[account]; found && a.waiting > 0 {
		a.finishTag -= cost / a.weight
	}
	f.dequeue(account)
}

// Len returns the number of accounts kept.
func (f *FairShares) Len() int { return len(f.accounts) }

// Serve removes a served request and advances the virtual time by its cost.
func (f *FairShares) Serve(account persimmoncart.AccountID, cost float64) {
	if f.activeWeight > 0 {
		f.virtualTime += cost / f.activeWeight
	}
	f.dequeue(account)
}

// Start adds a request and returns its start tag.
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

// Tag returns the start tag that the next request of the account would get.
func (f *FairShares) Tag(account persimmoncart.AccountID) float64 {
	if a, found := f.accounts[account]; found {
		return max(a.finishTag, f.virtualTime)
	}
	return f.virtualTime
}

// VirtualTime returns the current virtual time.
func (f *FairShares) VirtualTime() float64 { return f.virtualTime }

// dequeue removes a waiting request of the account. When no request is left, it
// removes all accounts and moves the virtual time past their tags.
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
	if f.activeWeight < 0.5 { // weights are at least 1; anything below is a rounding error
		f.activeWeight = 0
		for _, b := range f.accounts {
			f.virtualTime = max(f.virtualTime, b.finishTag)
		}
		clear(f.accounts)
	}
}

// evict makes room for one account if the limit is reached. It removes the idle
// accounts whose tag is not ahead of the virtual time, or else the idle account with
// the smallest tag.
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
