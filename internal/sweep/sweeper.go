// Package sweep cancels the work that ended instances left on engines.
package sweep

import (
	"context"
	"maps"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/persimmoncart/persimmoncart"
)

// Periods; see docs/design.md section 8.9. Work of a dead instance ends within
// 3 s of a refused connection or a newer incarnation: one period and two calls.
const (
	callTimeout         = time.Second
	period              = 10 * time.Second // between sweeps when no instance has ended
	urgentPeriod        = time.Second      // between sweeps of an engine after an instance has ended
	urgentSweeps        = 5                // sweeps after a death; an engine may list work late
	maxDeadIncarnations = 4096             // ended incarnations remembered
)

// A Sweeper compares the work on the replicas that this instance owns with the
// instances that are proven dead. Set the fields before Run.
type Sweeper struct {
	AssignedEngines func() []persimmoncart.Endpoint // engines that this instance owns now
	Engines         persimmoncart.Engines
	Log             zerolog.Logger
	Members         persimmoncart.Members
	Spawn           func(func()) // runs calls that wait; nil starts a goroutine
	Timer           persimmoncart.Timer

	cancelled  int
	dead       map[persimmoncart.Tag]bool
	mutex      sync.Mutex
	nextSweep  time.Time
	running    map[netip.AddrPort]bool
	urgentLeft int // sweeps still to be made at the short period
}

// Run sweeps until ctx is done.
func (s *Sweeper) Run(ctx context.Context) error {
	stop := s.Start(ctx)
	defer stop()
	<-ctx.Done()
	return nil
}

// Start subscribes to members and time; the returned function ends it.
func (s *Sweeper) Start(ctx context.Context) (stop func()) {
	s.running = map[netip.AddrPort]bool{}
	s.dead = map[persimmoncart.Tag]bool{}
	if s.Spawn == nil {
		s.Spawn = func(f func()) { go f() }
	}
	stopMembers := s.Members.Subscribe(s.membersChanged)
	s.membersChanged(s.Members.View())
	stopTimer := s.Timer.Subscribe(urgentPeriod, func(now time.Time) { s.tick(ctx, now) })
	return func() {
		stopTimer()
		stopMembers()
	}
}

// Cancelled returns the number of pieces of work cancelled so far.
func (s *Sweeper) Cancelled() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.cancelled
}

// membersChanged remembers incarnations that are proven to have ended. Suspects are
// not among them: they may be paused and come back.
func (s *Sweeper) membersChanged(members []persimmoncart.Member) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, m := range members {
		if m.State == persimmoncart.MemberAlive {
			s.urgentLeft = urgentSweeps // it may have replaced an earlier incarnation
		}
		if m.State != persimmoncart.MemberDead {
			continue
		}
		if len(s.dead) >= maxDeadIncarnations {
			maps.DeleteFunc(s.dead, func(persimmoncart.Tag, bool) bool { return true }) // deadlines end older work
		}
		s.dead[m.Instance.Tag()] = true
		s.urgentLeft = urgentSweeps
	}
}

// tick starts a sweep when it is due.
func (s *Sweeper) tick(ctx context.Context, now time.Time) {
	s.mutex.Lock()
	due := s.urgentLeft > 0 || !now.Before(s.nextSweep)
	if due {
		s.urgentLeft = max(0, s.urgentLeft-1)
		s.nextSweep = now.Add(period)
	}
	s.mutex.Unlock()
	if !due {
		return
	}
	for _, e := range s.AssignedEngines() {
		if e.Role != persimmoncart.RoleApplication && s.begin(e.Addr) {
			s.Spawn(func() {
				defer s.end(e.Addr)
				if err := s.sweepEngine(ctx, &e); err != nil {
					s.Log.Warn().Err(err).Str("endpoint", string(e.ID)).Msg("sweep failed")
				}
			})
		}
	}
}

// begin reports whether no sweep of the engine is running.
func (s *Sweeper) begin(addr netip.AddrPort) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.running[addr] {
		return false
	}
	s.running[addr] = true
	return true
}

// end marks the end of a sweep.
func (s *Sweeper) end(addr netip.AddrPort) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.running, addr)
}

// sweepEngine cancels the work on one engine whose instance is dead or whose deadline
// has passed.
func (s *Sweeper) sweepEngine(ctx context.Context, e *persimmoncart.Endpoint) error {
	engine := s.Engines.Engine(e.Addr)
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	work, err := engine.ListWork(bounded)
	cancel()
	if err != nil {
		return errors.Wrap(err, "list work")
	}
	now, newest := s.Timer.Now(), s.newest()
	for _, w := range work {
		if w.Tag.Incarnation >= newest[w.Tag.Instance] && !s.abandoned(now, &w) {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, callTimeout)
		err := engine.Cancel(bounded, w.Attempt)
		cancel()
		if err != nil {
			return errors.Wrapf(err, "cancel %s", w.Attempt)
		}
		s.mutex.Lock()
		s.cancelled++
		s.mutex.Unlock()
		s.Log.Info().Str("attempt", w.Attempt.String()).Str("endpoint", string(e.ID)).Str("instance", string(w.Tag.Instance)).Msg("work cancelled")
	}
	return nil
}

// newest returns the newest incarnation of each instance. An instance that was
// replaced under its identifier proves by itself that its predecessor has ended,
// also to itself, when it is the only one left to own the replica.
func (s *Sweeper) newest() map[persimmoncart.InstanceID]persimmoncart.Incarnation {
	self := s.Members.Self()
	newest := map[persimmoncart.InstanceID]persimmoncart.Incarnation{self.ID: self.Incarnation}
	for _, m := range s.Members.View() {
		newest[m.Instance.ID] = max(newest[m.Instance.ID], m.Instance.Incarnation)
	}
	return newest
}

// abandoned reports whether nobody waits for the work any more.
func (s *Sweeper) abandoned(now time.Time, w *persimmoncart.WorkItem) bool {
	if !w.Deadline.IsZero() && now.After(w.Deadline) {
		return true
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.dead[w.Tag]
}
