package order

import (
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/lease"
)

const (
	// minRetryPause is the shortest pause after a failed attempt to acquire a lease.
	minRetryPause = 2 * time.Second
	// renewBefore is the remaining time of a lease at which it is renewed: half of
	// its term.
	renewBefore = 7 * time.Second
)

// newRenewer returns the renewer of the lease with the name.
func newRenewer(leases persimmoncart.Leases, members persimmoncart.Members, timer persimmoncart.Timer, name string) *lease.Renewer {
	r := &lease.Renewer{
		Leases: leases, Members: members, MinRetryPause: minRetryPause, Name: name, RenewBefore: renewBefore, Timer: timer,
	}
	if members != nil {
		r.Self = members.Self().ID
	}
	return r
}
