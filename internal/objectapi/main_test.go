package objectapi_test

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// Guards against clients, watches and fakes that leak goroutines. Rapid uses a fixed
// seed, so that all runs give the same result, unless a flag sets another.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "25", "rapid.seed": "1"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}
