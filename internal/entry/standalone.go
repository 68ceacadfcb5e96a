package entry

import (
	"context"

	"github.com/persimmoncart/persimmoncart"
)

var _ persimmoncart.Members = (*StandaloneMembers)(nil)

// StandaloneMembers is the membership of an instance without peers: it lists only
// that instance.
type StandaloneMembers struct {
	Instance persimmoncart.Instance
}

// Self implements persimmoncart.Members.
func (m *StandaloneMembers) Self() persimmoncart.Instance { return m.Instance }

// Subscribe implements persimmoncart.Members. The list never changes, so it never
// calls its argument.
func (*StandaloneMembers) Subscribe(func([]persimmoncart.Member)) (stop func()) { return func() {} }

// View implements persimmoncart.Members.
func (m *StandaloneMembers) View() []persimmoncart.Member {
	return []persimmoncart.Member{{Instance: m.Instance, State: persimmoncart.MemberAlive}}
}

// A SoleOwner assigns all replicas of a region to an instance without peers. Set its
// fields before Run.
type SoleOwner struct {
	Configuration  persimmoncart.Configuration
	Region         persimmoncart.Region
	UsableReplicas persimmoncart.UsableReplicas // receives the replicas
}

// Run assigns the configured replicas, again after each change, until ctx is done.
func (o *SoleOwner) Run(ctx context.Context) error {
	defer o.Configuration.Subscribe(o.apply)()
	o.apply(o.Configuration.Snapshot())
	<-ctx.Done()
	return ctx.Err()
}

// apply assigns the replicas in s.
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
