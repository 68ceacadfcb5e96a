package config

import (
	"bytes"
	"cmp"
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
	// maxEditAttempts bounds how often one edit is rebased. With the pauses in
	// between, that takes over a minute.
	maxEditAttempts = 30
	// maxReadBacks bounds the reads of the head after an ambiguous write.
	maxReadBacks = 4
	// maxRetryDoublings bounds the doublings of initialRetryPause. The longest
	// pause between attempts is 3.2 s before jitter.
	maxRetryDoublings = 6
	initialRetryPause = 50 * time.Millisecond
	readBackPause     = 500 * time.Millisecond
)

// Edit is a change of the configuration as an operator requests it.
type Edit struct {
	Author  string
	Changes []persimmoncart.ConfigChange
	Force   bool   // take each change's Before from the version in force
	ID      string // identical in all retries of an edit; random if empty
	Note    string
}

// EditResult is the outcome of a successful Edit.
type EditResult struct {
	Changes []persimmoncart.ConfigChange // changes applied; empty if the content was in force already
	Head    *Head                        // head after the edit
	Version uint64                       // version that contains the edit's content
}

// Editor applies edits to the configuration in the store.
type Editor struct {
	// Cached returns a full configuration whose shards need not be read again, or
	// nil. It may be nil itself.
	Cached func() *VersionedState
	// Random returns numbers in [0, 1) for the jitter of pauses between attempts.
	// If it is nil, the global generator is used.
	Random     func() float64
	Repository *Repository
	Timer      persimmoncart.Timer
}

// Apply commits the edit's changes atomically as the next version.
//
// Concurrent edits of different objects are rebased onto each other. The error is
// an Issues if the resulting configuration is invalid, an *EditConflictError if
// another edit changed one of the objects, a *persimmoncart.UnavailableError if
// nothing was applied, and an *UnsettledError if it is unknown whether the edit
// was applied.
func (e *Editor) Apply(ctx context.Context, edit Edit) (EditResult, error) {
	var base *VersionedState
	if e.Cached != nil {
		base = e.Cached()
	}
	if edit.ID == "" {
		edit.ID = cryptorand.Text()
	}
	mayBeApplied := false
	for attempt := range maxEditAttempts {
		if attempt > 0 {
			// The pause grows exponentially, because concurrent edits on a slow
			// store otherwise waste most of their writes.
			if err := e.sleepJittered(ctx, initialRetryPause<<min(attempt-1, maxRetryDoublings)); err != nil {
				return EditResult{}, e.wrapUnsettled(mayBeApplied, edit, err)
			}
		}
		h, err := e.Repository.Head(ctx)
		if err != nil {
			return EditResult{}, e.wrapUnsettled(mayBeApplied, edit, err)
		}
		if r := h.findEdit(edit.ID); r != nil {
			return EditResult{Changes: edit.Changes, Head: h, Version: r.Version}, nil
		}
		if base, err = e.Repository.Load(ctx, h, base); err != nil {
			return EditResult{}, e.wrapUnsettled(mayBeApplied, edit, err)
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
		if ambiguous := (&persimmoncart.AmbiguousError{}); errors.As(err, &ambiguous) {
			mayBeApplied = true
		} else if !errors.As(err, &conflict) {
			return EditResult{}, e.wrapUnsettled(mayBeApplied, edit, err)
		}
	}
	return EditResult{}, e.wrapUnsettled(mayBeApplied, edit, &persimmoncart.UnavailableError{Err: errors.New("too many racing edits"), Operation: "apply edit", RetryAfter: time.Second})
}

// wrapUnsettled returns err, or an *UnsettledError around it if an earlier attempt
// may have been applied.
func (e *Editor) wrapUnsettled(mayBeApplied bool, edit Edit, err error) error {
	if mayBeApplied {
		return &UnsettledError{Err: err, ID: edit.ID}
	}
	return err
}

// rebase returns the changes that are not in force at base yet. It returns an
// *EditConflictError if an object has neither the content from before the edit nor
// the content after it.
func (e *Editor) rebase(ctx context.Context, h *Head, base *VersionedState, edit *Edit) ([]persimmoncart.ConfigChange, error) {
	if edit.Force {
		// Before is set only in the first attempt, so that a change by another
		// author during this edit is a conflict even for a forced edit.
		changes := slices.Clone(edit.Changes)
		for i := range changes {
			changes[i].Before = base.State.Get(changes[i].Key)
		}
		edit.Changes, edit.Force = changes, false
	}
	var out []persimmoncart.ConfigChange
	for _, c := range edit.Changes {
		current := base.State.Get(c.Key)
		if bytes.Equal(current, c.After) {
			continue
		}
		if !bytes.Equal(current, c.Before) {
			return nil, e.conflict(ctx, h, c, current)
		}
		out = append(out, c)
	}
	return out, nil
}

// conflict returns an *EditConflictError with the author and version of the
// object's last change, if it is in the latest maxRecentVersions versions.
func (e *Editor) conflict(ctx context.Context, h *Head, c persimmoncart.ConfigChange, current []byte) error {
	out := &EditConflictError{Base: c.Before, Key: c.Key, Ours: c.After, Theirs: current}
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

// commit writes the next version. It returns a *persimmoncart.ConflictError if
// another edit updated the head first, and a *persimmoncart.AmbiguousError if it
// is unknown whether the version was written.
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
		// Objects that no head refers to have no effect.
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

// replaceHead replaces the head if it is still the old one. After an ambiguous
// write it reads the head back and looks for the edit's ID.
func (e *Editor) replaceHead(ctx context.Context, old, next *Head, value []byte) (*Head, error) {
	var err error
	if old.Version == 0 {
		next.storeVersion, err = e.Repository.Store.Create(ctx, headKey, value)
	} else {
		next.storeVersion, err = e.Repository.Store.Update(ctx, headKey, value, old.storeVersion)
	}
	if ambiguous := (&persimmoncart.AmbiguousError{}); !errors.As(err, &ambiguous) {
		if err != nil {
			err = errors.Wrap(err, "update head")
		}
		return next, err
	}
	id := next.Recent[len(next.Recent)-1].ID
	for range maxReadBacks {
		if current, readErr := e.Repository.Head(ctx); readErr == nil {
			if current.findEdit(id) != nil {
				return current, nil
			}
			// The write may still be in flight. The next attempt is conditional on
			// the same version of the head, so only one of them can succeed.
			return nil, err
		}
		if pauseErr := e.sleepJittered(ctx, readBackPause); pauseErr != nil {
			break
		}
	}
	return nil, errors.Wrap(err, "update head")
}

// Rollback commits the content of an earlier version as the next version. If only
// is not empty, only the objects with these keys are restored. It returns the
// errors of Apply, and a *persimmoncart.NotFoundError if the version does not
// exist.
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

// sleepJittered sleeps for 0.5 to 1.5 times d.
func (e *Editor) sleepJittered(ctx context.Context, d time.Duration) error {
	random := e.Random
	if random == nil {
		random = rand.Float64
	}
	return e.Timer.Sleep(ctx, time.Duration((0.5+random())*float64(d)))
}

// EditConflictError reports that an object of an edit was changed after the content
// that the edit was made from.
type EditConflictError struct {
	Author  string // empty if the change is not in the versions searched
	Base    []byte // content that the edit was made from
	Key     string
	Ours    []byte // content that the edit requests
	Theirs  []byte // content in force
	Time    time.Time
	Version uint64 // version of the other author's change; zero if it is not in the versions searched
}

// Error implements error.
func (e *EditConflictError) Error() string {
	var b strings.Builder
	if e.Version == 0 {
		fmt.Fprintf(&b, "%s differs from the content that the edit was made from", e.Key)
	} else {
		fmt.Fprintf(&b, "%s was changed by %s in version %d", e.Key, cmp.Or(e.Author, "another author"), e.Version)
	}
	for _, f := range DiffFields(e.Base, e.Theirs) {
		fmt.Fprintf(&b, "; %s: %s became %s", f.Field, orNone(f.Before), orNone(f.After))
	}
	return b.String()
}

// UnsettledError reports that it is unknown whether an edit was applied. Retrying
// it with the same ID is safe: an edit is never applied twice.
type UnsettledError struct {
	Err error
	ID  string
}

// Error implements error.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("edit %s may have been applied: %v", e.ID, e.Err)
}

// Unwrap returns the last attempt's error.
func (e *UnsettledError) Unwrap() error { return e.Err }

// Objects decodes all objects of the state, sorted by key. They have no positions in
// files.
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

// orNone returns the text, or "nothing" if it is empty.
func orNone(text string) string {
	if text == "" {
		return "nothing"
	}
	return text
}

// sortedKeys returns the sorted union of the keys of both maps.
func sortedKeys[V any](a, b map[string]V) []string {
	keys := slices.AppendSeq(slices.Collect(maps.Keys(a)), maps.Keys(b))
	slices.Sort(keys)
	return slices.Compact(keys)
}
