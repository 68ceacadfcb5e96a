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

// Guards against wrong settings that are found only in service, and against
// checks that name just the first of several.
func TestScripts(t *testing.T) {
	example, err := filepath.Abs("../../../../examples/dar-jaouz.yaml")
	assert.NilError(t, err)
	testscript.Run(t, testscript.Params{Dir: "testdata", Setup: func(e *testscript.Env) error {
		e.Setenv("EXAMPLE", example)
		return nil
	}})
}

// Guards against an example that does not name the endpoints which persimmonfake
// serves, so that the page on running processes does not work.
func TestExample(t *testing.T) {
	static, err := config.LoadStatic("../../../../examples/dar-jaouz.yaml")
	assert.NilError(t, err)
	endpoints := fakes.DarJaouz().Endpoints()
	assert.Equal(t, len(static.Snapshot().Endpoints), len(endpoints))
	for n, want := range endpoints {
		have := static.Snapshot().Endpoints[want.ID]
		assert.Assert(t, have != nil, want.ID)
		// Ports 7100 to 7103 serve the store, the weights, the list and the summary.
		assert.Equal(t, int(have.Addr.Port()), 7104+n)
		assert.Equal(t, have.DataCentre, want.DataCentre)
		assert.Equal(t, have.Pool, want.Pool)
		assert.Equal(t, have.Role, want.Role)
	}
}
