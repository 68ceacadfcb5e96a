package persimmoncart

import "context"

// A Quota enforces the rate limits of accounts over all instances.
type Quota interface {
	// Take takes units of an account's limit, tokens or requests, and waits for them
	// briefly if another instance has them. An account without limits takes nothing.
	//
	// It returns a *Refusal if the account is over its limit, or if it is not known in
	// time whether it is, and the error of ctx if that ends first.
	Take(ctx context.Context, account *Account, units int) (QuotaTicket, error)
}

// A QuotaReturner takes back units that were not used.
type QuotaReturner interface {
	// ReturnQuota takes back the units of a ticket. It does not block.
	ReturnQuota(ticket QuotaTicket)
}

// A QuotaTicket records units that were taken. The zero value is the ticket of a request
// that costs nothing. Tickets are values, so that no memory is allocated for them.
type QuotaTicket struct {
	Account     *Account
	Holder      InstanceID  // that the units came from
	Incarnation Incarnation // of Holder
	Returner    QuotaReturner
	Units       int
}

// Return gives the units back, for a request that provably has not run. It is called
// once at most.
func (t QuotaTicket) Return() {
	if t.Returner != nil && t.Units > 0 {
		t.Returner.ReturnQuota(t)
	}
}
