// Package testmain runs the tests of a package reproducibly: with a fixed seed for
// property tests and a check for leaked goroutines.
package testmain

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// seed is the seed of property tests unless -rapid.seed is given on the command
// line.
const seed = "1"

// Run runs the tests of m with a fixed seed for property tests, fails if
// goroutines are still running at the end, and exits.
func Run(m *testing.M) {
	if flag.Lookup("rapid.seed") != nil {
		if err := flag.Set("rapid.seed", seed); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}
