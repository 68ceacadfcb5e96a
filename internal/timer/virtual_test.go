package timer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/internal/timer"
)

func ExampleVirtual() {
	start := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	v := timer.NewVirtual(start)
	v.After(3*time.Second, func(now time.Time) { fmt.Println("after", now.Sub(start)) })
	stop := v.Subscribe(2*time.Second, func(now time.Time) { fmt.Println("tick", now.Sub(start)) })
	v.Advance(4 * time.Second)
	stop()
	v.Advance(time.Hour)
	// Output:
	// tick 2s
	// after 3s
	// tick 4s
}

// Guards against callbacks that run out of order or after they were cancelled,
// which would make simulations with the same seed differ.
func TestVirtualOrder(t *testing.T) {
	v := timer.NewVirtual(time.Unix(0, 0))
	var got []string
	record := func(name string) func(time.Time) {
		return func(time.Time) { got = append(got, name) }
	}
	v.After(time.Second, record("b"))
	v.After(time.Second, record("c"))
	v.After(0, record("a"))
	stop := v.After(time.Second, record("stopped"))
	stop()
	stop()
	v.After(time.Second, func(time.Time) { v.After(0, record("nested")) })
	v.Advance(time.Second)
	assert.DeepEqual(t, got, []string{"a", "b", "c", "nested"})
	assert.Equal(t, v.Now(), time.Unix(1, 0))
	assert.Assert(t, !v.Step())
}

// Guards against a subscription that continues after its own callback has ended it.
func TestVirtualStopInCallback(t *testing.T) {
	v := timer.NewVirtual(time.Unix(0, 0))
	count := 0
	var stop func()
	stop = v.Subscribe(time.Second, func(time.Time) {
		count++
		stop()
	})
	v.Advance(time.Minute)
	assert.Equal(t, count, 1)
}
