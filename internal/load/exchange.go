package load

import (
	"cmp"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/membership"
	loadv1 "github.com/persimmoncart/persimmoncart/proto/load/v1"
	memberv1 "github.com/persimmoncart/persimmoncart/proto/member/v1"
)

const (
	cellDistance = time.Millisecond
	digestPeriod = 2 * time.Second // a new digest is taken at most once in it
	farDistance  = 12 * time.Millisecond
	nearDistance = 2 * time.Millisecond // between data centres of a region
	offerCount   = 1                    // owners named in a sum; a second one would double its size
	// Bounds of the tables; the largest cell that membership allows fits.
	maxPeers = membership.MaxCellMembers
	maxSums  = membership.MaxCells
)

var _ membership.Extension = (*Exchange)(nil)

// An Exchange sends digests of the local slot allocator with probes and sums of
// the cell with summaries, and passes on what it receives. Set the fields before
// Start. Its methods run under the Lock of Members.
type Exchange struct {
	Configuration persimmoncart.Configuration
	Governor      *Governor                                // nil leaves nothing out
	Leaving       func() []persimmoncart.EndpointID        // endpoints known to leave; nil is none
	Learned       func(leaving []persimmoncart.EndpointID) // endpoints that others know to leave; nil ignores them
	Loads         persimmoncart.DigestExchange
	Members       *membership.Service
	Timer         persimmoncart.Timer

	keys     map[uint32]key
	peers    map[persimmoncart.InstanceID]*peerLoad
	rows     map[uint32]*ownRow
	sequence uint64 // of the newest own digest
	sums     map[persimmoncart.DataCentre]*cellSum
	turn     int
	updated  time.Time
	version  uint64 // of the configuration behind keys
}

// An ownRow is one row of the own digest.
type ownRow struct {
	row      *loadv1.Row // as last sent
	sequence uint64      // of the digest in which it last changed
}

// A peerLoad is the exchange with one member of the cell.
type peerLoad struct {
	acked       uint64 // newest own digest that the peer has confirmed
	incarnation persimmoncart.Incarnation
	rows        map[uint32]*loadv1.Row
	sequence    uint64 // newest digest of the peer
	told        uint64 // sequence that the peer knows to be confirmed
}

// untold makes the next message confirm the newest digest of the peer.
const untold = math.MaxUint64

// A cellSum is the newest sum of another cell.
type cellSum struct {
	sum *loadv1.Sum
}

// Start registers the Exchange with Members, which must not run yet, and
// subscribes to changes of members. The returned function ends that.
func (x *Exchange) Start() (stop func()) {
	x.Members.Setup(func() {
		x.peers = map[persimmoncart.InstanceID]*peerLoad{}
		x.rows = map[uint32]*ownRow{}
		x.sums = map[persimmoncart.DataCentre]*cellSum{}
		x.Members.Machine.Extensions = append(x.Members.Machine.Extensions, x)
	})
	return x.Members.Subscribe(x.changed)
}

// changed passes changes of members to the local slot allocator.
func (x *Exchange) changed(members []persimmoncart.Member) {
	for _, m := range members {
		switch m.State {
		case persimmoncart.MemberDead:
			x.Loads.ReclaimSlots(m.Instance.ID)
			delete(x.peers, m.Instance.ID)
		case persimmoncart.MemberLeaving, persimmoncart.MemberSuspect:
			x.Loads.RemoveDigest(m.Instance.ID)
			if p := x.peers[m.Instance.ID]; p != nil {
				p.sequence, p.told, p.rows = 0, untold, map[uint32]*loadv1.Row{}
			}
		default:
		}
	}
}

// Fill implements membership.Extension.
func (x *Exchange) Fill(to persimmoncart.Instance, full bool, p *memberv1.Piggyback) {
	if full && x.Leaving != nil {
		for _, id := range x.Leaving() {
			p.Leaving = append(p.Leaving, string(id))
		}
	}
	self := x.Members.Machine.Self
	switch {
	case to.DataCentre != self.DataCentre || to.ID == "":
		x.fillSum(to, p)
	default:
		x.fillDigest(to, p)
		if full {
			x.fillSums(p)
		}
	}
}

// fillDigest adds the rows that the peer has not confirmed.
func (x *Exchange) fillDigest(to persimmoncart.Instance, p *memberv1.Piggyback) {
	x.update()
	e := x.peer(to)
	if e == nil || !x.Governor.Allow(KindDigest) {
		return
	}
	d := &loadv1.Digest{Base: e.acked, Seen: e.sequence, Sequence: x.sequence}
	for _, r := range x.rows {
		if r.sequence > e.acked {
			d.Rows = append(d.Rows, r.row)
		}
	}
	// Without rows of the peer, every message asks for them: one may get lost.
	if len(d.Rows) == 0 && e.told == e.sequence && e.sequence > 0 {
		return
	}
	e.told = e.sequence
	slices.SortFunc(d.Rows, func(a, b *loadv1.Row) int { return cmp.Compare(a.GetKey(), b.GetKey()) })
	p.Load = encode(d)
}

// update takes a new own digest when the last one is old enough.
func (x *Exchange) update() {
	now := x.Timer.Now()
	if now.Sub(x.updated) < digestPeriod {
		return
	}
	x.updated = now
	d := x.Loads.Digest()
	x.sequence = d.Sequence
	present := map[uint32]bool{}
	for i := range d.Pools {
		r := row(&d.Pools[i])
		present[r.GetKey()] = true
		if old := x.rows[r.GetKey()]; old == nil || changed(old.row, r) {
			x.rows[r.GetKey()] = &ownRow{row: r, sequence: d.Sequence}
		}
	}
	for k, r := range x.rows {
		if !present[k] && r.row.GetSlots() > 0 {
			x.rows[k] = &ownRow{row: &loadv1.Row{Key: k}, sequence: d.Sequence} // nothing left to lend
		}
	}
}

// peer returns the exchange with a member of the cell, or nil if the table is full.
func (x *Exchange) peer(i persimmoncart.Instance) *peerLoad {
	e := x.peers[i.ID]
	if e == nil && len(x.peers) >= maxPeers {
		return nil
	}
	if e == nil || e.incarnation != i.Incarnation {
		e = &peerLoad{incarnation: i.Incarnation, rows: map[uint32]*loadv1.Row{}}
		x.peers[i.ID] = e
	}
	return e
}

// Receive implements membership.Extension.
func (x *Exchange) Receive(from persimmoncart.Instance, p *memberv1.Piggyback, _ time.Time) {
	if len(p.GetLeaving()) > 0 && x.Learned != nil {
		ids := make([]persimmoncart.EndpointID, 0, len(p.GetLeaving()))
		for _, id := range p.GetLeaving() {
			ids = append(ids, persimmoncart.EndpointID(id))
		}
		x.Learned(ids)
	}
	for _, b := range p.GetSums() {
		s := &loadv1.Sum{}
		if proto.Unmarshal(b, s) == nil {
			x.receiveSum(s)
		}
	}
	if len(p.GetLoad()) > 0 && from.ID != "" {
		d := &loadv1.Digest{}
		if proto.Unmarshal(p.GetLoad(), d) == nil {
			x.receiveDigest(from, d)
		}
	}
}

// receiveDigest merges the rows of a peer and passes the whole on.
func (x *Exchange) receiveDigest(from persimmoncart.Instance, d *loadv1.Digest) {
	e := x.peer(from)
	if e == nil {
		return
	}
	if d.GetSeen() <= x.sequence {
		e.acked = d.GetSeen() // lower than before if the peer has dropped the rows
	}
	if d.GetSequence() <= e.sequence {
		if len(d.GetRows()) > 0 {
			e.told = untold // the confirmation was lost
		}
		return
	}
	if d.GetBase() > e.sequence {
		e.told = untold // rows that were confirmed have been dropped here since
		return
	}
	e.sequence = d.GetSequence()
	for _, r := range d.GetRows() {
		e.rows[r.GetKey()] = r
	}
	x.Loads.UpdateDigest(x.digest(from.ID, e.sequence, e.rows, from.DataCentre, from.Region), cellDistance)
}

// digest returns rows as a digest of an instance.
func (x *Exchange) digest(id persimmoncart.InstanceID, sequence uint64, rows map[uint32]*loadv1.Row, cell persimmoncart.DataCentre, region persimmoncart.Region) persimmoncart.Digest {
	names := x.names()
	d := persimmoncart.Digest{Instance: id, Sequence: sequence}
	for h, r := range rows {
		if k, known := names[h]; known && r.GetSlots() > 0 {
			d.Pools = append(d.Pools, pool(k, r, cell, region))
		}
	}
	slices.SortFunc(d.Pools, func(a, b persimmoncart.PoolDigest) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Role, b.Role))
	})
	return d
}

// names returns the rows that the newest configuration allows.
func (x *Exchange) names() map[uint32]key {
	s := x.Configuration.Snapshot()
	if x.keys == nil || s.Version != x.version {
		x.keys, x.version = keys(s), s.Version
	}
	return x.keys
}

// encode returns the bytes of a message.
func encode(m proto.Message) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		panic(err) // messages are built by this program and always marshal
	}
	return b
}
