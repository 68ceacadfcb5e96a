package claim

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/explore"
	"github.com/persimmoncart/persimmoncart/internal/objectapi"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

var startTime = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// A schedule runs one interleaving of two claimants of one key.
type schedule struct {
	explorer   *explore.Explorer
	faults     int // store faults that may still be injected
	crashes    int // crashes that may still be injected
	pauses     int // pauses that may still be injected
	dispatches int // dispatches that the endpoint received
	store      *objectapi.Memory
	timer      *timer.Virtual
	window     time.Duration
}

// The tests commit both keys to the same bucket.
var (
	contestedKey = persimmoncart.ClaimKey{1}
	otherKey     = persimmoncart.ClaimKey{2}
)

// claimant returns a process that claims the keys in turn, dispatches each call
// whose claim is granted in time, and settles it.
func (s *schedule) claimant(t *testing.T, name string, keys ...persimmoncart.ClaimKey) *explore.Process {
	return explore.NewProcess(func(yield func(string) bool) {
		stopped := false
		faulty := &objectapi.Faulty{Store: s.store, Timer: s.timer}
		faulty.Decide = func(kind objectapi.CallKind, _ string) objectapi.Fault {
			if stopped || !yield(fmt.Sprint("store ", kind)) {
				stopped = true
				return objectapi.Fault{Down: true}
			}
			return s.fault(kind)
		}
		bs := &bucketStore{
			retention:     MinRetention,
			sealThreshold: sealBytes,
			self:          persimmoncart.Tag{Incarnation: 1, Instance: persimmoncart.InstanceID(name)},
			store:         faulty,
			timer:         s.timer,
		}
		for i, key := range keys {
			if s.timer.Now().After(startTime) {
				return // the caller gave up during the pause
			}
			nonce := persimmoncart.Nonce{Sequence: uint64(i + 1), Tag: bs.self}
			s.call(t, bs, key, nonce, yield)
			if stopped {
				return
			}
		}
	})
}

// call claims, dispatches and settles one call.
func (s *schedule) call(t *testing.T, bs *bucketStore, key persimmoncart.ClaimKey, nonce persimmoncart.Nonce, yield func(string) bool) {
	expires := s.timer.Now().Add(s.window)
	results, err := bs.commit(t.Context(), 0, []operation{{key: key, nonce: nonce, state: persimmoncart.ClaimClaimed}})
	if err != nil {
		_, _ = bs.commit(t.Context(), 0, []operation{{key: key, nonce: nonce, state: persimmoncart.ClaimNotRun}})
		return
	}
	if !results[0].granted || !yield("dispatch") {
		return
	}
	state := persimmoncart.ClaimNotRun
	if s.timer.Now().Before(expires) {
		s.dispatches++
		state = persimmoncart.ClaimAnswered
	}
	_, _ = bs.commit(t.Context(), 0, []operation{{key: key, nonce: nonce, state: state}})
}

// fault chooses the fault of one call to the store.
func (s *schedule) fault(kind objectapi.CallKind) objectapi.Fault {
	if s.faults == 0 || kind != objectapi.CallWrite {
		return objectapi.Fault{}
	}
	options := []objectapi.Fault{{}, {Down: true}, {ResponseLost: true}, {RequestDropped: true}}
	c := s.explorer.Choose(len(options))
	if c > 0 {
		s.faults--
	}
	return options[c]
}

// drive steps the claimants in the order that the explorer chooses, with crashes
// and with pauses longer than the retention.
func (s *schedule) drive(t *testing.T, processes []*explore.Process) {
	for {
		ready := explore.Ready(processes)
		if len(ready) == 0 {
			return
		}
		options := len(ready)
		if s.pauses > 0 {
			options++
		}
		if s.crashes > 0 {
			options++
		}
		c := s.explorer.Choose(options)
		switch {
		case c < len(ready):
			ready[c].Step()
		case c == len(ready) && s.pauses > 0:
			s.pauses--
			s.timer.Advance(2 * MinRetention)
			s.prune(t)
		default:
			s.crashes--
			ready[0].Stop()
		}
	}
}

// A faultBudget bounds the faults in one schedule.
type faultBudget struct {
	crashes int
	faults  int
	name    string
	pauses  int
}

// prune has a third instance write the bucket, which removes the records that are
// older than the retention.
func (s *schedule) prune(t *testing.T) {
	bs := &bucketStore{retention: MinRetention, sealThreshold: sealBytes, store: s.store, timer: s.timer}
	nonce := persimmoncart.Nonce{Sequence: uint64(s.timer.Now().Unix()), Tag: persimmoncart.Tag{Instance: "c"}}
	_, err := bs.commit(t.Context(), 0, []operation{{key: otherKey, nonce: nonce, state: persimmoncart.ClaimClaimed}})
	assert.NilError(t, err)
}

// exploreClaims runs all schedules. It returns their number and the choices of the
// first one in which the call ran twice, or nil if there is none.
func exploreClaims(t *testing.T, b faultBudget, window time.Duration) (runs int, violation []int) {
	e := &explore.Explorer{}
	runs, complete := e.Run(func() bool {
		virtual := timer.NewVirtual(startTime)
		s := &schedule{
			crashes:  b.crashes,
			explorer: e,
			faults:   b.faults,
			pauses:   b.pauses,
			store:    &objectapi.Memory{Timer: virtual},
			timer:    virtual,
			window:   window,
		}
		s.drive(t, []*explore.Process{
			s.claimant(t, "a", contestedKey),
			s.claimant(t, "b", contestedKey),
		})
		if s.dispatches > 1 {
			violation = e.Path()
			return false
		}
		return true
	})
	assert.Assert(t, complete || violation != nil)
	return runs, violation
}

// Guards against a payment that runs twice. Explores all interleavings of two
// instances that claim the same key, under pairs of faults: a store fault (write
// refused, response lost or request lost), a pause longer than the retention, and
// a crash.
func TestAllInterleavings(t *testing.T) {
	for _, b := range []faultBudget{
		{name: "crash and pause", crashes: 1, pauses: 1},
		{name: "fault and crash", crashes: 1, faults: 1},
		{name: "fault and pause", faults: 1, pauses: 1},
		{name: "two faults", faults: 2},
		{name: "two pauses", pauses: 2},
	} {
		t.Run(b.name, func(t *testing.T) {
			runs, violation := exploreClaims(t, b, DefaultDispatchWindow)
			assert.Assert(t, violation == nil, "the call ran twice, choices %v", violation)
			t.Logf("%d schedules", runs)
		})
	}
}

// Guards against an exploration that cannot fail: without the dispatch window, a
// paused claimant dispatches after the record of its key was removed.
func TestAllInterleavingsWithoutWindow(t *testing.T) {
	_, violation := exploreClaims(t, faultBudget{pauses: 1}, 100*MinRetention)
	assert.Assert(t, violation != nil)
}
