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
	headKey      = "config/head"
	manifestsKey = "config/manifests/"
	partsKey     = "config/parts/"
	setsKey      = "config/sets/"
	shardsKey    = "config/shards/"
)

const (
	// partBytes leaves room below persimmoncart.MaxValueBytes.
	partBytes = 900 << 10
	// recentSets is the number of versions that the head names. It bounds the
	// search for a lost answer, and is about 9 minutes of changes at 10,000 a day.
	recentSets = 64
)

// A Head is the object that names the version in force.
type Head struct {
	Recent  []Recent              `json:"recent"` // oldest first; the last is the version in force
	State   string                `json:"state"`
	Version uint64                `json:"version"`
	store   persimmoncart.Version // version of the stored object
}

// A Recent names one version.
type Recent struct {
	Author  string `json:"author"`
	Hash    string `json:"hash"`
	ID      string `json:"id"`
	Version uint64 `json:"version"`
}

// find returns the version that the change set with the ID became, or nil.
func (h *Head) find(id string) *Recent {
	for i := range h.Recent {
		if id != "" && h.Recent[i].ID == id {
			return &h.Recent[i]
		}
	}
	return nil
}

// names reports whether the head names a version.
func (h *Head) names(version uint64) bool {
	return slices.ContainsFunc(h.Recent, func(r Recent) bool { return r.Version == version })
}

// hash returns the hash of the change set in force.
func (h *Head) hash() (persimmoncart.ConfigHash, error) {
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
	h.store = o.Version
	return h, nil
}

// A CorruptError reports a stored object whose content does not fit its name.
type CorruptError struct {
	Key string
}

// Error implements error.
func (e *CorruptError) Error() string { return fmt.Sprintf("object %q is corrupt", e.Key) }

// A Copy is the full configuration at one version. It is immutable.
type Copy struct {
	Hash    persimmoncart.ConfigHash // of the version's change set
	State   *State
	Version uint64
}

// An Archive reads and writes the configuration's objects in the store.
type Archive struct {
	// Parallel calls f for each number below n; nil calls it one after the other,
	// as runs with a seed need it. Instances set Concurrent.
	Parallel func(n int, f func(int) error) error
	Store    persimmoncart.Store
}

// Concurrent is an Archive's Parallel that makes 16 calls at the same time. A
// full copy has about 320 shards; one by one they take minutes from a slow store.
func Concurrent(n int, f func(int) error) error {
	const limit = 16
	var g errgroup.Group
	g.SetLimit(limit)
	for i := range n {
		g.Go(func() error { return f(i) })
	}
	return g.Wait()
}

// parallel calls f for each number below n.
func (a *Archive) parallel(n int, f func(int) error) error {
	if a.Parallel != nil {
		return a.Parallel(n, f)
	}
	for i := range n {
		if err := f(i); err != nil {
			return err
		}
	}
	return nil
}

// Head returns the head. Before the first version it is empty.
func (a *Archive) Head(ctx context.Context) (*Head, error) {
	o, err := a.Store.Get(ctx, headKey)
	if missing := (&persimmoncart.NotFoundError{}); errors.As(err, &missing) {
		return &Head{}, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read head")
	}
	return decodeHead(o)
}

// Set returns one change set.
func (a *Archive) Set(ctx context.Context, version uint64, hash persimmoncart.ConfigHash) (persimmoncart.ConfigChangeSet, error) {
	key := setKey(version, hash)
	o, err := a.Store.Get(ctx, key)
	if err != nil {
		return persimmoncart.ConfigChangeSet{}, errors.Wrapf(err, "read version %d", version)
	}
	s, err := a.decodeSet(ctx, o)
	if err == nil && (s.Hash != hash || s.Version != version) {
		err = &CorruptError{Key: key}
	}
	return s, err
}

// decodeSet returns the change set in a stored object, which may be split.
func (a *Archive) decodeSet(ctx context.Context, o persimmoncart.Object) (persimmoncart.ConfigChangeSet, error) {
	var split splitSet
	if err := json.Unmarshal(o.Value, &split); err != nil || len(split.Parts) == 0 {
		return DecodeSet(o.Value)
	}
	var data []byte
	for _, p := range split.Parts {
		part, err := a.Store.Get(ctx, partsKey+p)
		if err != nil {
			return persimmoncart.ConfigChangeSet{}, errors.Wrapf(err, "read part of %q", o.Key)
		}
		data = append(data, part.Value...)
	}
	return DecodeSet(data)
}

// next returns the change set after version have, which the head names.
func (a *Archive) next(ctx context.Context, h *Head, have uint64) (persimmoncart.ConfigChangeSet, error) {
	for _, r := range h.Recent {
		if r.Version == have+1 {
			hash, err := parseHash(r.Hash)
			if err != nil {
				return persimmoncart.ConfigChangeSet{}, err
			}
			return a.Set(ctx, r.Version, hash)
		}
	}
	return persimmoncart.ConfigChangeSet{}, &persimmoncart.NotFoundError{Key: fmt.Sprintf("version %d", have+1)}
}

// State returns the state with the given hash. Shards that base has are not
// read; base may be nil.
func (a *Archive) State(ctx context.Context, hash persimmoncart.ConfigHash, base *State) (*State, error) {
	name := hex.EncodeToString(hash[:])
	o, err := a.Store.Get(ctx, manifestsKey+name)
	if err != nil {
		return nil, errors.Wrap(err, "read manifest")
	}
	m, err := decodeManifest(o.Value)
	if err != nil {
		return nil, err
	}
	s := &State{shards: make(map[string]*shard, len(m))}
	var missing []string
	for _, part := range slices.Sorted(maps.Keys(m)) {
		if base != nil && base.shards[part] != nil && base.shards[part].hash == m[part] {
			s.put(part, base.shards[part])
		} else {
			missing = append(missing, part)
		}
	}
	got := make([]*shard, len(missing))
	err = a.parallel(len(missing), func(i int) error {
		h := m[missing[i]]
		o, err := a.Store.Get(ctx, shardsKey+hex.EncodeToString(h[:]))
		if err != nil {
			return errors.Wrapf(err, "read shard %s", missing[i])
		}
		got[i], err = decodeShard(o.Value)
		return err
	})
	if err != nil {
		return nil, err
	}
	for i, p := range got {
		s.put(missing[i], p)
	}
	if s.Hash() != hash {
		return nil, &CorruptError{Key: manifestsKey + name}
	}
	return s, nil
}

// Copy returns the full configuration that the head names. Base may be nil.
func (a *Archive) Copy(ctx context.Context, h *Head, base *Copy) (*Copy, error) {
	hash, err := h.hash()
	if err != nil {
		return nil, err
	}
	if base != nil && base.Version == h.Version && base.Hash == hash {
		return base, nil
	}
	if h.Version == 0 {
		return &Copy{State: &State{}}, nil
	}
	state, err := parseHash(h.State)
	if err != nil {
		return nil, err
	}
	var known *State
	if base != nil {
		known = base.State
	}
	s, err := a.State(ctx, state, known)
	if err != nil {
		return nil, err
	}
	return &Copy{Hash: hash, State: s, Version: h.Version}, nil
}

// Find returns the change set of a version, however old. It returns a
// *persimmoncart.NotFoundError if there is none.
func (a *Archive) Find(ctx context.Context, h *Head, version uint64) (persimmoncart.ConfigChangeSet, error) {
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
				return a.descend(ctx, v, hash, later)
			}
		}
		var err error
		if parents, err = a.Store.List(ctx, fmt.Sprintf("%s%020d-", setsKey, v)); err != nil {
			return persimmoncart.ConfigChangeSet{}, errors.Wrapf(err, "list version %d", v)
		}
		if len(parents) == 1 {
			hash, err := parseHash(strings.TrimPrefix(parents[0].Key, fmt.Sprintf("%s%020d-", setsKey, v)))
			if err != nil {
				return persimmoncart.ConfigChangeSet{}, err
			}
			return a.descend(ctx, v, hash, later)
		}
		later = append(later, parents)
	}
}

// descend follows the parents from a version that is known to have come into
// force to the earliest of the versions in between.
func (a *Archive) descend(ctx context.Context, version uint64, hash persimmoncart.ConfigHash, between [][]persimmoncart.Object) (persimmoncart.ConfigChangeSet, error) {
	s, err := a.Set(ctx, version, hash)
	for range between {
		if err != nil {
			break
		}
		s, err = a.Set(ctx, s.Version-1, s.Parent)
	}
	return s, err
}

// History returns up to count change sets, newest first, from the version down.
func (a *Archive) History(ctx context.Context, h *Head, from uint64, count int) ([]persimmoncart.ConfigChangeSet, error) {
	if h.Version == 0 {
		return nil, nil
	}
	if from == 0 || from > h.Version {
		from = h.Version
	}
	s, err := a.Find(ctx, h, from)
	if err != nil {
		return nil, err
	}
	out := []persimmoncart.ConfigChangeSet{s}
	for len(out) < count && s.Version > 1 {
		if s, err = a.Set(ctx, s.Version-1, s.Parent); err != nil {
			return out, err
		}
		out = append(out, s)
	}
	return out, nil
}

// write stores the objects of a new version; they take effect with the head.
func (a *Archive) write(ctx context.Context, s *persimmoncart.ConfigChangeSet, old, next *State) error {
	objects := []persimmoncart.ConfigObject{{Key: manifestsKey + hex.EncodeToString(s.StateHash[:]), Value: next.Manifest()}}
	for _, name := range slices.Sorted(maps.Keys(next.shards)) {
		p := next.shards[name]
		if before := old.shards[name]; before == nil || before.hash != p.hash {
			objects = append(objects, persimmoncart.ConfigObject{Key: shardsKey + hex.EncodeToString(p.hash[:]), Value: p.encode()})
		}
	}
	data := EncodeSet(s)
	if len(data) > partBytes {
		var split splitSet
		for part := range slices.Chunk(data, partBytes) {
			hash := sha256.Sum256(part)
			name := hex.EncodeToString(hash[:])
			objects = append(objects, persimmoncart.ConfigObject{Key: partsKey + name, Value: part})
			split.Parts = append(split.Parts, name)
		}
		var err error
		if data, err = json.Marshal(split); err != nil {
			return errors.Wrap(err, "encode parts")
		}
	}
	objects = append(objects, persimmoncart.ConfigObject{Key: setKey(s.Version, s.Hash), Value: data})
	return a.parallel(len(objects), func(i int) error { return a.create(ctx, objects[i].Key, objects[i].Value) })
}

// A splitSet is the stored form of a change set above partBytes.
type splitSet struct {
	Parts []string `json:"parts"` // hashes of the parts, in order
}

// create stores an object named by its content; it may exist already.
func (a *Archive) create(ctx context.Context, key string, value []byte) error {
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

// setKey returns the key of a change set.
func setKey(version uint64, hash persimmoncart.ConfigHash) string {
	return fmt.Sprintf("%s%020d-%x", setsKey, version, hash[:])
}
