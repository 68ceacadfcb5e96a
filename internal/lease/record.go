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

// decodeRecord returns the record with the stored value.
func decodeRecord(value []byte) (record, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return record{}, errors.Wrap(err, "decode lease record")
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

// heldBy reports whether the incarnation with the tag holds the lease.
func (r record) heldBy(tag persimmoncart.Tag) bool {
	return !r.Free && r.Holder == tag.Instance && r.Incarnation == tag.Incarnation
}
