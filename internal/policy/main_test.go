package policy

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that every run comes to the
// same verdict; -rapid.seed on the command line still changes it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
