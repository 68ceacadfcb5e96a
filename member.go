package persimmoncart

import "strconv"

// States of a member.
const (
	MemberAlive MemberState = iota + 1
	MemberDead              // proven to have ended; never reached by silence alone
	MemberLeaving
	MemberSuspect // silent; it may be paused or cut off
)

// A Member is an instance with its state as this instance sees it.
type Member struct {
	Instance Instance
	State    MemberState
}

// A MemberState is the state of a member.
type MemberState uint8

// String returns the state's name in logs and metrics.
func (s MemberState) String() string {
	switch s {
	case MemberAlive:
		return "alive"
	case MemberDead:
		return "dead"
	case MemberLeaving:
		return "leaving"
	case MemberSuspect:
		return "suspect"
	default:
		return "state(" + strconv.Itoa(int(s)) + ")"
	}
}

// Members gives this instance's view of the other instances.
type Members interface {
	// Self returns this instance.
	Self() Instance
	// Subscribe calls f with the members whose state changed. The returned
	// function ends the subscription.
	Subscribe(f func([]Member)) (stop func())
	// View returns the known members, sorted by identifier.
	View() []Member
}
