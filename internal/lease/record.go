package lease

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
)

// A record is the stored state of one lease.
type record struct {
	Fence       uint64                    `json:"fence"`
	Free        bool                      `json:"free"` // released by its holder
	Holder      persimmoncart.InstanceID  `json:"holder"`
	Incarnation persimmoncart.Incarnation `json:"start"` // incarnation of the holder
	Term        time.Duration             `json:"term"`  // nanoseconds
	WriteCount  uint64                    `json:"turn"`  // counts the holder's writes, so that no two of its records are equal
}

// maxTerm is the longest term of a lease. A record with a longer one is invalid and
// does not block its lease.
const maxTerm = 5 * time.Minute

// decodeRecord returns the record with the stored value and version. It returns an
// error for a record that no instance can have written.
func decodeRecord(value []byte, version persimmoncart.Version) (record, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return record{}, errors.Wrap(err, "decode lease record")
	}
	if r.Term <= 0 || r.Term > maxTerm {
		return record{}, errors.Errorf("lease record has term %s", r.Term)
	}
	if r.Fence > uint64(version) {
		return record{}, errors.Errorf("lease record of version %d has fencing token %d", version, r.Fence)
	}
	return r, nil
}

// encode returns the value that is stored for the record.
func (r record) encode() ([]byte, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode lease record")
	}
	return value, nil
}

// knownAt reports whether the record tells who holds the lease. A record that was
// lost or cannot be read has no fencing token, and one of an earlier epoch of the
// store may have been replaced by a write that the store has lost.
func (r record) knownAt(version persimmoncart.Version) bool {
	return r.Fence != 0 && persimmoncart.Version(r.Fence).Epoch() == version.Epoch()
}

// heldBy reports whether the incarnation with the tag holds the lease.
func (r record) heldBy(tag persimmoncart.Tag) bool {
	return !r.Free && r.Holder == tag.Instance && r.Incarnation == tag.Incarnation
}
