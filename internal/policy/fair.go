package policy

import (
	"math"

	"github.com/persimmoncart/persimmoncart"
)

// DefaultFairAccounts bounds the accounts that one instance keeps tags for; an
// account without waiting requests that got less than its share needs none.
const DefaultFairAccounts = 4096

// A Fair keeps weighted fair shares of accounts by start-time fair queueing.
//
// Each request gets a start tag: the virtual time at which its account would
// have reached it at its fair share. A request with a tag far above the current
// virtual time belongs to an account that is over its share. Cost is in tokens.
type Fair struct {
	accounts map[persimmoncart.AccountID]*fairAccount
	active   float64 // weight of the accounts with waiting requests
	limit    int
	virtual  float64
}

// A fairAccount is the state of one account.
type fairAccount struct {
	finish  float64 // tag at which the account's last request ends
	waiting int
	weight  float64
}

// NewFair returns a Fair that remembers at most limit accounts without waiting
// requests.
func NewFair(limit int) *Fair {
	return &Fair{accounts: make(map[persimmoncart.AccountID]*fairAccount), limit: limit}
}

// Drop takes back a request that was not served, with its cost.
func (f *Fair) Drop(account persimmoncart.AccountID, cost float64) {
	if a, found := f.accounts[account]; found && a.waiting > 0 {
		a.finish -= cost / a.weight
	}
	f.leave(account)
}

// Len returns the number of remembered accounts.
func (f *Fair) Len() int { return len(f.accounts) }

// Serve advances the virtual time by a served request.
func (f *Fair) Serve(account persimmoncart.AccountID, cost float64) {
	if f.active > 0 {
		f.virtual += cost / f.active
	}
	f.leave(account)
}

// Start returns the start tag of a new request.
func (f *Fair) Start(account persimmoncart.AccountID, weight int, cost float64) float64 {
	a, found := f.accounts[account]
	if !found {
		f.evict()
		a = &fairAccount{finish: f.virtual}
		f.accounts[account] = a
	}
	if a.waiting == 0 {
		a.weight = float64(max(weight, 1))
		f.active += a.weight
	}
	a.waiting++
	tag := max(a.finish, f.virtual)
	a.finish = tag + cost/a.weight
	return tag
}

// Virtual returns the current virtual time.
func (f *Fair) Virtual() float64 { return f.virtual }

// evict makes room for one account: first those that need no memory because
// their tag has passed, otherwise the idle account with the smallest tag.
func (f *Fair) evict() {
	if len(f.accounts) < f.limit {
		return
	}
	smallest, victim := math.Inf(1), persimmoncart.AccountID("")
	for k, a := range f.accounts {
		switch {
		case a.waiting > 0:
		case a.finish <= f.virtual:
			delete(f.accounts, k)
		case a.finish < smallest || (a.finish == smallest && k < victim):
			smallest, victim = a.finish, k
		}
	}
	if len(f.accounts) >= f.limit && !math.IsInf(smallest, 1) {
		delete(f.accounts, victim)
	}
}

// leave counts a request of the account out. When none waits, everybody's
// backlog is settled and the virtual time moves past all tags of the past.
func (f *Fair) leave(account persimmoncart.AccountID) {
	a, found := f.accounts[account]
	if !found || a.waiting == 0 {
		return
	}
	a.waiting--
	if a.waiting > 0 {
		return
	}
	f.active -= a.weight
	if f.active < 0.5 { // weights are at least 1; below that is rounding
		f.active = 0
		for _, b := range f.accounts {
			f.virtual = max(f.virtual, b.finish)
		}
		clear(f.accounts)
	}
}
