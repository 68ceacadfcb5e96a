package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/persimmoncart/persimmoncart/internal/timer"
)

const (
	// meanReleaseStep is the mean time between the replacements of two engines by a
	// release of their software.
	meanReleaseStep = 400 * time.Millisecond
	// releasePause is the time between two releases.
	releasePause = 2500 * time.Millisecond
	// unannouncedShare is the share of engines that leave without saying so: their record
	// is removed.
	unannouncedShare = 0.3
	// departureTime is the time for which an engine that has left still serves.
	departureTime = drainTime + time.Second
)

// startReleases has replicas refuse requests, and repeat refusals, and replaces the
// engines by ones with later versions of the software, one after the other and again and
// again, until the function that it returns is called.
func (s *Soak) startReleases(ctx context.Context) (end func()) {
	for _, r := range s.replicas {
		r.fault.setRefusals(rand.New(rand.NewPCG(s.Seed, uint64(1000+r.number))))
	}
	random := rand.New(rand.NewPCG(s.Seed, 2))
	releasing, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for version := 2; releasing.Err() == nil; version++ {
			s.release(ctx, releasing, random, fmt.Sprintf("v%d", version))
			_ = (&timer.System{}).Sleep(releasing, releasePause) // the end of releasing ends the loop
		}
	}()
	return func() {
		stop()
		<-done
		for _, r := range s.replicas {
			r.fault.setRefusals(nil)
		}
	}
}

// release replaces the engines one after the other until releasing is done.
func (s *Soak) release(ctx, releasing context.Context, random *rand.Rand, version string) {
	for _, r := range s.replicas {
		if r.service != serviceLLM {
			continue
		}
		step := time.Duration(random.ExpFloat64() * float64(meanReleaseStep))
		announced := random.Float64() >= unannouncedShare
		if (&timer.System{}).Sleep(releasing, step) != nil {
			return
		}
		s.replace(ctx, r, version, announced)
	}
}

// replace starts a process of a replica with another version, and has the one before
// leave. A replica that has crashed gets the version with its next start.
func (s *Soak) replace(ctx context.Context, r *replica, version string, announced bool) {
	r.setSoftware(version)
	old := r.running()
	if old.HasCrashed() {
		return
	}
	role := old.CurrentRole()
	if announced {
		r.drainingSince = time.Now()
		s.putEndpoint(r)
		r.drainingSince = time.Time{}
	} else {
		s.store.Delete("servers", old.ID)
	}
	if err := s.startReplica(ctx, r, role); err != nil {
		s.logf("%s does not start at %s: %v", old.ID, version, err)
		return
	}
	s.logf("%s (%s) is replaced by %s (%s)", old.ID, old.Software, r.running().ID, version)
	s.restarts.Go(func() {
		_ = (&timer.System{}).Sleep(ctx, departureTime) // at the end of the soak it ends at once
		s.store.Delete("servers", old.ID)
		old.proxy.Close()
	})
}
