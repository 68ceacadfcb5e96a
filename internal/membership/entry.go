package membership

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/rendezvous"
	memberv1 "github.com/persimmoncart/persimmoncart/proto/member/v1"
)

// Bits of the flags field of memberv1.Entry.
const (
	flagLeaving = 1 << iota
	flagSuspect
	flagDead
)

// An entry is the state of one incarnation of an instance.
type entry struct {
	dead     bool
	instance persimmoncart.Instance
	suspect  bool
	version  uint32 // raised by the instance itself, within one incarnation
}

// newer reports whether e replaces f, an entry of the same instance. A later
// incarnation wins. Within one incarnation a dead entry wins, then the higher
// version. At the same version a suspect entry wins; only the instance itself
// clears the suspicion, by raising its version.
func (e *entry) newer(f *entry) bool {
	switch {
	case e.instance.Incarnation != f.instance.Incarnation:
		return e.instance.Incarnation > f.instance.Incarnation
	case e.dead != f.dead:
		return e.dead
	case e.version != f.version:
		return e.version > f.version
	default:
		return e.suspect && !f.suspect
	}
}

// state returns the member state that follows from the flags. Dead comes before
// suspect, and suspect before leaving.
func (e *entry) state() persimmoncart.MemberState {
	switch {
	case e.dead:
		return persimmoncart.MemberDead
	case e.suspect:
		return persimmoncart.MemberSuspect
	case e.instance.Leaving:
		return persimmoncart.MemberLeaving
	default:
		return persimmoncart.MemberAlive
	}
}

// member returns the entry as a Member.
func (e *entry) member() persimmoncart.Member {
	return persimmoncart.Member{Instance: e.instance, State: e.state()}
}

// hash returns a hash of the fields that peers compare: identifier, incarnation,
// version and flags.
func (e *entry) hash() uint64 {
	var b [80]byte
	s := append(b[:0], e.instance.ID...)
	s = append(s, 0)
	s = binary.BigEndian.AppendUint64(s, uint64(e.instance.Incarnation))
	s = binary.BigEndian.AppendUint32(s, e.version)
	s = append(s, e.flags())
	return xxhash.Sum64(s)
}

// flags returns the bits of the flags field of memberv1.Entry.
func (e *entry) flags() byte {
	var f byte
	if e.instance.Leaving {
		f |= flagLeaving
	}
	if e.suspect {
		f |= flagSuspect
	}
	if e.dead {
		f |= flagDead
	}
	return f
}

// toProto returns the entry as a message, with the address if full is true.
func (e *entry) toProto(full bool) *memberv1.Entry {
	w := &memberv1.Entry{
		Flags:       uint32(e.flags()),
		Id:          string(e.instance.ID),
		Incarnation: uint64(e.instance.Incarnation),
		Version:     e.version,
	}
	if full {
		w.Addr = addrBytes(e.instance.Addr)
	}
	return w
}

// entryFromProto returns the entry in w. It returns false if w has no identifier
// or an invalid address.
func entryFromProto(w *memberv1.Entry, dataCentre persimmoncart.DataCentre, region persimmoncart.Region) (entry, bool) {
	if w.GetId() == "" {
		return entry{}, false
	}
	var addr netip.AddrPort
	if len(w.GetAddr()) > 0 && addr.UnmarshalBinary(w.GetAddr()) != nil {
		return entry{}, false
	}
	return entry{
		dead: w.GetFlags()&flagDead != 0,
		instance: persimmoncart.Instance{
			Addr:        addr,
			DataCentre:  dataCentre,
			ID:          persimmoncart.InstanceID(w.GetId()),
			Incarnation: persimmoncart.Incarnation(w.GetIncarnation()),
			Leaving:     w.GetFlags()&flagLeaving != 0,
			Region:      region,
		},
		suspect: w.GetFlags()&flagSuspect != 0,
		version: w.GetVersion(),
	}, true
}

// addrBytes returns the binary form of an address.
func addrBytes(addr netip.AddrPort) []byte {
	b, err := addr.MarshalBinary()
	if err != nil {
		return nil // unreachable: MarshalBinary of an AddrPort returns no error
	}
	return b
}

// rank returns the rendezvous rank of an instance for a name. The smallest rank
// comes first.
func rank(name string, id persimmoncart.InstanceID) uint64 {
	return ^rendezvous.Score(name, string(id))
}
