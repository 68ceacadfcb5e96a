package control

import (
	"context"
	"encoding/json"
	"strconv"
	"sync/atomic"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/rs/zerolog"
)

// Phases of an instance's life cycle, in their order.
const (
	PhaseStarting Phase = iota
	PhaseServing
	PhaseDraining // not ready for the load balancer; callers that still arrive are served
	PhaseStopped
)

// A Phase is a phase of an instance's life cycle. An instance never returns to an
// earlier phase.
type Phase uint8

// String returns the phase's name in logs.
func (p Phase) String() string {
	switch p {
	case PhaseDraining:
		return "draining"
	case PhaseServing:
		return "serving"
	case PhaseStarting:
		return "starting"
	case PhaseStopped:
		return "stopped"
	default:
		return "phase(" + strconv.Itoa(int(p)) + ")"
	}
}

// A State is the control state at one point in time. It is immutable.
type State struct {
	Members        MembersChanged
	Phase          Phase
	StoreReachable bool   // the store answered the last call
	Version        uint64 // version of the configuration in force; zero if there is none yet
}

// Ready reports whether the load balancer should send callers to this instance.
func (s *State) Ready() bool {
	return s.Phase == PhaseServing && s.Version > 0
}

// A Loop handles events and keeps the control state. Its fields are set before Run.
type Loop struct {
	Bus      *Bus
	Logger   zerolog.Logger
	OnChange func(*State) // called in the control goroutine after each change; it must not call Bus.Publish

	state atomic.Pointer[State]
}

// Run handles events until ctx is done. Its goroutine is the control goroutine.
func (l *Loop) Run(ctx context.Context) error {
	subscriptions := l.Bus.subscriptions
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-subscriptions[TopicConfiguration]:
			handle(l, m, l.configurationChanged)
		case m := <-subscriptions[TopicMembers]:
			handle(l, m, l.membersChanged)
		case m := <-subscriptions[TopicPhase]:
			handle(l, m, l.phaseChanged)
		case m := <-subscriptions[TopicStore]:
			handle(l, m, l.storeChanged)
		}
	}
}

// State returns the newest control state. Any goroutine may call it.
func (l *Loop) State() *State {
	if s := l.state.Load(); s != nil {
		return s
	}
	return &State{}
}

// configurationChanged applies e. The version never decreases.
func (l *Loop) configurationChanged(s *State, e ConfigurationChanged) {
	s.Version = max(s.Version, e.Version)
}

// membersChanged applies e.
func (l *Loop) membersChanged(s *State, e MembersChanged) { s.Members = e }

// phaseChanged applies e. A second signal to stop changes nothing.
func (l *Loop) phaseChanged(s *State, e PhaseChanged) {
	s.Phase = max(s.Phase, e.Phase)
}

// storeChanged applies e.
func (l *Loop) storeChanged(s *State, e StoreChanged) { s.StoreReachable = e.Reachable }

// handle decodes a message, applies it to a copy of the state and replaces the
// state if it changed.
func handle[T Event](l *Loop, m *message.Message, apply func(*State, T)) {
	if m == nil { // the bus was closed
		return
	}
	defer m.Ack()
	var e T
	if err := json.Unmarshal(m.Payload, &e); err != nil {
		l.Logger.Error().Str("topic", e.Topic()).Msg("failed to decode event")
		return
	}
	old := l.State()
	next := *old
	apply(&next, e)
	if next == *old {
		return
	}
	l.state.Store(&next)
	l.Logger.Info().Str("topic", e.Topic()).Stringer("phase", next.Phase).Uint64("version", next.Version).
		Bool("store", next.StoreReachable).Int("members", next.Members.Alive).Msg("control state changed")
	if l.OnChange != nil {
		l.OnChange(&next)
	}
}
