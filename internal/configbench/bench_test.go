package configbench_test

import (
	"bytes"
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/internal/configbench"
)

// Guards against a distribution that breaks a bound at a small size, and
// against a harness whose runs differ for one seed.
func TestBench(t *testing.T) {
	run := func(seed uint64) string {
		var out bytes.Buffer
		b := &configbench.Bench{Changes: 15, Nodes: 16, Objects: 60, Out: &out, Seed: seed}
		assert.NilError(t, b.Run(context.Background()), "%s", &out)
		return out.String()
	}
	assert.Equal(t, run(1), run(1))
	run(2)
}
