// Package capacity measures the control plane of whole fleets in one process.
//
// Each instance runs the real code of internal/membership, internal/ownership and
// internal/load in virtual time. The network, the store, the instance list and the
// requests are simulated. The bounds are those of docs/design.md, sections 4 and 12.
package capacity

import (
	"fmt"
	"net/netip"

	"github.com/persimmoncart/persimmoncart"
)

// The planned deployment. Smaller fleets are scaled down from it.
const (
	plannedAccounts  = 19000
	plannedCentres   = 35
	plannedNodes     = 400
	plannedRegions   = 10
	plannedReplicas  = 11000
	poolName         = "llm"
	slotsPerReplica  = 20
	blocksPerReplica = 200
)

var modelNames = []persimmoncart.ModelName{"hull-a", "hull-b", "hull-c", "hull-d"}

// A topology holds the numbers of data centres, nodes, regions and replicas of a fleet.
type topology struct {
	centres  int
	nodes    int
	regions  int
	replicas int
}

// newTopology returns the topology of a fleet of the given number of nodes.
func newTopology(nodes int) topology {
	scale := func(planned, least int) int {
		return max(least, (planned*nodes+plannedNodes-1)/plannedNodes)
	}
	return topology{
		centres:  scale(plannedCentres, 3),
		nodes:    nodes,
		regions:  scale(plannedRegions, 2),
		replicas: plannedReplicas * nodes / plannedNodes,
	}
}

// location returns the data centre and region of the i-th instance or replica.
func (t topology) location(i int) (persimmoncart.DataCentre, persimmoncart.Region) {
	centre := i % t.centres
	region := centre * t.regions / t.centres
	return persimmoncart.DataCentre(fmt.Sprintf("dc-%02d", centre)), persimmoncart.Region(fmt.Sprintf("region-%d", region))
}

// instance returns the i-th instance.
func (t topology) instance(i int) persimmoncart.Instance {
	dc, region := t.location(i)
	return persimmoncart.Instance{
		Addr:        netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i % t.centres), byte(i / t.centres >> 8), byte(i / t.centres)}), 7000),
		DataCentre:  dc,
		ID:          persimmoncart.InstanceID(fmt.Sprintf("%s-%03d", dc, i/t.centres)),
		Incarnation: 1764800000,
		Region:      region,
	}
}

// snapshot returns the configuration of the fleet. One replica in four of each data
// centre is a prefill engine.
func (t topology) snapshot() *persimmoncart.Snapshot {
	s := &persimmoncart.Snapshot{
		Accounts:  map[persimmoncart.AccountID]*persimmoncart.Account{},
		Endpoints: make(map[persimmoncart.EndpointID]*persimmoncart.Endpoint, t.replicas),
		Keys:      map[persimmoncart.KeyHash]*persimmoncart.Account{},
		Pools:     map[persimmoncart.PoolName]*persimmoncart.Pool{poolName: {Models: modelNames, Name: poolName}},
		Version:   1,
	}
	for i := range t.replicas {
		dc, region := t.location(i)
		e := &persimmoncart.Endpoint{
			Addr:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 100, byte(i >> 8), byte(i)}), 8000),
			Blocks:     blocksPerReplica,
			DataCentre: dc,
			ID:         persimmoncart.EndpointID(fmt.Sprintf("llm-%05d", i)),
			Models:     modelNames[i/t.centres%len(modelNames):][:1],
			Pool:       poolName,
			Region:     region,
			Role:       persimmoncart.RoleDecode,
			Slots:      slotsPerReplica,
		}
		if i/t.centres%4 == 3 {
			e.Role = persimmoncart.RolePrefill
		}
		s.Endpoints[e.ID] = e
	}
	for i := range plannedAccounts * t.nodes / plannedNodes {
		a := &persimmoncart.Account{Burst: 10, Name: persimmoncart.AccountID(fmt.Sprintf("account-%05d", i)), Rate: 5, Weight: 1}
		a.Keys = []persimmoncart.KeyHash{{byte(i), byte(i >> 8), 1}}
		s.Accounts[a.Name] = a
		s.Keys[a.Keys[0]] = a
	}
	return s
}

// A fixedConfiguration is a configuration that does not change.
type fixedConfiguration struct{ snapshot *persimmoncart.Snapshot }

// Snapshot implements persimmoncart.Configuration.
func (f fixedConfiguration) Snapshot() *persimmoncart.Snapshot { return f.snapshot }

// Subscribe implements persimmoncart.Configuration.
func (f fixedConfiguration) Subscribe(func(*persimmoncart.Snapshot)) (stop func()) { return func() {} }
