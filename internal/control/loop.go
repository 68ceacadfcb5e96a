package control

import (
	"context"
	"encoding/json"
	"strconv"
	"sync/atomic"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/rs/zerolog"
)

// Phases of an instance's life, in their order.
const (
	PhaseStarting Phase = iota
	PhaseServing
	PhaseDraining // no new callers are wanted; those that come are served
	PhaseStopped
)

// A Phase is a phase of an instance's life. It only goes forward.
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

// A State is the control state at one moment. It is immutable.
type State struct {
	Members        MembersChanged
	Phase          Phase
	StoreReachable bool   // the store answered last time
	Version        uint64 // of the configuration in force; zero before the first
}

// Ready reports whether the load balancer should send callers here.
func (s *State) Ready() bool {
	return s.Phase == PhaseServing && s.Version > 0
}

// A Loop is the goroutine that owns the control state. Its fields are set
// before Run.
type Loop struct {
	Bus      *Bus
	Logger   zerolog.Logger
	OnChange func(*State) // called after each change in the control goroutine; it must not publish

	state atomic.Pointer[State]
}

// Run owns the control state until ctx is done.
func (l *Loop) Run(ctx context.Context) error {
	sources := l.Bus.subscriptions
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-sources[TopicConfiguration]:
			handle(l, m, l.configurationChanged)
		case m := <-sources[TopicMembers]:
			handle(l, m, l.membersChanged)
		case m := <-sources[TopicPhase]:
			handle(l, m, l.phaseChanged)
		case m := <-sources[TopicStore]:
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

// configurationChanged applies e. Versions never go back.
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

// handle decodes a message and applies it to a copy of the state.
func handle[T Event](l *Loop, m *message.Message, apply func(*State, T)) {
	if m == nil { // the bus was closed
		return
	}
	defer m.Ack()
	var e T
	if err := json.Unmarshal(m.Payload, &e); err != nil {
		l.Logger.Error().Str("topic", e.Topic()).Msg("event could not be decoded")
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
