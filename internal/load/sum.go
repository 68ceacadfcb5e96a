package load

import (
	"cmp"
	"maps"
	"slices"

	"github.com/persimmoncart/persimmoncart"
	loadv1 "github.com/persimmoncart/persimmoncart/proto/load/v1"
	memberv1 "github.com/persimmoncart/persimmoncart/proto/member/v1"
)

// fillSum adds the sum of this cell to a summary for another cell.
func (x *Exchange) fillSum(to persimmoncart.Instance, p *memberv1.Piggyback) {
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

// fillSums passes on the sum of another cell, one by turns, to a member of the
// own cell; only gateways receive sums from outside.
func (x *Exchange) fillSums(p *memberv1.Piggyback) {
	if len(x.sums) == 0 || !x.Members.Machine.IsGateway() || !x.Governor.Allow(KindSum) {
		return
	}
	// Every second probe has none: a sum is as large as three probes.
	if x.sumTurn++; x.sumTurn%2 == 0 {
		return
	}
	names := slices.Sorted(maps.Keys(x.sums))
	p.Sums = append(p.Sums, encode(x.sums[names[x.sumTurn/2%len(names)]].sum))
}

// ownSum returns the total of the own cell with the owners that have most free slots.
func (x *Exchange) ownSum() *loadv1.Sum {
	x.refreshDigest()
	self := x.Members.Machine.Self
	own := map[uint32]*loadv1.Row{}
	for k, r := range x.ownRows {
		own[k] = r.row
	}
	offers := []*loadv1.Offer{{Instance: string(self.ID), Sequence: x.sequence, Rows: sortedRows(own)}}
	for id, e := range x.peers {
		if m, known := x.Members.Machine.Member(id); known && m.State == persimmoncart.MemberAlive {
			offers = append(offers, &loadv1.Offer{Instance: string(id), Sequence: e.sequence, Rows: sortedRows(e.rows)})
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
		Sequence: uint64(x.Timer.Now().UnixMilli()), // both gateways send; the later sum wins
	}
}

// receiveSum keeps the newest sum of another cell and passes its offers on.
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
	distance := sameRegionLatency
	if s.GetRegion() != string(self.Region) {
		distance = crossRegionLatency
	}
	offered := map[string]bool{}
	for _, o := range s.GetOffers() {
		offered[o.GetInstance()] = true
		rows := map[uint32]*loadv1.Row{}
		for _, r := range o.GetRows() {
			rows[r.GetKey()] = r
		}
		x.Digests.UpdateDigest(x.digestOfRows(persimmoncart.InstanceID(o.GetInstance()), o.GetSequence(), rows, name, persimmoncart.Region(s.GetRegion())), distance)
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

// Sum returns the newest total of another cell; it is false if none is known.
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

// addRows returns the total of two rows, without what only a borrower of one owner
// needs. The wait is the shorter one, since a
// borrower may choose the owner.
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

// freeSlots returns the freeSlots slots of an offer.
func freeSlots(o *loadv1.Offer) uint32 {
	var n uint32
	for _, r := range o.GetRows() {
		n += r.GetFree()
	}
	return n
}

// sortedRows returns rows in the order of their keys, without empty ones.
func sortedRows(rows map[uint32]*loadv1.Row) []*loadv1.Row {
	var sorted []*loadv1.Row
	for _, k := range slices.Sorted(maps.Keys(rows)) {
		if rows[k].GetSlots() > 0 {
			sorted = append(sorted, rows[k])
		}
	}
	return sorted
}
