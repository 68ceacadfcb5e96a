// Package sweep cancels abandoned work on engines: work whose instance has ended
// or whose deadline has passed.
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

// The work of a dead instance is cancelled within 3 s of a refused connection or a
// newer incarnation: one urgentPeriod and two calls. See docs/design.md section 8.9.
const (
	callTimeout         = time.Second
	maxDeadIncarnations = 4096             // recorded incarnations that have ended
	period              = 10 * time.Second // between sweeps when no instance has ended
	urgentPeriod        = time.Second      // between sweeps of an engine after an instance has ended
	urgentSweeps        = 5                // sweeps at urgentPeriod, as an engine may list work late
)

// A Sweeper periodically lists the work on the engines that are assigned to this
// instance and cancels abandoned work. Its exported fields are set before Start.
type Sweeper struct {
	AssignedEngines func() []persimmoncart.Endpoint // engines that this instance sweeps now
	Engines         persimmoncart.Engines
	Logger          zerolog.Logger
	Members         persimmoncart.Members
	Spawn           func(func()) // runs calls that wait; nil starts a goroutine
	Timer           persimmoncart.Timer

	cancelled  int
	dead       map[persimmoncart.Tag]bool
	mutex      sync.Mutex
	nextSweep  time.Time
	running    map[netip.AddrPort]bool
	urgentLeft int // remaining sweeps at urgentPeriod
}

// Run sweeps until ctx is done.
func (s *Sweeper) Run(ctx context.Context) error {
	stop := s.Start(ctx)
	defer stop()
	<-ctx.Done()
	return nil
}

// Start subscribes to the members and the timer. The returned function ends both
// subscriptions.
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

// Cancelled returns the number of work items cancelled so far.
func (s *Sweeper) Cancelled() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.cancelled
}

// membersChanged records the incarnations that are proven to have ended. Suspect
// members are not recorded, as they may be paused and continue later.
func (s *Sweeper) membersChanged(members []persimmoncart.Member) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, m := range members {
		if m.State == persimmoncart.MemberAlive {
			s.urgentLeft = urgentSweeps // the member may have replaced an earlier incarnation
		}
		if m.State != persimmoncart.MemberDead {
			continue
		}
		if len(s.dead) >= maxDeadIncarnations {
			maps.DeleteFunc(s.dead, func(persimmoncart.Tag, bool) bool { return true }) // older work ends by its deadline
		}
		s.dead[m.Instance.Tag()] = true
		s.urgentLeft = urgentSweeps
	}
}

// tick starts a sweep of each assigned engine if one is due.
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
					s.Logger.Warn().Err(err).Str("endpoint", string(e.ID)).Msg("sweep failed")
				}
			})
		}
	}
}

// begin marks a sweep of the engine as running. It returns false if one is running
// already.
func (s *Sweeper) begin(addr netip.AddrPort) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.running[addr] {
		return false
	}
	s.running[addr] = true
	return true
}

// end marks the sweep of the engine as ended.
func (s *Sweeper) end(addr netip.AddrPort) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.running, addr)
}

// sweepEngine cancels the abandoned work on one engine, including work of an
// incarnation that a newer one has replaced.
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
		s.Logger.Info().Str("attempt", w.Attempt.String()).Str("endpoint", string(e.ID)).Str("instance", string(w.Tag.Instance)).Msg("work cancelled")
	}
	return nil
}

// newest returns the newest incarnation of each instance, this instance included. A
// newer incarnation under an identifier proves that the earlier one has ended. An
// instance without peers finds the work of its own predecessor in this way.
func (s *Sweeper) newest() map[persimmoncart.InstanceID]persimmoncart.Incarnation {
	self := s.Members.Self()
	newest := map[persimmoncart.InstanceID]persimmoncart.Incarnation{self.ID: self.Incarnation}
	for _, m := range s.Members.View() {
		newest[m.Instance.ID] = max(newest[m.Instance.ID], m.Instance.Incarnation)
	}
	return newest
}

// abandoned reports whether the deadline of the work has passed or its instance
// has ended.
func (s *Sweeper) abandoned(now time.Time, w *persimmoncart.WorkItem) bool {
	if !w.Deadline.IsZero() && now.After(w.Deadline) {
		return true
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.dead[w.Tag]
}
