package membership_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"pgregory.net/rapid"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/peer"
)

type stateCounts = map[persimmoncart.MemberState]int

func ExampleService() {
	f := newFleet(&testing.T{}, 1, 1, 1, 3)
	f.timer.Advance(5 * time.Second)
	f.kill(f.nodes[2], true)
	f.timer.Advance(5 * time.Second)
	for _, m := range f.nodes[0].service.View() {
		fmt.Println(m.Instance.ID, m.State)
	}
	// Output:
	// i-0-0-0 alive
	// i-0-0-1 alive
	// i-0-0-2 dead
}

// Checks the rules of docs/design.md section 8.3: which evidence makes an instance
// suspect, which makes it dead, and that silence alone never makes it dead.
func TestEvidence(t *testing.T) {
	tests := []struct {
		name        string
		do          func(f *fleet, n *node)
		after       time.Duration
		want        persimmoncart.MemberState
		falseDeaths int
	}{
		{"paused", func(_ *fleet, n *node) { n.port.SetState(peer.PortUnresponsive) }, 5 * time.Minute, persimmoncart.MemberSuspect, 0},
		{"process gone", func(f *fleet, n *node) { f.kill(n, true) }, 3 * time.Second, persimmoncart.MemberDead, 0},
		{"host gone, list current", func(f *fleet, n *node) {
			f.kill(n, false)
			f.listed[n.service.Machine.Self.ID] = false
		}, 60 * time.Second, persimmoncart.MemberDead, 0},
		{"host gone, list not current", func(f *fleet, n *node) { f.kill(n, false) }, 10 * time.Minute, persimmoncart.MemberSuspect, 0},
		{"alive, missing in list", func(f *fleet, n *node) {
			f.listed[n.service.Machine.Self.ID] = false
		}, 5 * time.Minute, persimmoncart.MemberAlive, 0},
		{"leaving", func(_ *fleet, n *node) { n.service.Leave() }, time.Second, persimmoncart.MemberLeaving, 0},
		{"paused and back", func(f *fleet, n *node) {
			n.port.SetState(peer.PortUnresponsive)
			f.timer.Advance(30 * time.Second)
			n.port.SetState(peer.PortOpen)
		}, 30 * time.Second, persimmoncart.MemberAlive, 0},
		{"paused, missing in list, back", func(f *fleet, n *node) {
			n.port.SetState(peer.PortUnresponsive)
			f.listed[n.service.Machine.Self.ID] = false
			f.timer.Advance(2 * time.Minute)
			n.port.SetState(peer.PortOpen)
		}, 30 * time.Second, persimmoncart.MemberAlive, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, 7, 1, 1, 5)
			f.timer.Advance(15 * time.Second)
			assert.DeepEqual(t, f.stateCounts("i-0-0-2"), stateCounts{persimmoncart.MemberAlive: 4})
			tt.do(f, f.nodes[2])
			f.timer.Advance(tt.after)
			assert.DeepEqual(t, f.stateCounts("i-0-0-2"), stateCounts{tt.want: 4})
			assert.Equal(t, f.nodes[2].service.Machine.Stats.FalseDeaths, tt.falseDeaths)
			for _, n := range f.nodes[:2] {
				for _, m := range n.service.View() {
					assert.Assert(t, m.Instance.ID == "i-0-0-2" || m.State == persimmoncart.MemberAlive, "%v", m)
				}
			}
		})
	}
}

// Guards against a restarted instance that is still taken for its old
// incarnation, whose work would then never be cancelled.
func TestNewIncarnation(t *testing.T) {
	f := newFleet(t, 3, 1, 1, 4)
	f.timer.Advance(15 * time.Second)
	var died []persimmoncart.Tag
	f.nodes[0].service.Subscribe(func(ms []persimmoncart.Member) {
		for _, m := range ms {
			if m.State == persimmoncart.MemberDead {
				died = append(died, m.Instance.Tag())
			}
		}
	})
	old := f.nodes[3]
	f.kill(old, false)
	self := old.service.Machine.Self
	self.Incarnation = 2
	f.listed[self.ID] = true
	f.nodes = f.nodes[:3]
	n := f.add(self, 9)
	n.port.SetState(peer.PortOpen)
	f.start(n)
	f.timer.Advance(2 * time.Second)
	assert.DeepEqual(t, f.stateCounts(self.ID), stateCounts{persimmoncart.MemberAlive: 3})
	assert.DeepEqual(t, died, []persimmoncart.Tag{{Incarnation: 1, Instance: self.ID}})
}

// Guards against members of other cells and regions that are missing or out of
// date.
func TestCells(t *testing.T) {
	f := newFleet(t, 5, 2, 2, 3)
	f.timer.Advance(40 * time.Second)
	for _, n := range f.nodes {
		// Six of the own region, two gateways of each cell in the other region.
		assert.Check(t, cmp.Len(n.service.View(), 10))
	}
	f.kill(f.nodes[3], true) // in the second cell of the first region
	f.timer.Advance(40 * time.Second)
	near := f.stateCounts(f.nodes[3].service.Machine.Self.ID)
	assert.Assert(t, near[persimmoncart.MemberDead] >= 5, "%v", near)
	assert.Equal(t, near[persimmoncart.MemberAlive], 0)
}

// Guards against a lost data centre whose instances are never declared dead,
// because none of them is left to declare the others dead.
func TestDataCentreLoss(t *testing.T) {
	f := newFleet(t, 5, 1, 2, 3)
	f.timer.Advance(40 * time.Second)
	for _, n := range f.nodes[3:] {
		f.kill(n, false)
		f.listed[n.service.Machine.Self.ID] = false
	}
	f.timer.Advance(90 * time.Second)
	for _, n := range f.nodes[3:] {
		assert.DeepEqual(t, f.stateCounts(n.service.Machine.Self.ID), stateCounts{persimmoncart.MemberDead: 3})
	}
}

// Guards against instances whose views differ from the actual state of the fleet
// after random kills, pauses, departures and lost messages: an instance that runs
// is alive or leaving, and is never declared dead.
func TestMergedView(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := newFleet(t, rapid.Uint64().Draw(r, "seed"), 1, rapid.IntRange(1, 2).Draw(r, "cells"), rapid.IntRange(3, 5).Draw(r, "size"))
		f.network.Drop = rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(r, "drop")
		f.network.Duplicate = 0.05
		f.timer.Advance(15 * time.Second)
		dead := map[persimmoncart.InstanceID]bool{}
		for range rapid.IntRange(1, 8).Draw(r, "events") {
			n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(r, "node")]
			id := n.service.Machine.Self.ID
			if dead[id] {
				continue
			}
			switch rapid.IntRange(0, 2).Draw(r, "event") {
			case 0:
				if len(dead) < 2 {
					f.kill(n, true)
					f.listed[id], dead[id] = false, true
				}
			case 1:
				n.port.SetState(peer.PortUnresponsive)
				f.timer.Advance(time.Duration(rapid.IntRange(1, 40).Draw(r, "pause")) * time.Second)
				n.port.SetState(peer.PortOpen)
			case 2:
				n.service.Leave()
			}
			f.timer.Advance(time.Duration(rapid.IntRange(0, 8).Draw(r, "wait")) * time.Second)
		}
		f.network.Drop = 0
		f.timer.Advance(90 * time.Second)
		for _, n := range f.nodes {
			self := n.service.Machine.Self
			assert.Equal(t, n.service.Machine.Stats.FalseDeaths, 0)
			for state, count := range f.stateCounts(self.ID) {
				want := persimmoncart.MemberAlive
				if self.Leaving {
					want = persimmoncart.MemberLeaving
				}
				if dead[self.ID] {
					want = persimmoncart.MemberDead
				}
				if state != want {
					r.Fatalf("%s is %s at %d instances, want %s", self.ID, state, count, want)
				}
			}
		}
	})
}
