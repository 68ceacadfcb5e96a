// Command 5 shows that a stream whose engine crashes before its first event loses that
// event when it goes on at another engine, if events are numbered from zero.
package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/persimmoncart/persimmoncart/review/internal/rig"
)

const (
	route = "summary"
	// decodeEngines is the number of decode engines, of which one crashes.
	decodeEngines = 6
	// events is the number of events of a stream.
	events = 20
	// streams are sent streamInterval apart; an engine crashes while it has at least
	// pendingStreams that have begun without an event.
	streams        = 60
	streamInterval = 40 * time.Millisecond
	pendingStreams = 2
)

func main() { rig.Main("review/5", run) }

func run(ctx context.Context, r *rig.Rig) int {
	var engines []*rig.Engine
	for n := range decodeEngines {
		e := &rig.Engine{Events: events, FirstEvent: 250 * time.Millisecond, Interval: 60 * time.Millisecond, Name: fmt.Sprintf("i-%d", n)}
		e.Start(ctx, r)
		engines = append(engines, e)
	}
	rig.StartPrefill(ctx, r, "i-p")
	r.PutStreamRoute(route)
	p := r.Start("edge-sfax-hall1-1", "sfax-hall1")
	if rig.Trouble() {
		go crashOne(ctx, r, engines)
	}
	whole := engines[0].Whole()
	var group sync.WaitGroup
	var mutex sync.Mutex
	complete, missing, failed := 0, 0, 0
	for n := range streams {
		group.Go(func() {
			id := fmt.Sprintf("%x", 0xa000+n)
			body, err := rig.SendStream(ctx, p, route, id)
			mutex.Lock()
			defer mutex.Unlock()
			verdict := "whole"
			switch {
			case err != nil:
				failed++
				verdict = "not complete: " + err.Error()
			case body != whole:
				missing++
				verdict = "ends as complete, with a piece missing"
			default:
				complete++
			}
			r.Recordf("%s: sent, ran at %q, answered with %d of %d events, the first is %q: %s", id, rig.RanAt(engines, id),
				strings.Count(body, "\n\n"), events, strings.SplitN(body, "\n", 2)[0], verdict)
		})
		time.Sleep(streamInterval)
	}
	group.Wait()
	r.Recordf("%d streams sent: %d whole, %d complete with a piece missing, %d not complete", streams, complete, missing, failed)
	switch {
	case missing > 0:
		return rig.Broken
	case !rig.Trouble() && complete < streams:
		return rig.CouldNot
	}
	return rig.Held
}

// crashOne ends the first engine that has begun pendingStreams without an event, once
// half of the streams have been sent.
func crashOne(ctx context.Context, r *rig.Rig, engines []*rig.Engine) {
	time.Sleep(streams / 2 * streamInterval)
	for ; ctx.Err() == nil; time.Sleep(time.Millisecond) {
		for _, e := range engines {
			if pending := e.Pending(); pending >= pendingStreams {
				r.Recordf("%s crashes with %d streams that have begun and have no event yet", e.Name, pending)
				e.Crash()
				return
			}
		}
	}
}
