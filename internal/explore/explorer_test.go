package explore_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/internal/explore"
)

func ExampleExplorer() {
	e := &explore.Explorer{}
	runs, complete := e.Run(func() bool {
		if e.Choose(2) == 1 {
			fmt.Println("second", e.Choose(2))
		} else {
			fmt.Println("first")
		}
		return true
	})
	fmt.Println(runs, complete)
	// Output:
	// first
	// second 0
	// second 1
	// 3 true
}

// Guards against omitted interleavings: two processes of two steps each have six.
func TestInterleavings(t *testing.T) {
	e := &explore.Explorer{}
	traces := map[string]bool{}
	runs, complete := e.Run(func() bool {
		trace := ""
		body := func(name string) func(yield func(string) bool) {
			return func(yield func(string) bool) {
				for range 2 {
					if !yield(name) {
						return
					}
					trace += name
				}
			}
		}
		processes := []*explore.Process{explore.NewProcess(body("a")), explore.NewProcess(body("b"))}
		for {
			ready := explore.Ready(processes)
			if len(ready) == 0 {
				break
			}
			ready[e.Choose(len(ready))].Step()
		}
		traces[trace] = true
		return true
	})
	assert.Assert(t, complete)
	assert.Equal(t, runs, 6)
	assert.Equal(t, len(traces), 6)
}
