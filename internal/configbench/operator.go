package configbench

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/config"
)

const (
	// raceShare is the share of edits that meet a second one on the same objects.
	raceShare = 0.1
	// thinkTime bounds the time between what an operator reads and the edit.
	thinkTime   = 20 * time.Second
	retryPeriod = 10 * time.Second
	poolCount   = 4
)

// initial returns the first configuration: pools of engines with routes, and
// accounts and endpoints in the proportion of the plan (19 to 11).
func initial(objects int) []persimmoncart.ConfigChange {
	var specs []config.Spec
	for i := range poolCount {
		name := fmt.Sprintf("pool-%d", i)
		specs = append(specs,
			&config.PoolSpec{Name: name, First: config.DefaultFirst, Models: []string{"model-" + name}, Pace: config.DefaultPace},
			&config.RouteSpec{
				Name: "route-" + name, Body: config.DefaultBody, Class: persimmoncart.ClassBatch, Limit: config.DefaultLimit,
				Models: []string{"model-" + name}, Pool: name, Timeout: config.DefaultTimeout,
			})
	}
	for i := range objects {
		if i%30 < 19 {
			name := fmt.Sprintf("account-%05d", i)
			specs = append(specs, &config.AccountSpec{
				Name: name, Burst: 10, Class: persimmoncart.ClassBatch, Keys: []config.KeyHash{config.HashKey(name)}, Rate: 5, Weight: 1,
			})
			continue
		}
		specs = append(specs, &config.EndpointSpec{
			Name: fmt.Sprintf("engine-%05d", i), Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8000),
			Blocks: 640, Centre: fmt.Sprintf("centre-%02d", i%centreCount), Models: []string{fmt.Sprintf("model-pool-%d", i%poolCount)},
			Pool: fmt.Sprintf("pool-%d", i%poolCount), Region: fmt.Sprintf("region-%d", i%centreCount%regionCount),
			Role: persimmoncart.RoleDecode, Slots: 20,
		})
	}
	var entries []persimmoncart.ConfigChange
	for _, s := range specs {
		entries = append(entries, persimmoncart.ConfigChange{After: config.Encode(s), Key: keyOf(s)})
	}
	return entries
}

// keyOf returns the key of a spec made here.
func keyOf(s config.Spec) string {
	switch x := s.(type) {
	case *config.AccountSpec:
		return "account/" + x.Name
	case *config.EndpointSpec:
		return "endpoint/" + x.Name
	case *config.PoolSpec:
		return "pool/" + x.Name
	case *config.RouteSpec:
		return "route/" + x.Name
	default:
		return ""
	}
}

// edit lets one operator, or two that race, change some objects.
func (b *Bench) edit() {
	count := 1 + b.random.IntN(3)
	picks := make([]int, count)
	for i := range picks {
		picks[i] = b.random.IntN(b.Objects)
	}
	operators := 1
	if b.random.Float64() < raceShare {
		operators = 2
	}
	for range operators {
		b.operator++
		id := fmt.Sprintf("edit-%d", b.operator)
		value := 1 + b.random.IntN(500)
		n := b.world.nodes[b.random.IntN(b.Nodes)]
		think := time.Duration(b.random.Int64N(int64(thinkTime)))
		b.world.scheduler.Go(func() { b.operate(n, id, picks, value, think) })
	}
}

// operate makes one edit at a node and repeats it until its end is known.
func (b *Bench) operate(n *node, id string, picks []int, value int, think time.Duration) {
	ctx := context.Background()
	s := b.world.scheduler
	changes := b.changes(n.distributor.Snapshot(), n.distributor.Copy().State, picks, value)
	if len(changes) == 0 || s.Sleep(ctx, think) != nil {
		return
	}
	e := &config.Editor{
		Archive: &config.Archive{Store: &store{platform: b.platform, region: n.self.Region}},
		Local:   n.distributor.Copy,
		Random:  b.random.Float64,
		Timer:   s,
	}
	for {
		r, err := e.Apply(ctx, config.Edit{Author: "operator-" + id, Changes: changes, ID: id})
		var conflict *config.EditConflictError
		switch {
		case err == nil:
			if r.Changes != nil {
				b.measure.accepted[id] = r.Version
			}
			return
		case errors.As(err, &conflict):
			b.measure.conflicts++
			b.measure.refused[id] = true
			return
		}
		if s.Sleep(ctx, retryPeriod) != nil {
			return
		}
	}
}

// changes returns new content for some objects of what the operator sees.
func (b *Bench) changes(seen *persimmoncart.Snapshot, state *config.State, picks []int, value int) []persimmoncart.ConfigChange {
	var out []persimmoncart.ConfigChange
	done := map[int]bool{}
	for _, i := range picks {
		if done[i] {
			continue
		}
		done[i] = true
		var spec config.Spec
		if i%30 < 19 {
			a := seen.Accounts[persimmoncart.AccountID(fmt.Sprintf("account-%05d", i))]
			if a == nil {
				continue
			}
			spec = &config.AccountSpec{
				Name: string(a.Name), Burst: a.Burst, Class: a.Class, Keys: []config.KeyHash{config.HashKey(string(a.Name))},
				Rate: float64(value), Weight: a.Weight,
			}
		} else {
			e := seen.Endpoints[persimmoncart.EndpointID(fmt.Sprintf("engine-%05d", i))]
			if e == nil {
				continue
			}
			spec = &config.EndpointSpec{
				Name: string(e.ID), Addr: e.Addr, Blocks: e.Blocks, Centre: string(e.DataCentre), Models: []string{string(e.Models[0])},
				Pool: string(e.Pool), Region: string(e.Region), Role: e.Role, Slots: value,
			}
		}
		key := keyOf(spec)
		out = append(out, persimmoncart.ConfigChange{After: config.Encode(spec), Before: state.Get(key), Key: key})
	}
	return out
}
