package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
)

// changeSetRecord is the stored form of a change set, which also serves as the
// audit record of its changes.
type changeSetRecord struct {
	Time      time.Time      `json:"at"`
	Author    string         `json:"author"`
	Changes   []changeRecord `json:"changes"`
	ID        string         `json:"id"`
	Note      string         `json:"note,omitempty"`
	Parent    string         `json:"parent,omitempty"`
	StateHash string         `json:"state"`
	Version   uint64         `json:"version"`
}

// changeRecord is the stored form of one change. After is absent if the object is
// deleted, and Before if it is created.
type changeRecord struct {
	After  json.RawMessage `json:"after,omitempty"`
	Before json.RawMessage `json:"before,omitempty"`
	Key    string          `json:"key"`
}

// EncodeChangeSet returns the stored form of a change set. The SHA-256 of the
// stored form is the change set's hash.
func EncodeChangeSet(s *persimmoncart.ConfigChangeSet) []byte {
	r := changeSetRecord{Time: s.Time, Author: s.Author, ID: s.ID, Note: s.Note, StateHash: hex.EncodeToString(s.StateHash[:]), Version: s.Version}
	if s.Parent != (persimmoncart.ConfigHash{}) {
		r.Parent = hex.EncodeToString(s.Parent[:])
	}
	for _, c := range s.Changes {
		r.Changes = append(r.Changes, changeRecord{After: c.After, Before: c.Before, Key: c.Key})
	}
	b, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("encode change set: %v", err)) // the objects are canonical JSON, which always encodes
	}
	return b
}

// DecodeChangeSet decodes a change set from its stored form.
func DecodeChangeSet(data []byte) (persimmoncart.ConfigChangeSet, error) {
	var r changeSetRecord
	if err := json.Unmarshal(data, &r); err != nil {
		return persimmoncart.ConfigChangeSet{}, errors.Wrap(err, "decode change set")
	}
	s := persimmoncart.ConfigChangeSet{
		Time: r.Time, Author: r.Author, Hash: sha256.Sum256(data), ID: r.ID, Note: r.Note, Version: r.Version,
	}
	for _, c := range r.Changes {
		s.Changes = append(s.Changes, persimmoncart.ConfigChange{After: c.After, Before: c.Before, Key: c.Key})
	}
	var err error
	if s.StateHash, err = parseHash(r.StateHash); err != nil {
		return s, err
	}
	if r.Parent != "" {
		s.Parent, err = parseHash(r.Parent)
	}
	return s, err
}

// FieldChange is the change of one field of an object. The values are JSON text,
// empty if the field is absent.
type FieldChange struct {
	After  string `json:"after,omitempty"`
	Before string `json:"before,omitempty"`
	Field  string `json:"field"`
}

// DiffFields returns the fields in which two objects differ, sorted by name.
func DiffFields(before, after []byte) []FieldChange {
	var a, b map[string]json.RawMessage
	// An object that is absent or that is not a JSON object has no fields.
	_ = json.Unmarshal(before, &a)
	_ = json.Unmarshal(after, &b)
	var out []FieldChange
	for _, name := range sortedKeys(a, b) {
		if x, y := string(a[name]), string(b[name]); x != y {
			out = append(out, FieldChange{After: y, Before: x, Field: name})
		}
	}
	return out
}
