package faults

import (
	"context"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

var (
	_ persimmoncart.Claims        = (*permissiveClaims)(nil)
	_ persimmoncart.Configuration = (*revertingConfiguration)(nil)
	_ persimmoncart.Configuration = (*undrainedConfiguration)(nil)
)

// A revertingConfiguration is a configuration that now and then returns to its first version; it
// takes the place of the guard behind ConfigKept.
type revertingConfiguration struct {
	persimmoncart.Configuration

	first *persimmoncart.Snapshot
}

// Subscribe implements persimmoncart.Configuration.
func (s *revertingConfiguration) Subscribe(f func(*persimmoncart.Snapshot)) (stop func()) {
	return s.Configuration.Subscribe(func(current *persimmoncart.Snapshot) {
		f(current)
		if current.Version > s.first.Version+1 {
			f(s.first)
		}
	})
}

// An undrainedConfiguration is a configuration that hides what operators drain; it takes the
// place of the guard behind Leaving.
type undrainedConfiguration struct {
	persimmoncart.Configuration
}

// Snapshot implements persimmoncart.Configuration.
func (u *undrainedConfiguration) Snapshot() *persimmoncart.Snapshot {
	s := *u.Configuration.Snapshot()
	s.Drained = nil
	return &s
}

// An permissiveClaims grants every claim; it takes the place of the guard behind
// AtMostOnce.
type permissiveClaims struct {
	persimmoncart.Claims
}

// Claim implements persimmoncart.Claims.
func (u *permissiveClaims) Claim(ctx context.Context, key persimmoncart.ClaimKey) (persimmoncart.ClaimGrant, error) {
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
