package faults

import (
	"context"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

var (
	_ persimmoncart.Claims        = (*unguarded)(nil)
	_ persimmoncart.Configuration = (*stale)(nil)
	_ persimmoncart.Configuration = (*undrained)(nil)
)

// A stale is a configuration that now and then returns to its first version; it
// takes the place of the guard behind ConfigKept.
type stale struct {
	persimmoncart.Configuration

	first *persimmoncart.Snapshot
}

// Subscribe implements persimmoncart.Configuration.
func (s *stale) Subscribe(f func(*persimmoncart.Snapshot)) (stop func()) {
	return s.Configuration.Subscribe(func(current *persimmoncart.Snapshot) {
		f(current)
		if current.Version > s.first.Version+1 {
			f(s.first)
		}
	})
}

// An undrained is a configuration that hides what operators drain; it takes the
// place of the guard behind Leaving.
type undrained struct {
	persimmoncart.Configuration
}

// Snapshot implements persimmoncart.Configuration.
func (u *undrained) Snapshot() *persimmoncart.Snapshot {
	s := *u.Configuration.Snapshot()
	s.Drained = nil
	return &s
}

// An unguarded grants every claim; it takes the place of the guard behind
// AtMostOnce.
type unguarded struct {
	persimmoncart.Claims
}

// Claim implements persimmoncart.Claims.
func (u *unguarded) Claim(ctx context.Context, key persimmoncart.ClaimKey) (persimmoncart.ClaimGrant, error) {
	grant, err := u.Claims.Claim(ctx, key)
	grant.Granted = true
	if grant.Expires.IsZero() {
		grant.Expires = time.Now().Add(time.Minute)
	}
	if err != nil {
		return grant, nil //nolint:nilerr // The guard is off.
	}
	return grant, nil
}
