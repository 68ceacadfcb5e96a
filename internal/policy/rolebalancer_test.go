package policy_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

// A rolePool is a fluid model of the engines of one region under more requests than
// they can serve. Requests take prefill and decode seconds of one engine each.
type rolePool struct {
	decode    int // engines in service
	prefill   int
	changing  []roleSwitch
	decodeS   float64 // of a decode engine for one request
	prefillS  float64 // of a prefill engine for one request
	arrivals  float64 // requests a second
	inDecode  float64 // requests that decode engines hold
	lifetime  float64 // of a generation on a decode engine, seconds
	noise     *rand.Rand
	orders    int
	toPrefill int // orders to prefill
}

// A roleSwitch is an engine that serves nothing until it has changed its role.
type roleSwitch struct {
	left time.Duration
	role persimmoncart.Role
}

// switchTime is the time for which an engine serves nothing when it changes its
// role.
const switchTime = 6 * time.Second

// testLoads returns the loads of engines, first those that prefill and then those
// that decode. Each is in use to the given share.
func testLoads(prefill, decode int, prefillShare, decodeShare float64) []policy.EngineLoad {
	var list []policy.EngineLoad
	for n := range prefill + decode {
		l := policy.EngineLoad{Share: decodeShare, Endpoint: persimmoncart.Endpoint{
			DataCentre: persimmoncart.DataCentre(fmt.Sprint("d", n%2)), ID: persimmoncart.EndpointID(fmt.Sprintf("e%02d", n)),
			Role: persimmoncart.RoleDecode,
		}}
		if n < prefill {
			l.Endpoint.Role, l.Share = persimmoncart.RolePrefill, prefillShare
		}
		list = append(list, l)
	}
	return list
}

// step passes a second: requests are served, the balancer observes the loads, and
// its changes are begun.
func (p *rolePool) step(b *policy.RoleBalancer, now time.Time) {
	var changing []roleSwitch
	for _, s := range p.changing {
		s.left -= time.Second
		switch {
		case s.left > 0:
			changing = append(changing, s)
		case s.role == persimmoncart.RolePrefill:
			p.prefill++
		default:
			p.decode++
		}
	}
	p.changing = changing
	room := float64(p.decode)*p.lifetime/p.decodeS - p.inDecode
	ended := p.inDecode * (1 - math.Exp(-1/p.lifetime))
	served := max(0, min(p.arrivals, float64(p.prefill)/p.prefillS, room+ended))
	p.inDecode += served - ended
	jitter := func(share float64) float64 {
		if p.noise != nil {
			share *= 1 + 0.25*p.noise.NormFloat64()/math.Sqrt(float64(p.prefill+p.decode))
		}
		return min(1, max(0, share))
	}
	loads := testLoads(p.prefill, p.decode, jitter(served*p.prefillS/float64(p.prefill)), jitter(p.inDecode*p.decodeS/p.lifetime/float64(p.decode)))
	b.Observe(now, loads, p.decode, p.prefill)
	for _, c := range b.Plan(loads, len(p.changing)) {
		p.orders++
		p.changing = append(p.changing, roleSwitch{left: switchTime, role: c.Role})
		if c.Role == persimmoncart.RolePrefill {
			p.toPrefill++
			p.decode--
		} else {
			p.prefill--
		}
	}
}

// run passes a time with one balancer.
func (p *rolePool) run(b *policy.RoleBalancer, start time.Time, length time.Duration) {
	for at := time.Duration(0); at < length; at += time.Second {
		p.step(b, start.Add(at))
	}
}

// Guards against prefill engines that idle while decode engines refuse requests, and
// the reverse, as traffic shifts between long responses and long prompts, and
// against plans that oscillate.
func TestRoleBalancerFollowsTraffic(t *testing.T) {
	for _, c := range []struct {
		name            string
		prefill, decode int
		prefillS        float64
		want, orders    int
	}{
		{name: "too many prefill engines", prefill: 6, decode: 12, prefillS: 0.1, want: 3, orders: 3},
		{name: "a third prefill, a tenth needed", prefill: 15, decode: 29, prefillS: 0.055, want: 4, orders: 11},
		{name: "fits", prefill: 3, decode: 15, prefillS: 0.1, want: 3},
		{name: "too few prefill engines", prefill: 1, decode: 17, prefillS: 0.2, want: 4, orders: 3},
		{name: "long prompts", prefill: 2, decode: 10, prefillS: 1, want: 8, orders: 6},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := &rolePool{arrivals: 500, decode: c.decode, decodeS: 0.5, lifetime: 4, prefill: c.prefill, prefillS: c.prefillS}
			p.run(&policy.RoleBalancer{}, time.Unix(0, 0), 2*time.Minute)
			assert.Equal(t, p.prefill, c.want)
			assert.Equal(t, p.orders, c.orders)
		})
	}
}

// Guards against plans that follow noise or a burst: each change takes an engine out
// of service for longer than the burst lasts. In a pool that needs no change, at
// most two engines or a tenth of them change.
func TestRoleBalancerSteady(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.IntRange(4, 40).Draw(t, "engines")
		prefill := max(1, engines/5)
		decodeS := 0.1 * float64(engines-prefill) / float64(prefill) // fits exactly
		p := &rolePool{
			arrivals: 500, decode: engines - prefill, decodeS: decodeS, lifetime: 4, prefill: prefill, prefillS: 0.1,
			noise: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		}
		b := &policy.RoleBalancer{}
		p.run(b, time.Unix(0, 0), time.Minute)
		p.prefillS *= 1.6 // a burst of long prompts
		p.run(b, time.Unix(60, 0), 4*time.Second)
		p.prefillS /= 1.6
		p.run(b, time.Unix(64, 0), time.Minute)
		assert.Assert(t, p.orders <= max(2, engines/10), "%d orders for %d engines", p.orders, engines)
	})
}

// Guards against a region left without one of the two roles.
func TestRoleBalancerKeepsOneOfEach(t *testing.T) {
	decodeOnly := &rolePool{arrivals: 500, decode: 3, decodeS: 30, lifetime: 60, prefill: 3, prefillS: 0.001}
	decodeOnly.run(&policy.RoleBalancer{}, time.Unix(0, 0), 5*time.Minute)
	assert.Equal(t, decodeOnly.prefill, 1)
	prefillOnly := &rolePool{arrivals: 500, decode: 3, decodeS: 0.001, lifetime: 0.1, prefill: 3, prefillS: 10}
	prefillOnly.run(&policy.RoleBalancer{}, time.Unix(0, 0), 5*time.Minute)
	assert.Equal(t, prefillOnly.decode, 1)
	lost := &policy.RoleBalancer{}
	loads := testLoads(0, 6, 0, 0.9)
	lost.Observe(time.Unix(0, 0), loads, 6, 0)
	lost.Observe(time.Unix(1, 0), loads, 6, 0)
	assert.Equal(t, len(lost.Plan(loads, 0)), 1, "no prefill engine is left")
}

// Guards against taking prefill engines away at a load that all engines serve: the
// decode engines that read prompts in their place look like a lack of decode
// engines, which would take even more prefill engines away.
func TestRoleBalancerKeepsPrefill(t *testing.T) {
	for _, c := range []struct {
		name                      string
		prefillShare, decodeShare float64
		changes                   int
	}{
		{name: "decode engines have room", prefillShare: 0.3, decodeShare: 0.75},
		{name: "prefill engines are in use", prefillShare: 0.75, decodeShare: 0.95},
		{name: "decode engines are full", prefillShare: 0.25, decodeShare: 0.95, changes: 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := &policy.RoleBalancer{}
			loads := testLoads(8, 32, c.prefillShare, c.decodeShare)
			for n := range 60 {
				b.Observe(time.Unix(int64(n), 0), loads, 32, 8)
			}
			assert.Equal(t, len(b.Plan(loads, 0)), c.changes)
		})
	}
}

// Guards against changes before there is load, at a load that all engines serve
// easily, and against a second change before the loads show the effect of the first.
func TestRoleBalancerWaits(t *testing.T) {
	b := &policy.RoleBalancer{}
	assert.Equal(t, len(b.Plan(testLoads(6, 12, 0, 0), 0)), 0)
	b.Observe(time.Unix(0, 0), testLoads(6, 12, 0, 0), 12, 6)
	b.Observe(time.Unix(30, 0), testLoads(6, 12, 0.05, 0.3), 12, 6)
	assert.Equal(t, len(b.Plan(testLoads(6, 12, 0.05, 0.3), 0)), 0)
	b.Observe(time.Unix(60, 0), testLoads(6, 12, 0.1, 0.9), 12, 6)
	assert.Assert(t, len(b.Plan(testLoads(6, 12, 0.1, 0.9), 0)) > 0)
	assert.Equal(t, len(b.Plan(testLoads(6, 12, 0.1, 0.9), 1)), 0)
}

// Guards against wrong changes when traffic begins: the prefill engines are at work
// at once, while the decode engines fill for the time of a generation, so that
// decode engines seemed too many at peak load. More traffic must not bring this
// about either.
func TestRoleBalancerStart(t *testing.T) {
	for _, rate := range []float64{4, 40, 400} { // generations a second
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			p := &rolePool{arrivals: 0, decode: 5, decodeS: 0.5, lifetime: 4, prefill: 3, prefillS: 0.23}
			b := &policy.RoleBalancer{}
			p.run(b, time.Unix(0, 0), 10*time.Second)
			p.arrivals = rate
			p.run(b, time.Unix(10, 0), 30*time.Second)
			assert.Equal(t, p.toPrefill, 0)
		})
	}
}

// Guards against a change of an engine that other instances have filled, which
// serves nothing until their responses have ended, while an idle one is there.
func TestRoleBalancerLeastUsed(t *testing.T) {
	loads := testLoads(4, 4, 0.1, 0.9)
	for n := range loads {
		loads[n].Endpoint.DataCentre = "d0"
		if n != 2 {
			loads[n].Requests = 6
		}
	}
	b := &policy.RoleBalancer{}
	b.Observe(time.Unix(0, 0), loads, 4, 4)
	b.Observe(time.Unix(1, 0), loads, 4, 4)
	changes := b.Plan(loads, 0)
	assert.Assert(t, len(changes) > 0)
	assert.Equal(t, changes[0].Endpoint.ID, loads[2].Endpoint.ID)
}

// Guards against a load that is not the scarcer of memory and slots, or above the
// whole engine when its report is.
func TestNewEngineLoad(t *testing.T) {
	decode := persimmoncart.Endpoint{Role: persimmoncart.RoleDecode, Slots: 10}
	prefill := persimmoncart.Endpoint{Role: persimmoncart.RolePrefill, Slots: 10}
	for _, c := range []struct {
		name     string
		endpoint persimmoncart.Endpoint
		state    persimmoncart.RoleState
		share    float64
	}{
		{"memory", decode, persimmoncart.RoleState{Running: 3, Tokens: 1000, UsedTokens: 900}, 0.9},
		{"slots", decode, persimmoncart.RoleState{Running: 8, Tokens: 1000, UsedTokens: 100}, 0.8},
		{"absurd", decode, persimmoncart.RoleState{Running: 80, Tokens: 10, UsedTokens: 100}, 1},
		{"no memory reported", decode, persimmoncart.RoleState{Running: 1}, 0.1},
		{"prefill idle", prefill, persimmoncart.RoleState{Tokens: 1000, UsedTokens: 900}, 0},
		{"prefill waiting", prefill, persimmoncart.RoleState{Running: 1, Waiting: 4}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, policy.NewEngineLoad(c.endpoint, &c.state).Share, c.share)
		})
	}
}
