package config_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/config"
)

// plannedChanges returns the changes that create a configuration of the planned
// size: 19,000 accounts and 11,000 endpoints.
func plannedChanges() []persimmoncart.ConfigChange {
	var out []persimmoncart.ConfigChange
	for i := range 19_000 {
		name := fmt.Sprintf("account-%05d", i)
		out = append(out, persimmoncart.ConfigChange{After: config.Encode(&config.AccountSpec{
			Name: name, Burst: 10, Class: persimmoncart.ClassBatch, Keys: []config.KeyHash{config.HashKey(name)}, Rate: 5, Weight: 1,
		}), Key: "account/" + name})
	}
	for i := range 11_000 {
		name := fmt.Sprintf("engine-%05d", i)
		out = append(out, persimmoncart.ConfigChange{After: config.Encode(&config.EndpointSpec{
			Name: name, Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8000), Blocks: 640,
			DataCentre: "centre-1", Models: []string{"model-1"}, Pool: "pool-1", Region: "region-1", Role: persimmoncart.RoleDecode, Slots: 20,
		}), Key: "endpoint/" + name})
	}
	return out
}

// BenchmarkChange measures the time and allocations of one change of one account in
// a configuration of the planned size, and the memory of the full configuration
// (held-MB).
func BenchmarkChange(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	changes := plannedChanges()
	state := (&config.State{}).With(changes)
	snapshot, err := config.Apply(config.EmptySnapshot(), changes, 1)
	assert.NilError(b, err)
	clear(changes)
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportAllocs()
	for i := range uint64(b.N) {
		c := []persimmoncart.ConfigChange{{After: account("account-00007", int(i%100)+1), Key: "account/account-00007"}}
		state.With(c)
		_, err := config.Apply(snapshot, c, i+2)
		assert.NilError(b, err)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "held-MB")
	runtime.KeepAlive(state)
}
