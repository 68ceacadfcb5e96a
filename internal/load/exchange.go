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
	cellLatency        = time.Millisecond
	crossRegionLatency = 12 * time.Millisecond
	digestPeriod       = 2 * time.Second // a new digest is taken at most once in it
	maxOffers          = 1               // owners named in a sum; a second one would double its size
	// Bounds of the tables; the largest cell that membership allows fits.
	maxPeers          = membership.MaxCellMembers
	maxSums           = membership.MaxCells
	sameRegionLatency = 2 * time.Millisecond // between data centres of a region
)

var _ membership.Extension = (*Exchange)(nil)

// An Exchange sends digests of the local slot allocator with probes and sums of
// the cell with summaries, and passes on what it receives. Set the fields before
// Start. Its methods run under the Lock of Members.
type Exchange struct {
	Configuration    persimmoncart.Configuration
	Digests          persimmoncart.DigestExchange
	Governor         *Governor                                // nil leaves nothing out
	LeavingEndpoints func() []persimmoncart.EndpointID        // endpoints known to leave; nil is none
	LeavingReceived  func(leaving []persimmoncart.EndpointID) // endpoints that others know to leave; nil ignores them
	Members          *membership.Service
	Timer            persimmoncart.Timer

	digestTime     time.Time
	ownRows        map[uint32]*ownRow
	peers          map[persimmoncart.InstanceID]*peerState
	rowKeys        map[uint32]rowKey
	rowKeysVersion uint64 // of the configuration behind keys
	sequence       uint64 // of the newest own digest
	sumTurn        int
	sums           map[persimmoncart.DataCentre]*cellSum
}

// An ownRow is one row of the own digest.
type ownRow struct {
	row      *loadv1.Row // as last sent
	sequence uint64      // of the digest in which it last changed
}

// A peerState is the exchange with one member of the cell.
type peerState struct {
	ackedByPeer uint64 // newest own digest that the peer has confirmed
	ackedToPeer uint64 // sequence that the peer knows to be confirmed
	incarnation persimmoncart.Incarnation
	rows        map[uint32]*loadv1.Row
	sequence    uint64 // newest digest of the peer
}

// ackPending makes the next message confirm the newest digest of the peer.
const ackPending = math.MaxUint64

// A cellSum is the newest sum of another cell.
type cellSum struct {
	sum *loadv1.Sum
}

// Start registers the Exchange with Members, which must not run yet, and
// subscribes to changes of members. The returned function ends that.
func (x *Exchange) Start() (stop func()) {
	x.Members.Setup(func() {
		x.peers = map[persimmoncart.InstanceID]*peerState{}
		x.ownRows = map[uint32]*ownRow{}
		x.sums = map[persimmoncart.DataCentre]*cellSum{}
		x.Members.Machine.Extensions = append(x.Members.Machine.Extensions, x)
	})
	return x.Members.Subscribe(x.membersChanged)
}

// membersChanged passes changes of members to the local slot allocator.
func (x *Exchange) membersChanged(members []persimmoncart.Member) {
	for _, m := range members {
		switch m.State {
		case persimmoncart.MemberDead:
			x.Digests.ReclaimSlots(m.Instance.ID)
			delete(x.peers, m.Instance.ID)
		case persimmoncart.MemberLeaving, persimmoncart.MemberSuspect:
			x.Digests.RemoveDigest(m.Instance.ID)
			if p := x.peers[m.Instance.ID]; p != nil {
				p.sequence, p.ackedToPeer, p.rows = 0, ackPending, map[uint32]*loadv1.Row{}
			}
		default:
		}
	}
}

// Fill implements membership.Extension.
func (x *Exchange) Fill(to persimmoncart.Instance, full bool, p *memberv1.Piggyback) {
	if full && x.LeavingEndpoints != nil {
		for _, id := range x.LeavingEndpoints() {
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
	x.refreshDigest()
	e := x.peer(to)
	if e == nil || !x.Governor.Allow(KindDigest) {
		return
	}
	d := &loadv1.Digest{Base: e.ackedByPeer, Seen: e.sequence, Sequence: x.sequence}
	for _, r := range x.ownRows {
		if r.sequence > e.ackedByPeer {
			d.Rows = append(d.Rows, r.row)
		}
	}
	// Without rows of the peer, every message asks for them: one may get lost.
	if len(d.Rows) == 0 && e.ackedToPeer == e.sequence && e.sequence > 0 {
		return
	}
	e.ackedToPeer = e.sequence
	slices.SortFunc(d.Rows, func(a, b *loadv1.Row) int { return cmp.Compare(a.GetKey(), b.GetKey()) })
	p.Load = encode(d)
}

// refreshDigest takes a new own digest when the last one is old enough.
func (x *Exchange) refreshDigest() {
	now := x.Timer.Now()
	if now.Sub(x.digestTime) < digestPeriod {
		return
	}
	x.digestTime = now
	d := x.Digests.Digest()
	x.sequence = d.Sequence
	present := map[uint32]bool{}
	for i := range d.Pools {
		r := rowMessage(&d.Pools[i])
		present[r.GetKey()] = true
		if old := x.ownRows[r.GetKey()]; old == nil || rowChanged(old.row, r) {
			x.ownRows[r.GetKey()] = &ownRow{row: r, sequence: d.Sequence}
		}
	}
	for k, r := range x.ownRows {
		if !present[k] && r.row.GetSlots() > 0 {
			x.ownRows[k] = &ownRow{row: &loadv1.Row{Key: k}, sequence: d.Sequence} // nothing left to lend
		}
	}
}

// peer returns the exchange with a member of the cell, or nil if the table is full.
func (x *Exchange) peer(i persimmoncart.Instance) *peerState {
	e := x.peers[i.ID]
	if e == nil && len(x.peers) >= maxPeers {
		return nil
	}
	if e == nil || e.incarnation != i.Incarnation {
		e = &peerState{incarnation: i.Incarnation, rows: map[uint32]*loadv1.Row{}}
		x.peers[i.ID] = e
	}
	return e
}

// Receive implements membership.Extension.
func (x *Exchange) Receive(from persimmoncart.Instance, p *memberv1.Piggyback, _ time.Time) {
	if len(p.GetLeaving()) > 0 && x.LeavingReceived != nil {
		ids := make([]persimmoncart.EndpointID, 0, len(p.GetLeaving()))
		for _, id := range p.GetLeaving() {
			ids = append(ids, persimmoncart.EndpointID(id))
		}
		x.LeavingReceived(ids)
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
		e.ackedByPeer = d.GetSeen() // lower than before if the peer has dropped the rows
	}
	if d.GetSequence() <= e.sequence {
		if len(d.GetRows()) > 0 {
			e.ackedToPeer = ackPending // the confirmation was lost
		}
		return
	}
	if d.GetBase() > e.sequence {
		e.ackedToPeer = ackPending // rows that were confirmed have been dropped here since
		return
	}
	e.sequence = d.GetSequence()
	for _, r := range d.GetRows() {
		e.rows[r.GetKey()] = r
	}
	x.Digests.UpdateDigest(x.digestOfRows(from.ID, e.sequence, e.rows, from.DataCentre, from.Region), cellLatency)
}

// digestOfRows returns rows as a digestOfRows of an instance.
func (x *Exchange) digestOfRows(id persimmoncart.InstanceID, sequence uint64, rows map[uint32]*loadv1.Row, cell persimmoncart.DataCentre, region persimmoncart.Region) persimmoncart.Digest {
	names := x.currentRowKeys()
	d := persimmoncart.Digest{Instance: id, Sequence: sequence}
	for h, r := range rows {
		if k, known := names[h]; known && r.GetSlots() > 0 {
			d.Pools = append(d.Pools, poolDigest(k, r, cell, region))
		}
	}
	slices.SortFunc(d.Pools, func(a, b persimmoncart.PoolDigest) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Role, b.Role))
	})
	return d
}

// currentRowKeys returns the rows that the newest configuration allows.
func (x *Exchange) currentRowKeys() map[uint32]rowKey {
	s := x.Configuration.Snapshot()
	if x.rowKeys == nil || s.Version != x.rowKeysVersion {
		x.rowKeys, x.rowKeysVersion = rowKeys(s), s.Version
	}
	return x.rowKeys
}

// encode returns the bytes of a message.
func encode(m proto.Message) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		panic(err) // messages are built by this program and always marshal
	}
	return b
}
