package entry

import (
	"github.com/persimmoncart/persimmoncart/internal/lease"
	"github.com/persimmoncart/persimmoncart/internal/order"
)

// plan lets the instance compete for the leases of the daily plan and of the
// orders to the engines of its data centre. Both read the configuration of the
// store.
func (j *joining) plan() {
	if j.follower == nil || j.Store == nil {
		return
	}
	leases := &lease.Keeper{Self: j.Self.Tag(), Store: j.Store, Timer: j.Timer}
	planner := &order.Planner{
		Configuration: j.Configuration,
		Leases:        leases,
		Log:           j.Logger,
		Members:       j.Members,
		Registerer:    j.Metrics.Registry,
		Store:         j.Store,
		Timer:         j.Timer,
		Weights:       j.peers.Weights,
	}
	orders := &order.Reconciler{
		Configuration: j.Configuration,
		DataCentre:    j.Self.DataCentre,
		Engines:       j.Engines,
		Leases:        leases,
		Log:           j.Logger,
		Members:       j.Members,
		Registerer:    j.Metrics.Registry,
		Self:          j.Self.ID,
		Store:         j.Store,
		Timer:         j.Timer,
	}
	j.serve("plan", planner.Run)
	j.serve("orders", orders.Run)
}
