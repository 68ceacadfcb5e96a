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
	cellLatency        = time.Millisecond          // one way, within a data centre
	crossRegionLatency = 12 * time.Millisecond     // one way, between regions
	digestPeriod       = 2 * time.Second           // shortest time between two own digests
	maxOffers          = 1                         // owners named in a sum; a second one would double its size
	maxPeers           = membership.MaxCellMembers // limits the table of peers; the largest cell that membership allows fits
	maxSums            = membership.MaxCells       // limits the table of sums
	sameRegionLatency  = 2 * time.Millisecond      // one way, between data centres of a region
)

var _ membership.Extension = (*Exchange)(nil)

// An Exchange sends digests of the local slot allocator with probes and sums of
// the cell with summaries, and passes received ones to the allocator. Set the
// fields before Start. Its methods run under the Lock of Members.
type Exchange struct {
	Configuration    persimmoncart.Configuration
	Digests          persimmoncart.DigestExchange
	Governor         *Governor                                // decides which messages are left out; nil leaves out none
	LeavingEndpoints func() []persimmoncart.EndpointID        // endpoints that this instance has found to be leaving; nil means none
	LeavingReceived  func(leaving []persimmoncart.EndpointID) // called with endpoints that other instances report as leaving; may be nil
	Members          *membership.Service
	Timer            persimmoncart.Timer

	digestTime     time.Time                               // when the newest own digest was taken
	ownRows        map[uint32]*ownRow                      // rows of the own digest, by hash of the key
	peers          map[persimmoncart.InstanceID]*peerState // the other members of the cell
	rowKeys        map[uint32]rowKey                       // result of currentRowKeys
	rowKeysVersion uint64                                  // version of the configuration that rowKeys comes from
	sequence       uint64                                  // of the newest own digest
	sumTurn        int                                     // selects the cell whose sum is passed on next
	sums           map[persimmoncart.DataCentre]*cellSum   // newest sum of each other cell
}

// An ownRow is one row of the digest of this instance.
type ownRow struct {
	row      *loadv1.Row // as last sent
	sequence uint64      // of the digest in which it last changed
}

// A peerState is the state of the digest exchange with one member of the cell.
type peerState struct {
	ackedByPeer uint64 // newest own digest that the peer has acknowledged
	ackedToPeer uint64 // newest digest of the peer that was acknowledged to it, or ackPending
	incarnation persimmoncart.Incarnation
	rows        map[uint32]*loadv1.Row // rows of the peer, by hash of the key
	sequence    uint64                 // newest digest of the peer
}

// ackPending as ackedToPeer makes the next message acknowledge the newest
// digest of the peer.
const ackPending = math.MaxUint64

// A cellSum is the newest sum of another cell.
type cellSum struct {
	sum *loadv1.Sum
}

// Start registers the Exchange with Members, which must not run yet, and
// subscribes to changes of members. The returned function ends the
// subscription.
func (x *Exchange) Start() (stop func()) {
	x.Members.Setup(func() {
		x.peers = map[persimmoncart.InstanceID]*peerState{}
		x.ownRows = map[uint32]*ownRow{}
		x.sums = map[persimmoncart.DataCentre]*cellSum{}
		x.Members.Machine.Extensions = append(x.Members.Machine.Extensions, x)
	})
	return x.Members.Subscribe(x.membersChanged)
}

// membersChanged reclaims the slots lent to dead members and removes the
// digests of leaving and suspect ones.
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
		x.fillOwnSum(to, p)
	default:
		x.fillDigest(to, p)
		if full {
			x.fillReceivedSum(p)
		}
	}
}

// fillDigest adds the rows that the peer has not acknowledged.
func (x *Exchange) fillDigest(to persimmoncart.Instance, message *memberv1.Piggyback) {
	x.refreshDigest()
	p := x.peer(to)
	if p == nil || !x.Governor.Allow(KindDigest) {
		return
	}
	d := &loadv1.Digest{Base: p.ackedByPeer, Seen: p.sequence, Sequence: x.sequence}
	for _, r := range x.ownRows {
		if r.sequence > p.ackedByPeer {
			d.Rows = append(d.Rows, r.row)
		}
	}
	// Until rows of the peer arrive, every message requests them: one may get lost.
	if len(d.Rows) == 0 && p.ackedToPeer == p.sequence && p.sequence > 0 {
		return
	}
	p.ackedToPeer = p.sequence
	slices.SortFunc(d.Rows, func(a, b *loadv1.Row) int { return cmp.Compare(a.GetKey(), b.GetKey()) })
	message.Load = encode(d)
}

// refreshDigest takes a new own digest when the last one is older than
// digestPeriod.
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

// peer returns the state of the exchange with a member of the cell, or nil if
// the table is full.
func (x *Exchange) peer(i persimmoncart.Instance) *peerState {
	p := x.peers[i.ID]
	if p == nil && len(x.peers) >= maxPeers {
		return nil
	}
	if p == nil || p.incarnation != i.Incarnation {
		p = &peerState{incarnation: i.Incarnation, rows: map[uint32]*loadv1.Row{}}
		x.peers[i.ID] = p
	}
	return p
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

// receiveDigest merges the rows of a peer's digest with its earlier ones and
// passes the whole digest to the local slot allocator.
func (x *Exchange) receiveDigest(from persimmoncart.Instance, d *loadv1.Digest) {
	p := x.peer(from)
	if p == nil {
		return
	}
	if d.GetSeen() <= x.sequence {
		p.ackedByPeer = d.GetSeen() // lower than before if the peer has dropped the rows
	}
	if d.GetSequence() <= p.sequence {
		if len(d.GetRows()) > 0 {
			p.ackedToPeer = ackPending // the acknowledgement was lost
		}
		return
	}
	if d.GetBase() > p.sequence {
		p.ackedToPeer = ackPending // acknowledged rows have since been dropped here
		return
	}
	p.sequence = d.GetSequence()
	for _, r := range d.GetRows() {
		p.rows[r.GetKey()] = r
	}
	x.Digests.UpdateDigest(x.digestOfRows(from.ID, p.sequence, p.rows, from.DataCentre, from.Region), cellLatency)
}

// digestOfRows returns the digest of an instance that consists of the rows. It
// leaves out rows without slots and rows that the configuration does not allow.
func (x *Exchange) digestOfRows(id persimmoncart.InstanceID, sequence uint64, rows map[uint32]*loadv1.Row, cell persimmoncart.DataCentre, region persimmoncart.Region) persimmoncart.Digest {
	keys := x.currentRowKeys()
	d := persimmoncart.Digest{Instance: id, Sequence: sequence}
	for h, r := range rows {
		if k, found := keys[h]; found && r.GetSlots() > 0 {
			d.Pools = append(d.Pools, poolDigest(k, r, cell, region))
		}
	}
	slices.SortFunc(d.Pools, func(a, b persimmoncart.PoolDigest) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Role, b.Role))
	})
	return d
}

// currentRowKeys returns the keys of all rows that the newest configuration
// allows, by hash.
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
		panic(err) // messages built by this program always marshal
	}
	return b
}
