package cmd_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rs/zerolog"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/cmd/persimmonctl/internal/cmd"
	"github.com/persimmoncart/persimmoncart/internal/admin"
	"github.com/persimmoncart/persimmoncart/internal/claim"
	"github.com/persimmoncart/persimmoncart/internal/config"
	"github.com/persimmoncart/persimmoncart/internal/objectapi"
	"github.com/persimmoncart/persimmoncart/internal/route"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"persimmonctl": func() { os.Exit(cmd.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) },
	})
}

// A laggingFleet is a fleet of two instances, the second of which stays at version 1.
type laggingFleet struct{ editor *config.Editor }

// inForce returns the version in force at the first instance.
func (l *laggingFleet) inForce() uint64 {
	h, err := l.editor.Repository.Head(context.Background())
	if err != nil {
		return 0
	}
	return h.Version
}

func (*laggingFleet) Self() persimmoncart.Instance { return persimmoncart.Instance{ID: "entry-1"} }

func (*laggingFleet) Subscribe(func([]persimmoncart.Member)) (stop func()) { return func() {} }

// Version implements persimmoncart.ConfigVersions.
func (*laggingFleet) Version(context.Context, persimmoncart.Instance) (uint64, error) { return 1, nil }

func (*laggingFleet) View() []persimmoncart.Member {
	return []persimmoncart.Member{{Instance: persimmoncart.Instance{ID: "entry-2"}, State: persimmoncart.MemberAlive}}
}

// setup starts a store with a claim and a plan, and the administration API of one
// instance, for a script.
func setup(e *testscript.Env) error {
	clock := &timer.System{}
	store := &objectapi.Faulty{Store: &objectapi.Memory{Timer: clock}, Timer: clock}
	claims := &claim.Claims{Self: persimmoncart.Tag{Instance: "entry-1"}, Store: store, Timer: clock}
	if _, err := claims.Claim(context.Background(), route.ClaimKey("gate", "payments", "pay-1")); err != nil {
		return errors.Wrap(err, "claim")
	}
	plan := `{"at":"2026-12-09T06:00:00Z","desired":{"h1":{"models":["m"],"role":"prefill"},"h2":{"models":["m"],"role":"decode"},"h3":{"models":["m"],"role":"decode"}},` +
		`"warning":"there is no sheet of 2026-12-09; the sheet of 2026-12-05 is in force"}`
	if _, err := store.Create(context.Background(), "plan/hull", []byte(plan)); err != nil {
		return errors.Wrap(err, "plan")
	}
	editor := &config.Editor{Repository: &config.Repository{Store: store}, Timer: clock}
	fleet := &laggingFleet{editor: editor}
	s := &admin.Server{Logger: zerolog.Nop(), Service: &admin.LocalService{
		Claims: claims, Editor: editor, Timer: clock,
		Instances: &admin.InstancePoller{LocalVersion: fleet.inForce, Members: fleet, Timer: clock, Versions: fleet},
	}}
	for _, t := range []string{"ann:admin", "bob:operator", "vic:viewer"} {
		name, _, _ := strings.Cut(t, ":")
		token, err := admin.ParseToken(t + ":" + config.HashKey("token-"+name).String())
		if err != nil {
			return errors.Wrap(err, "token")
		}
		s.Tokens = append(s.Tokens, token)
	}
	api := httptest.NewServer(s.Handler())
	objects := httptest.NewServer((&objectapi.Handler{Store: store, Timer: clock}).Handler())
	e.Defer(api.Close)
	e.Defer(objects.Close)
	e.Values["store"] = store
	e.Setenv("PERSIMMONCTL_ADMIN", api.Listener.Addr().String())
	e.Setenv("PERSIMMONCTL_TOKEN", "token-ann")
	e.Setenv("STORE", objects.Listener.Addr().String())
	return nil
}

// Guards against changes to output, exit codes and refusals, on which scripts of
// operators rely.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			// code runs persimmonctl and compares its exit code, such as: code 4 apply -f x
			"code": func(ts *testscript.TestScript, _ bool, args []string) {
				err := ts.Exec("persimmonctl", args[1:]...)
				got := "0"
				if exit := (interface{ ExitCode() int })(nil); errors.As(err, &exit) {
					got = fmt.Sprint(exit.ExitCode())
				}
				if got != args[0] {
					ts.Fatalf("exit code %s, want %s", got, args[0])
				}
			},
			// store makes the store unavailable or available again: store down, store up
			"store": func(ts *testscript.TestScript, _ bool, args []string) {
				ts.Value("store").(*objectapi.Faulty).SetDown(args[0] == "down")
			},
		},
		Dir:   "testdata",
		Setup: setup,
	})
}

// Guards against an unreachable instance that is reported as a failed command.
func TestUnreachable(t *testing.T) {
	server := httptest.NewServer(nil)
	addr := netip.MustParseAddrPort(server.Listener.Addr().String())
	server.Close()
	var out, err strings.Builder
	code := cmd.Main([]string{"--admin", addr.String(), "--token=x", "status"}, strings.NewReader(""), &out, &err)
	if code != 5 || !strings.Contains(err.String(), "no answer from http://"+addr.String()) {
		t.Errorf("exit code %d: %s", code, &err)
	}
}
