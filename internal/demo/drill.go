package demo

import (
	"context"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/application"
	"github.com/persimmoncart/persimmoncart/internal/engine"
	"github.com/persimmoncart/persimmoncart/internal/fakes"
)

// lostWrites is how many writes of the store get lost at a time in a drill.
const lostWrites = 3

// A fault is one disturbance of a drill.
type fault struct {
	from, to int // percent of the run
	name     string
	set      func(on bool)
}

// drill disturbs the fakes of p over a run of d, one kind of fault after the
// other, some at the same time, and leaves all of them sound.
func drill(ctx context.Context, p *fakes.Platform, d time.Duration, timer persimmoncart.Timer) error {
	faults := drillFaults(p)
	defer func() {
		for _, f := range faults {
			f.set(false)
		}
	}()
	const steps = 100
	for step := range steps {
		for _, f := range faults {
			if f.from == step || f.to == step {
				f.set(f.from == step)
				p.Log.Info().Str("fault", f.name).Bool("on", f.from == step).Msg("drill")
			}
		}
		if err := timer.Sleep(ctx, d/steps); err != nil {
			return err
		}
	}
	return nil
}

// drillFaults returns the faults of a drill.
func drillFaults(p *fakes.Platform) []fault {
	decode, prefill := engines(p, persimmoncart.RoleDecode), engines(p, persimmoncart.RolePrefill)
	onEngine := func(name string, e *engine.Fake, from, to int, set func(f *engine.Faults, on bool)) fault {
		return fault{from: from, to: to, name: name, set: func(on bool) {
			e.Change(func(f *engine.Faults) { set(f, on) })
		}}
	}
	onApplication := func(name string, a *application.Fake, from, to int, set func(f *application.Faults, on bool)) fault {
		return fault{from: from, to: to, name: name, set: func(on bool) {
			a.Change(func(f *application.Faults) { set(f, on) })
		}}
	}
	last := len(decode) - 1
	return []fault{
		onEngine("decode engine dies", decode[0], 5, 25, func(f *engine.Faults, on bool) { f.Down = on }),
		onEngine("decode engine is slow", decode[1], 10, 60, func(f *engine.Faults, on bool) { f.Slow = factor(on) }),
		onEngine("decode engine sends garbage", decode[last], 30, 40, func(f *engine.Faults, on bool) { f.Garbage = on }),
		onEngine("decode engine crosses answers", decode[last], 45, 55, func(f *engine.Faults, on bool) { f.Cross = on }),
		onEngine("decode engine breaks streams", decode[0], 60, 70, func(f *engine.Faults, on bool) { f.Stop = number(on, 5) }),
		onEngine("decode engine skips a token", decode[last], 70, 80, func(f *engine.Faults, on bool) { f.Skip = number(on, 7) }),
		onEngine("transfers stall", decode[1], 75, 85, func(f *engine.Faults, on bool) { f.Stall = on }),
		onEngine("prefill engine leaves", prefill[0], 15, 45, func(f *engine.Faults, on bool) { f.Leaving = on }),
		onEngine("prefill engine dies", prefill[len(prefill)-1], 50, 65, func(f *engine.Faults, on bool) { f.Down = on }),
		onApplication("application refuses", p.Applications[0], 5, 15, func(f *application.Faults, on bool) { f.Refuse = on }),
		onApplication("application fails after acting", p.Applications[1], 20, 30, func(f *application.Faults, on bool) { f.Fail = on }),
		onApplication("application cuts answers", p.Applications[0], 35, 45, func(f *application.Faults, on bool) { f.Truncate = on }),
		onApplication("application crosses answers", p.Applications[1], 50, 60, func(f *application.Faults, on bool) { f.Cross = on }),
		onApplication("application is slow", p.Applications[2], 40, 70, func(f *application.Faults, on bool) { f.Slow = 10 * factor(on) }),
		onApplication("application leaves", p.Applications[0], 75, 90, func(f *application.Faults, on bool) { f.Leaving = on }),
		{from: 12, to: 13, name: "store loses answers", set: func(on bool) { p.Faulty.LoseResponses(number(on, lostWrites)) }},
		{from: 18, to: 19, name: "store loses requests", set: func(on bool) { p.Faulty.DropRequests(number(on, lostWrites)) }},
		{from: 62, to: 72, name: "store is down", set: func(on bool) { p.Faulty.SetDown(on) }},
		{from: 80, to: 90, name: "store is slow", set: func(on bool) { p.Faulty.SetDelay(time.Duration(number(on, int(200*time.Millisecond)))) }},
	}
}

// engines returns the fakes with a role.
func engines(p *fakes.Platform, role persimmoncart.Role) []*engine.Fake {
	var list []*engine.Fake
	for _, e := range p.Engines {
		if e.Role == role {
			list = append(list, e)
		}
	}
	return list
}

// factor returns the factor of a slow endpoint; zero is none.
func factor(on bool) float64 { return float64(number(on, 8)) }

// number returns n if on is set, and zero otherwise.
func number(on bool, n int) int {
	if on {
		return n
	}
	return 0
}
