package ownership

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/rendezvous"
)

// A membershipView is the state of membership that one tick uses.
type membershipView struct {
	alive        map[persimmoncart.InstanceID]persimmoncart.Member // neither dead nor suspect
	eligible     map[persimmoncart.DataCentre][]persimmoncart.Tag  // instances of the region that should own replicas
	hasInstances map[persimmoncart.DataCentre]bool                 // data centres with an instance that is not proven dead
}

// readMembership returns the current membershipView of the region and updates
// suspectSince.
func (s *Service) readMembership(now time.Time) membershipView {
	v := membershipView{
		alive:        map[persimmoncart.InstanceID]persimmoncart.Member{},
		eligible:     map[persimmoncart.DataCentre][]persimmoncart.Tag{},
		hasInstances: map[persimmoncart.DataCentre]bool{},
	}
	silent := map[persimmoncart.Tag]time.Time{}
	region := s.Members.Machine.Self.Region
	for _, m := range s.Members.Machine.View() {
		i := m.Instance
		if i.Region != region || m.State == persimmoncart.MemberDead {
			continue
		}
		v.hasInstances[i.DataCentre] = true
		switch m.State {
		case persimmoncart.MemberSuspect:
			since, found := s.suspectSince[i.Tag()]
			if !found {
				since = now
			}
			silent[i.Tag()] = since
			if now.Sub(since) < suspectRemovalDelay {
				v.eligible[i.DataCentre] = append(v.eligible[i.DataCentre], i.Tag())
			}
		case persimmoncart.MemberLeaving:
			v.alive[i.ID] = m // may propose records, but owns nothing in the next epoch
		case persimmoncart.MemberAlive:
			v.alive[i.ID] = m
			if i.Incarnation != 0 {
				v.eligible[i.DataCentre] = append(v.eligible[i.DataCentre], i.Tag())
			}
		default:
		}
	}
	s.suspectSince = silent
	return v
}

// takeOverCells adds the cells without instances whose replicas this instance's
// cell should own, and removes them when they have instances again.
func (s *Service) takeOverCells(now time.Time, v membershipView) {
	own := s.Members.Machine.Self.DataCentre
	for _, name := range slices.Sorted(maps.Keys(s.configuredReplicas())) {
		if name == own {
			continue
		}
		c := s.cells[name]
		if s.owningCell(name, v) == own {
			if s.noInstancesSince[name].IsZero() {
				s.noInstancesSince[name] = now
			}
			if c == nil && now.Sub(s.noInstancesSince[name]) >= takeoverDelay {
				s.ensureCell(name)
			}
			continue
		}
		delete(s.noInstancesSince, name)
		// The state is kept until the record no longer names this instance, so
		// that the handover closes the old epoch.
		if c != nil && !c.needed(now) {
			delete(s.cells, name)
		}
	}
}

// needed reports whether this instance still has to take part in the cell: it
// is a member, or the record is so new that earlier epochs may wait for its
// acknowledgement. An instance that is probed later takes part again.
func (c *cellState) needed(now time.Time) bool {
	if c.record != nil && c.record.contains(c.Self) || c.notNamedSince.IsZero() || c.notNamedEpoch != c.Epoch() {
		c.notNamedSince, c.notNamedEpoch = now, c.Epoch()
	}
	return now.Sub(c.notNamedSince) <= cellRetention
}

// recordIncludes reports whether the instance is a member of any epoch in the
// newest record.
func (c *cellState) recordIncludes(id persimmoncart.InstanceID) bool {
	named := func(t persimmoncart.Tag) bool { return t.Instance == id }
	if slices.ContainsFunc(c.record.Members, named) {
		return true
	}
	return slices.ContainsFunc(c.record.Prior, func(p Record) bool { return slices.ContainsFunc(p.Members, named) })
}

// owningCell returns the cell whose instances own the replicas of a data
// centre: its own if it has instances, otherwise the region's first by
// rendezvous hashing.
func (s *Service) owningCell(name persimmoncart.DataCentre, v membershipView) persimmoncart.DataCentre {
	if v.hasInstances[name] {
		return name
	}
	var best persimmoncart.DataCentre
	for other := range v.hasInstances {
		if best == "" || rendezvous.Score(string(name), string(other)) > rendezvous.Score(string(name), string(best)) {
			best = other
		}
	}
	return best
}

// propose writes the next record once the newest one has been outdated for as
// long as this instance's rank requires.
func (s *Service) propose(ctx context.Context, now time.Time, c *cellState, v membershipView) {
	if c.storeBusy || now.Before(c.nextProposal) || (c.record == nil && !c.missing) {
		return
	}
	members := slices.SortedFunc(slices.Values(v.eligible[s.owningCell(c.Cell, v)]), compareTags)
	replicas := s.configuredReplicas()[c.Cell]
	if len(members) == 0 || c.matches(members, replicas) {
		c.outdatedSince = time.Time{}
		return
	}
	rank, allowed := s.proposerRank(c, members, v)
	if !allowed {
		c.outdatedSince = time.Time{}
		return
	}
	if c.outdatedSince.IsZero() {
		c.outdatedSince = now
	}
	wait := proposeDelay + time.Duration(rank)*rankDelay
	if c.record == nil || !c.hasLostMember(members) {
		wait += joinDelay
	}
	if now.Sub(c.outdatedSince) < wait {
		return
	}
	next, possible := c.NextRecord(now, members, replicas, s.nonce())
	if !possible {
		return
	}
	var version persimmoncart.Version
	if c.record != nil {
		version = c.record.Version
	}
	s.writeToStore(ctx, c, next, version)
}

// matches reports whether the newest record has exactly these members and
// replicas.
func (c *cellState) matches(members []persimmoncart.Tag, replicas []persimmoncart.EndpointID) bool {
	return c.record != nil && slices.Equal(c.record.Members, members) && slices.Equal(c.record.Replicas, replicas)
}

// hasLostMember reports whether a member of the record is missing from members.
func (c *cellState) hasLostMember(members []persimmoncart.Tag) bool {
	for _, t := range c.record.Members {
		if !slices.Contains(members, t) {
			return true
		}
	}
	return false
}

// proposerRank returns the position of this instance among those that may
// propose, and whether it may. Members of the record may propose while a quorum
// of those not proven dead is reachable, so that the smaller part of a
// partitioned cell does not replace the larger one. If all are dead, the
// eligible members may propose.
func (s *Service) proposerRank(c *cellState, members []persimmoncart.Tag, v membershipView) (int, bool) {
	proposers := members
	if c.record != nil {
		remaining := slices.DeleteFunc(slices.Clone(c.record.Members), c.isDead)
		if len(remaining) > 0 {
			reachable := func(t persimmoncart.Tag) bool {
				m, alive := v.alive[t.Instance]
				return alive && m.Instance.Incarnation == t.Incarnation || t == c.Self
			}
			if !quorum(remaining, reachable) {
				return 0, false
			}
			proposers = slices.DeleteFunc(remaining, func(t persimmoncart.Tag) bool { return !reachable(t) })
		}
	}
	proposers = slices.SortedFunc(slices.Values(proposers), func(a, b persimmoncart.Tag) int {
		return cmp.Compare(rendezvous.Score(string(c.Cell), string(a.Instance)), rendezvous.Score(string(c.Cell), string(b.Instance)))
	})
	i := slices.Index(proposers, c.Self)
	return i, i >= 0
}
