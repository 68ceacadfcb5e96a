// Package testmain runs the tests of a package so that every run reaches the
// same verdict.
package testmain

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// seed is the seed of property tests; -rapid.seed on the command line sets another.
const seed = "1"

// Run runs the tests of m with a fixed seed for property tests, fails if a
// goroutine is left behind, and exits.
func Run(m *testing.M) {
	if flag.Lookup("rapid.seed") != nil {
		if err := flag.Set("rapid.seed", seed); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}
