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

// Keys of the store. All objects but the head are named by their content.
const (
	changeSetsPrefix = "config/sets/"
	headKey          = "config/head"
	manifestsPrefix  = "config/manifests/"
	partsPrefix      = "config/parts/"
	shardsPrefix     = "config/shards/"
)

const (
	// maxPartBytes leaves room below persimmoncart.MaxValueBytes.
	maxPartBytes = 900 << 10
	// maxRecentVersions is the number of versions that the head names. It bounds the
	// search for a lost answer, and is about 9 minutes of changes at 10,000 a day.
	maxRecentVersions = 64
)

// A Head is the object that names the version in force.
type Head struct {
	Recent       []VersionRef          `json:"recent"` // oldest first; the last is the version in force
	StateHash    string                `json:"state"`
	Version      uint64                `json:"version"`
	storeVersion persimmoncart.Version // version of the stored object
}

// A VersionRef names one version.
type VersionRef struct {
	Author  string `json:"author"`
	Hash    string `json:"hash"`
	ID      string `json:"id"`
	Version uint64 `json:"version"`
}

// findEdit returns the version that the change set with the ID became, or nil.
func (h *Head) findEdit(id string) *VersionRef {
	for i := range h.Recent {
		if id != "" && h.Recent[i].ID == id {
			return &h.Recent[i]
		}
	}
	return nil
}

// includes reports whether the head includes a version.
func (h *Head) includes(version uint64) bool {
	return slices.ContainsFunc(h.Recent, func(r VersionRef) bool { return r.Version == version })
}

// changeSetHash returns the changeSetHash of the change set in force.
func (h *Head) changeSetHash() (persimmoncart.ConfigHash, error) {
	if len(h.Recent) == 0 {
		return persimmoncart.ConfigHash{}, nil
	}
	return parseHash(h.Recent[len(h.Recent)-1].Hash)
}

// decodeHead returns the head in a stored object.
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

// A CorruptError reports a stored object whose content does not fit its name.
type CorruptError struct {
	Key string
}

// Error implements error.
func (e *CorruptError) Error() string { return fmt.Sprintf("object %q is corrupt", e.Key) }

// A VersionedState is the full configuration at one version. It is immutable.
type VersionedState struct {
	Hash    persimmoncart.ConfigHash // of the version's change set
	State   *State
	Version uint64
}

// An Repository reads and writes the configuration's objects in the store.
type Repository struct {
	// ForEach calls f for each number below n; nil calls it one after the other,
	// as runs with a seed need it. Instances set Concurrent.
	ForEach func(n int, f func(int) error) error
	Store   persimmoncart.Store
}

// ForEachConcurrently is an Archive's Parallel that makes 16 calls at the same time. A
// full copy has about 320 shards; one by one they take minutes from a slow store.
func ForEachConcurrently(n int, f func(int) error) error {
	const limit = 16
	var g errgroup.Group
	g.SetLimit(limit)
	for i := range n {
		g.Go(func() error { return f(i) })
	}
	return g.Wait()
}

// forEach calls f for each number below n.
func (a *Repository) forEach(n int, f func(int) error) error {
	if a.ForEach != nil {
		return a.ForEach(n, f)
	}
	for i := range n {
		if err := f(i); err != nil {
			return err
		}
	}
	return nil
}

// Head returns the head. Before the first version it is empty.
func (a *Repository) Head(ctx context.Context) (*Head, error) {
	o, err := a.Store.Get(ctx, headKey)
	if missing := (&persimmoncart.NotFoundError{}); errors.As(err, &missing) {
		return &Head{}, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read head")
	}
	return decodeHead(o)
}

// ChangeSet returns one change set.
func (a *Repository) ChangeSet(ctx context.Context, version uint64, hash persimmoncart.ConfigHash) (persimmoncart.ConfigChangeSet, error) {
	key := changeSetKey(version, hash)
	o, err := a.Store.Get(ctx, key)
	if err != nil {
		return persimmoncart.ConfigChangeSet{}, errors.Wrapf(err, "read version %d", version)
	}
	s, err := a.decodeChangeSet(ctx, o)
	if err == nil && (s.Hash != hash || s.Version != version) {
		err = &CorruptError{Key: key}
	}
	return s, err
}

// decodeChangeSet returns the change set in a stored object, which may be split.
func (a *Repository) decodeChangeSet(ctx context.Context, o persimmoncart.Object) (persimmoncart.ConfigChangeSet, error) {
	var split splitChangeSet
	if err := json.Unmarshal(o.Value, &split); err != nil || len(split.Parts) == 0 {
		return DecodeChangeSet(o.Value)
	}
	var data []byte
	for _, p := range split.Parts {
		part, err := a.Store.Get(ctx, partsPrefix+p)
		if err != nil {
			return persimmoncart.ConfigChangeSet{}, errors.Wrapf(err, "read part of %q", o.Key)
		}
		data = append(data, part.Value...)
	}
	return DecodeChangeSet(data)
}

// nextChangeSet returns the change set after version have, which the head names.
func (a *Repository) nextChangeSet(ctx context.Context, h *Head, have uint64) (persimmoncart.ConfigChangeSet, error) {
	for _, r := range h.Recent {
		if r.Version == have+1 {
			hash, err := parseHash(r.Hash)
			if err != nil {
				return persimmoncart.ConfigChangeSet{}, err
			}
			return a.ChangeSet(ctx, r.Version, hash)
		}
	}
	return persimmoncart.ConfigChangeSet{}, &persimmoncart.NotFoundError{Key: fmt.Sprintf("version %d", have+1)}
}

// State returns the state with the given hash. Shards that base has are not
// read; base may be nil.
func (a *Repository) State(ctx context.Context, hash persimmoncart.ConfigHash, base *State) (*State, error) {
	name := hex.EncodeToString(hash[:])
	o, err := a.Store.Get(ctx, manifestsPrefix+name)
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
	err = a.forEach(len(missing), func(i int) error {
		h := m[missing[i]]
		o, err := a.Store.Get(ctx, shardsPrefix+hex.EncodeToString(h[:]))
		if err != nil {
			return errors.Wrapf(err, "read shard %s", missing[i])
		}
		read[i], err = decodeShard(o.Value)
		return err
	})
	if err != nil {
		return nil, err
	}
	for i, p := range read {
		s.setShard(missing[i], p)
	}
	if s.Hash() != hash {
		return nil, &CorruptError{Key: manifestsPrefix + name}
	}
	return s, nil
}

// Load returns the full configuration that the head names. Base may be nil.
func (a *Repository) Load(ctx context.Context, h *Head, base *VersionedState) (*VersionedState, error) {
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
	s, err := a.State(ctx, state, baseState)
	if err != nil {
		return nil, err
	}
	return &VersionedState{Hash: hash, State: s, Version: h.Version}, nil
}

// FindChangeSet returns the change set of a version, however old. It returns a
// *persimmoncart.NotFoundError if there is none.
func (a *Repository) FindChangeSet(ctx context.Context, h *Head, version uint64) (persimmoncart.ConfigChangeSet, error) {
	if version == 0 || version > h.Version {
		return persimmoncart.ConfigChangeSet{}, &persimmoncart.NotFoundError{Key: fmt.Sprintf("version %d", version)}
	}
	// Editors that lost a race leave change sets that never came into force. The
	// one that did is the parent of the next version's.
	var parents []persimmoncart.Object
	var later [][]persimmoncart.Object
	for v := version; ; v++ {
		for _, r := range h.Recent {
			if r.Version == v {
				hash, err := parseHash(r.Hash)
				if err != nil {
					return persimmoncart.ConfigChangeSet{}, err
				}
				return a.followParents(ctx, v, hash, later)
			}
		}
		var err error
		if parents, err = a.Store.List(ctx, fmt.Sprintf("%s%020d-", changeSetsPrefix, v)); err != nil {
			return persimmoncart.ConfigChangeSet{}, errors.Wrapf(err, "list version %d", v)
		}
		if len(parents) == 1 {
			hash, err := parseHash(strings.TrimPrefix(parents[0].Key, fmt.Sprintf("%s%020d-", changeSetsPrefix, v)))
			if err != nil {
				return persimmoncart.ConfigChangeSet{}, err
			}
			return a.followParents(ctx, v, hash, later)
		}
		later = append(later, parents)
	}
}

// followParents follows the parents from a version that is known to have come into
// force to the earliest of the versions in between.
func (a *Repository) followParents(ctx context.Context, version uint64, hash persimmoncart.ConfigHash, between [][]persimmoncart.Object) (persimmoncart.ConfigChangeSet, error) {
	s, err := a.ChangeSet(ctx, version, hash)
	for range between {
		if err != nil {
			break
		}
		s, err = a.ChangeSet(ctx, s.Version-1, s.Parent)
	}
	return s, err
}

// History returns up to count change sets, newest first, from the version down.
func (a *Repository) History(ctx context.Context, h *Head, from uint64, count int) ([]persimmoncart.ConfigChangeSet, error) {
	if h.Version == 0 {
		return nil, nil
	}
	if from == 0 || from > h.Version {
		from = h.Version
	}
	s, err := a.FindChangeSet(ctx, h, from)
	if err != nil {
		return nil, err
	}
	out := []persimmoncart.ConfigChangeSet{s}
	for len(out) < count && s.Version > 1 {
		if s, err = a.ChangeSet(ctx, s.Version-1, s.Parent); err != nil {
			return out, err
		}
		out = append(out, s)
	}
	return out, nil
}

// writeVersion stores the objects of a new version; they take effect with the head.
func (a *Repository) writeVersion(ctx context.Context, s *persimmoncart.ConfigChangeSet, old, next *State) error {
	objects := []persimmoncart.ConfigObject{{Key: manifestsPrefix + hex.EncodeToString(s.StateHash[:]), Value: next.Manifest()}}
	for _, name := range slices.Sorted(maps.Keys(next.shards)) {
		p := next.shards[name]
		if before := old.shards[name]; before == nil || before.hash != p.hash {
			objects = append(objects, persimmoncart.ConfigObject{Key: shardsPrefix + hex.EncodeToString(p.hash[:]), Value: p.encode()})
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
	return a.forEach(len(objects), func(i int) error { return a.createIfAbsent(ctx, objects[i].Key, objects[i].Value) })
}

// A splitChangeSet is the stored form of a change set above partBytes.
type splitChangeSet struct {
	Parts []string `json:"parts"` // hashes of the parts, in order
}

// createIfAbsent stores an object named by its content; it may exist already.
func (a *Repository) createIfAbsent(ctx context.Context, key string, value []byte) error {
	const attempts = 3
	var err error
	for range attempts {
		_, err = a.Store.Create(ctx, key, value)
		var conflict *persimmoncart.ConflictError
		if err == nil || errors.As(err, &conflict) {
			return nil
		}
		// A lost answer is settled by writing the same content again.
		if lost := (&persimmoncart.AmbiguousError{}); !errors.As(err, &lost) {
			break
		}
	}
	return errors.Wrap(err, "write object")
}

// changeSetKey returns the key of a change set.
func changeSetKey(version uint64, hash persimmoncart.ConfigHash) string {
	return fmt.Sprintf("%s%020d-%x", changeSetsPrefix, version, hash[:])
}
