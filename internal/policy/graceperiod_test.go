package policy_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/internal/policy"
)

func ExampleGracePeriod() {
	now := time.Unix(0, 0)
	g := policy.NewGracePeriod(8 * time.Second)
	fmt.Println(g.Left(now))
	g.Begin(now)
	fmt.Println(g.Left(now.Add(3 * time.Second)))
	// Output:
	// 0s false
	// 4.6s true
}

// Guards against a second signal or a change of the settings that moves the end of a grace
// period, a time left below zero, and an end after the kill with a very short one.
func TestGracePeriod(t *testing.T) {
	now := time.Unix(0, 0)
	g := policy.NewGracePeriod(8 * time.Second)
	g.SetLength(6 * time.Second)
	end := g.Begin(now)
	assert.Equal(t, end.Sub(now), 5600*time.Millisecond)
	g.SetLength(time.Minute)
	assert.Equal(t, g.Begin(now.Add(time.Second)), end)
	left, stopping := g.Left(now.Add(time.Hour))
	assert.Equal(t, left, time.Duration(0))
	assert.Assert(t, stopping)

	g = policy.NewGracePeriod(100 * time.Millisecond)
	assert.Equal(t, g.Begin(now).Sub(now), 50*time.Millisecond)
}
