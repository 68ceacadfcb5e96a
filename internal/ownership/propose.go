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

// A membershipView is what a tick needs of membership.
type membershipView struct {
	alive        map[persimmoncart.InstanceID]persimmoncart.Member // neither dead nor suspect
	eligible     map[persimmoncart.DataCentre][]persimmoncart.Tag  // instances of the region that should own replicas
	hasInstances map[persimmoncart.DataCentre]bool                 // has an instance that is not proven dead
}

// readMembership returns membership as this tick sees it.
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
			since, known := s.suspectSince[i.Tag()]
			if !known {
				since = now
			}
			silent[i.Tag()] = since
			if now.Sub(since) < suspectRemovalDelay {
				v.eligible[i.DataCentre] = append(v.eligible[i.DataCentre], i.Tag())
			}
		case persimmoncart.MemberLeaving:
			v.alive[i.ID] = m // may propose, and owns nothing in the next epoch
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

// takeOverCells takes part in cells without instances when this instance's cell is the
// first of the region for them, and ends that when their own instances are back.
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
		// Kept until the record no longer names this instance, so that the
		// handover closes the old epoch.
		if c != nil && !c.needed(now) {
			delete(s.cells, name)
		}
	}
}

// needed reports whether this instance is a member, or the record is so new that
// earlier epochs may wait for it. An instance that is asked later takes part again.
func (c *cellState) needed(now time.Time) bool {
	if c.record != nil && c.record.contains(c.Self) || c.notNamedSince.IsZero() || c.notNamedEpoch != c.Epoch() {
		c.notNamedSince, c.notNamedEpoch = now, c.Epoch()
	}
	return now.Sub(c.notNamedSince) <= cellRetention
}

// recordIncludes reports whether the newest record recordIncludes an instance, in any epoch.
func (c *cellState) recordIncludes(id persimmoncart.InstanceID) bool {
	named := func(t persimmoncart.Tag) bool { return t.Instance == id }
	if slices.ContainsFunc(c.record.Members, named) {
		return true
	}
	return slices.ContainsFunc(c.record.Prior, func(p Record) bool { return slices.ContainsFunc(p.Members, named) })
}

// owningCell returns the cell whose instances own the replicas of a data centre:
// itself if it has instances, otherwise the region's first by rendezvous hash.
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

// propose writes the next record when the newest one is not what it should be.
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
	rank, may := s.proposerRank(c, members, v)
	if !may {
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
	s.writeRecord(ctx, c, next, version)
}

// matches reports whether the newest record has these members and replicas.
func (c *cellState) matches(members []persimmoncart.Tag, replicas []persimmoncart.EndpointID) bool {
	return c.record != nil && slices.Equal(c.record.Members, members) && slices.Equal(c.record.Replicas, replicas)
}

// hasLostMember reports whether a member of the record is not among members.
func (c *cellState) hasLostMember(members []persimmoncart.Tag) bool {
	for _, t := range c.record.Members {
		if !slices.Contains(members, t) {
			return true
		}
	}
	return false
}

// proposerRank returns this instance's turn among those that may propose. Members of
// the record propose while a quorum of those not proven dead is reachable, so
// that the smaller part of a cut cell does not replace the larger one. If all
// are dead, the wanted members propose.
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
