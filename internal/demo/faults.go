package demo

import (
	"context"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/application"
	"github.com/persimmoncart/persimmoncart/internal/engine"
	"github.com/persimmoncart/persimmoncart/internal/fakes"
)

// lostStoreWrites is the number of consecutive store writes that a fault loses.
const lostStoreWrites = 3

// A scheduledFault is one fault with its time in the run.
type scheduledFault struct {
	startPercent, endPercent int // of the run's duration
	name                     string
	set                      func(on bool) // starts or ends the fault
}

// injectFaults starts and ends the scheduled faults of the fakes over a run of length
// d. Some overlap. All are ended when it returns.
func injectFaults(ctx context.Context, p *fakes.Platform, d time.Duration, timer persimmoncart.Timer) error {
	faults := faultSchedule(p)
	defer func() {
		for _, f := range faults {
			f.set(false)
		}
	}()
	const steps = 100
	for step := range steps {
		for _, f := range faults {
			if f.startPercent == step || f.endPercent == step {
				f.set(f.startPercent == step)
				p.Log.Info().Str("fault", f.name).Bool("on", f.startPercent == step).Msg("drill")
			}
		}
		if err := timer.Sleep(ctx, d/steps); err != nil {
			return err
		}
	}
	return nil
}

// faultSchedule returns the scheduled faults of a run.
func faultSchedule(p *fakes.Platform) []scheduledFault {
	decode, prefill := enginesByRole(p, persimmoncart.RoleDecode), enginesByRole(p, persimmoncart.RolePrefill)
	onEngine := func(name string, e *engine.Fake, start, end int, set func(f *engine.Faults, on bool)) scheduledFault {
		return scheduledFault{startPercent: start, endPercent: end, name: name, set: func(on bool) {
			e.Change(func(f *engine.Faults) { set(f, on) })
		}}
	}
	onApplication := func(name string, a *application.Fake, start, end int, set func(f *application.Faults, on bool)) scheduledFault {
		return scheduledFault{startPercent: start, endPercent: end, name: name, set: func(on bool) {
			a.Change(func(f *application.Faults) { set(f, on) })
		}}
	}
	last := len(decode) - 1
	return []scheduledFault{
		onEngine("decode engine dies", decode[0], 5, 25, func(f *engine.Faults, on bool) { f.Down = on }),
		onEngine("decode engine is slow", decode[1], 10, 60, func(f *engine.Faults, on bool) { f.Slow = slowdown(on) }),
		onEngine("decode engine sends garbage", decode[last], 30, 40, func(f *engine.Faults, on bool) { f.Garbage = on }),
		onEngine("decode engine crosses answers", decode[last], 45, 55, func(f *engine.Faults, on bool) { f.Cross = on }),
		onEngine("decode engine breaks streams", decode[0], 60, 70, func(f *engine.Faults, on bool) { f.Stop = valueIf(on, 5) }),
		onEngine("decode engine skips a token", decode[last], 70, 80, func(f *engine.Faults, on bool) { f.Skip = valueIf(on, 7) }),
		onEngine("transfers stall", decode[1], 75, 85, func(f *engine.Faults, on bool) { f.Stall = on }),
		onEngine("prefill engine leaves", prefill[0], 15, 45, func(f *engine.Faults, on bool) { f.Leaving = on }),
		onEngine("prefill engine dies", prefill[len(prefill)-1], 50, 65, func(f *engine.Faults, on bool) { f.Down = on }),
		onApplication("application refuses", p.Applications[0], 5, 15, func(f *application.Faults, on bool) { f.Refuse = on }),
		onApplication("application fails after acting", p.Applications[1], 20, 30, func(f *application.Faults, on bool) { f.Fail = on }),
		onApplication("application cuts answers", p.Applications[0], 35, 45, func(f *application.Faults, on bool) { f.Truncate = on }),
		onApplication("application crosses answers", p.Applications[1], 50, 60, func(f *application.Faults, on bool) { f.Cross = on }),
		onApplication("application is slow", p.Applications[2], 40, 70, func(f *application.Faults, on bool) { f.Slow = 10 * slowdown(on) }),
		onApplication("application leaves", p.Applications[0], 75, 90, func(f *application.Faults, on bool) { f.Leaving = on }),
		{startPercent: 12, endPercent: 13, name: "store loses answers", set: func(on bool) { p.Faulty.LoseResponses(valueIf(on, lostStoreWrites)) }},
		{startPercent: 18, endPercent: 19, name: "store loses requests", set: func(on bool) { p.Faulty.DropRequests(valueIf(on, lostStoreWrites)) }},
		{startPercent: 62, endPercent: 72, name: "store is down", set: func(on bool) { p.Faulty.SetDown(on) }},
		{startPercent: 80, endPercent: 90, name: "store is slow", set: func(on bool) { p.Faulty.SetDelay(time.Duration(valueIf(on, int(200*time.Millisecond)))) }},
	}
}

// enginesByRole returns the fake engines with a role.
func enginesByRole(p *fakes.Platform, role persimmoncart.Role) []*engine.Fake {
	var list []*engine.Fake
	for _, e := range p.Engines {
		if e.Role == role {
			list = append(list, e)
		}
	}
	return list
}

// slowdown returns the factor by which a slow endpoint is delayed if on is set, and
// zero (no slowdown) otherwise.
func slowdown(on bool) float64 { return float64(valueIf(on, 8)) }

// valueIf returns n if on is set, and zero otherwise.
func valueIf(on bool, n int) int {
	if on {
		return n
	}
	return 0
}
