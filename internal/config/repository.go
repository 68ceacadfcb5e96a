package config

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/persimmoncart/persimmoncart"
)

// Keys in the store. Every object except the head has a hash of its content in
// its key and is never overwritten.
const (
	changeSetsPrefix = "config/sets/"
	headKey          = "config/head"
	manifestsPrefix  = "config/manifests/"
	partsPrefix      = "config/parts/"
	shardsPrefix     = "config/shards/"
)

const (
	// maxPartBytes is the size above which a change set is stored in several
	// objects. It is below persimmoncart.MaxValueBytes.
	maxPartBytes = 900 << 10
	// maxRecentVersions is the number of versions that the head lists, about 9
	// minutes of changes at 10,000 a day. An edit whose response was lost is
	// searched for among them.
	maxRecentVersions = 64
)

// Head is the stored object that identifies the version in force.
type Head struct {
	Recent       []VersionRef          `json:"recent"` // oldest first; the last one is in force
	StateHash    string                `json:"state"`  // hexadecimal hash of the State in force
	Version      uint64                `json:"version"`
	storeVersion persimmoncart.Version // version of the stored object, for conditional updates
}

// VersionRef identifies one configuration version.
type VersionRef struct {
	Author  string `json:"author"`
	Hash    string `json:"hash"` // hexadecimal hash of the change set
	ID      string `json:"id"`   // Edit.ID of the edit that created the version
	Version uint64 `json:"version"`
}

// findEdit returns the version that the edit with the ID created, or nil if the
// head does not list it.
func (h *Head) findEdit(id string) *VersionRef {
	for i := range h.Recent {
		if id != "" && h.Recent[i].ID == id {
			return &h.Recent[i]
		}
	}
	return nil
}

// includes reports whether the head lists the version.
func (h *Head) includes(version uint64) bool {
	return slices.ContainsFunc(h.Recent, func(ref VersionRef) bool { return ref.Version == version })
}

// changeSetHash returns the hash of the change set in force; it is zero before the
// first version.
func (h *Head) changeSetHash() (persimmoncart.ConfigHash, error) {
	if len(h.Recent) == 0 {
		return persimmoncart.ConfigHash{}, nil
	}
	return parseHash(h.Recent[len(h.Recent)-1].Hash)
}

// decodeHead decodes the head from its stored object. It returns a *CorruptError
// if the last listed version is not the head's own.
func decodeHead(o persimmoncart.Object) (*Head, error) {
	h := &Head{}
	if err := json.Unmarshal(o.Value, h); err != nil {
		return nil, errors.Wrap(err, "decode head")
	}
	if n := len(h.Recent); n == 0 || h.Recent[n-1].Version != h.Version {
		return nil, errors.Wrap(&CorruptError{Key: headKey}, "decode head")
	}
	h.storeVersion = o.Version
	return h, nil
}

// CorruptError reports a stored object whose content does not match its key or
// the hash that refers to it.
type CorruptError struct {
	Key string
}

// Error implements error.
func (e *CorruptError) Error() string { return fmt.Sprintf("object %q is corrupt", e.Key) }

// VersionedState is the full configuration at one version. It is immutable.
type VersionedState struct {
	Hash    persimmoncart.ConfigHash // hash of the version's change set
	State   *State
	Version uint64
}

// Repository reads and writes the configuration's objects in the store.
type Repository struct {
	// ForEach calls f for each number below n and returns the first error. If it
	// is nil, the calls are sequential, which keeps seeded simulations
	// deterministic. Instances set ForEachConcurrently.
	ForEach func(n int, f func(int) error) error
	Store   persimmoncart.Store
}

// ForEachConcurrently is a Repository.ForEach that makes up to 16 calls at the
// same time. A full configuration has about 320 shards; reading them sequentially
// takes minutes when the store is slow.
func ForEachConcurrently(n int, f func(int) error) error {
	const limit = 16
	var g errgroup.Group
	g.SetLimit(limit)
	for i := range n {
		g.Go(func() error { return f(i) })
	}
	return g.Wait()
}

// forEach calls f for each number below n and returns the first error.
func (r *Repository) forEach(n int, f func(int) error) error {
	if r.ForEach != nil {
		return r.ForEach(n, f)
	}
	for i := range n {
		if err := f(i); err != nil {
			return err
		}
	}
	return nil
}

// Head reads the head. Before the first version it is empty.
func (r *Repository) Head(ctx context.Context) (*Head, error) {
	o, err := r.Store.Get(ctx, headKey)
	if missing := (&persimmoncart.NotFoundError{}); errors.As(err, &missing) {
		return &Head{}, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read head")
	}
	return decodeHead(o)
}

// ChangeSet reads the change set of the version with the given hash. It returns a
// *CorruptError if the content has another hash or version.
func (r *Repository) ChangeSet(ctx context.Context, version uint64, hash persimmoncart.ConfigHash) (persimmoncart.ConfigChangeSet, error) {
	key := changeSetKey(version, hash)
	o, err := r.Store.Get(ctx, key)
	if err != nil {
		return persimmoncart.ConfigChangeSet{}, errors.Wrapf(err, "read version %d", version)
	}
	s, err := r.decodeChangeSet(ctx, o)
	if err == nil && (s.Hash != hash || s.Version != version) {
		err = &CorruptError{Key: key}
	}
	return s, err
}

// decodeChangeSet decodes the change set of a stored object and reads its parts
// if it is split.
func (r *Repository) decodeChangeSet(ctx context.Context, o persimmoncart.Object) (persimmoncart.ConfigChangeSet, error) {
	var split splitChangeSet
	if err := json.Unmarshal(o.Value, &split); err != nil || len(split.Parts) == 0 {
		return DecodeChangeSet(o.Value)
	}
	var data []byte
	for _, name := range split.Parts {
		part, err := r.Store.Get(ctx, partsPrefix+name)
		if err != nil {
			return persimmoncart.ConfigChangeSet{}, errors.Wrapf(err, "read part of %q", o.Key)
		}
		data = append(data, part.Value...)
	}
	return DecodeChangeSet(data)
}

// nextChangeSet reads the change set after version have. It returns a
// *persimmoncart.NotFoundError if the head does not list that version.
func (r *Repository) nextChangeSet(ctx context.Context, h *Head, have uint64) (persimmoncart.ConfigChangeSet, error) {
	for _, ref := range h.Recent {
		if ref.Version == have+1 {
			hash, err := parseHash(ref.Hash)
			if err != nil {
				return persimmoncart.ConfigChangeSet{}, err
			}
			return r.ChangeSet(ctx, ref.Version, hash)
		}
	}
	return persimmoncart.ConfigChangeSet{}, &persimmoncart.NotFoundError{Key: fmt.Sprintf("version %d", have+1)}
}

// State reads the state with the given hash. Shards that base already has are
// taken from it; base may be nil.
func (r *Repository) State(ctx context.Context, hash persimmoncart.ConfigHash, base *State) (*State, error) {
	name := hex.EncodeToString(hash[:])
	o, err := r.Store.Get(ctx, manifestsPrefix+name)
	if err != nil {
		return nil, errors.Wrap(err, "read manifest")
	}
	m, err := decodeManifest(o.Value)
	if err != nil {
		return nil, err
	}
	s := &State{shards: make(map[string]*shard, len(m))}
	var missing []string
	for _, shardName := range slices.Sorted(maps.Keys(m)) {
		if base != nil && base.shards[shardName] != nil && base.shards[shardName].hash == m[shardName] {
			s.setShard(shardName, base.shards[shardName])
		} else {
			missing = append(missing, shardName)
		}
	}
	read := make([]*shard, len(missing))
	err = r.forEach(len(missing), func(i int) error {
		h := m[missing[i]]
		o, err := r.Store.Get(ctx, shardsPrefix+hex.EncodeToString(h[:]))
		if err != nil {
			return errors.Wrapf(err, "read shard %s", missing[i])
		}
		read[i], err = decodeShard(o.Value)
		return err
	})
	if err != nil {
		return nil, err
	}
	for i, sh := range read {
		s.setShard(missing[i], sh)
	}
	if s.Hash() != hash {
		return nil, &CorruptError{Key: manifestsPrefix + name}
	}
	return s, nil
}

// Load reads the full configuration of the head's version. Shards that base
// already has are taken from it; base may be nil.
func (r *Repository) Load(ctx context.Context, h *Head, base *VersionedState) (*VersionedState, error) {
	hash, err := h.changeSetHash()
	if err != nil {
		return nil, err
	}
	if base != nil && base.Version == h.Version && base.Hash == hash {
		return base, nil
	}
	if h.Version == 0 {
		return &VersionedState{State: &State{}}, nil
	}
	state, err := parseHash(h.StateHash)
	if err != nil {
		return nil, err
	}
	var baseState *State
	if base != nil {
		baseState = base.State
	}
	s, err := r.State(ctx, state, baseState)
	if err != nil {
		return nil, err
	}
	return &VersionedState{Hash: hash, State: s, Version: h.Version}, nil
}

// FindChangeSet reads the change set of any version up to the head's. It returns
// a *persimmoncart.NotFoundError if there is no such version.
func (r *Repository) FindChangeSet(ctx context.Context, h *Head, version uint64) (persimmoncart.ConfigChangeSet, error) {
	if version == 0 || version > h.Version {
		return persimmoncart.ConfigChangeSet{}, &persimmoncart.NotFoundError{Key: fmt.Sprintf("version %d", version)}
	}
	// An edit that loses a race leaves a change set that never came into force,
	// so that a version may have several. The one that came into force is the
	// parent of the next version's change set: the loop goes forward to a version
	// whose change set is certain, and followParents goes back from there.
	var candidates []persimmoncart.Object
	var skipped [][]persimmoncart.Object
	for v := version; ; v++ {
		for _, ref := range h.Recent {
			if ref.Version == v {
				hash, err := parseHash(ref.Hash)
				if err != nil {
					return persimmoncart.ConfigChangeSet{}, err
				}
				return r.followParents(ctx, v, hash, skipped)
			}
		}
		var err error
		if candidates, err = r.Store.List(ctx, fmt.Sprintf("%s%020d-", changeSetsPrefix, v)); err != nil {
			return persimmoncart.ConfigChangeSet{}, errors.Wrapf(err, "list version %d", v)
		}
		if len(candidates) == 1 {
			hash, err := parseHash(strings.TrimPrefix(candidates[0].Key, fmt.Sprintf("%s%020d-", changeSetsPrefix, v)))
			if err != nil {
				return persimmoncart.ConfigChangeSet{}, err
			}
			return r.followParents(ctx, v, hash, skipped)
		}
		skipped = append(skipped, candidates)
	}
}

// followParents reads the change set of a version that came into force, and goes
// back from it to the parent once for each skipped version.
func (r *Repository) followParents(ctx context.Context, version uint64, hash persimmoncart.ConfigHash, skipped [][]persimmoncart.Object) (persimmoncart.ConfigChangeSet, error) {
	s, err := r.ChangeSet(ctx, version, hash)
	for range skipped {
		if err != nil {
			break
		}
		s, err = r.ChangeSet(ctx, s.Version-1, s.Parent)
	}
	return s, err
}

// History reads up to count change sets, newest first, starting at version from;
// zero starts at the version in force. With an error it returns those read so far.
func (r *Repository) History(ctx context.Context, h *Head, from uint64, count int) ([]persimmoncart.ConfigChangeSet, error) {
	if h.Version == 0 {
		return nil, nil
	}
	if from == 0 || from > h.Version {
		from = h.Version
	}
	s, err := r.FindChangeSet(ctx, h, from)
	if err != nil {
		return nil, err
	}
	out := []persimmoncart.ConfigChangeSet{s}
	for len(out) < count && s.Version > 1 {
		if s, err = r.ChangeSet(ctx, s.Version-1, s.Parent); err != nil {
			return out, err
		}
		out = append(out, s)
	}
	return out, nil
}

// writeVersion stores the objects of a new version: its change set, its manifest
// and the shards that changed. They have no effect until the head refers to them.
func (r *Repository) writeVersion(ctx context.Context, s *persimmoncart.ConfigChangeSet, old, next *State) error {
	objects := []persimmoncart.ConfigObject{{Key: manifestsPrefix + hex.EncodeToString(s.StateHash[:]), Value: next.Manifest()}}
	for _, name := range slices.Sorted(maps.Keys(next.shards)) {
		sh := next.shards[name]
		if before := old.shards[name]; before == nil || before.hash != sh.hash {
			objects = append(objects, persimmoncart.ConfigObject{Key: shardsPrefix + hex.EncodeToString(sh.hash[:]), Value: sh.encode()})
		}
	}
	data := EncodeChangeSet(s)
	if len(data) > maxPartBytes {
		var split splitChangeSet
		for part := range slices.Chunk(data, maxPartBytes) {
			hash := sha256.Sum256(part)
			name := hex.EncodeToString(hash[:])
			objects = append(objects, persimmoncart.ConfigObject{Key: partsPrefix + name, Value: part})
			split.Parts = append(split.Parts, name)
		}
		var err error
		if data, err = json.Marshal(split); err != nil {
			return errors.Wrap(err, "encode parts")
		}
	}
	objects = append(objects, persimmoncart.ConfigObject{Key: changeSetKey(s.Version, s.Hash), Value: data})
	return r.forEach(len(objects), func(i int) error { return r.createIfAbsent(ctx, objects[i].Key, objects[i].Value) })
}

// splitChangeSet is the stored form of a change set above maxPartBytes.
type splitChangeSet struct {
	Parts []string `json:"parts"` // hexadecimal hashes of the parts, in order
}

// createIfAbsent stores an object whose key contains the hash of its value. An
// object that already exists under the key is not an error.
func (r *Repository) createIfAbsent(ctx context.Context, key string, value []byte) error {
	const attempts = 3
	var err error
	for range attempts {
		_, err = r.Store.Create(ctx, key, value)
		var conflict *persimmoncart.ConflictError
		if err == nil || errors.As(err, &conflict) {
			return nil
		}
		// After an ambiguous failure, writing the same content again is safe.
		if ambiguous := (&persimmoncart.AmbiguousError{}); !errors.As(err, &ambiguous) {
			break
		}
	}
	return errors.Wrap(err, "write object")
}

// changeSetKey returns the key of a change set in the store.
func changeSetKey(version uint64, hash persimmoncart.ConfigHash) string {
	return fmt.Sprintf("%s%020d-%x", changeSetsPrefix, version, hash[:])
}
