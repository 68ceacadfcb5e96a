package soak

import (
	"context"
	"time"

	"github.com/persimmoncart/persimmoncart/internal/timer"
)

const (
	// replicaWorkTime is the mean work time of replicas.
	replicaWorkTime = 15 * time.Millisecond
	// slowdownFactor is the factor by which the work time of slow replicas grows.
	slowdownFactor = 12
	// slowdownShare is the share of FaultDuration after which replicas become slow.
	slowdownShare = 0.25
)

// workTime returns the work time of the n-th replica: one of each role is slower than the
// mean and one faster.
func workTime(n int) time.Duration {
	return replicaWorkTime * time.Duration([]int{6, 10, 18}[n%3]) / 10
}

// slowReplicas returns the replicas that become slow during the faults: an application
// endpoint and an engine.
func (s *Soak) slowReplicas() []*replica { return []*replica{s.replicas[1], s.replicas[5]} }

// startSlowdown makes replicas slow after a part of the faults, until the function that it
// returns is called.
func (s *Soak) startSlowdown(ctx context.Context) (end func()) {
	ctx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if (&timer.System{}).Sleep(ctx, time.Duration(slowdownShare*float64(s.FaultDuration))) != nil {
			return
		}
		for _, r := range s.slowReplicas() {
			p := r.running()
			p.SetSlowdown(slowdownFactor)
			s.logf("%s is %d times slower", p.ID, slowdownFactor)
			defer p.SetSlowdown(1)
		}
		<-ctx.Done()
	}()
	return func() {
		stop()
		<-done
	}
}

// watchRecovered returns a function that checks that replicas that were slow have got
// requests since the call.
func (s *Soak) watchRecovered() (check func()) {
	before := make(map[*replica]int64)
	for _, r := range s.slowReplicas() {
		before[r] = r.requests.Load()
		if s.Violate == Recovered {
			s.store.Delete("servers", r.running().ID)
		}
	}
	if s.Violate == Recovered {
		time.Sleep(drainTime)
		for r := range before {
			before[r] = r.requests.Load()
		}
	}
	return func() {
		for r, n := range before {
			if r.requests.Load() == n {
				s.recorder.addViolation(Recovered, "%s got no request after it was slow", r.running().ID)
			}
		}
	}
}
