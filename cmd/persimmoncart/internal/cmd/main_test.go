package cmd_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/cmd/persimmoncart/internal/cmd"
	"github.com/persimmoncart/persimmoncart/internal/config"
	"github.com/persimmoncart/persimmoncart/internal/fakes"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"persimmoncart": func() { os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// Guards against wrong settings that --check accepts, and against reports that
// name only the first of several wrong settings.
func TestScripts(t *testing.T) {
	example, err := filepath.Abs("../../../../examples/dar-jaouz.yaml")
	assert.NilError(t, err)
	testscript.Run(t, testscript.Params{Dir: "testdata", Setup: func(e *testscript.Env) error {
		e.Setenv("EXAMPLE", example)
		return nil
	}})
}

// Guards against an example configuration that differs from the endpoints of
// persimmonfake, so that instances started with it cannot reach them.
func TestExample(t *testing.T) {
	static, err := config.LoadStatic("../../../../examples/dar-jaouz.yaml")
	assert.NilError(t, err)
	endpoints := fakes.DarJaouz().Endpoints()
	assert.Equal(t, len(static.Snapshot().Endpoints), len(endpoints))
	for n, want := range endpoints {
		got := static.Snapshot().Endpoints[want.ID]
		assert.Assert(t, got != nil, want.ID)
		// Ports 7100 to 7103 are those of the store, the weight store, the instance
		// list and the summary of counters and records.
		assert.Equal(t, int(got.Addr.Port()), 7104+n)
		assert.Equal(t, got.DataCentre, want.DataCentre)
		assert.Equal(t, got.Pool, want.Pool)
		assert.Equal(t, got.Role, want.Role)
	}
}
