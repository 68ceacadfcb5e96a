package timer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// Guards against a suspension that seems to last while the machine runs: leases
// would never be held.
func TestSuspended(t *testing.T) {
	before := timer.Suspended()
	passed := timer.Suspended() - before
	assert.Assert(t, passed.Abs() < time.Second, "%s", passed)
}
