package instancelist_test

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against clients, servers and fakes that leak goroutines.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
