package objectapi_test

import (
	"fmt"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/persimmoncart/persimmoncart"
)

// Guards against a store whose versions, conditions or watches differ from those of
// a model: a map and a log of changes.
func TestModel(t *testing.T) {
	for name, served := range map[string]bool{"http": true, "memory": false} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(r *rapid.T) {
				s := newTestStore(t, served, 1000)
				model, log := map[string]persimmoncart.Object{}, []persimmoncart.WatchEvent(nil)
				var last persimmoncart.Version
				key := rapid.SampledFrom([]string{"a/1", "a/2", "b"})
				r.Repeat(map[string]func(*rapid.T){
					"write": func(r *rapid.T) {
						k, value := key.Draw(r, "key"), []byte(fmt.Sprint(len(log)))
						want := rapid.SampledFrom([]persimmoncart.Version{0, model[k].Version, last}).Draw(r, "version")
						op := rapid.SampledFrom([]string{"create", "delete", "update"}).Draw(r, "op")
						var version persimmoncart.Version
						var err error
						switch op {
						case "create":
							want = 0
							version, err = s.store.Create(t.Context(), k, value)
						case "delete":
							err = s.store.Delete(t.Context(), k, want)
						case "update":
							version, err = s.store.Update(t.Context(), k, value, want)
						}
						legal := model[k].Version == want && (op == "create" || want != 0)
						if conflict := (&persimmoncart.ConflictError{}); !legal {
							assert.Assert(r, errors.As(err, &conflict), "%s %s: %v", op, k, err)
							assert.Equal(r, conflict.Have, model[k].Version)
							return
						}
						assert.NilError(r, err)
						last = s.memory.Version()
						if op == "delete" {
							delete(model, k)
							log = append(log, persimmoncart.WatchEvent{Deleted: true, Object: persimmoncart.Object{Key: k, Version: last}})
							return
						}
						assert.Equal(r, version, last)
						model[k] = persimmoncart.Object{Key: k, Value: value, Version: version}
						log = append(log, persimmoncart.WatchEvent{Object: model[k]})
					},
					"watch": func(r *rapid.T) {
						from := rapid.IntRange(0, len(log)).Draw(r, "from")
						w, err := s.store.Watch(t.Context(), "", persimmoncart.Version(from))
						assert.NilError(r, err)
						for _, want := range log[from:] {
							got, err := w.Next(t.Context())
							assert.NilError(r, err)
							assert.DeepEqual(r, got, want)
						}
						assert.NilError(r, w.Close())
					},
					"": func(r *rapid.T) {
						list, err := s.store.List(t.Context(), "a/")
						assert.NilError(r, err)
						count := 0
						for _, o := range list {
							assert.DeepEqual(r, o, model[o.Key])
							count++
						}
						_, one := model["a/1"]
						_, two := model["a/2"]
						assert.Equal(r, count == 0, !one && !two)
					},
				})
			})
		})
	}
}
