package forward

import (
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// retryAfterUnknownAccount is the pause before a caller sends a request again whose key
// an instance does not know that may lack the newest accounts.
const retryAfterUnknownAccount = 500 * time.Millisecond

// resolveAccount sets the account of the request's key, if its route needs one, or returns
// a refusal.
func (x *exchange) resolveAccount() error {
	if x.table.Accounts == nil || x.route.Anonymous {
		return nil
	}
	x.account = x.table.Accounts[x.request.Key]
	switch {
	case x.account != nil:
		return nil
	case !x.router.StoreReachable():
		return &persimmoncart.Refusal{
			Code: persimmoncart.RefusalNotReady, Message: "newest accounts are not known",
			Outcome: persimmoncart.OutcomeNotRun, RetryAfter: retryAfterUnknownAccount,
		}
	default:
		return newAccountRefusal()
	}
}

// withdrawnRefusal returns the refusal of a request whose key has been withdrawn or given
// to another account since it was accepted; nil for all others.
func (x *exchange) withdrawnRefusal() error {
	if x.account == nil {
		return nil
	}
	table := x.router.Directory.Table()
	if table == x.table || table.Accounts == nil {
		return nil
	}
	if current := table.Accounts[x.request.Key]; current != nil && current.Name == x.account.Name {
		return nil
	}
	return newAccountRefusal()
}

// interruptionRefusal returns the refusal of a request that is not to be passed on any
// more, although it was accepted; nil for all others. It is asked before each send.
func (x *exchange) interruptionRefusal() error {
	if err := x.withdrawnRefusal(); err != nil {
		return err
	}
	return x.stoppingRefusal()
}

// newAccountRefusal returns the refusal of a request without the key of an account.
func newAccountRefusal() error {
	return &persimmoncart.Refusal{
		Code: persimmoncart.RefusalAccountUnknown, Message: "no account has this key", Outcome: persimmoncart.OutcomeNotRun,
	}
}

// accountName returns the name of the caller's account; empty for none.
func (x *exchange) accountName() persimmoncart.AccountID {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

const (
	// routePriorities is the number of priorities of routes that are told apart within one
	// priority of accounts.
	routePriorities = 3
	// lowestAccountPriority is the least urgent priority of accounts that is told from
	// others. A number far above all others would make their requests urgent.
	lowestAccountPriority = 9
)

// priority returns the priority of the request. Where callers have accounts, that of the
// account, if it has one, comes before that of the route.
func (x *exchange) priority() int {
	if x.table.Accounts == nil {
		return x.route.Priority
	}
	priority := x.route.Priority
	if x.account != nil && x.account.Priority >= 0 {
		priority = x.account.Priority
	}
	return min(max(priority, 0), lowestAccountPriority)*routePriorities + min(max(x.route.Priority, 0), routePriorities-1)
}
