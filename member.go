package persimmoncart

import "strconv"

// States of a member.
const (
	MemberAlive   MemberState = iota + 1
	MemberDead                // proven to have ended; missing replies alone never lead to this state
	MemberLeaving             // shutting down
	MemberSuspect             // does not reply; its process may be paused or its network cut
)

// A Member is an instance with its state from the view of this instance.
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

// Members provides this instance's view of the other instances.
type Members interface {
	// Self returns this instance.
	Self() Instance
	// Subscribe calls f with the members whose state changed. The returned
	// function ends the subscription.
	Subscribe(f func([]Member)) (stop func())
	// View returns the members in this instance's view, sorted by identifier.
	View() []Member
}
