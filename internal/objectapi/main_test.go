package objectapi_test

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// Guards against clients, watches and fakes that leave goroutines behind, and
// against a verdict that differs between runs: rapid draws from a fixed seed
// unless the command line names another.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "25", "rapid.seed": "1"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}
