package config

import (
	"bytes"
	"context"
	cryptorand "crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// maxEditAttempts bounds how often one edit is rebased; with the pauses in
	// between, it takes over a minute.
	maxEditAttempts = 30
	// maxReadBacks bounds the reads that settle one lost answer.
	maxReadBacks      = 4
	maxRetryDoublings = 6
	initialRetryPause = 50 * time.Millisecond
	readBackPause     = 500 * time.Millisecond
)

// An Edit is what an operator asks for.
type Edit struct {
	Author  string
	Changes []persimmoncart.ConfigChange
	Force   bool   // takes each change's Before from the version in force
	ID      string // the same for each retry of one edit; chosen if empty
	Note    string
}

// A EditResult says how an Edit ended.
type EditResult struct {
	Changes []persimmoncart.ConfigChange
	Head    *Head  // the head in force after the edit
	Version uint64 // the version that holds the edit's content
}

// An Editor applies edits to the store.
type Editor struct {
	// Cached returns a copy that saves reads, or nil; the field may be nil.
	Cached func() *VersionedState
	// Random returns numbers from 0 to 1 for pauses between attempts; nil uses
	// the shared generator.
	Random     func() float64
	Repository *Repository
	Timer      persimmoncart.Timer
}

// Apply makes the edit's changes visible together as the next version.
//
// Edits of different objects that race are rebased onto each other. Errors are
// Issues if the result would be invalid, an *EditConflictError if another
// author changed one of the objects, a *persimmoncart.UnavailableError if
// nothing was applied, and an *UnsettledError if that is not known.
func (e *Editor) Apply(ctx context.Context, edit Edit) (EditResult, error) {
	var base *VersionedState
	if e.Cached != nil {
		base = e.Cached()
	}
	if edit.ID == "" {
		edit.ID = cryptorand.Text()
	}
	unsettled := false
	for attempt := range maxEditAttempts {
		if attempt > 0 {
			// Growing pauses keep racing edits from wasting most of their writes
			// when the store is slow.
			if err := e.sleepJittered(ctx, initialRetryPause<<min(attempt-1, maxRetryDoublings)); err != nil {
				return EditResult{}, e.wrapUnsettled(unsettled, edit, err)
			}
		}
		h, err := e.Repository.Head(ctx)
		if err != nil {
			return EditResult{}, e.wrapUnsettled(unsettled, edit, err)
		}
		if r := h.findEdit(edit.ID); r != nil {
			return EditResult{Changes: edit.Changes, Head: h, Version: r.Version}, nil
		}
		if base, err = e.Repository.Load(ctx, h, base); err != nil {
			return EditResult{}, e.wrapUnsettled(unsettled, edit, err)
		}
		changes, err := e.rebase(ctx, h, base, &edit)
		if err != nil {
			return EditResult{}, err
		}
		if len(changes) == 0 {
			return EditResult{Head: h, Version: h.Version}, nil
		}
		next, err := e.commit(ctx, edit, changes, h, base)
		if err == nil {
			return EditResult{Changes: changes, Head: next, Version: next.Version}, nil
		}
		var conflict *persimmoncart.ConflictError
		if lost := (&persimmoncart.AmbiguousError{}); errors.As(err, &lost) {
			unsettled = true
		} else if !errors.As(err, &conflict) {
			return EditResult{}, e.wrapUnsettled(unsettled, edit, err)
		}
	}
	return EditResult{}, e.wrapUnsettled(unsettled, edit, &persimmoncart.UnavailableError{Err: errors.New("too many racing edits"), Operation: "apply edit", RetryAfter: time.Second})
}

// wrapUnsettled returns err, marked if an earlier attempt may have taken effect.
func (e *Editor) wrapUnsettled(unsettled bool, edit Edit, err error) error {
	if unsettled {
		return &UnsettledError{Err: err, ID: edit.ID}
	}
	return err
}

// rebase returns the changes that are still to be made on the copy.
func (e *Editor) rebase(ctx context.Context, h *Head, base *VersionedState, edit *Edit) ([]persimmoncart.ConfigChange, error) {
	if edit.Force {
		// Taken once, so that a change by another author during this edit is a
		// conflict even for a forced edit.
		changes := slices.Clone(edit.Changes)
		for i := range changes {
			changes[i].Before = base.State.Get(changes[i].Key)
		}
		edit.Changes, edit.Force = changes, false
	}
	var out []persimmoncart.ConfigChange
	for _, c := range edit.Changes {
		now := base.State.Get(c.Key)
		if bytes.Equal(now, c.After) {
			continue
		}
		if !bytes.Equal(now, c.Before) {
			return nil, e.conflict(ctx, h, c, now)
		}
		out = append(out, c)
	}
	return out, nil
}

// conflict returns the error that names who changed the object last.
func (e *Editor) conflict(ctx context.Context, h *Head, c persimmoncart.ConfigChange, now []byte) error {
	out := &EditConflictError{Base: c.Before, Key: c.Key, Ours: c.After, Theirs: now}
	sets, err := e.Repository.History(ctx, h, h.Version, maxRecentVersions)
	for _, s := range sets {
		if slices.ContainsFunc(s.Changes, func(x persimmoncart.ConfigChange) bool { return x.Key == c.Key }) {
			out.Time, out.Author, out.Version = s.Time, s.Author, s.Version
			return out
		}
	}
	if err != nil {
		return errors.Wrap(err, out.Error())
	}
	return out
}

// commit writes the next version. A *persimmoncart.ConflictError means that
// another edit came first, a *persimmoncart.AmbiguousError that it is unknown
// whether the version was written.
func (e *Editor) commit(ctx context.Context, edit Edit, changes []persimmoncart.ConfigChange, h *Head, base *VersionedState) (*Head, error) {
	next := base.State.With(changes)
	objects, err := next.Objects()
	if err != nil {
		return nil, err
	}
	if err := Validate(objects).sorted(); err != nil {
		return nil, err
	}
	set := persimmoncart.ConfigChangeSet{
		Time: e.Timer.Now().UTC().Round(0), Author: edit.Author, Changes: changes, ID: edit.ID, Note: edit.Note,
		Parent: base.Hash, StateHash: next.Hash(), Version: h.Version + 1,
	}
	set.Hash = sha256.Sum256(EncodeChangeSet(&set))
	if err := e.Repository.writeVersion(ctx, &set, base.State, next); err != nil {
		// Objects without a head that names them have no effect.
		return nil, errors.Wrap(&persimmoncart.UnavailableError{Err: err, Operation: "write change set"}, "apply edit")
	}
	head := &Head{StateHash: hex.EncodeToString(set.StateHash[:]), Version: set.Version}
	head.Recent = append(slices.Clone(h.Recent), VersionRef{
		Author: edit.Author, Hash: hex.EncodeToString(set.Hash[:]), ID: edit.ID, Version: set.Version,
	})
	if n := len(head.Recent); n > maxRecentVersions {
		head.Recent = head.Recent[n-maxRecentVersions:]
	}
	value, err := json.Marshal(head)
	if err != nil {
		return nil, errors.Wrap(err, "encode head")
	}
	return e.replaceHead(ctx, h, head, value)
}

// replaceHead replaces the head. A lost answer is settled by reading back.
func (e *Editor) replaceHead(ctx context.Context, old, next *Head, value []byte) (*Head, error) {
	var err error
	if old.Version == 0 {
		next.storeVersion, err = e.Repository.Store.Create(ctx, headKey, value)
	} else {
		next.storeVersion, err = e.Repository.Store.Update(ctx, headKey, value, old.storeVersion)
	}
	if lost := (&persimmoncart.AmbiguousError{}); !errors.As(err, &lost) {
		if err != nil {
			err = errors.Wrap(err, "update head")
		}
		return next, err
	}
	id := next.Recent[len(next.Recent)-1].ID
	for range maxReadBacks {
		if now, readErr := e.Repository.Head(ctx); readErr == nil {
			if now.findEdit(id) != nil {
				return now, nil
			}
			// The write may still be on its way; the next attempt depends on the
			// same version of the head, so that only one of them can succeed.
			return nil, err
		}
		if pauseErr := e.sleepJittered(ctx, readBackPause); pauseErr != nil {
			break
		}
	}
	return nil, errors.Wrap(err, "update head")
}

// Rollback makes the content of an earlier version the next version. If only
// is not empty, the objects of other keys stay as they are.
func (e *Editor) Rollback(ctx context.Context, edit Edit, version uint64, only []string) (EditResult, error) {
	h, err := e.Repository.Head(ctx)
	if err != nil {
		return EditResult{}, err
	}
	var base *VersionedState
	if e.Cached != nil {
		base = e.Cached()
	}
	if base, err = e.Repository.Load(ctx, h, base); err != nil {
		return EditResult{}, err
	}
	set, err := e.Repository.FindChangeSet(ctx, h, version)
	if err != nil {
		return EditResult{}, err
	}
	old, err := e.Repository.State(ctx, set.StateHash, base.State)
	if err != nil {
		return EditResult{}, err
	}
	edit.Changes = slices.DeleteFunc(Diff(base.State, old), func(c persimmoncart.ConfigChange) bool {
		return len(only) > 0 && !slices.Contains(only, c.Key)
	})
	if edit.Note == "" {
		edit.Note = fmt.Sprintf("rollback to version %d", version)
	}
	return e.Apply(ctx, edit)
}

// sleepJittered waits for half to one and a half times d.
func (e *Editor) sleepJittered(ctx context.Context, d time.Duration) error {
	random := e.Random
	if random == nil {
		random = rand.Float64
	}
	return e.Timer.Sleep(ctx, time.Duration((0.5+random())*float64(d)))
}

// An EditConflictError reports that another author changed an object of an edit.
type EditConflictError struct {
	Author  string // empty if the change is too old to be found
	Base    []byte // content that the edit was made from
	Key     string
	Ours    []byte // content that the edit asks for
	Theirs  []byte // content in force
	Time    time.Time
	Version uint64 // version of the other author's change
}

// Error implements error.
func (e *EditConflictError) Error() string {
	var b strings.Builder
	author := e.Author
	if author == "" {
		author = "another author"
	}
	fmt.Fprintf(&b, "%s was changed by %s in version %d", e.Key, author, e.Version)
	for _, f := range DiffFields(e.Base, e.Theirs) {
		fmt.Fprintf(&b, "; %s: %s became %s", f.Field, orNone(f.Before), orNone(f.After))
	}
	return b.String()
}

// An UnsettledError reports that it is not known whether an edit was applied.
// A retry with the same ID is never applied twice.
type UnsettledError struct {
	Err error
	ID  string
}

// Error implements error.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("edit %s may have been applied: %v", e.ID, e.Err)
}

// Unwrap returns the cause.
func (e *UnsettledError) Unwrap() error { return e.Err }

// Objects returns the objects of the state, without places in files.
func (s *State) Objects() ([]*Object, error) {
	keys := s.Keys()
	out := make([]*Object, len(keys))
	for i, k := range keys {
		key, err := ParseKey(k)
		if err != nil {
			return nil, err
		}
		spec, err := decodeSpec(key.Kind, s.Get(k))
		if err != nil {
			return nil, err
		}
		if spec.name() != key.Name {
			return nil, &CorruptError{Key: k}
		}
		out[i] = &Object{Key: key, Spec: spec}
	}
	return out, nil
}

// orNone returns the text, or a word for its absence.
func orNone(text string) string {
	if text == "" {
		return "nothing"
	}
	return text
}

// sortedKeys returns the keys of both maps, sorted, each once.
func sortedKeys[V any](a, b map[string]V) []string {
	keys := slices.AppendSeq(slices.Collect(maps.Keys(a)), maps.Keys(b))
	slices.Sort(keys)
	return slices.Compact(keys)
}
