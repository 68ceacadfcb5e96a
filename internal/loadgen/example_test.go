package loadgen_test

import (
	"fmt"
	"time"

	"github.com/persimmoncart/persimmoncart/internal/loadgen"
)

func ExampleOverload() {
	c := loadgen.Overload{Base: 20, Duration: time.Minute}
	for _, at := range []time.Duration{0, 25 * time.Second, 50 * time.Second} {
		fmt.Println(at, c.Rate(at))
	}
	// Output:
	// 0s 20
	// 25s 60
	// 50s 20
}
