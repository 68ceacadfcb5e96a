package fakes_test

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against clients, watches and fakes that leave goroutines behind.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
