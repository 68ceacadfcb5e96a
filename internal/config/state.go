package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmoncart/persimmoncart"
)

const (
	accountShards = 256 // shards of all accounts
	// endpointShards is the number of shards of all endpoints. With 11,000
	// endpoints a shard has about 50 KB.
	endpointShards = 64
)

// State is an immutable set of all configuration objects. The zero value is empty.
//
// Objects are stored as canonical JSON in shards. A change copies only the shards
// of the objects that it changes and shares the others.
type State struct {
	hash   persimmoncart.ConfigHash
	shards map[string]*shard // by shard name
}

// shard is an immutable part of a State.
type shard struct {
	hash    persimmoncart.ConfigHash
	objects map[string][]byte // canonical JSON by key "kind/name"
}

// NewState returns the State with the given objects.
func NewState(objects []*Object) *State {
	changes := make([]persimmoncart.ConfigChange, len(objects))
	for i, o := range objects {
		changes[i] = persimmoncart.ConfigChange{After: Encode(o.Spec), Key: o.Key.String()}
	}
	return (&State{}).With(changes)
}

// Get returns the canonical JSON of the object with the key, or nil.
func (s *State) Get(key string) []byte {
	if sh := s.shards[shardOf(key)]; sh != nil {
		return sh.objects[key]
	}
	return nil
}

// Hash returns the hash of the whole state, which is the XOR of one hash for each
// shard's name and content. A change recomputes the hashes of changed shards only.
func (s *State) Hash() persimmoncart.ConfigHash { return s.hash }

// setShard replaces a shard of a State under construction, or removes it if sh is
// nil, and updates the hash.
func (s *State) setShard(name string, sh *shard) {
	for _, x := range []*shard{s.shards[name], sh} {
		if x == nil {
			continue
		}
		h := sha256.Sum256(append([]byte(name), x.hash[:]...))
		for i := range h {
			s.hash[i] ^= h[i]
		}
	}
	if sh == nil {
		delete(s.shards, name)
	} else {
		s.shards[name] = sh
	}
}

// Keys returns the keys of all objects, sorted.
func (s *State) Keys() []string {
	var keys []string
	for _, sh := range s.shards {
		keys = slices.AppendSeq(keys, maps.Keys(sh.objects))
	}
	sort.Strings(keys)
	return keys
}

// Manifest returns the stored form of the shards' names and hashes.
func (s *State) Manifest() []byte {
	m := make(map[string]string, len(s.shards))
	for name, sh := range s.shards {
		m[name] = hex.EncodeToString(sh.hash[:])
	}
	b, err := json.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("encode manifest: %v", err)) // a map of strings always encodes
	}
	return b
}

// With returns the State after the changes. It does not modify s.
func (s *State) With(changes []persimmoncart.ConfigChange) *State {
	next := &State{hash: s.hash, shards: maps.Clone(s.shards)}
	if next.shards == nil {
		next.shards = map[string]*shard{}
	}
	changed := map[string]*shard{}
	for _, c := range changes {
		name := shardOf(c.Key)
		sh := changed[name]
		if sh == nil {
			sh = &shard{objects: map[string][]byte{}}
			if old := s.shards[name]; old != nil {
				sh.objects = maps.Clone(old.objects)
			}
			changed[name] = sh
		}
		if c.After == nil {
			delete(sh.objects, c.Key)
		} else {
			sh.objects[c.Key] = c.After
		}
	}
	for name, sh := range changed {
		if len(sh.objects) == 0 {
			next.setShard(name, nil)
			continue
		}
		sh.hash = sha256.Sum256(sh.encode())
		next.setShard(name, sh)
	}
	return next
}

// encode returns the stored form of a shard: a JSON object with the objects by key,
// sorted. The objects are canonical JSON already and are copied unchanged.
func (sh *shard) encode() []byte {
	b := []byte{'{'}
	for i, k := range slices.Sorted(maps.Keys(sh.objects)) {
		if i > 0 {
			b = append(b, ',')
		}
		key, err := json.Marshal(k)
		if err != nil {
			panic(fmt.Sprintf("encode key: %v", err)) // a string always encodes
		}
		b = append(append(append(b, key...), ':'), sh.objects[k]...)
	}
	return append(b, '}')
}

// Diff returns the changes that turn one State into another, sorted by key.
func Diff(from, to *State) []persimmoncart.ConfigChange {
	var out []persimmoncart.ConfigChange
	names := maps.Clone(from.shards)
	if names == nil {
		names = map[string]*shard{}
	}
	maps.Copy(names, to.shards)
	for name := range names {
		a, b := from.shards[name], to.shards[name]
		if a != nil && b != nil && a.hash == b.hash {
			continue
		}
		keys := map[string]bool{}
		for _, sh := range []*shard{a, b} {
			if sh != nil {
				for k := range sh.objects {
					keys[k] = true
				}
			}
		}
		for k := range keys {
			before, after := from.Get(k), to.Get(k)
			if !bytes.Equal(before, after) {
				out = append(out, persimmoncart.ConfigChange{After: after, Before: before, Key: k})
			}
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// shardOf returns the name of the shard that contains the key.
func shardOf(key string) string {
	kind, name, _ := strings.Cut(key, "/")
	switch Kind(kind) {
	case KindAccount:
		return fmt.Sprintf("%s/%02x", kind, xxhash.Sum64String(name)%accountShards)
	case KindEndpoint:
		return fmt.Sprintf("%s/%02x", kind, xxhash.Sum64String(name)%endpointShards)
	case KindSheet:
		return key
	default:
		return kind
	}
}
