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

// A revertingConfiguration passes the first snapshot to its subscribers again after
// each version that is more than one above it. It disables the guard of ConfigKept.
type revertingConfiguration struct {
	persimmoncart.Configuration

	first *persimmoncart.Snapshot
}

// Subscribe implements persimmoncart.Configuration.
func (c *revertingConfiguration) Subscribe(f func(*persimmoncart.Snapshot)) (stop func()) {
	return c.Configuration.Subscribe(func(current *persimmoncart.Snapshot) {
		f(current)
		if current.Version > c.first.Version+1 {
			f(c.first)
		}
	})
}

// An undrainedConfiguration hides the drained endpoints. It disables the guard of
// Leaving.
type undrainedConfiguration struct {
	persimmoncart.Configuration
}

// Snapshot implements persimmoncart.Configuration.
func (c *undrainedConfiguration) Snapshot() *persimmoncart.Snapshot {
	s := *c.Configuration.Snapshot()
	s.Drained = nil
	return &s
}

// A permissiveClaims grants every claim. It disables the guard of AtMostOnce.
type permissiveClaims struct {
	persimmoncart.Claims
}

// Claim implements persimmoncart.Claims.
func (c *permissiveClaims) Claim(ctx context.Context, key persimmoncart.ClaimKey) (persimmoncart.ClaimGrant, error) {
	grant, err := c.Claims.Claim(ctx, key)
	grant.Granted = true
	if grant.Expires.IsZero() {
		grant.Expires = time.Now().Add(time.Minute)
	}
	if err != nil {
		return grant, nil //nolint:nilerr // The guard is disabled.
	}
	return grant, nil
}
