package config_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/config"
	"github.com/persimmoncart/persimmoncart/internal/objectapi"
	"github.com/persimmoncart/persimmoncart/internal/testmain"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

func TestMain(m *testing.M) { testmain.Run(m) }

// instantTimer is a virtual timer whose Sleep advances the time and returns at once.
type instantTimer struct{ *timer.Virtual }

func (i instantTimer) Sleep(ctx context.Context, d time.Duration) error {
	i.Advance(d)
	return ctx.Err()
}

// newEditor returns an editor and its store, in which tests can inject faults.
func newEditor() (*config.Editor, *objectapi.Faulty) {
	clock := instantTimer{timer.NewVirtual(time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC))}
	s := &objectapi.Faulty{Store: &objectapi.Memory{Timer: clock}, Timer: clock}
	return &config.Editor{Repository: &config.Repository{Store: s}, Timer: clock}, s
}

// account returns the canonical JSON of an account, or nil if the rate is zero.
func account(name string, rate int) []byte {
	if rate == 0 {
		return nil
	}
	return config.Encode(&config.AccountSpec{
		Name: name, Burst: 1, Class: persimmoncart.ClassBatch, Keys: []config.KeyHash{config.HashKey(fmt.Sprint(name, rate%3))}, Rate: float64(rate), Weight: 1,
	})
}

// history applies random edits to the editor and to a naive full copy of the
// configuration.
type history struct {
	applied  map[string]uint64 // version of each edit by ID
	authors  map[string]string // author of the last change of each object by key
	editor   *config.Editor
	naive    map[string][]byte
	snapshot *persimmoncart.Snapshot
	state    *config.State
	store    *objectapi.Faulty
	versions []map[string][]byte // naive copy at each version
}

// Edit applies an edit that is based on the current content or on an older one.
func (h *history) Edit(t *rapid.T) {
	base := h.naive
	if len(h.versions) > 0 && rapid.Bool().Draw(t, "stale") {
		base = h.versions[rapid.IntRange(max(0, len(h.versions)-3), len(h.versions)-1).Draw(t, "base")]
	}
	edit := config.Edit{Author: "ann", Force: rapid.IntRange(0, 9).Draw(t, "force") == 0, ID: fmt.Sprint("id", len(h.applied))}
	for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 1, 3, rapid.ID).Draw(t, "names") {
		name := fmt.Sprint("a", n)
		key := "account/" + name
		edit.Changes = append(edit.Changes, persimmoncart.ConfigChange{
			After: account(name, rapid.IntRange(0, 4).Draw(t, "rate")), Before: base[key], Key: key,
		})
	}
	h.store.LoseResponses(rapid.IntRange(0, 3).Draw(t, "lost"))
	h.store.DropRequests(rapid.IntRange(0, 2).Draw(t, "dropped"))
	r, err := h.editor.Apply(t.Context(), edit)
	h.store.LoseResponses(0)
	h.store.DropRequests(0)
	conflict := ""
	next := maps.Clone(h.naive)
	for _, c := range edit.Changes {
		current := h.naive[c.Key]
		if conflict == "" && !edit.Force && !bytes.Equal(current, c.Before) && !bytes.Equal(current, c.After) {
			conflict = c.Key
		}
		if next[c.Key] = c.After; c.After == nil {
			delete(next, c.Key)
		}
	}
	if conflict != "" {
		var e *config.EditConflictError
		assert.Assert(t, errors.As(err, &e), "%v", err)
		assert.Equal(t, e.Key, conflict)
		assert.Equal(t, e.Author, h.authors[conflict])
		return
	}
	if unavailable := (&persimmoncart.UnavailableError{}); errors.As(err, &unavailable) {
		return // several lost responses in a row end an edit that is not applied
	}
	assert.NilError(t, err)
	h.recordApplied(t, edit, r, next)
}

// recordApplied records an applied edit and repeats it, which must change nothing.
func (h *history) recordApplied(t *rapid.T, edit config.Edit, r config.EditResult, next map[string][]byte) {
	if len(r.Changes) > 0 {
		assert.Equal(t, r.Version, uint64(len(h.versions)+1))
		h.naive, h.versions = next, append(h.versions, next)
		h.applied[edit.ID] = r.Version
		for _, c := range r.Changes {
			h.authors[c.Key] = edit.Author
		}
		again, err := h.editor.Apply(t.Context(), edit)
		assert.NilError(t, err)
		assert.Equal(t, again.Version, r.Version)
		assert.Equal(t, again.Head.Version, r.Version)
	}
	var err error
	h.state = h.state.With(r.Changes)
	h.snapshot, err = config.Apply(h.snapshot, r.Changes, r.Version)
	assert.NilError(t, err)
}

// Rollback rolls back to a random version.
func (h *history) Rollback(t *rapid.T) {
	if len(h.versions) == 0 {
		t.Skip("no version yet")
	}
	version := rapid.IntRange(1, len(h.versions)).Draw(t, "version")
	edit := config.Edit{Author: "bob", ID: fmt.Sprint("rollback", len(h.versions))}
	r, err := h.editor.Rollback(t.Context(), edit, uint64(version), nil)
	assert.NilError(t, err)
	edit.Changes = r.Changes
	h.recordApplied(t, edit, r, h.versions[version-1])
}

// Check compares the incrementally updated state and snapshot with the naive copy.
func (h *history) Check(t *rapid.T) {
	assert.Assert(t, slices.Equal(h.state.Keys(), slices.Sorted(maps.Keys(h.naive))))
	full := &config.State{}
	var changes []persimmoncart.ConfigChange
	for k, v := range h.naive {
		assert.Assert(t, bytes.Equal(h.state.Get(k), v), k)
		changes = append(changes, persimmoncart.ConfigChange{After: v, Key: k})
	}
	full = full.With(changes)
	assert.Equal(t, full.Hash(), h.state.Hash())
	snapshot, err := config.Apply(config.EmptySnapshot(), changes, h.snapshot.Version)
	assert.NilError(t, err)
	assert.Assert(t, reflect.DeepEqual(snapshot, h.snapshot))
	head, err := h.editor.Repository.Head(t.Context())
	assert.NilError(t, err)
	c, err := h.editor.Repository.Load(t.Context(), head, nil)
	assert.NilError(t, err)
	assert.Equal(t, c.State.Hash(), full.Hash())
}

// TestHistories guards against an incrementally updated state that differs from a
// naive full copy, and against edits that are lost, applied twice or applied over
// another author's change.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{applied: map[string]uint64{}, authors: map[string]string{}, naive: map[string][]byte{}, state: &config.State{}, snapshot: config.EmptySnapshot()}
		h.editor, h.store = newEditor()
		t.Repeat(map[string]func(*rapid.T){"": h.Check, "edit": h.Edit, "rollback": h.Rollback})
	})
}

// TestUnsettled guards against an edit that is reported as refused although it was
// applied. The store loses the response to the write of the head and is unavailable
// afterwards.
func TestUnsettled(t *testing.T) {
	e, s := newEditor()
	_, err := e.Apply(t.Context(), config.Edit{Author: "ann", Changes: []persimmoncart.ConfigChange{{After: account("a", 1), Key: "account/a"}}})
	assert.NilError(t, err)
	edit := config.Edit{Author: "ann", Changes: []persimmoncart.ConfigChange{{After: account("a", 2), Before: account("a", 1), Key: "account/a"}}, ID: "x"}
	written := false
	s.Decide = func(kind objectapi.CallKind, key string) objectapi.Fault {
		lost := key == "config/head" && kind == objectapi.CallWrite && !written
		written = written || lost
		return objectapi.Fault{Down: written && !lost, ResponseLost: lost}
	}
	_, err = e.Apply(t.Context(), edit)
	var unsettled *config.UnsettledError
	assert.Assert(t, errors.As(err, &unsettled), "%v", err)
	s.Decide = nil
	_, err = e.Apply(t.Context(), edit)
	assert.NilError(t, err)
	h, err := e.Repository.Head(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, h.Version, uint64(2))
}

// TestFindOld guards against a history that ends at the oldest version that the head
// lists, and against change sets of lost races among those that came into force.
func TestFindOld(t *testing.T) {
	e, s := newEditor()
	for i := range 150 {
		_, err := e.Apply(t.Context(), config.Edit{Author: "ann", Changes: []persimmoncart.ConfigChange{{After: account("a", i+1), Key: "account/a"}}, Force: true})
		assert.NilError(t, err)
	}
	h, err := e.Repository.Head(t.Context())
	assert.NilError(t, err)
	objects, err := s.List(t.Context(), "config/sets/00000000000000000003-")
	assert.NilError(t, err)
	_, err = s.Create(t.Context(), fmt.Sprintf("config/sets/%020d-%064x", 3, 1), objects[0].Value)
	assert.NilError(t, err)
	set, err := e.Repository.FindChangeSet(t.Context(), h, 3)
	assert.NilError(t, err)
	assert.DeepEqual(t, set.Changes[0].After, account("a", 3))
	sets, err := e.Repository.History(t.Context(), h, 0, 1000)
	assert.NilError(t, err)
	assert.Equal(t, len(sets), 150)
}

// TestConflictWithUnknownChange guards against a conflict that names version 0, which
// does not exist, as the version of the other author's change.
func TestConflictWithUnknownChange(t *testing.T) {
	const recent = 64 // versions that are searched for the change
	for _, c := range []struct {
		name   string
		later  int // versions after the other author's change
		exists bool
		want   string
	}{
		{name: "among the latest versions", later: recent - 1, exists: true, want: "account/a was changed by ann in version 1; "},
		{name: "in an older version", later: recent, exists: true, want: "account/a differs from the content that the edit was made from; "},
		{name: "object never existed", later: 1, want: "account/a differs from the content that the edit was made from; "},
	} {
		t.Run(c.name, func(t *testing.T) {
			e, _ := newEditor()
			apply := func(name string, rate int, before []byte) error {
				change := persimmoncart.ConfigChange{After: account(name, rate), Before: before, Key: "account/" + name}
				_, err := e.Apply(t.Context(), config.Edit{Author: "ann", Changes: []persimmoncart.ConfigChange{change}})
				return err
			}
			if c.exists {
				assert.NilError(t, apply("a", 1, nil))
			}
			for i := range c.later {
				assert.NilError(t, apply("b", i+1, account("b", i)))
			}
			var conflict *config.EditConflictError
			err := apply("a", 3, account("a", 2))
			assert.Assert(t, errors.As(err, &conflict), "%v", err)
			assert.Assert(t, strings.HasPrefix(conflict.Error(), c.want), conflict.Error())
			assert.Equal(t, conflict.Version != 0, conflict.Author != "")
		})
	}
}
