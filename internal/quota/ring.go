package quota

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/rendezvous"
)

const (
	// joinDelay is the time after the first write of an instance's record from which it
	// holds limits. By then every other holder has read the record, or has stopped because
	// of contactLimit. The difference covers reads of the store that lag.
	joinDelay = 60 * time.Second
	// bootstrapDelay is the time that takes its place at the first start of the system,
	// and in which instances that run write the records anew that a store lost when it was
	// restored.
	bootstrapDelay = 6 * time.Second
	// contactLimit is the time without a response of the store after which an instance
	// holds no limits: it may have missed records.
	contactLimit = 50 * time.Second
	// heartbeatLimit is the time after its last heartbeat from which an instance holds no
	// limits. Others remove its record after 240 s without a heartbeat and take its place.
	heartbeatLimit = 200 * time.Second
)

// A Record is the part of an instance's heartbeat record that the quotas need.
type Record struct {
	Addr       netip.AddrPort           `json:"addr"`
	DataCentre persimmoncart.DataCentre `json:"dc"`
	Epoch      uint64                   `json:"epoch,omitempty"` // highest of the store that the instance knew
	Fast       bool                     `json:"fast,omitempty"`  // it does not hold, and may before joinDelay is over
	Holds      bool                     `json:"holds,omitempty"` // the instance has been in the ring for joinDelay
}

// A member is an instance in the ring.
type member struct {
	Record

	unseen      moment // the last contact without its record; zero if that is not known
	distance    int    // 0 for this data centre, 1 for this region, 2 for others
	hash        uint64
	id          persimmoncart.InstanceID
	incarnation persimmoncart.Incarnation
	lastReturn  uint64        // highest identifier of its Returns
	silences    int           // asks without a reply in a row
	silentUntil time.Duration // when it is asked again after a silence
}

// A Ring is the view of one instance on the instances that may hold limits.
//
// The holders of an account are the MaxHolders instances that rank first for it. Two
// instances may see different records, and yet no more than MaxHolders hold an account at
// the same time. Assume one more than that. The one of the lowest rank counts fewer than
// MaxHolders above it, so that it does not count one of the others, which has held for
// some time: that one's record was first written joinDelay ago or earlier, and has been
// there since, as records are removed only long after heartbeatLimit. The one of the
// lowest rank has had contact to the store within contactLimit, and so has seen it; and it
// counts a record contactLimit after its last contact without the record at the latest.
//
// At the first start of the system, an instance first writes that it holds and then lists
// all records, and counts those that it sees. One whose first record is written later
// lists the records after that, sees that another one holds, and waits for joinDelay.
type Ring struct {
	Bootstrap bool // the system starts for the first time, unless a record shows that another instance holds
	Distance  func(persimmoncart.DataCentre) int
	Self      persimmoncart.InstanceID
	// Suspended returns how long the machine has been suspended in all, which the clock
	// does not show; nil means never.
	Suspended func() time.Duration

	byAddr      map[netip.AddrPort]*member
	checked     bool           // at the first start: no other instance held after this one's first write
	confirmed   bool           // at the first start: all records were listed after this one stated that it holds
	contact     moment         // last one
	emptySince  time.Time      // buckets that were not used since were empty then
	epoch       uint64         // of the store at the last write
	fast        bool           // the delay until holdFrom is less than joinDelay
	generation  uint64         // of members
	heartbeat   moment         // when the last written one began
	holdFrom    time.Time      // when a newcomer may hold; zero before its first write
	holds       bool           // holdFrom is over, and the record states it
	known       []storeVersion // versions above reached that the store has had, in ascending order
	listed      bool
	stated      Record    // last one written
	members     []*member // in ascending order, self included once its record is seen
	onShrinking func(now time.Time)
	reached     persimmoncart.Version // of the store that the records are known up to
	shortDelay  time.Duration         // takes the place of joinDelay in tests that show what that is for
}

// Record returns what the instance's next heartbeat states. Addr and DataCentre are those
// of r.
func (g *Ring) Record(now time.Time, r Record) Record {
	r.Holds = g.holds || !g.holdFrom.IsZero() && !now.Before(g.holdFrom)
	r.Fast = !r.Holds && (g.fast || g.holdFrom.IsZero() && g.Bootstrap)
	return r
}

// Due returns the time until the instance has to write that it holds, or that it will not
// do so early; false if nothing is due.
func (g *Ring) Due(now time.Time) (time.Duration, bool) {
	if g.holds || g.holdFrom.IsZero() {
		return 0, false
	}
	if g.stated.Fast && !g.fast {
		return 0, true
	}
	return max(0, g.holdFrom.Sub(now)), true
}

// Found handles an own record that an earlier process of this instance has written: this
// instance is no newcomer if that one was none. It is called before the first Written.
// Epoch is that of the store.
func (g *Ring) Found(now time.Time, r *Record, epoch uint64) {
	g.epoch = epoch
	if r == nil || !r.Holds {
		g.join(now)
		return
	}
	g.Bootstrap = false
	g.holdFrom, g.holds = now, true
	if r.Epoch < epoch {
		// Records of other instances may be lost until these write them again.
		g.fast, g.holdFrom, g.holds = true, now.Add(bootstrapDelay), false
	}
	g.empty(now)
}

// Written handles a heartbeat with a record that was written between two times. Created
// states that there was no record before; epoch is that of the store.
func (g *Ring) Written(began, now time.Time, r Record, created bool, epoch uint64) {
	restored := epoch > g.epoch && g.moment(began).since(g.heartbeat) < heartbeatLimit
	g.epoch, g.heartbeat, g.stated = epoch, g.moment(began), r
	switch {
	case g.holdFrom.IsZero():
		g.join(now)
	case created && !restored: // it was removed
		g.Lost()
		g.join(now)
	case r.Holds && !g.holds:
		g.holds = true
		g.empty(now)
	}
}

// Lost handles that the own record was removed: another instance may have taken its place.
func (g *Ring) Lost() {
	g.Bootstrap, g.fast, g.holdFrom, g.holds = false, false, time.Time{}, false
}

// MustConfirm reports whether all records have to be listed now; Confirmed is called after
// that.
func (g *Ring) MustConfirm() bool {
	return g.Bootstrap && !g.holdFrom.IsZero() && (!g.checked || g.holds && !g.confirmed)
}

// Confirmed handles that all records were listed after MustConfirm.
func (g *Ring) Confirmed(now time.Time) {
	g.Listed(now)
	if g.holds {
		g.confirmed = true
		g.empty(now)
		return
	}
	g.checked = true
	if slices.ContainsFunc(g.members, func(m *member) bool { return m.Holds && m.id != g.Self }) {
		g.Bootstrap = false
		g.join(now)
	}
}

// Observe handles the record of an instance, nil if it takes no part.
func (g *Ring) Observe(now time.Time, id persimmoncart.InstanceID, incarnation persimmoncart.Incarnation, r *Record) {
	if r == nil || !r.Addr.IsValid() {
		g.Gone(now, id)
		return
	}
	n, found := g.find(id)
	if found && g.members[n].Record == *r && g.members[n].incarnation == incarnation {
		return
	}
	m := &member{Record: *r, hash: rendezvous.Hash(string(id)), id: id, incarnation: incarnation}
	if g.Distance != nil {
		m.distance = g.Distance(r.DataCentre)
	}
	m.unseen = g.contact
	if found {
		known := g.members[n]
		m.unseen = known.unseen
		if known.incarnation == incarnation {
			m.lastReturn, m.silences, m.silentUntil = known.lastReturn, known.silences, known.silentUntil
		}
	}
	if r.Holds {
		m.unseen = moment{}
	}
	if found {
		g.replace(g.members[n], m)
		g.members[n] = m
		return
	}
	g.replace(nil, m)
	g.members = slices.Insert(g.members, n, m)
}

// Gone handles that the record of an instance was removed.
func (g *Ring) Gone(now time.Time, id persimmoncart.InstanceID) {
	n, found := g.find(id)
	if !found {
		return
	}
	if g.onShrinking != nil {
		g.onShrinking(now)
	}
	g.replace(g.members[n], nil)
	g.members = slices.Delete(g.members, n, n+1)
	g.empty(now)
}

// Holding reports whether the instance may hold limits now.
func (g *Ring) Holding(now time.Time) bool {
	if !g.begun() {
		return false
	}
	m := g.moment(now)
	return m.since(g.contact) < contactLimit && m.since(g.heartbeat) < heartbeatLimit
}

// begun reports whether the instance has begun to hold limits.
func (g *Ring) begun() bool { return g.holds && g.listed && (!g.Bootstrap || g.confirmed) }

// Len returns the number of instances in the ring.
func (g *Ring) Len() int { return len(g.members) }

// share reports whether the instance holds the account, and the number of its holders.
func (g *Ring) share(now time.Time, key uint64) (shares int, holds bool) {
	if !g.Holding(now) {
		return 0, false
	}
	own := rendezvous.ScoreHashes(key, rendezvous.Hash(string(g.Self)))
	above, counted, at := 0, 1, g.moment(now)
	for _, m := range g.members {
		if m.id == g.Self || !m.counts(at) {
			continue
		}
		counted++
		if s := rendezvous.ScoreHashes(key, m.hash); s > own || s == own && m.id < g.Self {
			if above++; above >= MaxHolders {
				return MaxHolders, false
			}
		}
	}
	return min(counted, MaxHolders), true
}

// counts reports whether a member displaces holders of lower rank. A newcomer does so
// before it may hold.
func (m *member) counts(now moment) bool {
	return m.Holds || m.Fast || m.unseen.at.IsZero() || now.since(m.unseen) >= contactLimit
}

// holders appends the instances that an account's units are asked of, by rank.
func (g *Ring) holders(key uint64, out []*member) []*member {
	for _, m := range g.members {
		if !m.Holds {
			continue
		}
		s := rendezvous.ScoreHashes(key, m.hash)
		n, _ := slices.BinarySearchFunc(out, s, func(o *member, s uint64) int {
			return cmp.Compare(s, rendezvous.ScoreHashes(key, o.hash))
		})
		if n >= MaxHolders {
			continue
		}
		if len(out) == MaxHolders {
			out = out[:MaxHolders-1]
		}
		out = slices.Insert(out, n, m)
	}
	return out
}

// replace replaces a member by another one; either may be nil.
func (g *Ring) replace(old, m *member) {
	g.generation++
	if old != nil && g.byAddr[old.Addr] == old { // another instance may have the address by now
		delete(g.byAddr, old.Addr)
	}
	if m == nil {
		return
	}
	if g.byAddr == nil {
		g.byAddr = make(map[netip.AddrPort]*member)
	}
	g.byAddr[m.Addr] = m
}

// empty handles that this instance may have taken the place of another one, whose buckets
// may have been emptied just before.
func (g *Ring) empty(now time.Time) { g.emptySince = now }

// find returns the position of a member, or where it would be inserted.
func (g *Ring) find(id persimmoncart.InstanceID) (int, bool) {
	return slices.BinarySearchFunc(g.members, id, func(m *member, id persimmoncart.InstanceID) int { return cmp.Compare(m.id, id) })
}

// join handles the first write of the instance's record.
func (g *Ring) join(now time.Time) {
	delay := joinDelay
	g.fast = g.Bootstrap
	switch {
	case g.Bootstrap:
		delay = bootstrapDelay
	case g.shortDelay > 0:
		delay = g.shortDelay
	}
	g.holdFrom, g.holds = now.Add(delay), false
}
