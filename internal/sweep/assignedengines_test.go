package sweep_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/sweep"
)

// Guards against an engine that no instance sweeps, in particular after the last
// instance of its region has ended, and against an engine that several instances
// with the same view sweep.
func TestAssignedEnginesCoverEveryEngineOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshot := &persimmoncart.Snapshot{Endpoints: map[persimmoncart.EndpointID]*persimmoncart.Endpoint{}}
		for i := range rapid.IntRange(1, 20).Draw(t, "engines") {
			id := persimmoncart.EndpointID(fmt.Sprintf("engine-%d", i))
			snapshot.Endpoints[id] = &persimmoncart.Endpoint{ID: id, Region: region(i % 3), Role: persimmoncart.RoleDecode}
		}
		var members []persimmoncart.Member
		live := 0
		for i := range rapid.IntRange(1, 8).Draw(t, "instances") {
			state := rapid.SampledFrom([]persimmoncart.MemberState{
				persimmoncart.MemberAlive, persimmoncart.MemberDead, persimmoncart.MemberSuspect,
			}).Draw(t, "state")
			if state == persimmoncart.MemberAlive {
				live++
			}
			members = append(members, persimmoncart.Member{
				Instance: persimmoncart.Instance{ID: persimmoncart.InstanceID(fmt.Sprintf("entry-%d", i)), Region: region(i % 2)},
				State:    state,
			})
		}
		swept := map[persimmoncart.EndpointID]int{}
		for _, m := range members {
			if m.State != persimmoncart.MemberAlive {
				continue
			}
			for _, e := range sweep.AssignedEngines(m.Instance, members, snapshot) {
				swept[e.ID]++
			}
		}
		for id := range snapshot.Endpoints {
			if live > 0 {
				assert.Equal(t, swept[id], 1, "%s", id)
			}
		}
	})
}

// region returns the name of region i.
func region(i int) persimmoncart.Region { return persimmoncart.Region(fmt.Sprintf("region-%d", i)) }
