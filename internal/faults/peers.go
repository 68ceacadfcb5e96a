package faults

import (
	"context"

	"github.com/persimmoncart/persimmoncart"
)

var (
	_ persimmoncart.ClaimPeers = (*claimPeers)(nil)
	_ persimmoncart.Lender     = (*lender)(nil)
	_ persimmoncart.Lenders    = (*lenders)(nil)
)

// exchange runs f as a call from one node to another, with the faults of the network
// and of both nodes. It returns an *UnavailableError if the call doesn't arrive.
func exchange(from *node, to persimmoncart.InstanceID, operation string, f func(*node) error) error {
	peer := from.cluster.nodeByID(to)
	if peer == nil {
		return &persimmoncart.UnavailableError{Err: errDead, Operation: operation}
	}
	if err := from.send(operation, peer.self.Region); err != nil {
		return err
	}
	if err := peer.gate.pass(); err != nil {
		return &persimmoncart.UnavailableError{Err: err, Operation: operation}
	}
	err := f(peer)
	if err := peer.gate.pass(); err != nil {
		return err
	}
	return from.receive(peer.self.Region, err)
}

// A claimPeers is the access of one node to the writers of claims.
type claimPeers struct {
	node *node
}

// Claim implements persimmoncart.ClaimPeers.
func (p *claimPeers) Claim(ctx context.Context, to persimmoncart.Instance, key persimmoncart.ClaimKey, nonce persimmoncart.Nonce) (grant persimmoncart.ClaimGrant, err error) {
	err = exchange(p.node, to.ID, "claim", func(peer *node) (err error) {
		grant, err = peer.claims.WriteClaim(ctx, key, nonce)
		return err
	})
	return grant, err
}

// Settle implements persimmoncart.ClaimPeers.
func (p *claimPeers) Settle(ctx context.Context, to persimmoncart.Instance, s persimmoncart.Settlement) error {
	return exchange(p.node, to.ID, "settle", func(peer *node) error { return peer.claims.WriteSettlement(ctx, s) })
}

// A lender is the access of one node to the slots of another.
type lender struct {
	node *node
	to   persimmoncart.InstanceID
}

// Lend implements persimmoncart.Lender.
func (l *lender) Lend(ctx context.Context, request persimmoncart.BorrowRequest) (loan persimmoncart.Loan, err error) {
	err = exchange(l.node, l.to, "lend", func(peer *node) (err error) {
		loan, err = peer.allocator.Lend(ctx, request)
		return err
	})
	return loan, err
}

// UpdateSlots implements persimmoncart.Lender.
func (l *lender) UpdateSlots(ctx context.Context, from persimmoncart.InstanceID, changes []persimmoncart.LoanChange) error {
	return exchange(l.node, l.to, "settle", func(peer *node) error { return peer.allocator.UpdateSlots(ctx, from, changes) })
}

// A lenders is the access of one node to the other owners of replicas.
type lenders struct {
	node *node
}

// Lender implements persimmoncart.Lenders.
func (l *lenders) Lender(to persimmoncart.InstanceID) persimmoncart.Lender {
	return &lender{node: l.node, to: to}
}
