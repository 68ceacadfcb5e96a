package entry

import (
	"context"

	"github.com/persimmoncart/persimmoncart"
)

var _ persimmoncart.Members = (*StandaloneMembers)(nil)

// An StandaloneMembers is the view of an instance without peers.
type StandaloneMembers struct {
	Instance persimmoncart.Instance
}

// Self implements persimmoncart.Members.
func (a *StandaloneMembers) Self() persimmoncart.Instance { return a.Instance }

// Subscribe implements persimmoncart.Members; f is never called.
func (*StandaloneMembers) Subscribe(func([]persimmoncart.Member)) (stop func()) { return func() {} }

// View implements persimmoncart.Members.
func (a *StandaloneMembers) View() []persimmoncart.Member {
	return []persimmoncart.Member{{Instance: a.Instance, State: persimmoncart.MemberAlive}}
}

// A SoleOwner gives an instance without peers all replicas of its region.
type SoleOwner struct {
	Configuration  persimmoncart.Configuration
	Region         persimmoncart.Region
	UsableReplicas persimmoncart.UsableReplicas
}

// Run follows the configuration until ctx is done.
func (o *SoleOwner) Run(ctx context.Context) error {
	defer o.Configuration.Subscribe(o.apply)()
	o.apply(o.Configuration.Snapshot())
	<-ctx.Done()
	return ctx.Err()
}

// apply hands over the replicas of s.
func (o *SoleOwner) apply(s *persimmoncart.Snapshot) {
	var usable []persimmoncart.UsableReplica
	for id, e := range s.Endpoints {
		if e.Role == persimmoncart.RoleApplication || e.Region != o.Region {
			continue
		}
		usable = append(usable, persimmoncart.UsableReplica{Blocks: e.Blocks, Endpoint: id, Owned: true, Slots: e.Slots})
	}
	o.UsableReplicas.SetUsable(usable)
}
