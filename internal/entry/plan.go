package entry

import (
	"github.com/persimmoncart/persimmoncart/internal/lease"
	"github.com/persimmoncart/persimmoncart/internal/order"
)

// setUpPlanning adds the services that plan the replicas of each pool and send orders
// to the engines of the data centre. Each works only while its instance holds the
// lease, and both need the configuration in the store.
func (s *instanceSetup) setUpPlanning() {
	if s.follower == nil || s.Store == nil {
		return
	}
	leases := &lease.Keeper{Logger: s.Logger, Self: s.Self.Tag(), Store: s.Store, Timer: s.Timer}
	planner := &order.Planner{
		Configuration: s.Configuration,
		Leases:        leases,
		Logger:        s.Logger,
		Members:       s.Members,
		Registerer:    s.Metrics.Registry,
		Store:         s.Store,
		Timer:         s.Timer,
		Weights:       s.peers.WeightStore,
	}
	reconciler := &order.Reconciler{
		Configuration: s.Configuration,
		DataCentre:    s.Self.DataCentre,
		Engines:       s.Engines,
		Leases:        leases,
		Logger:        s.Logger,
		Members:       s.Members,
		Registerer:    s.Metrics.Registry,
		Self:          s.Self.ID,
		Store:         s.Store,
		Timer:         s.Timer,
	}
	s.addService("plan", planner.Run)
	s.addService("orders", reconciler.Run)
}
