package load

import (
	"cmp"
	"maps"
	"slices"

	"github.com/persimmoncart/persimmoncart"
	loadv1 "github.com/persimmoncart/persimmoncart/proto/load/v1"
	memberv1 "github.com/persimmoncart/persimmoncart/proto/member/v1"
)

// fillOwnSum adds the sum of this cell to a summary for another cell.
func (x *Exchange) fillOwnSum(to persimmoncart.Instance, p *memberv1.Piggyback) {
	if !x.Members.Machine.IsGateway() {
		return
	}
	kind := KindSum
	if to.Region != "" && to.Region != x.Members.Machine.Self.Region {
		kind = KindCrossRegion
	}
	if x.Governor.Allow(kind) {
		p.Sums = append(p.Sums, encode(x.ownSum()))
	}
}

// fillReceivedSum passes the sum of another cell on to a member of this cell,
// each cell in turn. Only gateways receive sums from other cells.
func (x *Exchange) fillReceivedSum(p *memberv1.Piggyback) {
	if len(x.sums) == 0 || !x.Members.Machine.IsGateway() || !x.Governor.Allow(KindSum) {
		return
	}
	// Every second probe has no sum, since one is as large as three probes.
	if x.sumTurn++; x.sumTurn%2 == 0 {
		return
	}
	names := slices.Sorted(maps.Keys(x.sums))
	p.Sums = append(p.Sums, encode(x.sums[names[x.sumTurn/2%len(names)]].sum))
}

// ownSum returns the total of this cell, with the rows of the maxOffers owners
// that have the most free slots.
func (x *Exchange) ownSum() *loadv1.Sum {
	x.refreshDigest()
	self := x.Members.Machine.Self
	own := map[uint32]*loadv1.Row{}
	for k, r := range x.ownRows {
		own[k] = r.row
	}
	offers := []*loadv1.Offer{{Instance: string(self.ID), Sequence: x.sequence, Rows: sortedRows(own)}}
	for id, p := range x.peers {
		if m, found := x.Members.Machine.Member(id); found && m.State == persimmoncart.MemberAlive {
			offers = append(offers, &loadv1.Offer{Instance: string(id), Sequence: p.sequence, Rows: sortedRows(p.rows)})
		}
	}
	total := map[uint32]*loadv1.Row{}
	for _, o := range offers {
		for _, r := range o.GetRows() {
			total[r.GetKey()] = addRows(total[r.GetKey()], r)
		}
	}
	slices.SortFunc(offers, func(a, b *loadv1.Offer) int {
		return cmp.Or(cmp.Compare(freeSlots(b), freeSlots(a)), cmp.Compare(a.GetInstance(), b.GetInstance()))
	})
	return &loadv1.Sum{
		Cell:     string(self.DataCentre),
		Offers:   offers[:min(maxOffers, len(offers))],
		Region:   string(self.Region),
		Rows:     sortedRows(total),
		Sequence: uint64(x.Timer.Now().UnixMilli()), // both gateways send sums; the later one replaces the earlier
	}
}

// receiveSum stores a sum of another cell if it is newer, and passes its offers
// to the local slot allocator as digests.
func (x *Exchange) receiveSum(s *loadv1.Sum) {
	name := persimmoncart.DataCentre(s.GetCell())
	self := x.Members.Machine.Self
	old := x.sums[name]
	if name == self.DataCentre || name == "" || old == nil && len(x.sums) >= maxSums {
		return
	}
	if old != nil && old.sum.GetSequence() >= s.GetSequence() {
		return
	}
	x.sums[name] = &cellSum{sum: s}
	latency := sameRegionLatency
	if s.GetRegion() != string(self.Region) {
		latency = crossRegionLatency
	}
	offered := map[string]bool{}
	for _, o := range s.GetOffers() {
		offered[o.GetInstance()] = true
		rows := map[uint32]*loadv1.Row{}
		for _, r := range o.GetRows() {
			rows[r.GetKey()] = r
		}
		x.Digests.UpdateDigest(x.digestOfRows(persimmoncart.InstanceID(o.GetInstance()), o.GetSequence(), rows, name, persimmoncart.Region(s.GetRegion())), latency)
	}
	if old == nil {
		return
	}
	for _, o := range old.sum.GetOffers() {
		if !offered[o.GetInstance()] {
			x.Digests.RemoveDigest(persimmoncart.InstanceID(o.GetInstance()))
		}
	}
}

// Sum returns the newest total of another cell; it returns false if none has
// been received.
func (x *Exchange) Sum(cell persimmoncart.DataCentre) ([]persimmoncart.PoolDigest, bool) {
	s := x.sums[cell]
	if s == nil {
		return nil, false
	}
	rows := map[uint32]*loadv1.Row{}
	for _, r := range s.sum.GetRows() {
		rows[r.GetKey()] = r
	}
	return x.digestOfRows("", s.sum.GetSequence(), rows, cell, persimmoncart.Region(s.sum.GetRegion())).Pools, true
}

// addRows returns the total of two rows, without the fields that matter only to
// a borrower from one owner. The wait is the shorter one, since a borrower may
// choose the owner.
func addRows(a, b *loadv1.Row) *loadv1.Row {
	if a == nil {
		a = &loadv1.Row{Key: b.GetKey(), Wait: b.GetWait()}
	}
	return &loadv1.Row{
		Free:  a.GetFree() + b.GetFree(),
		Key:   b.GetKey(),
		Slots: a.GetSlots() + b.GetSlots(),
		Wait:  min(a.GetWait(), b.GetWait()),
	}
}

// freeSlots returns the free slots of an offer.
func freeSlots(o *loadv1.Offer) uint32 {
	var n uint32
	for _, r := range o.GetRows() {
		n += r.GetFree()
	}
	return n
}

// sortedRows returns the rows that have slots, in the order of their keys.
func sortedRows(rows map[uint32]*loadv1.Row) []*loadv1.Row {
	var sorted []*loadv1.Row
	for _, k := range slices.Sorted(maps.Keys(rows)) {
		if rows[k].GetSlots() > 0 {
			sorted = append(sorted, rows[k])
		}
	}
	return sorted
}
