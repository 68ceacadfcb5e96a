package admin_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/admin"
	"github.com/persimmoncart/persimmoncart/internal/config"
	"github.com/persimmoncart/persimmoncart/internal/objectapi"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

const smallConfig = `
pools: [{name: hull, models: [m], prefill: 1}]
endpoints: [{name: h1, addr: "10.0.0.1:80", blocks: 64, centre: hall1, region: coast, pool: hull, role: prefill}]
routes: [{name: drafts, pool: hull, models: [m], timeout: 5m}]
`

// peerVersions contains the versions in force on the instances that respond.
type peerVersions map[persimmoncart.InstanceID]uint64

func (p peerVersions) Version(_ context.Context, i persimmoncart.Instance) (uint64, error) {
	if v, found := p[i.ID]; found {
		return v, nil
	}
	return 0, errors.New("connection refused")
}

// fixedMembers is a membership of this instance, a, and of b and c.
type fixedMembers struct{}

func (fixedMembers) Self() persimmoncart.Instance { return persimmoncart.Instance{ID: "a"} }

func (fixedMembers) Subscribe(func([]persimmoncart.Member)) (stop func()) { return func() {} }

func (fixedMembers) View() []persimmoncart.Member {
	var out []persimmoncart.Member
	for _, id := range []persimmoncart.InstanceID{"b", "c"} {
		out = append(out, persimmoncart.Member{Instance: persimmoncart.Instance{Addr: netip.MustParseAddrPort("10.0.0.2:1"), ID: id}, State: persimmoncart.MemberAlive})
	}
	return out
}

// newServer starts a server on an empty store. It returns the service, a client for
// each role, the store and the server's HTTP handler.
func newServer(t *testing.T, versions peerVersions) (admin.Service, map[string]*admin.Client, *objectapi.Faulty, http.Handler) {
	clock := &timer.System{}
	store := &objectapi.Faulty{Store: &objectapi.Memory{Timer: clock}, Timer: clock}
	local := &admin.LocalService{
		Editor:    &config.Editor{Repository: &config.Repository{Store: store}, Timer: clock},
		Instances: &admin.InstancePoller{LocalVersion: func() uint64 { return 9 }, Members: fixedMembers{}, Timer: clock, Versions: versions},
		Timer:     clock,
	}
	s := &admin.Server{Logger: zerolog.Nop(), Service: local}
	clients := map[string]*admin.Client{"": {Token: "wrong"}}
	for _, role := range []string{"viewer", "operator", "admin"} {
		token, err := admin.ParseToken(fmt.Sprintf("%s-1:%s:%s", role, role, config.HashKey("secret-"+role)))
		assert.NilError(t, err)
		s.Tokens = append(s.Tokens, token)
		clients[role] = &admin.Client{Token: "secret-" + role}
	}
	h := s.Handler()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	for _, c := range clients {
		c.BaseURL, c.HTTP = server.URL, server.Client()
	}
	return local, clients, store, h
}

// code returns the code of an API error, or the text of another error.
func code(err error) string {
	var e *admin.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return fmt.Sprint(err)
}

// TestCodes guards against calls that accept a missing token or too low a role, and
// against changes of the error codes that scripts rely on.
func TestCodes(t *testing.T) {
	_, c, store, _ := newServer(t, peerVersions{"b": 9, "c": 9})
	ctx := t.Context()
	request := admin.ApplyRequest{Files: []admin.File{{Data: smallConfig, Name: "f.yaml"}}}
	account := admin.ApplyRequest{Files: []admin.File{{Data: "accounts: [{name: a, rate: 1}]", Name: "a.yaml"}}}
	apply := func(role string, r admin.ApplyRequest) error {
		_, err := c[role].Apply(ctx, r)
		return err
	}
	for _, x := range []struct {
		name string
		err  error
		want string
	}{
		{"no token", apply("", request), "token_unknown"},
		{"viewer applies", apply("viewer", request), "forbidden"},
		{"operator changes account", apply("operator", account), "forbidden"},
		{"operator", apply("operator", request), "<nil>"},
		{"admin changes account", apply("admin", account), "<nil>"},
		{"invalid", apply("operator", admin.ApplyRequest{Files: []admin.File{{Data: "pools: 1", Name: "f.yaml"}}}), "invalid"},
		{"nothing", apply("operator", admin.ApplyRequest{}), "bad_request"},
		{"bad key", apply("operator", admin.ApplyRequest{Delete: []string{"x"}}), "bad_request"},
		{"reference", apply("operator", admin.ApplyRequest{Delete: []string{"pool/hull"}}), "invalid"},
		{"zone", apply("operator", admin.ApplyRequest{Files: []admin.File{{Name: "s.csv", Zone: "Moon/Sea"}}}), "invalid"},
		{"stale base", apply("operator", admin.ApplyRequest{Base: 7, Files: request.Files}), "not_found"},
	} {
		assert.Equal(t, code(x.err), x.want, x.name)
	}
	_, err := c["operator"].Rollback(ctx, admin.RollbackRequest{Version: 1})
	assert.Equal(t, code(err), "forbidden")
	_, err = c["viewer"].Objects(ctx, "pool", "none")
	assert.Equal(t, code(err), "not_found")
	_, err = c["viewer"].Objects(ctx, "ship", "")
	assert.Equal(t, code(err), "bad_request")
	_, err = c["viewer"].Outcome(ctx, "", "", "k")
	assert.Equal(t, code(err), "bad_request")
	store.SetDown(true)
	assert.Equal(t, code(apply("admin", account)), "store_down")
	s, err := c["viewer"].Status(ctx)
	assert.NilError(t, err)
	assert.Equal(t, s.Store, "down")
	assert.Equal(t, len(s.Instances), 3)
}

// TestConflict guards against a change based on an old version that overwrites
// another operator's change, and against a conflict without that operator's name.
func TestConflict(t *testing.T) {
	_, c, _, _ := newServer(t, peerVersions{"b": 9, "c": 9})
	ctx := t.Context()
	first, err := c["admin"].Apply(ctx, admin.ApplyRequest{Files: []admin.File{{Data: smallConfig, Name: "f.yaml"}}, ID: "one"})
	assert.NilError(t, err)
	again, err := c["admin"].Apply(ctx, admin.ApplyRequest{Files: []admin.File{{Data: smallConfig, Name: "f.yaml"}}, ID: "one"})
	assert.NilError(t, err)
	assert.Equal(t, again.Version, first.Version)
	later := strings.Replace(smallConfig, "5m", "6m", 1)
	_, err = c["operator"].Apply(ctx, admin.ApplyRequest{Base: first.Version, Files: []admin.File{{Data: later, Name: "f.yaml"}}})
	assert.NilError(t, err)
	_, err = c["admin"].Apply(ctx, admin.ApplyRequest{Base: first.Version, Files: []admin.File{{Data: strings.Replace(smallConfig, "5m", "7m", 1), Name: "f.yaml"}}})
	var e *admin.Error
	assert.Assert(t, errors.As(err, &e))
	assert.Equal(t, e.Code, "conflict")
	assert.Equal(t, e.Conflict.Author, "operator-1")
	assert.DeepEqual(t, e.Conflict.Fields, []config.FieldChange{{After: `"6m0s"`, Before: `"5m0s"`, Field: "timeout"}})
	back, err := c["admin"].Rollback(ctx, admin.RollbackRequest{Version: first.Version})
	assert.NilError(t, err)
	assert.Equal(t, back.Version, uint64(3))
	h, err := c["viewer"].History(ctx, 0, 10)
	assert.NilError(t, err)
	var authors []string
	for _, v := range h.Versions {
		authors = append(authors, v.Author)
	}
	assert.DeepEqual(t, authors, []string{"admin-1", "operator-1", "admin-1"})
	got, err := c["viewer"].Objects(ctx, "routes", "drafts")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(got.Objects[0].Value), `"5m0s"`))
}

// TestOldSheets guards against sheets that accumulate in the memory of every
// instance.
func TestOldSheets(t *testing.T) {
	_, c, _, _ := newServer(t, peerVersions{"b": 9, "c": 9})
	sheet := func(day string) admin.File {
		return admin.File{Data: "day,pool,model,from,to,rate,prefill,decode\n" + day + ",hull,m,06:00,12:00,0,1,0\n", Name: "s.csv"}
	}
	for _, day := range []string{"2026-11-18", "2026-11-20", "2026-11-21", "2026-12-04"} {
		_, err := c["admin"].Apply(t.Context(), admin.ApplyRequest{Files: []admin.File{{Data: smallConfig, Name: "f.yaml"}, sheet(day)}})
		assert.NilError(t, err)
	}
	got, err := c["viewer"].Objects(t.Context(), "sheet", "")
	assert.NilError(t, err)
	var keys []string
	for _, o := range got.Objects {
		keys = append(keys, o.Key)
	}
	assert.DeepEqual(t, keys, []string{"sheet/2026-11-20", "sheet/2026-11-21", "sheet/2026-12-04"})
}

// TestWait guards against a wait that ends while instances lag, and against a reply
// without their names.
func TestWait(t *testing.T) {
	for _, c := range []struct {
		name  string
		peers peerVersions
		want  []string
	}{
		{"all", peerVersions{"b": 1, "c": 5}, nil},
		{"behind and silent", peerVersions{"b": 0}, []string{"b", "c"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, clients, _, _ := newServer(t, c.peers)
			r, err := clients["admin"].Apply(t.Context(), admin.ApplyRequest{
				Files: []admin.File{{Data: smallConfig, Name: "f.yaml"}}, Wait: config.Duration(time.Millisecond),
			})
			assert.NilError(t, err)
			assert.DeepEqual(t, r.Lagging, c.want)
			assert.Equal(t, r.Waited, c.want == nil)
		})
	}
}

// TestOpenAPI guards against an OpenAPI document that lacks a path.
func TestOpenAPI(t *testing.T) {
	_, _, _, h := newServer(t, nil)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/admin/v1/openapi.json", nil))
	var doc struct {
		Paths map[string]map[string]any `json:"paths"`
	}
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &doc))
	var served, described []string
	err := chi.Walk(h.(chi.Router), func(method, path string, _ http.Handler, _ ...func(http.Handler) http.Handler) error {
		served = append(served, strings.ToLower(method)+" "+path)
		return nil
	})
	assert.NilError(t, err)
	for path, methods := range doc.Paths {
		for m := range methods {
			described = append(described, m+" "+path)
		}
	}
	slices.Sort(served)
	slices.Sort(described)
	assert.DeepEqual(t, served, described)
}

func FuzzBody(f *testing.F) {
	f.Add([]byte(`{"files":[{"name":"f.yaml","data":"pools: []"}],"delete":["pool/a"]}`))
	f.Add([]byte(`{"version":1,"only":["a"]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		_, _, _, h := newServer(t, nil)
		for _, path := range []string{"/diff", "/apply", "/rollback"} {
			r := httptest.NewRequest(http.MethodPost, "/admin/v1"+path, strings.NewReader(string(body)))
			r.Header.Set("Authorization", "Bearer secret-admin")
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			if w.Code == http.StatusInternalServerError {
				t.Errorf("%s: %s", path, w.Body)
			}
		}
	})
}
