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
	accountShards = 256
	// endpointShards keeps a shard of 11,000 endpoints near 50 KB.
	endpointShards = 64
)

// A State is one immutable full copy of the configuration objects.
//
// Objects are kept as canonical JSON in shards; a change copies only the shards
// that it touches.
type State struct {
	hash   persimmoncart.ConfigHash
	shards map[string]*shard
}

// A shard is an immutable part of a State.
type shard struct {
	hash    persimmoncart.ConfigHash
	objects map[string][]byte // by "kind/name"
}

// NewState returns the State of the objects.
func NewState(objects []*Object) *State {
	changes := make([]persimmoncart.ConfigChange, len(objects))
	for i, o := range objects {
		changes[i] = persimmoncart.ConfigChange{After: Encode(o.Spec), Key: o.Key.String()}
	}
	return (&State{}).With(changes)
}

// Get returns the object of the key, or nil.
func (s *State) Get(key string) []byte {
	if p := s.shards[shardOf(key)]; p != nil {
		return p.objects[key]
	}
	return nil
}

// Hash returns the hash of the whole state: the exclusive or of the hashes of
// its shards with their names. A change costs only the shards that it touches.
func (s *State) Hash() persimmoncart.ConfigHash { return s.hash }

// setShard replaces a shard while the State is being built; nil removes it.
func (s *State) setShard(name string, p *shard) {
	for _, x := range []*shard{s.shards[name], p} {
		if x == nil {
			continue
		}
		h := sha256.Sum256(append([]byte(name), x.hash[:]...))
		for i := range h {
			s.hash[i] ^= h[i]
		}
	}
	if p == nil {
		delete(s.shards, name)
	} else {
		s.shards[name] = p
	}
}

// Keys returns the keys of all objects, sorted.
func (s *State) Keys() []string {
	var keys []string
	for _, p := range s.shards {
		keys = slices.AppendSeq(keys, maps.Keys(p.objects))
	}
	sort.Strings(keys)
	return keys
}

// Manifest returns the encoded list of shards with their hashes.
func (s *State) Manifest() []byte {
	m := make(map[string]string, len(s.shards))
	for name, p := range s.shards {
		m[name] = hex.EncodeToString(p.hash[:])
	}
	b, err := json.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("encode manifest: %v", err)) // a map of strings always encodes
	}
	return b
}

// With returns the State after the changes.
func (s *State) With(changes []persimmoncart.ConfigChange) *State {
	next := &State{hash: s.hash, shards: maps.Clone(s.shards)}
	if next.shards == nil {
		next.shards = map[string]*shard{}
	}
	own := map[string]*shard{}
	for _, c := range changes {
		name := shardOf(c.Key)
		p := own[name]
		if p == nil {
			p = &shard{objects: map[string][]byte{}}
			if old := s.shards[name]; old != nil {
				p.objects = maps.Clone(old.objects)
			}
			own[name] = p
		}
		if c.After == nil {
			delete(p.objects, c.Key)
		} else {
			p.objects[c.Key] = c.After
		}
	}
	for name, p := range own {
		if len(p.objects) == 0 {
			next.setShard(name, nil)
			continue
		}
		p.hash = sha256.Sum256(p.encode())
		next.setShard(name, p)
	}
	return next
}

// encode returns the stored form of a shard, a JSON object. Objects are
// canonical JSON already, so they are copied as they are.
func (p *shard) encode() []byte {
	b := []byte{'{'}
	for i, k := range slices.Sorted(maps.Keys(p.objects)) {
		if i > 0 {
			b = append(b, ',')
		}
		key, err := json.Marshal(k)
		if err != nil {
			panic(fmt.Sprintf("encode key: %v", err)) // a string always encodes
		}
		b = append(append(append(b, key...), ':'), p.objects[k]...)
	}
	return append(b, '}')
}

// Diff returns the changes that lead from one State to another, sorted by key.
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
		for _, p := range []*shard{a, b} {
			if p != nil {
				for k := range p.objects {
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

// shardOf returns the name of the shard that holds the key.
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
